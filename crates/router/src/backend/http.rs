//! HTTP client for backend servers. Failures are classified by what they prove about the request.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use hibiscusvale_core::units::Micros;
use http::{Extensions, Request, Response, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::TcpStream;
use tower::{BoxError, Service};

use super::answer_reading::{AnswerPart, AnswerReading, AnswerStream};
use super::body::ServerBody;
use super::suspension::{CallScope, Suspensions};
use crate::link_meter::{LinkMeter, LinkPeer, MeteredStream};

/// Time-out of a connection attempt. The slowest link takes 3 ms within a region and some 300 ms between
/// regions, so a host that takes longer is treated as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Idle time after which a pooled connection is closed. Middleboxes silently drop the state of idle
/// connections, and a request sent on such a connection is never answered; a short idle time makes that
/// rare.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence on a connection after which the operating system sends a keepalive probe, and the interval
/// between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as broken: three lost packets in a row are rare on a
/// link that loses three in a hundred.
const KEEPALIVE_RETRIES: u32 = 3;

/// First number beyond the statuses that HTTP has.
const STATUSES_END: u16 = 600;

/// Why a call failed, by what is known about its effect.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, thiserror::Error)]
pub enum CallFailure {
    /// No connection was established, or the server is suspended, so no byte was written: the request did not run.
    #[error("no connection")]
    NotSent,
    /// The connection broke after the request may have been written.
    #[error("connection broken")]
    Broken,
    /// No answer arrived within the time-out.
    #[error("no answer within the time-out")]
    Timeout,
    /// The answer does not conform to the interface.
    #[error("malformed answer")]
    Malformed,
}

/// Which connection a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// Any idle connection. For calls that may be repeated.
    Pooled,
    /// A new connection. For calls that must not be repeated, and for repeating a call when a pooled
    /// connection may have gone silent.
    Fresh,
}

/// Opens connections that are measured, and reset when they are closed.
#[derive(Clone, Debug)]
struct ServerConnector {
    connector: HttpConnector,
    meter: Arc<LinkMeter>,
    suspensions: Arc<Suspensions>,
}

impl Service<Uri> for ServerConnector {
    type Response = TokioIo<AnswerStream>;
    type Error = BoxError;
    type Future = BoxFuture<'static, Result<Self::Response, BoxError>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.connector.poll_ready(cx).map_err(BoxError::from)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let meter = Arc::clone(&self.meter);
        let suspensions = Arc::clone(&self.suspensions);
        let started_at = Instant::now();
        let connecting = self.connector.call(req);
        async move {
            let stream = connecting.await?.into_inner();
            let took_us = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
            meter.record_connect(Micros(took_us));
            discard_on_close(&stream)?;
            let reading = AnswerReading::new(stream.peer_addr()?, Arc::clone(&meter), suspensions);
            let stream = MeteredStream::new(stream, LinkPeer::Servers, meter);
            Ok(TokioIo::new(AnswerStream::new(stream, reading)))
        }
        .boxed()
    }
}

/// Makes the operating system discard undelivered data when a connection is closed.
///
/// A call that times out closes its connection. After an ordinary close the system keeps sending the request
/// for as long as it takes: one that was held up by a cut link reaches its server seconds after its caller
/// was told that it has not run, and after the server has said that it is leaving. A reset discards it.
fn discard_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Settings of [`BackendHttp`].
#[derive(Clone, Debug)]
pub struct HttpSettings {
    /// Time-out of connection attempts.
    pub connect_timeout: Duration,
    /// Maximum size of the read buffer of a connection, and of the head of an answer; `None` for the library's default
    /// of 400 KB.
    pub buffer_bytes: Option<usize>,
    /// Measures the connections.
    pub meter: Arc<LinkMeter>,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self { connect_timeout: CONNECT_TIMEOUT, buffer_bytes: None, meter: Arc::default() }
    }
}

/// HTTP client for backend servers.
///
/// An answer may take a bounded number of bytes until its head is complete and between two parts of its body. A server that
/// exceeds them is suspended: it gets no calls for some seconds.
#[derive(Clone, Debug)]
pub struct BackendHttp {
    suspensions: Arc<Suspensions>,
    /// Whether suspended servers are called all the same.
    calls_suspended: bool,
    scope: CallScope,
    pooled: Client<ServerConnector, Full<Bytes>>,
    fresh: Client<ServerConnector, Full<Bytes>>,
}

impl Default for BackendHttp {
    fn default() -> Self {
        Self::new()
    }
}

impl BackendHttp {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::with_settings(HttpSettings::default())
    }

    /// Creates a client for a service of the platform. There is no other one to call meanwhile, so it is never suspended.
    pub fn for_platform() -> Self {
        Self { calls_suspended: true, ..Self::new() }
    }

    /// Creates a client with an empty pool and these settings.
    pub fn with_settings(settings: HttpSettings) -> Self {
        let HttpSettings { connect_timeout, buffer_bytes, meter } = settings;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        // A connection that has gone silent while its host is alive shows no other symptom: a request or a
        // stream on it would wait for the full time-out.
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(KEEPALIVE_INTERVAL * KEEPALIVE_RETRIES));
        let suspensions = Arc::new(Suspensions::default());
        let connector = ServerConnector { connector, meter, suspensions: Arc::clone(&suspensions) };
        let build = |idle_connections: usize| {
            let mut builder = Client::builder(TokioExecutor::new());
            if let Some(buffer_bytes) = buffer_bytes {
                builder.http1_max_buf_size(buffer_bytes);
            }
            builder
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(POOL_IDLE_TIMEOUT)
                .pool_max_idle_per_host(idle_connections)
                // The library would repeat a request that a closing connection may have delivered. Only the
                // router's own rules may repeat a request.
                .retry_canceled_requests(false)
                .build(connector.clone())
        };
        Self {
            suspensions,
            calls_suspended: false,
            scope: CallScope::default(),
            pooled: build(usize::MAX),
            fresh: build(0),
        }
    }

    /// A client over the same connections for the calls of `scope`.
    #[must_use]
    pub fn scoped(&self, scope: CallScope) -> Self {
        Self { scope, ..self.clone() }
    }

    /// Whether a server gets no calls for now, since an answer of it did not end.
    pub fn is_suspended(&self, server: SocketAddr) -> bool {
        !self.calls_suspended && self.suspensions.is_suspended(Instant::now(), server, self.scope)
    }

    /// Ends the suspension of an address that another server has taken over.
    pub fn forget_suspension(&self, server: SocketAddr) {
        self.suspensions.forget(server);
    }

    /// Sends `request` and waits up to `timeout` for the head of the answer.
    ///
    /// # Errors
    ///
    /// A [`CallFailure`]; only [`CallFailure::NotSent`] proves that the request did not run.
    pub async fn send(
        &self,
        reuse: ConnectionReuse,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<ServerBody>, CallFailure> {
        let connection = capture_connection(&mut request);
        self.send_captured(reuse, request, timeout, connection).await
    }

    async fn send_captured(
        &self,
        reuse: ConnectionReuse,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        mut connection: CaptureConnection,
    ) -> Result<Response<ServerBody>, CallFailure> {
        let server = request.uri().authority().and_then(|authority| authority.as_str().parse().ok());
        let server = server.ok_or(CallFailure::Malformed)?;
        if self.is_suspended(server) {
            return Err(CallFailure::NotSent);
        }
        let client = match reuse {
            ConnectionReuse::Pooled => &self.pooled,
            ConnectionReuse::Fresh => &self.fresh,
        };
        let exchange = async {
            let mut sending = pin!(client.request(request));
            let connected = async {
                connection.wait_for_connection_metadata().await;
            };
            // The library sends the request as soon as there is a connection, which may carry its second call.
            tokio::select! {
                biased;
                response = &mut sending => return response,
                () = connected => {}
            }
            if let Some(reading) = reading_of(&connection) {
                reading.begin(self.scope);
            }
            sending.await
        };
        let failure = match tokio::time::timeout(timeout, exchange).await {
            // The parser accepts any three digits.
            Ok(Ok(response)) if response.status().as_u16() >= STATUSES_END => CallFailure::Malformed,
            Ok(Ok(response)) => return Ok(ServerBody::wrap(response, server)),
            Ok(Err(error)) if error.is_connect() => return Err(CallFailure::NotSent),
            Ok(Err(error)) => {
                if let Some(reading) = reading_of(&connection).filter(|_| is_head_too_large(&error)) {
                    reading.suspend(AnswerPart::Head);
                }
                CallFailure::Broken
            }
            Err(_) => CallFailure::Timeout,
        };
        if let Some(reading) = reading_of(&connection) {
            reading.given_up();
        }
        Err(failure)
    }

    /// Like [`Self::send`], and also returns the connection that carried the request. Nothing is sent if `withdrawn`
    /// completes before there is a connection.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`]; [`CallFailure::NotSent`] if the request was withdrawn.
    pub async fn send_tracked<Withdrawn>(
        &self,
        reuse: ConnectionReuse,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
        withdrawn: Withdrawn,
    ) -> Result<TrackedReply, CallFailure>
    where
        Withdrawn: Future<Output = ()>,
    {
        let mut connection = capture_connection(&mut request);
        let mut sending = pin!(self.send_captured(reuse, request, timeout, connection.clone()));
        let answered = {
            let connected = async {
                connection.wait_for_connection_metadata().await;
            };
            // The request is written as soon as there is a connection, so this is polled before the others.
            tokio::select! {
                biased;
                response = &mut sending => Some(response),
                () = connected => None,
                () = withdrawn => return Err(CallFailure::NotSent),
            }
        };
        let response = match answered {
            Some(response) => response?,
            None => sending.await?,
        };
        Ok(TrackedReply { response, connection })
    }
}

/// Whether the library gave up a head for its size.
fn is_head_too_large(error: &(dyn Error + 'static)) -> bool {
    let mut failure = Some(error);
    while let Some(error) = failure {
        if error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse_too_large) {
            return true;
        }
        failure = error.source();
    }
    false
}

/// The answers on a connection; `None` if there is none yet.
fn reading_of(connection: &CaptureConnection) -> Option<Arc<AnswerReading>> {
    let mut extensions = Extensions::new();
    connection.connection_metadata().as_ref()?.get_extras(&mut extensions);
    extensions.remove()
}

/// An answer together with the connection that it arrived on.
#[derive(Debug)]
pub struct TrackedReply {
    /// Head of the answer; the body has not been read.
    pub response: Response<ServerBody>,
    connection: CaptureConnection,
}

impl TrackedReply {
    /// Keeps the connection out of the pool, because further data on it may belong to another request.
    pub fn prevent_reuse(&self) {
        if let Some(connection) = self.connection.connection_metadata().as_ref() {
            connection.poison();
        }
    }
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
///
/// [`CallFailure::Timeout`], or [`CallFailure::Broken`] when the body ends early or is larger.
pub async fn read_body(
    body: ServerBody,
    limit_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, CallFailure> {
    body.bound(limit_bytes);
    let reading = body.reading();
    match tokio::time::timeout(timeout, Limited::new(body, limit_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => {
            if let Some(reading) = reading.filter(|_| error.is::<LengthLimitError>()) {
                reading.suspend(AnswerPart::Body);
            }
            Err(CallFailure::Broken)
        }
        Err(_) => {
            if let Some(reading) = reading {
                reading.content_failed();
            }
            Err(CallFailure::Timeout)
        }
    }
}

/// Builds the URI of a call.
///
/// # Errors
///
/// [`CallFailure::Malformed`] when the path is not valid.
pub fn uri(to: SocketAddr, path: &str) -> Result<Uri, CallFailure> {
    Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(path)
        .build()
        .map_err(|_| CallFailure::Malformed)
}
