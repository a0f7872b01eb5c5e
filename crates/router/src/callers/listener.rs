//! Accepts callers' connections and lets them end in their own time.

use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::Arc;
use std::time::Duration;

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

/// Streams that one HTTP/2 connection may have open. The balancer in front opens few connections with many
/// requests each; beyond this a single connection could hold all that a host can do.
const STREAMS_PER_CONNECTION: u32 = 512;

/// Streams that a connection may reset before they were accepted. A caller that opens and resets streams in a
/// flood costs work that nobody sees; past this its connection is closed and no other is touched.
const PENDING_RESETS: usize = 32;

/// Pause after the system refused a new connection, mostly for want of descriptors: trying again at once
/// would take the thread from those who are being served.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long an idle HTTP/2 connection may leave a ping unanswered. Connections go silent for good when
/// something in between loses track of them; they would hold their memory for ever.
const PING_INTERVAL: Duration = Duration::from_secs(15);

/// Bounds of the listener.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// Requests in work at a time; more are refused as overloaded.
    pub in_flight: usize,
    /// Connections at a time; more wait to be accepted. Each takes a descriptor and some ten KB, and a host that
    /// runs out of descriptors can reach no backend server either.
    pub connections: usize,
    /// Largest request head.
    pub head_bytes: Bytes,
    /// Time for a request head to arrive.
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

/// A bound socket that is not yet served.
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
    /// The system's error.
    pub fn bind(address: SocketAddr, settings: ListenerSettings) -> io::Result<Self> {
        let socket = StdTcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket, settings })
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until `stop` fires, then takes no new connection, asks callers to go elsewhere with their next
    /// request, and returns when the last answer has ended.
    ///
    /// # Errors
    ///
    /// The system's error when the socket cannot be handed to the runtime.
    pub async fn serve(self, state: Arc<CallerState>, stop: CancellationToken) -> io::Result<()> {
        let socket = TcpListener::from_std(self.socket.try_clone()?)?;
        let connections = Arc::new(Connections {
            builder: self.connection_builder(),
            state: Arc::clone(&state),
            head_timeout: Duration::from(self.settings.head_timeout_ms),
        });
        let graceful = GracefulShutdown::new();
        let overloaded = Arc::clone(&state);
        let service = ServiceBuilder::new()
            .map_result(move |result| Ok::<_, BoxError>(shed(&overloaded, result)))
            .load_shed()
            .layer(tower::limit::GlobalConcurrencyLimitLayer::new(self.settings.in_flight))
            .service(CallerService::new(state));
        let room = Arc::new(Semaphore::new(self.settings.connections));
        loop {
            let accepted = tokio::select! {
                accepted = accept(&socket, &room) => accepted,
                () = stop.cancelled() => break,
            };
            let Ok(Accepted { stream, room: place }) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let service = service.clone().boxed_clone();
            let connections = Arc::clone(&connections);
            let watcher = graceful.watcher();
            tokio::spawn(async move {
                connections.serve(stream, service, watcher).await;
                drop(place);
            });
        }
        // Both handles go, so that a connection attempt is refused at once and the caller asks another host.
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
            .max_concurrent_streams(STREAMS_PER_CONNECTION)
            .max_pending_accept_reset_streams(PENDING_RESETS)
            .max_header_list_size(u32::try_from(head_bytes).unwrap_or(u32::MAX));
        builder
    }
}

/// A connection with its place among those that are served.
struct Accepted {
    stream: TcpStream,
    room: OwnedSemaphorePermit,
}

async fn accept(socket: &TcpListener, room: &Arc<Semaphore>) -> io::Result<Accepted> {
    let room = Arc::clone(room).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = socket.accept().await?;
    Ok(Accepted { stream, room })
}

/// The library panics below this.
const MIN_HTTP1_BUFFER_BYTES: usize = 8_192;

type BoxedService = BoxCloneService<Request<Incoming>, Response<AnswerBody>, BoxError>;

type CallerResult = Result<Response<AnswerBody>, BoxError>;

/// Turns the limiter's error into an ordinary refusal: the request did not run.
fn shed(state: &CallerState, result: CallerResult) -> Response<AnswerBody> {
    result.unwrap_or_else(|_| {
        let request_id = state.next_id();
        let refusal = Refusal::not_run(RefusalReason::Overloaded).retry_after(Millis(1_000));
        state.dispatcher.observer.refused_early(request_id, refusal);
        refusal.into_response(request_id)
    })
}

/// What each connection needs.
struct Connections {
    builder: auto::Builder<TokioExecutor>,
    state: Arc<CallerState>,
    head_timeout: Duration,
}

impl Connections {
    async fn serve(&self, stream: TcpStream, service: BoxedService, watcher: Watcher) {
        // Tokens are small and must not wait for a full segment.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        match first_bytes(&stream, self.head_timeout).await {
            Ok(()) => {}
            Err(FirstBytesError::TooSlow) => return self.note(ConnectionFault::HeadTooSlow),
            // The caller, or a probe of the balancer, went away without asking for anything.
            Err(FirstBytesError::Ended(_)) => return,
        }
        let ended = self.watched(stream, service, watcher).await;
        // What a caller whose connection broke was owed is released by the request's task.
        if let Some(fault) = ended.err().and_then(|error| ConnectionFault::of(&*error)) {
            self.note(fault);
        }
    }

    fn watched(
        &self,
        stream: TcpStream,
        service: BoxedService,
        watcher: Watcher,
    ) -> BoxFuture<'static, Result<(), BoxError>> {
        let service = TowerToHyperService::new(service);
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        Box::pin(watcher.watch(connection.into_owned()))
    }

    fn note(&self, fault: ConnectionFault) {
        self.state.dispatcher.observer.connection_ended(fault);
    }
}
