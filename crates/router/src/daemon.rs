//! Startup and shutdown of a daemon.
//!
//! Startup order: clients of external systems, control services, listeners. Shutdown order: readiness fails
//! first so that the load balancer stops sending traffic, then the listener closes and open streams finish,
//! then the control services stop.

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
use crate::dispatch::{
    Demand, Dispatcher, LanguageScheduler, LoanRequestSender, Observer, PlainSchedulers, Releases,
};
use crate::external::{HostList, HttpHostList, HttpLog, HttpLogSettings, HttpWeightStore, Log, WeightStore};
use crate::leases::LeaseParts;
use crate::logging::{self, LoggingError};
use crate::metrics::{Metrics, MetricsError};
use crate::metrics_reporter::MetricsReporter;
use crate::operators::{OperatorSources, Readiness, RecentRequests};
use crate::peer::{LinkError, NngLink};
use crate::service_registry::{RegistryError, ServiceName};
use crate::settings::Settings;
use crate::slot_route::SlotRoute;
use crate::tickets::Tickets;
use crate::watcher::WatcherParts;

/// Error starting a daemon.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A thread could not be started.
    #[error("could not start a thread")]
    Thread(#[source] io::Error),
    /// An address for callers or operators could not be bound.
    #[error("could not listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The link to other daemons could not be started.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// A control service could not be registered or found.
    #[error("could not register the control services")]
    ServiceRegistry(#[from] RegistryError),
    /// A partner's key in the settings is invalid.
    #[error(transparent)]
    PublishKey(#[from] PublishKeyError),
    /// Logging could not be set up.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// Metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Clients of the systems that a daemon depends on.
#[derive(Clone, Debug)]
pub struct ExternalSystems {
    /// Client of the model engines.
    pub engines: Arc<dyn EngineClient>,
    /// Client of the plain services.
    pub plain_services: Arc<dyn PlainClient>,
    /// Client of the platform's host list.
    pub hosts: Arc<dyn HostList>,
    /// Client of the platform's log.
    pub log: Arc<dyn Log>,
    /// Client of the platform's weight store.
    pub weights: Arc<dyn WeightStore>,
}

impl ExternalSystems {
    /// Creates HTTP clients at the addresses in `settings`. Engines see `incarnation` as the owner of the
    /// memory that this daemon allocates.
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

/// Creates the incarnation of a daemon that starts now, from the wall clock and a random number.
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
    /// Starts a daemon with `settings` and the given clients of external systems.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be bound, a thread cannot be started, or a setting is invalid.
    pub fn start(
        settings: &Settings,
        external: ExternalSystems,
        incarnation: Incarnation,
    ) -> Result<Self, StartError> {
        let metrics = Metrics::new()?;
        let log = Arc::new(CountedLog::new(external.log, metrics.clone()));
        let external = ExternalSystems { log, ..external };
        let log = logging::Log::stdout(settings.observe.log_level)?;
        let traffic = TrafficRuntime::new(settings.traffic.threads).map_err(StartError::Thread)?;
        let directory = Arc::new(Directory::default());
        let releases =
            Releases::new(Arc::clone(&external.engines), Arc::clone(&directory), traffic.handle().clone());
        let releases = Arc::new(releases);
        let control = Control::start(ControlParts {
            settings,
            external: &external,
            incarnation,
            directory: &directory,
            metrics: &metrics,
            logging: &log,
        })?;
        let schedulers = Schedulers::new(settings, incarnation, &control, &directory, &releases);
        let watcher = schedulers.watcher(settings, &external, &control, &directory, &releases, &metrics);
        let control = control.run(watcher)?;
        traffic.spawn(schedulers.clone().run_timers());
        traffic.spawn(Arc::clone(&releases).run());
        let observability = Observability::new(settings, &control, metrics, log);
        let operators_address = observability.serve(settings, incarnation, &control)?;
        let tasks = TaskTracker::new();
        control.publish_figures(MetricsReporter {
            usage: Arc::clone(&control.services.usage),
            members: Arc::clone(&control.services.members.view),
            membership_counts: Arc::clone(&control.services.members.counts),
            spread_counts: Arc::clone(&control.services.spread.counts),
            directory: Arc::clone(&directory),
            language_scheduler: Arc::clone(&schedulers.language_scheduler),
            tasks: tasks.clone(),
            link: Arc::clone(&control.services.link),
            metrics: observability.metrics.clone(),
        });
        let demand = Arc::new(Demand::default());
        control.start_lease_service(LeaseParts {
            host: settings.host.id.clone(),
            incarnation,
            data_centre: settings.host.data_centre.clone(),
            members: Arc::clone(&control.services.members.view),
            directory: Arc::clone(&directory),
            engines: Arc::clone(&external.engines),
            log: external.log,
            weights: external.weights,
            demand: Arc::clone(&demand),
            spread: control.services.registry.find(ServiceName::Spread)?,
            shift: ShiftSettings {
                hold_ms: settings.shift.hold_ms,
                cooldown_ms: settings.shift.cooldown_ms,
                ..ShiftSettings::default()
            },
        });
        let dispatcher = Dispatcher {
            engines: external.engines,
            plain_services: external.plain_services,
            directory,
            host: settings.host.id.clone(),
            http: BackendHttp::new(),
            language_scheduler: schedulers.language_scheduler,
            plain_schedulers: schedulers.plain_schedulers,
            stall_timeout_ms: settings.limits.stall_timeout_ms,
            demand,
            claims: control.services.claims.clone(),
            tickets: Tickets::new(settings.host.id.clone(), incarnation, TicketSettings::default()),
            tasks: tasks.clone(),
            runtime: traffic.handle().clone(),
            observer: Observer::new(observability.metrics, observability.log, observability.recent),
            spread: control.services.registry.find(ServiceName::Spread)?,
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
            readiness: observability.readiness,
            stop_listening,
            traffic,
            serving,
            control,
            tasks,
            releases,
            grace_ms: settings.traffic.ready_grace_ms,
        })
    }

    /// Bound address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Bound address for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Bound address for other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        self.control.services.link.local_address()
    }

    /// Waits until the daemon is ready to serve.
    pub async fn ready(&self) {
        // The sender is dropped only when the control thread stops, and then nothing waits for readiness.
        let _ = self.control.is_ready.clone().wait_for(|ready| *ready).await;
        let _ = self.control.services.config.is_ready.clone().wait_for(|ready| *ready).await;
    }

    /// Calls `act` when another process is found running under this host's name. Two daemons with the same name
    /// would answer each other's messages, so the newer one keeps running.
    pub fn on_superseded<Act>(&self, act: Act)
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

    /// Shuts down gracefully without interrupting requests in flight. Returns once all responses have ended and
    /// engine memory is released.
    pub fn stop(self) {
        let Self { readiness, stop_listening, traffic, serving, control, tasks, releases, grace_ms, .. } =
            self;
        readiness.start_draining();
        control.leave();
        traffic.block_on(async {
            // New requests arrive until the load balancer has noticed the failed readiness check.
            tokio::time::sleep(Duration::from(grace_ms)).await;
            stop_listening.cancel();
            let _ = serving.await;
            // Requests that must not be repeated run to completion even after their callers have disconnected.
            tasks.close();
            tasks.wait().await;
            while releases.unconfirmed() > 0 {
                tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
            }
        });
        control.stop();
        drop(traffic);
    }

    /// Stops immediately, as a killed process would: connections are closed and engine memory is not released.
    pub fn kill(self) {
        drop(self.traffic);
        self.control.stop();
    }
}

/// The schedulers of this daemon.
#[derive(Clone, Debug)]
struct Schedulers {
    language_scheduler: Arc<LanguageScheduler>,
    plain_schedulers: Arc<PlainSchedulers>,
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
            registry: control.services.registry.clone(),
        };
        // The incarnation is logged, so decisions can be replayed from this seed.
        let seed = incarnation.seed();
        let scheduler_settings =
            SchedulerSettings { late_wait_ms: settings.limits.late_wait_ms, ..SchedulerSettings::default() };
        let language_scheduler =
            LanguageScheduler::new(scheduler_settings, seed, route, Arc::clone(releases));
        Self {
            language_scheduler: Arc::new(language_scheduler),
            plain_schedulers: Arc::new(PlainSchedulers::new(
                PlainSettings::default(),
                &settings.host,
                seed,
                LoanRequestSender::default(),
            )),
        }
    }

    fn watcher(
        &self,
        settings: &Settings,
        external: &ExternalSystems,
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
            engines: Arc::clone(&external.engines),
            link: Arc::<NngLink>::clone(&control.services.link),
            language_scheduler: Arc::clone(&self.language_scheduler),
            plain_schedulers: Arc::clone(&self.plain_schedulers),
            releases: Arc::clone(releases),
            metrics: metrics.clone(),
        }
    }

    async fn run_timers(self) {
        tokio::join!(self.language_scheduler.run_timers(), self.plain_schedulers.run_timers());
    }
}

/// Logs, metrics, recent requests and readiness of a daemon.
#[derive(Debug)]
struct Observability {
    metrics: Metrics,
    log: logging::Log,
    recent: Arc<RecentRequests>,
    readiness: Arc<Readiness>,
}

impl Observability {
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

/// Runtime of the traffic threads. Dropping it shuts it down in the background, since a daemon may be dropped
/// in a context where blocking is not allowed.
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
        self.0.as_ref().expect("the runtime is taken only in drop")
    }
}

impl Drop for TrafficRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Interval at which shutdown polls for pending releases.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
