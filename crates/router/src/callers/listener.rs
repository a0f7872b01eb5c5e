//! Accepts callers' connections and shuts them down gracefully.

use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::Arc;
use std::time::Duration;

use futures_util::TryFutureExt;
use futures_util::future::BoxFuture;
use hibiscusvale_core::units::{Bytes, Millis};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tower::util::BoxCloneService;
use tower::{BoxError, ServiceBuilder, ServiceExt};

use super::connection::{ConnectionFault, FirstBytesError, first_bytes};
use super::refusal::{Refusal, RefusalReason};
use super::response::AnswerBody;
use super::service::{CallerService, CallerState};
use super::stream::{CallerStream, ResetFlag};
use crate::link_meter::{LinkMeter, LinkPeer, MeteredStream};

/// Concurrent streams of one HTTP/2 connection. The balancer in front opens few connections with many
/// requests each; without a bound a single connection could take the whole capacity of a host.
const MAX_CONNECTION_STREAMS: u32 = 512;

/// Streams that a connection may reset before they are accepted. A flood of streams that are opened and
/// reset costs work that shows up nowhere; beyond this bound the connection is closed, and no other is
/// affected.
const MAX_PENDING_RESETS: usize = 32;

/// Delay after the system refused a new connection, mostly for lack of descriptors: an immediate retry would
/// take the thread away from the open connections.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval of the pings on an idle HTTP/2 connection. Connections go silent when a middlebox loses their
/// state, and would hold their memory forever.
const PING_INTERVAL: Duration = Duration::from_secs(15);

/// Bounds of the listener.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// Concurrent requests; further ones are refused as overloaded.
    pub in_flight: usize,
    /// Concurrent connections; further ones wait to be accepted. Each takes a descriptor and some ten KB,
    /// and a host without free descriptors cannot reach any backend server either.
    pub connections: usize,
    /// Largest request head.
    pub head_bytes: Bytes,
    /// Time within which a request head has to arrive.
    pub head_timeout_ms: Millis,
}

impl Default for ListenerSettings {
    fn default() -> Self {
        Self {
            in_flight: 4_096,
            connections: 8_192,
            head_bytes: Bytes(32 << 10),
            head_timeout_ms: Millis(5_000),
        }
    }
}

/// A bound socket that does not accept connections yet.
#[derive(Debug)]
pub struct Listener {
    socket: StdTcpListener,
    settings: ListenerSettings,
}

impl Listener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn bind(address: SocketAddr, settings: ListenerSettings) -> io::Result<Self> {
        let socket = StdTcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket, settings })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until `stop` is cancelled. Then it accepts no more connections, asks callers to send their
    /// next request to another host, and returns when the last answer has ended.
    ///
    /// # Errors
    ///
    /// The operating system's error when the socket cannot be registered with the runtime.
    pub async fn serve(self, state: Arc<CallerState>, stop: CancellationToken) -> io::Result<()> {
        let socket = TcpListener::from_std(self.socket.try_clone()?)?;
        let connections = Arc::new(Connections {
            builder: self.connection_builder(),
            state: Arc::clone(&state),
            head_timeout: Duration::from(self.settings.head_timeout_ms),
            meter: Arc::default(),
        });
        let graceful = GracefulShutdown::new();
        let overloaded = Arc::clone(&state);
        let service = ServiceBuilder::new()
            .map_result(move |result| Ok::<_, BoxError>(shed(&overloaded, result)))
            .load_shed()
            .layer(tower::limit::GlobalConcurrencyLimitLayer::new(self.settings.in_flight))
            .service(CallerService::new(state));
        let permits = Arc::new(Semaphore::new(self.settings.connections));
        loop {
            let accepted = tokio::select! {
                accepted = accept(&socket, &permits) => accepted,
                () = stop.cancelled() => break,
            };
            let Ok(Accepted { stream, permit: connection_permit }) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let service = service.clone().boxed_clone();
            let connections = Arc::clone(&connections);
            let watcher = graceful.watcher();
            tokio::spawn(async move {
                connections.serve(stream, service, watcher).await;
                drop(connection_permit);
            });
        }
        // Both handles are closed, so that a connection attempt is refused at once and the caller tries
        // another host.
        drop(socket);
        drop(self.socket);
        graceful.shutdown().await;
        Ok(())
    }

    fn connection_builder(&self) -> auto::Builder<TokioExecutor> {
        let head_bytes = usize::try_from(self.settings.head_bytes.0).unwrap_or(usize::MAX);
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from(self.settings.head_timeout_ms))
            .max_buf_size(head_bytes.max(MIN_HTTP1_BUFFER_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .max_concurrent_streams(MAX_CONNECTION_STREAMS)
            .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
            .max_header_list_size(u32::try_from(head_bytes).unwrap_or(u32::MAX));
        builder
    }
}

/// A connection and its permit.
struct Accepted {
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
}

async fn accept(socket: &TcpListener, permits: &Arc<Semaphore>) -> io::Result<Accepted> {
    let permit = Arc::clone(permits).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = socket.accept().await?;
    Ok(Accepted { stream, permit })
}

/// Smallest buffer that the library accepts; it panics below this.
const MIN_HTTP1_BUFFER_BYTES: usize = 8_192;

type BoxedService = BoxCloneService<Request<Incoming>, Response<AnswerBody>, BoxError>;

type CallerResult = Result<Response<AnswerBody>, BoxError>;

/// Turns the limiter's error into a refusal: the request did not run.
fn shed(state: &CallerState, result: CallerResult) -> Response<AnswerBody> {
    result.unwrap_or_else(|_| {
        let request_id = state.next_id();
        let refusal = Refusal::not_run(RefusalReason::Overloaded).retry_after(Millis(1_000));
        state.dispatcher.observer.refused_early(request_id, refusal);
        refusal.into_response(request_id)
    })
}

/// State shared by all connections.
struct Connections {
    builder: auto::Builder<TokioExecutor>,
    state: Arc<CallerState>,
    head_timeout: Duration,
    meter: Arc<LinkMeter>,
}

impl Connections {
    async fn serve(&self, stream: TcpStream, service: BoxedService, watcher: Watcher) {
        // Without this, small segments such as single tokens would be delayed.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        match first_bytes(&stream, self.head_timeout).await {
            Ok(()) => {}
            Err(FirstBytesError::TooSlow) => return self.record(ConnectionFault::HeadTooSlow),
            // The caller, or a health probe of the balancer, closed the connection without a request.
            Err(FirstBytesError::Ended(_)) => return,
        }
        let ended = self.serve_http(stream, service, watcher).await;
        // When a connection breaks, the task of each of its requests releases what it holds.
        if let Some(fault) = ended.err().and_then(|error| ConnectionFault::of(&*error)) {
            self.record(fault);
        }
    }

    fn serve_http(
        &self,
        stream: TcpStream,
        service: BoxedService,
        watcher: Watcher,
    ) -> BoxFuture<'static, Result<(), BoxError>> {
        let reset = ResetFlag::default();
        let stream = MeteredStream::new(stream, LinkPeer::Callers, Arc::clone(&self.meter));
        let stream = CallerStream::new(stream, reset.clone());
        let service = tower::service_fn(move |request: Request<Incoming>| {
            let (reset, version) = (reset.clone(), request.version());
            service.clone().oneshot(request).map_ok(move |response| reset.guard(version, response))
        });
        let service = TowerToHyperService::new(service);
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        Box::pin(watcher.watch(connection.into_owned()))
    }

    fn record(&self, fault: ConnectionFault) {
        self.state.dispatcher.observer.connection_ended(fault);
    }
}
