//! The HTTP server that all stand-ins share, with the failures of `Faults` in its connections.

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

use crate::control::{Faults, Steer};

/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// What a stand-in does with a request.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `/standin/steer` and the failures are dealt with before.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;
}

/// A request that a stand-in could not read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body did not arrive whole.
    #[error("could not read the request body")]
    Body,
    /// The body is not the JSON that the interface states.
    #[error("could not understand the request body: {0}")]
    Json(#[from] serde_json::Error),
}

/// The reply of this request is lost: the connection is dropped after the action.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("reply lost by order")]
struct ReplyLost;

/// Binds `address` and serves `handler` there until `faults` say that it died; returns the bound address.
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
        let dead = faults.dead().clone();
        dead.run_until_cancelled(accept_all(listener, handler, faults)).await;
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
            let dead = faults.dead().clone();
            dead.run_until_cancelled(serve_connection(stream, handler, faults)).await;
        });
    }
}

async fn serve_connection<H>(stream: TcpStream, handler: Arc<H>, faults: Arc<Faults>)
where
    H: Handler,
{
    let steers = Arc::new(AtomicBool::new(false));
    let gated = GatedStream {
        born: faults.generation(),
        faults: Arc::clone(&faults),
        steers: Arc::clone(&steers),
        inner: stream,
    };
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let faults = Arc::clone(&faults);
        if request.uri().path().starts_with("/standin/") {
            steers.store(true, Ordering::SeqCst);
        }
        async move { answer(request, handler, faults).await }
    });
    // A broken connection is the peer's business; the stand-in's account shows what was done.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(gated), service).await;
}

async fn answer<H>(
    request: Request<Incoming>,
    handler: Arc<H>,
    faults: Arc<Faults>,
) -> Result<Response<Body>, ReplyLost>
where
    H: Handler,
{
    let path = request.uri().path().to_owned();
    if path == "/standin/steer" {
        return Ok(steer(request, &faults).await);
    }
    if path.starts_with("/standin/") {
        return Ok(handler.handle(request).await);
    }
    if faults.is_mute() {
        std::future::pending::<()>().await;
    }
    let loses = faults.takes_reply(&path);
    let response = handler.handle(request).await;
    if loses {
        return Err(ReplyLost);
    }
    Ok(response)
}

async fn steer(request: Request<Incoming>, faults: &Faults) -> Response<Body> {
    match read_json::<Steer>(request).await {
        Ok(order) => {
            faults.steer(&order);
            json(StatusCode::OK, &order)
        }
        Err(error) => bad_request(&error),
    }
}

/// A connection that stops moving bytes once it is silenced, without closing. One that steers is spared:
/// whoever gave the order has to get its answer.
struct GatedStream {
    inner: TcpStream,
    born: u64,
    steers: Arc<AtomicBool>,
    faults: Arc<Faults>,
}

impl GatedStream {
    fn silenced(&self) -> bool {
        self.faults.generation() > self.born && !self.steers.load(Ordering::SeqCst)
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silenced() {
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if self.silenced() {
            buf.set_filled(filled_before);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Reads a whole request body.
///
/// # Errors
/// The body did not arrive whole or is larger than any that a stand-in takes.
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
/// The body did not arrive whole or is not the JSON that the interface states.
pub async fn read_json<T>(request: Request<Incoming>) -> Result<T, ReadError>
where
    T: DeserializeOwned,
{
    let bytes = read_body(request).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// An answer with a JSON body.
///
/// # Panics
/// `value` cannot be written as JSON, which a type of this crate always can.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("types of this crate serialize");
    let mut response = whole(status, bytes.into());
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// An answer with a whole body.
pub fn whole(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(bytes).boxed_unsync());
    *response.status_mut() = status;
    response
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// The answer to a request that could not be read.
pub fn bad_request(error: &ReadError) -> Response<Body> {
    json(StatusCode::BAD_REQUEST, &ErrorBody { error: error.to_string() })
}

/// The answer to a path that the stand-in does not have.
pub fn not_found() -> Response<Body> {
    whole(StatusCode::NOT_FOUND, Bytes::new())
}

/// The number in the query parameter `name`, if it is there.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
