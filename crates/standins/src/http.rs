//! HTTP server shared by all mock servers; applies the injected `Faults` to connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::control::{FaultUpdate, Faults};

/// Maximum request body size.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Request handler of a mock server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; `/standin/handle_fault_update` and injected faults are handled by the server.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;
}

/// Error while reading a request.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is incomplete or too large.
    #[error("could not read the request body")]
    Body,
    /// The body is not JSON of the expected type.
    #[error("could not understand the request body: {0}")]
    Json(#[from] serde_json::Error),
}

/// Aborts the connection instead of sending the response of an executed request.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("response dropped by fault injection")]
struct ResponseDropped;

/// Binds `address` and serves `handler` until `faults` signal that the server is killed; returns the bound address.
///
/// # Errors
/// The address cannot be bound.
pub async fn serve<H>(address: SocketAddr, handler: Arc<H>, faults: Arc<Faults>) -> io::Result<SocketAddr>
where
    H: Handler,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(async move {
        let killed = faults.killed().clone();
        killed.run_until_cancelled(accept_all(listener, handler, faults)).await;
    });
    Ok(bound)
}

async fn accept_all<H>(listener: TcpListener, handler: Arc<H>, faults: Arc<Faults>)
where
    H: Handler,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let faults = Arc::clone(&faults);
        tokio::spawn(async move {
            let killed = faults.killed().clone();
            killed.run_until_cancelled(serve_connection(stream, handler, faults)).await;
        });
    }
}

async fn serve_connection<H>(stream: TcpStream, handler: Arc<H>, faults: Arc<Faults>)
where
    H: Handler,
{
    let is_control = Arc::new(AtomicBool::new(false));
    let transport = FaultyStream {
        opened_generation: faults.stall_generation(),
        faults: Arc::clone(&faults),
        is_control: Arc::clone(&is_control),
        inner: stream,
    };
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let faults = Arc::clone(&faults);
        if request.uri().path().starts_with("/standin/") {
            is_control.store(true, Ordering::SeqCst);
        }
        async move { answer(request, handler, faults).await }
    });
    // Connection errors are ignored; the handler's own records show which requests were executed.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(transport), service).await;
}

async fn answer<H>(
    request: Request<Incoming>,
    handler: Arc<H>,
    faults: Arc<Faults>,
) -> Result<Response<Body>, ResponseDropped>
where
    H: Handler,
{
    let path = request.uri().path().to_owned();
    if path == "/standin/steer" {
        return Ok(handle_fault_update(request, &faults).await);
    }
    if path.starts_with("/standin/") {
        return Ok(handler.handle(request).await);
    }
    if faults.is_mute() {
        std::future::pending::<()>().await;
    }
    let drops_response = faults.should_drop_response(&path);
    let response = handler.handle(request).await;
    if drops_response {
        return Err(ResponseDropped);
    }
    Ok(response)
}

async fn handle_fault_update(request: Request<Incoming>, faults: &Faults) -> Response<Body> {
    match read_json::<FaultUpdate>(request).await {
        Ok(update) => {
            faults.update_faults(&update);
            json(StatusCode::OK, &update)
        }
        Err(error) => bad_request(&error),
    }
}

/// A connection that stops transferring bytes once stalled, without closing. Connections that carry a `/standin/`
/// request are exempt, so that the fault update itself gets a response.
struct FaultyStream {
    inner: TcpStream,
    opened_generation: u64,
    is_control: Arc<AtomicBool>,
    faults: Arc<Faults>,
}

impl FaultyStream {
    fn is_stalled(&self) -> bool {
        self.faults.stall_generation() > self.opened_generation && !self.is_control.load(Ordering::SeqCst)
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if self.is_stalled() {
            buf.set_filled(filled_before);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Reads the complete request body.
///
/// # Errors
/// The body is incomplete or larger than 64 MiB.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, ReadError> {
    Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| ReadError::Body)
}

/// Reads a request body as JSON.
///
/// # Errors
/// The body is incomplete, too large or not JSON of the expected type.
pub async fn read_json<T>(request: Request<Incoming>) -> Result<T, ReadError>
where
    T: DeserializeOwned,
{
    let bytes = read_body(request).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Builds a response with a JSON body.
///
/// # Panics
/// `value` cannot be serialized, which does not happen for types of this crate.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("types of this crate serialize");
    let mut response = with_body(status, bytes.into());
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Builds a response with a complete body.
pub fn with_body(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(bytes).boxed_unsync());
    *response.status_mut() = status;
    response
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// Builds the response to a request that could not be read.
pub fn bad_request(error: &ReadError) -> Response<Body> {
    json(StatusCode::BAD_REQUEST, &ErrorBody { error: error.to_string() })
}

/// Builds the response to an unknown path.
pub fn not_found() -> Response<Body> {
    with_body(StatusCode::NOT_FOUND, Bytes::new())
}

/// Returns the query parameter `name` as a number; `None` if absent or invalid.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
