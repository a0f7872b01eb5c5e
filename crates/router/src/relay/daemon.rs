//! Starts and stops a daemon in relay mode.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::relay::routes::{RouteTable, TableVersion};
use hibiscusvale_core::relay::stopping::StopDeadline;
use hibiscusvale_core::units::{BytesPerSecond, Micros, Millis, MonoTime};
use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::budget::{self, ASSUMED_DAEMONS};
use super::callers;
use super::endless;
use super::engine_pools::EnginePools;
use super::exchange;
use super::freshness::Freshness;
use super::host_load::{self, SharedHostLoad};
use super::interfaces::{
    DaemonEntry, EvidenceStore, Register, ServerSource, TableSource, VersionStore, Wire,
};
use super::leaving_checks::{self, SharedLeavingChecks};
use super::limits::StatedLimits;
use super::memory_limit::MemoryLimit;
use super::metrics::RelayMetrics;
use super::orders::Orders;
use super::organisations::OrganisationOutcomes;
use super::peers::Peers;
use super::persistence;
use super::quarantine::SharedQuarantine;
use super::quotas::QuotaAccounts;
use super::reach::{self, SharedReach};
use super::server_list;
use super::settings::{CapacitySettings, RelaySettings};
use super::shares::SharedShares;
use super::state::RelayState;
use super::statements::SharedStatements;
use super::status::{self, Purpose};
use super::stop::Stop;
use super::store_traffic::StoreTraffic;
use super::stream_versions::{self, SharedStreamVersions};
use super::uneven_servers::UnevenServices;
use super::watch;
use crate::backend::{BackendHttp, HttpSettings};
use crate::clock;
use crate::daemon::StartError;
use crate::directory::Directory;
use crate::dispatch::{LoanRequestSender, PlainSchedulers};
use crate::external::Log as RecordLog;
use crate::link_meter::LinkMeter;
use crate::logging::Log;
use crate::settings::SettingsError;

/// Delay between readiness failing and the listener closing. The load balancer probes once a second and acts
/// on the second failed probe.
const DRAIN_DELAY_MS: Millis = Millis(2_500);

/// Part of the grace period kept in reserve: the process must exit before it is killed.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// Time in which the last answers reach their callers before the process ends.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// Time for the tasks to be dropped when the process ends. It is part of [`EXIT_RESERVE`].
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(100);

/// Connect timeout to servers. A server in the region accepts within milliseconds. A lost SYN is
/// retransmitted only after a second, too late for page latency targets, so another server is tried before
/// that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest read buffer of a connection to a server where memory is limited. By default buffers grow to 400 KB, which with
/// a hundred streams is more than a small host has.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Interval at which open requests are checked while stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Adapters for the external systems of a daemon.
#[derive(Clone, Debug)]
pub struct RelayAdapters {
    /// Protocol of callers and backend servers.
    pub wire: Arc<dyn Wire>,
    /// Source of the route table.
    pub tables: Arc<dyn TableSource>,
    /// Register in which daemons discover each other.
    pub register: Arc<dyn Register>,
    /// Log that stores the lease for engine orders.
    pub log: Arc<dyn RecordLog>,
    /// Source of the server list.
    pub servers: Arc<dyn ServerSource>,
    /// Store for crash evidence that outlives the daemons.
    pub evidence: Arc<dyn EvidenceStore>,
    /// Store for the software versions of services that outlives the daemons.
    pub versions: Arc<dyn VersionStore>,
    /// Totals of the calls that these adapters make to the store.
    pub store_traffic: Arc<StoreTraffic>,
}

/// A running daemon in relay mode.
#[derive(Debug)]
pub struct RelayDaemon {
    state: Arc<RelayState>,
    /// Runtime for callers, backend servers and scheduler timers.
    traffic: Runtime,
    /// Runtime for routes, server list, other daemons and orders; separate, so that a burst of callers cannot
    /// delay them.
    control: Runtime,
    stop_listening: CancellationToken,
    serving: JoinHandle<io::Result<()>>,
    settings: RelaySettings,
    callers_address: SocketAddr,
}

impl RelayDaemon {
    /// Starts a daemon with `settings` and the given adapters.
    ///
    /// # Errors
    ///
    /// [`StartError`].
    pub fn start(
        settings: RelaySettings,
        adapters: RelayAdapters,
        incarnation: Incarnation,
    ) -> Result<Self, StartError> {
        let log = Log::stdout(settings.observe.log_level)?;
        let traffic = runtime("traffic")?;
        let control = runtime("control")?;
        let (loan_sender, loan_requests) = LoanRequestSender::channel();
        let (quotas, outgoing) = QuotaAccounts::new(settings.host.id.clone());
        let is_first = settings.peers.first_start;
        let initial_plain = budget::plain(&settings.bounds, ASSUMED_DAEMONS);
        let seed = incarnation.seed();
        let (quarantine, evidence_due) = SharedQuarantine::new(incarnation);
        let meter = Arc::<LinkMeter>::default();
        let state = Arc::new(RelayState {
            wire: adapters.wire,
            table: ArcSwap::from_pointee(RouteTable::default()),
            directory: Arc::new(Directory::default()),
            http: backend_http(&settings.capacity, Arc::clone(&meter)),
            plain_schedulers: PlainSchedulers::new(initial_plain, &settings.host, seed, loan_sender.clone()),
            engine_pools: EnginePools::new(
                budget::initial_engines(&settings),
                &settings.host,
                seed,
                loan_sender,
            ),
            freshness: Freshness::default(),
            caller_waits: Mutex::default(),
            memory: MemoryLimit::new(settings.capacity.held_bytes_max()),
            server_list: Mutex::default(),
            transfer_budget: Mutex::default(),
            peers: Peers::new(&settings),
            quotas,
            shares: SharedShares::default(),
            uneven_services: UnevenServices::default(),
            organisations: OrganisationOutcomes::default(),
            limits: StatedLimits::default(),
            statements: SharedStatements::default(),
            leaving_checks: SharedLeavingChecks::default(),
            stream_versions: SharedStreamVersions::new(is_first, adapters.versions, &adapters.log),
            reach: SharedReach::default(),
            quarantine,
            bounds: Mutex::new(settings.bounds.clone()),
            scheduling: Mutex::new(settings.scheduling),
            incarnation,
            sequence: AtomicU64::new(0),
            open: AtomicU64::new(0),
            servers_adopted: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stop: Stop::default(),
            log,
            meter,
            admission: Arc::default(),
            host_load: SharedHostLoad::default(),
            metrics: RelayMetrics::new()?,
        });
        state.log.state_changed("started", &incarnation);
        let address = settings.listen.callers;
        let socket = callers::bind(address).map_err(|source| StartError::Listen { address, source })?;
        let callers_address = socket.local_addr().map_err(|source| StartError::Listen { address, source })?;
        let connections = settings.capacity.caller_connections();
        let stop_listening = CancellationToken::new();
        let serving =
            traffic.spawn(callers::serve(Arc::clone(&state), socket, connections, stop_listening.clone()));
        state.metrics.observe(&state);
        state.metrics.observe_store(&adapters.store_traffic);
        traffic.spawn(status::serve(Arc::clone(&state), settings.listen.readiness, Purpose::Readiness));
        if let Some(address) = settings.listen.metrics {
            traffic.spawn(status::serve(Arc::clone(&state), address, Purpose::Metrics));
        }
        let host = settings.host.id.clone();
        control.spawn(watch::follow_table(adapters.tables, host.clone(), Arc::clone(&state)));
        control.spawn(server_list::follow_servers(adapters.servers, host, Arc::clone(&state)));
        let own = own_entry(&settings);
        let messaging = exchange::run(
            own.peer_address,
            own.host.clone(),
            loan_requests,
            outgoing,
            traffic.handle().clone(),
            Arc::clone(&state),
        );
        control.spawn(log_failure(messaging, state.log.clone()));
        control.spawn(exchange::follow_register(
            adapters.register,
            own,
            settings.peers.first_start,
            Arc::clone(&state),
        ));
        control.spawn(reach::run_checks(Arc::clone(&state)));
        control.spawn(leaving_checks::run(Arc::clone(&state)));
        control.spawn(stream_versions::run_saves(Arc::clone(&state)));
        control.spawn(persistence::run(adapters.evidence, evidence_due, Arc::clone(&state)));
        start_orders(&control, adapters.log, &state, &settings);
        traffic.spawn(run_timers(Arc::clone(&state), settings.capacity.link_rate()));
        Ok(Self { state, traffic, control, stop_listening, serving, settings, callers_address })
    }

    /// Bound listen address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Whether the daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Number of other live daemons.
    pub fn live_peers(&self) -> u32 {
        self.state.peers.live()
    }

    /// Ends the daemon without completing its open requests, as a kill of its process would.
    pub fn abort(self) {
        let Self { traffic, control, .. } = self;
        control.shutdown_background();
        traffic.shutdown_background();
    }

    /// Version of the route table in force.
    pub fn routes_version(&self) -> TableVersion {
        self.state.table.load().version()
    }

    /// The settings in force.
    pub fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// Applies settings that were read again. Bounds take effect at once, listen addresses only at the next
    /// start. An unusable or partially written file changes nothing.
    pub fn reload(&mut self, read: Result<RelaySettings, SettingsError>) {
        match read {
            Ok(settings) if settings == self.settings => {}
            Ok(settings) => {
                *self.state.bounds.lock() = settings.bounds.clone();
                *self.state.scheduling.lock() = settings.scheduling;
                self.state.share_budget();
                self.state.configure_quotas();
                self.state.log.state_changed("settings reloaded", &settings.host.id);
                self.settings = settings;
            }
            Err(error) => self.state.log.fault("settings not reloaded", &error),
        }
    }

    /// Stops gracefully: readiness fails first, new callers are served until the balancer has noticed, then
    /// open requests run to their end, all within the grace period.
    pub fn stop(self) {
        let Self { state, traffic, control, stop_listening, serving, settings, .. } = self;
        state.log.state_changed("stopping", &state.open.load(Ordering::Relaxed));
        state.stopping.store(true, Ordering::Relaxed);
        let grace = settings.bounds.grace().saturating_sub(EXIT_RESERVE);
        state.stop.begin(deadline(clock::now(), grace));
        let ended = traffic.block_on(async {
            tokio::time::timeout(grace, async {
                tokio::time::sleep(Duration::from(DRAIN_DELAY_MS)).await;
                stop_listening.cancel();
                let _ = serving.await;
                while state.open.load(Ordering::Relaxed) > 0 {
                    tokio::time::sleep(STOP_POLL_INTERVAL).await;
                }
            })
            .await
        });
        let left = state.open.load(Ordering::Relaxed);
        state.log.state_changed(if ended.is_ok() { "stopped" } else { "stopped with open requests" }, &left);
        state.stop.end();
        control.shutdown_background();
        // Drops the tasks; each request that is still open writes its line.
        traffic.shutdown_timeout(SHUTDOWN_TIMEOUT);
        state.log.flush();
    }
}

/// When the answers of a process that ends `left` from now are due.
fn deadline(now_us: MonoTime, left: Duration) -> StopDeadline {
    let left = left.saturating_sub(ANSWER_RESERVE);
    StopDeadline { answers_due_us: now_us + Micros(u64::try_from(left.as_micros()).unwrap_or(u64::MAX)) }
}

/// Client for servers, with small read buffers where memory is limited.
fn backend_http(capacity: &CapacitySettings, meter: Arc<LinkMeter>) -> BackendHttp {
    let buffer_bytes = capacity.memory_mb.map(|_| READ_BUFFER_BYTES);
    BackendHttp::with_settings(HttpSettings { connect_timeout: CONNECT_TIMEOUT, buffer_bytes, meter })
}

/// Starts the orders to engines. One lease covers all engines of the region.
fn start_orders(
    control: &Runtime,
    log: Arc<dyn RecordLog>,
    state: &Arc<RelayState>,
    settings: &RelaySettings,
) {
    match settings.host.region.as_str().parse() {
        Ok(scope) => {
            let host = settings.host.id.clone();
            control.spawn(Orders::new(log, Arc::clone(state), host, scope).run());
        }
        Err(error) => {
            state
                .log
                .fault("role-change orders disabled: the region name is not a valid lease scope", &error);
        }
    }
}

async fn run_timers(state: Arc<RelayState>, link: Option<BytesPerSecond>) {
    tokio::join!(
        state.plain_schedulers.run_timers(),
        state.engine_pools.run_timers(),
        host_load::run(Arc::clone(&state), link),
        endless::run(Arc::clone(&state)),
    );
}

/// Entry of this daemon in the register.
fn own_entry(settings: &RelaySettings) -> DaemonEntry {
    DaemonEntry {
        host: settings.host.id.clone(),
        data_centre: settings.host.data_centre.clone(),
        peer_address: settings.listen.peers,
    }
}

async fn log_failure<Messaging>(messaging: Messaging, log: Log)
where
    Messaging: Future<Output = io::Result<()>>,
{
    if let Err(error) = messaging.await {
        log.fault("daemons are not told anything: the address for them cannot be bound", &error);
    }
}

fn runtime(name: &str) -> Result<Runtime, StartError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(1).thread_name(name).enable_all().build().map_err(StartError::Thread)
}
