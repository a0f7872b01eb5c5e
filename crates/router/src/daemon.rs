//! Puts a daemon together and takes it down again.
//!
//! Start order: edges, control services, listeners. Stop order: readiness fails first so that the balancer
//! looks elsewhere, then the listener closes and streams end in their own time, then control stops.

use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::sched::{PlainSettings, SchedulerSettings, ShiftSettings};
use hibiscusvale_core::ticket::TicketSettings;
use hibiscusvale_core::units::Millis;
use rand::RngExt;
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::backend::{BackendHttp, EngineClient, HttpEngineClient, HttpPlainClient, Owner, PlainClient};
use crate::callers::{BodyReader, CallerState, Listener, ListenerSettings, PartnerTokens};
use crate::clock;
use crate::config::PublishKeyError;
use crate::control::{Control, ControlParts, RunningControl};
use crate::counted_log::CountedLog;
use crate::directory::Directory;
use crate::dispatch::{Demand, Dispatcher, Hub, LoanRequestSender, Observer, PlainHub, Releases};
use crate::external::{HostList, HttpHostList, HttpLog, HttpLogSettings, HttpWeightStore, Log, WeightStore};
use crate::kernel::{KernelError, ServiceName};
use crate::leases::LeaseParts;
use crate::logging::{self, LoggingError};
use crate::metrics::{Metrics, MetricsError};
use crate::metrics_reporter::MetricsReporter;
use crate::operators::{OperatorSources, Readiness, RecentRequests};
use crate::peer::{LinkError, NngLink};
use crate::settings::Settings;
use crate::slot_route::SlotRoute;
use crate::tickets::Tickets;
use crate::watcher::WatcherParts;

/// A daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The system gave no thread.
    #[error("could not start a thread")]
    Thread(#[source] io::Error),
    /// An address for callers or operators could not be bound.
    #[error("could not listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The link to other daemons could not be started.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The services could not be put together.
    #[error("could not put the services together")]
    Kernel(#[from] KernelError),
    /// A partner's key in the settings is none.
    #[error(transparent)]
    PublishKey(#[from] PublishKeyError),
    /// Logging could not be set up.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// Metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// The systems around a daemon.
#[derive(Clone, Debug)]
pub struct Edges {
    /// Model engines.
    pub engines: Arc<dyn EngineClient>,
    /// Plain services.
    pub plain_services: Arc<dyn PlainClient>,
    /// The platform's host list.
    pub hosts: Arc<dyn HostList>,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's weight store.
    pub weights: Arc<dyn WeightStore>,
}

impl Edges {
    /// The edges that the settings name, for the daemon life `incarnation`.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let http = BackendHttp::new();
        let owner = Owner { host: settings.host.id.clone(), incarnation };
        Self {
            engines: Arc::new(HttpEngineClient::new(http.clone(), owner)),
            plain_services: Arc::new(HttpPlainClient::new(http)),
            hosts: Arc::new(HttpHostList::new(settings.platform.hosts)),
            log: Arc::new(HttpLog::new(settings.platform.log, HttpLogSettings::default())),
            weights: Arc::new(HttpWeightStore::new(settings.platform.weights)),
        }
    }
}

/// The incarnation of a daemon that starts now.
pub fn new_incarnation() -> Incarnation {
    Incarnation::new(clock::unix_ms(), rand::rng().random())
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    callers_address: SocketAddr,
    operators_address: SocketAddr,
    readiness: Arc<Readiness>,
    stop_listening: CancellationToken,
    traffic: TrafficRuntime,
    serving: tokio::task::JoinHandle<io::Result<()>>,
    control: RunningControl,
    tasks: TaskTracker,
    releases: Arc<Releases>,
    grace_ms: Millis,
}

impl Daemon {
    /// Starts a daemon on `settings`, meeting the world through `edges`.
    ///
    /// # Errors
    ///
    /// [`StartError`].
    pub fn start(settings: &Settings, edges: Edges, incarnation: Incarnation) -> Result<Self, StartError> {
        let metrics = Metrics::new()?;
        let log = Arc::new(CountedLog::new(edges.log, metrics.clone()));
        let edges = Edges { log, ..edges };
        let log = logging::Log::stdout(settings.observe.log_level)?;
        let traffic = TrafficRuntime::new(settings.traffic.threads).map_err(StartError::Thread)?;
        let directory = Arc::new(Directory::default());
        let releases =
            Releases::new(Arc::clone(&edges.engines), Arc::clone(&directory), traffic.handle().clone());
        let releases = Arc::new(releases);
        let control = Control::start(ControlParts {
            settings,
            edges: &edges,
            incarnation,
            directory: &directory,
            metrics: &metrics,
            logging: &log,
        })?;
        let schedulers = Schedulers::new(settings, incarnation, &control, &directory, &releases);
        let watcher = schedulers.watcher(settings, &edges, &control, &directory, &releases, &metrics);
        let control = control.run(watcher)?;
        traffic.spawn(schedulers.clone().run_timers());
        traffic.spawn(Arc::clone(&releases).run());
        let observed = Observed::new(settings, &control, metrics, log);
        let operators_address = observed.serve(settings, incarnation, &control)?;
        let tasks = TaskTracker::new();
        control.publish_figures(MetricsReporter {
            usage: Arc::clone(&control.services.usage),
            members: Arc::clone(&control.services.members.view),
            membership_counts: Arc::clone(&control.services.members.counts),
            spread_counts: Arc::clone(&control.services.spread.counts),
            directory: Arc::clone(&directory),
            hub: Arc::clone(&schedulers.hub),
            tasks: tasks.clone(),
            link: Arc::clone(&control.services.link),
            metrics: observed.metrics.clone(),
        });
        let demand = Arc::new(Demand::default());
        control.order_engines(LeaseParts {
            host: settings.host.id.clone(),
            incarnation,
            data_centre: settings.host.data_centre.clone(),
            members: Arc::clone(&control.services.members.view),
            directory: Arc::clone(&directory),
            engines: Arc::clone(&edges.engines),
            log: edges.log,
            weights: edges.weights,
            demand: Arc::clone(&demand),
            spread: control.services.kernel.find(ServiceName::Spread)?,
            shift: ShiftSettings {
                hold_ms: settings.shift.hold_ms,
                cooldown_ms: settings.shift.cooldown_ms,
                ..ShiftSettings::default()
            },
        });
        let dispatcher = Dispatcher {
            engines: edges.engines,
            plain_services: edges.plain_services,
            directory,
            host: settings.host.id.clone(),
            http: BackendHttp::new(),
            hub: schedulers.hub,
            plain_hub: schedulers.plain_hub,
            stall_timeout_ms: settings.limits.stall_timeout_ms,
            demand,
            claims: control.services.claims.clone(),
            tickets: Tickets::new(settings.host.id.clone(), incarnation, TicketSettings::default()),
            tasks: tasks.clone(),
            runtime: traffic.handle().clone(),
            observer: Observer::new(observed.metrics, observed.log, observed.recent),
            spread: control.services.kernel.find(ServiceName::Spread)?,
        };
        let state = CallerState {
            tokens: PartnerTokens::new(&settings.partners),
            routes: settings.routes.clone(),
            bodies: BodyReader::new(settings.limits.clone(), settings.partners.keys()),
            dispatcher: Arc::new(dispatcher),
            config: Arc::clone(&control.services.config.state),
            incarnation,
            sequence: AtomicU64::new(0),
        };
        let listener = listen(settings)?;
        let address = settings.listen.callers;
        let callers_address = listener.address().map_err(|source| StartError::Listen { address, source })?;
        let stop_listening = CancellationToken::new();
        let serving = traffic.spawn(listener.serve(Arc::new(state), stop_listening.clone()));
        Ok(Self {
            callers_address,
            operators_address,
            readiness: observed.readiness,
            stop_listening,
            traffic,
            serving,
            control,
            tasks,
            releases,
            grace_ms: settings.traffic.ready_grace_ms,
        })
    }

    /// Where callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Where operators are served.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Where other daemons reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.control.services.link.local_address()
    }

    /// Waits until the daemon can serve.
    pub async fn ready(&self) {
        // The sender ends with the control thread only, and then nobody waits.
        let _ = self.control.is_ready.clone().wait_for(|ready| *ready).await;
        let _ = self.control.services.config.is_ready.clone().wait_for(|ready| *ready).await;
    }

    /// Calls `act` when another process is seen to run under this host's name. Two daemons of one name would
    /// answer each other's messages; the newer one stays.
    pub fn when_superseded<Act>(&self, act: Act)
    where
        Act: FnOnce() + Send + 'static,
    {
        let mut superseded = self.control.services.members.superseded.clone();
        self.traffic.spawn(async move {
            if superseded.wait_for(Option::is_some).await.is_ok() {
                act();
            }
        });
    }

    /// Stops gracefully: no request in flight is cut off. Returns when the last answer has ended and engine
    /// memory is released.
    pub fn stop(self) {
        let Self { readiness, stop_listening, traffic, serving, control, tasks, releases, grace_ms, .. } =
            self;
        readiness.start_draining();
        control.leave();
        traffic.block_on(async {
            // New work still arrives until the balancer has noticed that readiness fails.
            tokio::time::sleep(Duration::from(grace_ms)).await;
            stop_listening.cancel();
            let _ = serving.await;
            // Calls that may not be repeated run on although their callers have left.
            tasks.close();
            tasks.wait().await;
            while releases.unconfirmed() > 0 {
                tokio::time::sleep(RELEASE_POLL).await;
            }
        });
        control.stop();
        drop(traffic);
    }

    /// Ends at once, as a killed process would: connections break, nothing is released.
    pub fn kill(self) {
        drop(self.traffic);
        self.control.stop();
    }
}

/// The schedulers of this daemon.
#[derive(Clone, Debug)]
struct Schedulers {
    hub: Arc<Hub>,
    plain_hub: Arc<PlainHub>,
}

impl Schedulers {
    fn new(
        settings: &Settings,
        incarnation: Incarnation,
        control: &Control,
        directory: &Arc<Directory>,
        releases: &Arc<Releases>,
    ) -> Self {
        let route = SlotRoute {
            host: settings.host.id.clone(),
            incarnation,
            members: Arc::clone(&control.services.members.view),
            directory: Arc::clone(directory),
            link: Arc::<NngLink>::clone(&control.services.link),
            kernel: control.services.kernel.clone(),
        };
        // The incarnation is as good a seed as any, and it is in the log when a decision is to be replayed.
        let seed = incarnation.seed();
        let hub = Hub::new(SchedulerSettings::default(), seed, route, Arc::clone(releases));
        Self {
            hub: Arc::new(hub),
            plain_hub: Arc::new(PlainHub::new(PlainSettings::default(), seed, LoanRequestSender::default())),
        }
    }

    fn watcher(
        &self,
        settings: &Settings,
        edges: &Edges,
        control: &Control,
        directory: &Arc<Directory>,
        releases: &Arc<Releases>,
        metrics: &Metrics,
    ) -> WatcherParts {
        WatcherParts {
            host: settings.host.id.clone(),
            region: settings.host.region.clone(),
            members: Arc::clone(&control.services.members.view),
            directory: Arc::clone(directory),
            engines: Arc::clone(&edges.engines),
            link: Arc::<NngLink>::clone(&control.services.link),
            hub: Arc::clone(&self.hub),
            plain_hub: Arc::clone(&self.plain_hub),
            releases: Arc::clone(releases),
            metrics: metrics.clone(),
        }
    }

    async fn run_timers(self) {
        tokio::join!(self.hub.run_timers(), self.plain_hub.run_timers());
    }
}

/// What a daemon shows of itself.
#[derive(Debug)]
struct Observed {
    metrics: Metrics,
    log: logging::Log,
    recent: Arc<RecentRequests>,
    readiness: Arc<Readiness>,
}

impl Observed {
    fn new(settings: &Settings, control: &RunningControl, metrics: Metrics, log: logging::Log) -> Self {
        Self {
            metrics,
            log,
            recent: Arc::new(RecentRequests::new(settings.observe.recent_requests)),
            readiness: Arc::new(Readiness::new(control.services.config.is_ready.clone())),
        }
    }

    fn serve(
        &self,
        settings: &Settings,
        incarnation: Incarnation,
        control: &RunningControl,
    ) -> Result<SocketAddr, StartError> {
        let parts = OperatorSources {
            host: settings.host.clone(),
            incarnation,
            config: control.services.config.clone(),
            metrics: self.metrics.clone(),
            members: Arc::clone(&control.services.members.view),
            recent: Arc::clone(&self.recent),
            readiness: Arc::clone(&self.readiness),
        };
        control.serve_operators(settings.listen.operators, parts)
    }
}

/// The traffic threads. Dropped, they end in the background: a daemon may be dropped where waiting is not
/// allowed.
#[derive(Debug)]
struct TrafficRuntime(Option<Runtime>);

impl TrafficRuntime {
    fn new(threads: usize) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads.max(1))
            .thread_name("traffic")
            .enable_all()
            .build()?;
        Ok(Self(Some(runtime)))
    }
}

impl Deref for TrafficRuntime {
    type Target = Runtime;

    fn deref(&self) -> &Runtime {
        self.0.as_ref().expect("the runtime is there until the drop")
    }
}

impl Drop for TrafficRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Pause between looks at the releases under way while stopping.
const RELEASE_POLL: Duration = Duration::from_millis(20);

fn listen(settings: &Settings) -> Result<Listener, StartError> {
    let listener_settings = ListenerSettings {
        connections: settings.limits.connections,
        head_bytes: settings.limits.head_bytes,
        head_timeout_ms: settings.limits.head_timeout_ms,
        ..ListenerSettings::default()
    };
    let address = settings.listen.callers;
    Listener::bind(address, listener_settings).map_err(|source| StartError::Listen { address, source })
}
