//! The control plane of a daemon: its services, their inboxes, and the thread they share.
//!
//! Control state lives on a dedicated thread, so that traffic bursts do not delay heartbeats and the services
//! need no locks among themselves.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;

use arc_swap::ArcSwap;
use hibiscusvale_core::claim::ClaimSettings;
use hibiscusvale_core::config::CheckpointKey;
use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::membership::{MemberRecord, MembershipSettings};
use hibiscusvale_core::meter::ControlUsage;
use hibiscusvale_core::spread::SpreadSettings;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::claims::{self, ClaimsCommand, ClaimsHandle};
use crate::config::{ConfigHandle, ConfigParts, ConfigService, publisher_keys};
use crate::daemon::{ExternalSystems, StartError};
use crate::directory::Directory;
use crate::dispatch::{LanguageScheduler, PlainSchedulers};
use crate::inbound;
use crate::leases::{LeaseParts, LeaseService};
use crate::listing_service::{ListingParts, ListingRequest, ListingService};
use crate::logging::Log;
use crate::member_log;
use crate::membership::{MembershipHandle, MembershipRequest, MembershipService};
use crate::meter::MeterService;
use crate::metrics::Metrics;
use crate::metrics_reporter::MetricsReporter;
use crate::operators::{OperatorListener, OperatorSources};
use crate::peer::{LinkSettings, NngLink};
use crate::server_status;
use crate::service_registry::{INBOX_CAPACITY, ServiceName, ServiceRegistry};
use crate::settings::Settings;
use crate::spread::{ConfigFeed, SpreadHandle, SpreadParts, SpreadService};
use crate::watcher::{WatcherCommand, WatcherParts, WatcherService};

/// Name of the control thread; the meter counts its CPU time as control.
pub const CONTROL_THREAD: &str = "control";

/// Dependencies of the control plane.
#[derive(Clone, Copy, Debug)]
pub struct ControlParts<'a> {
    /// Settings of the daemon.
    pub settings: &'a Settings,
    /// Clients of the external systems.
    pub external: &'a ExternalSystems,
    /// Incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Backend servers known to this daemon.
    pub directory: &'a Arc<Directory>,
    /// Metrics.
    pub metrics: &'a Metrics,
    /// Log output.
    pub logging: &'a Log,
}

/// The schedulers. They are created after the control services that they depend on.
#[derive(Debug)]
pub struct SharedSchedulers {
    /// Scheduler of language requests.
    pub language: Arc<LanguageScheduler>,
    /// Scheduler of requests to plain services.
    pub plain: Arc<PlainSchedulers>,
}

/// Handles to the control services.
#[derive(Clone, Debug)]
pub struct Services {
    /// Registry of the service inboxes.
    pub registry: ServiceRegistry,
    /// Link to other daemons.
    pub link: Arc<NngLink>,
    /// Membership.
    pub members: MembershipHandle,
    /// Server statuses and load summaries.
    pub spread: SpreadHandle,
    /// Configuration in force.
    pub config: ConfigHandle,
    /// Claims on idempotency keys.
    pub claims: ClaimsHandle,
    /// Resource usage of the control plane.
    pub usage: Arc<ArcSwap<ControlUsage>>,
}

/// The control plane before its thread is started.
#[derive(Debug)]
pub struct Control {
    /// Handles to the control services.
    pub services: Services,
    stop: CancellationToken,
    runtime: Runtime,
    schedulers: Arc<OnceLock<SharedSchedulers>>,
}

impl Control {
    /// Starts the services that need no scheduler.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be bound, a partner's key is invalid, or a thread cannot be started.
    pub fn start(parts: ControlParts<'_>) -> Result<Self, StartError> {
        let ControlParts { settings, external, incarnation, directory, metrics, logging } = parts;
        let runtime = Builder::new_current_thread().enable_all().build().map_err(StartError::Thread)?;
        let registry = ServiceRegistry::default();
        let schedulers = Arc::new(OnceLock::new());
        let stop = CancellationToken::new();
        let inbound = inbound::service_dispatcher(registry.clone(), Arc::clone(&schedulers));
        let link_settings =
            LinkSettings::new(settings.host.id.clone(), settings.listen.peers, settings.peers.key.into());
        let link = NngLink::start(link_settings, incarnation, inbound)?;
        let entered = runtime.enter();
        let members = start_membership(&registry, settings, incarnation, &link)?;
        let (feed, config_inbox) = mpsc::channel(INBOX_CAPACITY);
        let spread = start_spread(&registry, settings, incarnation, &link, &members, feed)?;
        let config = ConfigParts {
            settings: settings.config.clone(),
            host: settings.host.id.clone(),
            keys: publisher_keys(settings)?,
            checkpoint_key: CheckpointKey::derive(settings.peers.key.bytes()),
            log: Arc::clone(&external.log),
            members: Arc::clone(&members.view),
            spread: Some(registry.find(ServiceName::Spread)?),
            logging: logging.clone(),
            metrics: metrics.clone(),
        };
        let (service, config) = ConfigService::new(config);
        tokio::spawn(service.run(config_inbox));
        let claims = claims::start(
            &registry,
            settings.host.id.clone(),
            incarnation,
            ClaimSettings::default(),
            Arc::clone(&external.log),
            Arc::<NngLink>::clone(&link),
            stop.clone(),
        )?;
        tokio::spawn(member_log::follow(members.clone(), logging.clone()));
        tokio::spawn(forward_members(registry.find(ServiceName::Claims)?, members.clone()));
        let (meter, usage) = MeterService::new(Arc::clone(&link));
        tokio::spawn(meter.run());
        let listing = ListingParts {
            host: settings.host.id.clone(),
            data_centre: settings.host.data_centre.clone(),
            region: settings.host.region.clone(),
            hosts: Arc::clone(&external.hosts),
            directory: Arc::clone(directory),
            members: Arc::clone(&members.view),
            link: Arc::<NngLink>::clone(&link),
        };
        let listing_inbox = registry.register::<ListingRequest>(ServiceName::Directory)?;
        tokio::spawn(ListingService::run(listing, listing_inbox));
        tokio::spawn(forward_listed_hosts(registry.find(ServiceName::Membership)?, Arc::clone(directory)));
        drop(entered);
        let services = Services { registry, link, members, spread, config, claims, usage };
        Ok(Self { services, stop, runtime, schedulers })
    }

    /// Starts the watcher service and runs all control services on the control thread.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the thread cannot be started.
    pub fn run(self, parts: WatcherParts) -> Result<RunningControl, StartError> {
        let Self { services, stop, runtime, schedulers } = self;
        let inbox = services.registry.register::<WatcherCommand>(ServiceName::Watcher)?;
        let _ = schedulers.set(SharedSchedulers {
            language: Arc::clone(&parts.language_scheduler),
            plain: Arc::clone(&parts.plain_schedulers),
        });
        let directory = Arc::clone(&parts.directory);
        let (ready, is_ready) = watch::channel(false);
        runtime.spawn(WatcherService::run(parts, inbox, services.members.changes.clone(), ready));
        let view = Arc::clone(&services.spread.view);
        runtime.spawn(server_status::follow(services.registry.clone(), view, directory, schedulers));
        let stopped = stop.clone();
        let handle = runtime.handle().clone();
        let thread = std::thread::Builder::new()
            .name(CONTROL_THREAD.to_owned())
            .spawn(move || runtime.block_on(stopped.cancelled()))
            .map_err(StartError::Thread)?;
        Ok(RunningControl { services, is_ready, runtime: handle, stop, thread })
    }
}

/// The running control plane.
#[derive(Debug)]
pub struct RunningControl {
    /// Handles to the control services.
    pub services: Services,
    /// Whether the daemon knows the backend servers and has joined the membership.
    pub is_ready: watch::Receiver<bool>,
    runtime: Handle,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl RunningControl {
    /// Announces the shutdown to the other daemons, so that they take over its duties before it exits.
    pub fn leave(&self) {
        if let Ok(inbox) = self.services.registry.find(ServiceName::Membership) {
            // If the message is lost, the other daemons detect the failure a few seconds later.
            let _ = inbox.try_send(MembershipRequest::Leave);
        }
        if let Ok(inbox) = self.services.registry.find(ServiceName::Claims) {
            let _ = inbox.try_send(ClaimsCommand::Leave);
        }
    }

    /// Serves operators on `address`. Runs on the control thread, so that status stays available under load.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] if the address cannot be bound.
    pub fn serve_operators(
        &self,
        address: SocketAddr,
        parts: OperatorSources,
    ) -> Result<SocketAddr, StartError> {
        let failed = |source| StartError::Listen { address, source };
        let listener = OperatorListener::bind(address).map_err(failed)?;
        let bound = listener.address().map_err(failed)?;
        let readiness = Arc::clone(&parts.readiness);
        let mut is_ready = self.is_ready.clone();
        self.runtime.spawn(async move {
            // The sender is dropped with the control thread, which also ends this task.
            if is_ready.wait_for(|ready| *ready).await.is_ok() {
                readiness.set_host_list_known();
            }
        });
        self.runtime.spawn(listener.serve(parts, self.stop.clone()));
        Ok(bound)
    }

    /// Starts the lease service, which orders engines to change role and to load models.
    pub fn start_lease_service(&self, parts: LeaseParts) {
        self.runtime.spawn(LeaseService::new(parts).run(self.stop.clone()));
    }

    /// Starts publishing the state of this daemon as metrics.
    pub fn publish_figures(&self, figures: MetricsReporter) {
        self.runtime.spawn(figures.run());
    }

    /// Stops the services and joins their thread.
    pub fn stop(self) {
        self.stop.cancel();
        let _ = self.thread.join();
        self.services.link.stop();
    }
}

fn start_membership(
    registry: &ServiceRegistry,
    settings: &Settings,
    incarnation: Incarnation,
    link: &Arc<NngLink>,
) -> Result<MembershipHandle, StartError> {
    let inbox = registry.register(ServiceName::Membership)?;
    let own = MemberRecord {
        host: settings.host.id.clone(),
        incarnation,
        peer_address: link.local_address(),
        data_centre: settings.host.data_centre.clone(),
        region: settings.host.region.clone(),
        leaving: false,
    };
    let membership =
        MembershipSettings { settle_ms: settings.peers.settle_ms, ..MembershipSettings::default() };
    let (service, handle) =
        MembershipService::new(membership, own, &settings.peers.seeds, Arc::<NngLink>::clone(link));
    tokio::spawn(service.run(inbox));
    Ok(handle)
}

fn start_spread(
    registry: &ServiceRegistry,
    settings: &Settings,
    incarnation: Incarnation,
    link: &Arc<NngLink>,
    members: &MembershipHandle,
    feed: mpsc::Sender<ConfigFeed>,
) -> Result<SpreadHandle, StartError> {
    let inbox = registry.register(ServiceName::Spread)?;
    let parts = SpreadParts {
        host: settings.host.id.clone(),
        data_centre: settings.host.data_centre.clone(),
        random_seed: incarnation.seed(),
        link: Arc::<NngLink>::clone(link),
        members: Arc::clone(&members.view),
        feed,
    };
    let spread_settings = SpreadSettings { readers: settings.config.readers, ..SpreadSettings::default() };
    let (service, handle) = SpreadService::new(spread_settings, parts);
    tokio::spawn(service.run(inbox));
    Ok(handle)
}

/// Forwards the entry hosts of the platform's list to the membership service, as one of its sources.
async fn forward_listed_hosts(inbox: mpsc::Sender<MembershipRequest>, directory: Arc<Directory>) {
    let mut changes = directory.changes();
    while changes.changed().await.is_ok() {
        let listed = directory.listing().entry_hosts.clone();
        if inbox.send(MembershipRequest::Listed(listed)).await.is_err() {
            return;
        }
    }
}

/// Forwards the live hosts to the claims service, which chooses the preferred appender of each key partition
/// from them.
async fn forward_members(inbox: mpsc::Sender<ClaimsCommand>, mut members: MembershipHandle) {
    loop {
        let hosts = {
            let view = members.view.load();
            view.all().filter(|member| member.is_eligible()).map(|member| member.host.clone()).collect()
        };
        if inbox.send(ClaimsCommand::Members(hosts)).await.is_err()
            || members.changes.changed().await.is_err()
        {
            return;
        }
    }
}
