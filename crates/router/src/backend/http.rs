//! HTTP calls to backend servers, and what a failed call proves.

use std::future::{Ready, ready};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::TcpStream;
use tower::util::AndThen;
use tower::{BoxError, ServiceExt};

/// A host that does not answer a connection attempt within this is as good as gone: the slowest link inside
/// a region takes 3 ms, between regions some 300 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// A pooled connection idle for longer is closed. What sits between two ends forgets idle connections
/// silently, and a request written into such a one is never answered; a short life makes that rare.
const POOL_IDLE: Duration = Duration::from_secs(2);

/// Silence on a connection after which the system probes it, and between probes.
const SILENCE_PROBE: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection counts as broken: three lost packets in a row are rare on
/// a link that loses three in a hundred.
const SILENCE_PROBES: u32 = 3;

/// Why a call failed, sorted by what is known of its effect.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, thiserror::Error)]
pub enum CallFailure {
    /// No connection came about, so no byte was written: the request did not run.
    #[error("no connection")]
    NotSent,
    /// The connection broke after the request may have been written.
    #[error("connection broken")]
    Broken,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// An answer that does not fit the interface.
    #[error("answer not understood")]
    Malformed,
}

/// Which connection a call may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trust {
    /// Any idle connection. For calls that may be asked again.
    Pooled,
    /// A connection of its own. For calls that may not be repeated, and for asking again when a pooled
    /// connection may have gone silent.
    Fresh,
}

/// A connection, or why it cannot be used.
type Opened = Ready<Result<TokioIo<TcpStream>, BoxError>>;

/// Opens connections that are reset when they are closed.
type ResettingConnector = AndThen<HttpConnector, fn(TokioIo<TcpStream>) -> Opened>;

/// HTTP client towards backend servers.
#[derive(Clone, Debug)]
pub struct BackendHttp {
    pooled: Client<ResettingConnector, Full<Bytes>>,
    fresh: Client<ResettingConnector, Full<Bytes>>,
}

impl Default for BackendHttp {
    fn default() -> Self {
        Self::new()
    }
}

impl BackendHttp {
    /// Makes a client with an empty pool.
    pub fn new() -> Self {
        Self::with_connect_timeout(CONNECT_TIMEOUT)
    }

    /// Makes a client that gives a connection attempt up after `limit`.
    pub fn with_connect_timeout(limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(limit));
        connector.set_nodelay(true);
        // A connection that went silent for good while its host lives shows in nothing else: a request or a
        // stream on it would wait until the caller's patience is over.
        connector.set_keepalive(Some(SILENCE_PROBE));
        connector.set_keepalive_interval(Some(SILENCE_PROBE));
        connector.set_keepalive_retries(Some(SILENCE_PROBES));
        connector.set_tcp_user_timeout(Some(SILENCE_PROBE * SILENCE_PROBES));
        let connector = connector.and_then(reset_on_close as fn(_) -> _);
        let build = |idle_connections: usize| {
            Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(POOL_IDLE)
                .pool_max_idle_per_host(idle_connections)
                // The library would send a request again that a closing connection may have carried.
                // Only this project's own rules may repeat a request.
                .retry_canceled_requests(false)
                .build(connector.clone())
        };
        Self { pooled: build(usize::MAX), fresh: build(0) }
    }

    /// Sends `request` and waits up to `timeout` for the head of the answer.
    ///
    /// # Errors
    ///
    /// A [`CallFailure`]; only [`CallFailure::NotSent`] proves that the request did not run.
    pub async fn send(
        &self,
        trust: Trust,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallFailure> {
        let client = match trust {
            Trust::Pooled => &self.pooled,
            Trust::Fresh => &self.fresh,
        };
        match tokio::time::timeout(timeout, client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(CallFailure::NotSent),
            Ok(Err(_)) => Err(CallFailure::Broken),
            Err(_) => Err(CallFailure::Timeout),
        }
    }

    /// As [`Self::send`], and tells which connection carried it.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_known(
        &self,
        trust: Trust,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<KnownReply, CallFailure> {
        let connection = capture_connection(&mut request);
        let response = self.send(trust, request, timeout).await?;
        Ok(KnownReply { response, connection })
    }
}

/// Has the system discard what was not delivered when a connection is closed.
///
/// A call that is given up closes its connection. Closed in the usual way, the system goes on sending the request for
/// as long as it takes: one that was held up by a cut link reaches its server seconds after its caller was told that
/// it has not run, and after the server has said that it leaves. A reset discards it.
fn reset_on_close(connection: TokioIo<TcpStream>) -> Opened {
    let set = SockRef::from(connection.inner()).set_linger(Some(Duration::ZERO));
    ready(set.map(|()| connection).map_err(BoxError::from))
}

/// An answer, and the connection that it came on.
#[derive(Debug)]
pub struct KnownReply {
    /// The answer's head; its body is yet to be read.
    pub response: Response<Incoming>,
    connection: CaptureConnection,
}

impl KnownReply {
    /// Keeps the connection from being used again: what comes on it may belong to another request.
    pub fn distrust(&self) {
        if let Some(connection) = self.connection.connection_metadata().as_ref() {
            connection.poison();
        }
    }
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// [`CallFailure::Timeout`], or [`CallFailure::Broken`] when it ends early or is larger.
pub async fn read_body(body: Incoming, limit_bytes: usize, timeout: Duration) -> Result<Bytes, CallFailure> {
    match tokio::time::timeout(timeout, Limited::new(body, limit_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(CallFailure::Broken),
        Err(_) => Err(CallFailure::Timeout),
    }
}

/// The address of a call as the library wants it.
///
/// # Errors
///
/// [`CallFailure::Malformed`] when the path is not one.
pub fn uri(to: SocketAddr, path: &str) -> Result<Uri, CallFailure> {
    Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(path)
        .build()
        .map_err(|_| CallFailure::Malformed)
}
