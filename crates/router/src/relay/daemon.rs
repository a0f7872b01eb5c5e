//! Puts a relaying daemon together and takes it down again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::relay::audience::Reach;
use hibiscusvale_core::relay::routes::{RouteTable, TableVersion};
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::budget::{self, UNKNOWN_DAEMONS};
use super::callers;
use super::edge::{DaemonEntry, EvidenceStore, Register, TableSource, Wire};
use super::engine_hub::EngineHub;
use super::exchange;
use super::freshness::Freshness;
use super::limits::LimitHub;
use super::metrics::RelayMetrics;
use super::news::News;
use super::orders::Orders;
use super::peers::Peers;
use super::persistence;
use super::quarantine::QuarantineHub;
use super::quotas::QuotaHub;
use super::settings::RelaySettings;
use super::state::RelayState;
use super::status::{self, Purpose};
use super::watch;
use crate::backend::BackendHttp;
use crate::daemon::StartError;
use crate::directory::Directory;
use crate::dispatch::{Asks, PlainHub};
use crate::external::{HostList, Log as RecordLog};
use crate::logging::Log;
use crate::settings::SettingsError;

/// Time between readiness failing and the listener closing: the balancer asks once a second and believes the second
/// miss.
const BALANCER_MS: Millis = Millis(2_500);

/// Kept back of the grace period: the process has to be gone before it is killed.
const END_RESERVE: Duration = Duration::from_millis(400);

/// A server of the region takes a connection within some milliseconds. An opening packet that was lost is sent again
/// after a second, too late for the targets of pages; another server is tried before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between looks at what is still open while stopping.
const STOP_POLL: Duration = Duration::from_millis(20);

/// The systems around a relaying daemon.
#[derive(Clone, Debug)]
pub struct RelayEdges {
    /// How callers and servers speak.
    pub wire: Arc<dyn Wire>,
    /// Where routes are published.
    pub tables: Arc<dyn TableSource>,
    /// Where the daemons find each other.
    pub register: Arc<dyn Register>,
    /// Where the lease over orders is kept.
    pub log: Arc<dyn RecordLog>,
    /// Where servers are listed.
    pub servers: Arc<dyn HostList>,
    /// Where evidence against requests outlives the daemons.
    pub evidence: Arc<dyn EvidenceStore>,
}

/// A running daemon.
#[derive(Debug)]
pub struct RelayDaemon {
    state: Arc<RelayState>,
    /// Callers, servers, and the schedulers' timers.
    traffic: Runtime,
    /// Routes, servers, other daemons, orders: a burst of callers cannot delay them.
    control: Runtime,
    stop_listening: CancellationToken,
    serving: JoinHandle<io::Result<()>>,
    settings: RelaySettings,
    callers_address: SocketAddr,
}

impl RelayDaemon {
    /// Starts a daemon on `settings`, meeting the world through `edges`.
    ///
    /// # Errors
    ///
    /// [`StartError`].
    pub fn start(
        settings: RelaySettings,
        edges: RelayEdges,
        incarnation: Incarnation,
    ) -> Result<Self, StartError> {
        let log = Log::stdout(settings.observe.log_level)?;
        let traffic = runtime("traffic")?;
        let control = runtime("control")?;
        let (asks, asked) = Asks::channel();
        let (quotas, outgoing) = QuotaHub::new(settings.host.id.clone());
        let (quarantine, evidence_due) = QuarantineHub::new(incarnation);
        let state = Arc::new(RelayState {
            wire: edges.wire,
            table: ArcSwap::from_pointee(RouteTable::default()),
            directory: Arc::new(Directory::default()),
            http: BackendHttp::with_connect_timeout(CONNECT_TIMEOUT),
            plain_hub: PlainHub::new(
                budget::plain(&settings.bounds, UNKNOWN_DAEMONS),
                incarnation.seed(),
                asks.clone(),
            ),
            engine_hub: EngineHub::new(
                budget::engines(&settings.bounds, UNKNOWN_DAEMONS, Reach::default()),
                &settings.host,
                incarnation.seed(),
                asks,
            ),
            freshness: Freshness::default(),
            patience: Mutex::default(),
            news: News::default(),
            handed_on: Mutex::default(),
            peers: Peers::new(&settings.host, settings.listen.peers, &settings.peers.seeds),
            quotas,
            limits: LimitHub::default(),
            quarantine,
            bounds: Mutex::new(settings.bounds.clone()),
            incarnation,
            sequence: AtomicU64::new(0),
            open: AtomicU64::new(0),
            servers_adopted: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            log,
            metrics: RelayMetrics::new()?,
        });
        state.log.changed("started", &incarnation);
        let address = settings.listen.callers;
        let socket = callers::bind(address).map_err(|source| StartError::Listen { address, source })?;
        let callers_address = socket.local_addr().map_err(|source| StartError::Listen { address, source })?;
        let connections = settings.capacity.caller_connections();
        let stop_listening = CancellationToken::new();
        let serving =
            traffic.spawn(callers::serve(Arc::clone(&state), socket, connections, stop_listening.clone()));
        state.metrics.observe(&state);
        traffic.spawn(status::serve(Arc::clone(&state), settings.listen.readiness, Purpose::Readiness));
        if let Some(address) = settings.listen.metrics {
            traffic.spawn(status::serve(Arc::clone(&state), address, Purpose::Metrics));
        }
        let host = settings.host.id.clone();
        control.spawn(watch::follow_table(edges.tables, host.clone(), Arc::clone(&state)));
        control.spawn(watch::follow_servers(edges.servers, host, Arc::clone(&state)));
        let own = DaemonEntry {
            host: settings.host.id.clone(),
            data_centre: settings.host.data_centre.clone(),
            peer_address: settings.listen.peers,
        };
        let telling = exchange::run(own.peer_address, own.host.clone(), asked, outgoing, Arc::clone(&state));
        let log = state.log.clone();
        control.spawn(async move {
            if let Err(error) = telling.await {
                log.fault("daemons are not told anything: the address for them cannot be bound", &error);
            }
        });
        control.spawn(exchange::follow_register(
            edges.register,
            own,
            settings.peers.first_start,
            Arc::clone(&state),
        ));
        control.spawn(persistence::run(edges.evidence, evidence_due, Arc::clone(&state)));
        // One lease for all engines of the region.
        match settings.host.region.as_str().parse() {
            Ok(scope) => {
                let host = settings.host.id.clone();
                control.spawn(Orders::new(edges.log, Arc::clone(&state), host, scope).run());
            }
            Err(error) => {
                state.log.fault("no orders are given: the region's name is none of a lease", &error);
            }
        }
        let timers = Arc::clone(&state);
        traffic.spawn(
            async move { tokio::join!(timers.plain_hub.run_timers(), timers.engine_hub.run_timers()) },
        );
        Ok(Self { state, traffic, control, stop_listening, serving, settings, callers_address })
    }

    /// Where callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Version of the routes in force.
    pub fn routes_version(&self) -> TableVersion {
        self.state.table.load().version()
    }

    /// The settings in force.
    pub fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    /// Takes settings that were read again. Bounds come into force at once, addresses of this daemon's own with its
    /// next start. A file that cannot be used, or read half written, changes nothing.
    pub fn reload(&mut self, read: Result<RelaySettings, SettingsError>) {
        match read {
            Ok(settings) if settings == self.settings => {}
            Ok(settings) => {
                *self.state.bounds.lock() = settings.bounds.clone();
                self.state.share_budget();
                self.state.configure_quotas();
                self.state.log.changed("settings reloaded", &settings.host.id);
                self.settings = settings;
            }
            Err(error) => self.state.log.fault("settings not reloaded", &error),
        }
    }

    /// Stops gracefully: readiness fails first, new callers are served until the balancer has noticed, then what is
    /// open ends in its own time, within the grace period.
    pub fn stop(self) {
        let Self { state, traffic, control, stop_listening, serving, settings, .. } = self;
        state.log.changed("stopping", &state.open.load(Ordering::Relaxed));
        state.stopping.store(true, Ordering::Relaxed);
        let grace = settings.bounds.grace().saturating_sub(END_RESERVE);
        let ended = traffic.block_on(async {
            tokio::time::timeout(grace, async {
                tokio::time::sleep(Duration::from(BALANCER_MS)).await;
                stop_listening.cancel();
                let _ = serving.await;
                while state.open.load(Ordering::Relaxed) > 0 {
                    tokio::time::sleep(STOP_POLL).await;
                }
            })
            .await
        });
        let left = state.open.load(Ordering::Relaxed);
        state.log.changed(if ended.is_ok() { "stopped" } else { "stopped with open requests" }, &left);
        state.log.flush();
        control.shutdown_background();
        traffic.shutdown_background();
    }
}

fn runtime(name: &str) -> Result<Runtime, StartError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(1).thread_name(name).enable_all().build().map_err(StartError::Thread)
}
