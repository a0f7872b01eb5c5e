//! The control side of a daemon: its services, their inboxes, and the thread that they share.
//!
//! Control state lives on one thread of its own: a burst of traffic cannot delay a heartbeat, and control
//! needs no locks among its services.

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
use crate::daemon::{Edges, StartError};
use crate::directory::Directory;
use crate::dispatch::{Hub, PlainHub};
use crate::inbound;
use crate::kernel::{INBOX_CAPACITY, Kernel, ServiceName};
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
use crate::settings::Settings;
use crate::signs;
use crate::spread::{ConfigFeed, SpreadHandle, SpreadParts, SpreadService};
use crate::watcher::{WatcherCommand, WatcherParts, WatcherService};

/// Name of the control thread; the meter counts its processor time as control.
pub const CONTROL_THREAD: &str = "control";

/// What the control side is made of.
#[derive(Clone, Copy, Debug)]
pub struct ControlParts<'a> {
    /// The daemon's settings.
    pub settings: &'a Settings,
    /// The systems around it.
    pub edges: &'a Edges,
    /// Its life.
    pub incarnation: Incarnation,
    /// The backend servers.
    pub directory: &'a Arc<Directory>,
    /// Where it counts.
    pub metrics: &'a Metrics,
    /// Where it logs.
    pub logging: &'a Log,
}

/// The schedulers, which are put together after the control side.
#[derive(Debug)]
pub struct Hubs {
    /// Of language requests.
    pub language: Arc<Hub>,
    /// Of plain services.
    pub plain: Arc<PlainHub>,
}

/// What the services publish, and the ways to them.
#[derive(Clone, Debug)]
pub struct Services {
    /// Finds services by name.
    pub kernel: Kernel,
    /// The way to other daemons.
    pub link: Arc<NngLink>,
    /// Who lives.
    pub members: MembershipHandle,
    /// Signs and loads.
    pub spread: SpreadHandle,
    /// The configuration in force.
    pub config: ConfigHandle,
    /// Claims of idempotency keys.
    pub claims: ClaimsHandle,
    /// What control costs.
    pub usage: Arc<ArcSwap<ControlUsage>>,
}

/// The control side before its thread runs.
#[derive(Debug)]
pub struct Control {
    /// The services.
    pub services: Services,
    stop: CancellationToken,
    runtime: Runtime,
    hubs: Arc<OnceLock<Hubs>>,
}

impl Control {
    /// Starts the services that need no scheduler.
    ///
    /// # Errors
    ///
    /// [`StartError`] when an address cannot be listened on, a key is none, or a thread cannot be had.
    pub fn start(parts: ControlParts<'_>) -> Result<Self, StartError> {
        let ControlParts { settings, edges, incarnation, directory, metrics, logging } = parts;
        let runtime = Builder::new_current_thread().enable_all().build().map_err(StartError::Thread)?;
        let kernel = Kernel::default();
        let hubs = Arc::new(OnceLock::new());
        let stop = CancellationToken::new();
        let inbound = inbound::to_services(kernel.clone(), Arc::clone(&hubs));
        let link_settings =
            LinkSettings::new(settings.host.id.clone(), settings.listen.peers, settings.peers.key.into());
        let link = NngLink::start(link_settings, incarnation, inbound)?;
        let entered = runtime.enter();
        let members = start_membership(&kernel, settings, incarnation, &link)?;
        let (feed, config_inbox) = mpsc::channel(INBOX_CAPACITY);
        let spread = start_spread(&kernel, settings, incarnation, &link, &members, feed)?;
        let config = ConfigParts {
            settings: settings.config.clone(),
            host: settings.host.id.clone(),
            keys: publisher_keys(settings)?,
            checkpoint_key: CheckpointKey::derive(settings.peers.key.bytes()),
            log: Arc::clone(&edges.log),
            members: Arc::clone(&members.view),
            spread: Some(kernel.find(ServiceName::Spread)?),
            logging: logging.clone(),
            metrics: metrics.clone(),
        };
        let (service, config) = ConfigService::new(config);
        tokio::spawn(service.run(config_inbox));
        let claims = claims::start(
            &kernel,
            settings.host.id.clone(),
            incarnation,
            ClaimSettings::default(),
            Arc::clone(&edges.log),
            Arc::<NngLink>::clone(&link),
            stop.clone(),
        )?;
        tokio::spawn(member_log::follow(members.clone(), logging.clone()));
        tokio::spawn(tell_claims(kernel.find(ServiceName::Claims)?, members.clone()));
        let (meter, usage) = MeterService::new(Arc::clone(&link));
        tokio::spawn(meter.run());
        let listing = ListingParts {
            host: settings.host.id.clone(),
            data_centre: settings.host.data_centre.clone(),
            region: settings.host.region.clone(),
            hosts: Arc::clone(&edges.hosts),
            directory: Arc::clone(directory),
            members: Arc::clone(&members.view),
            link: Arc::<NngLink>::clone(&link),
        };
        let listing_inbox = kernel.register::<ListingRequest>(ServiceName::Directory)?;
        tokio::spawn(ListingService::run(listing, listing_inbox));
        tokio::spawn(tell_membership(kernel.find(ServiceName::Membership)?, Arc::clone(directory)));
        drop(entered);
        let services = Services { kernel, link, members, spread, config, claims, usage };
        Ok(Self { services, stop, runtime, hubs })
    }

    /// Starts the service that watches engines, and gives the control thread to the services.
    ///
    /// # Errors
    ///
    /// [`StartError`] when the thread cannot be had.
    pub fn run(self, parts: WatcherParts) -> Result<RunningControl, StartError> {
        let Self { services, stop, runtime, hubs } = self;
        let inbox = services.kernel.register::<WatcherCommand>(ServiceName::Watcher)?;
        let _ = hubs.set(Hubs { language: Arc::clone(&parts.hub), plain: Arc::clone(&parts.plain_hub) });
        let directory = Arc::clone(&parts.directory);
        let (ready, is_ready) = watch::channel(false);
        runtime.spawn(WatcherService::run(parts, inbox, services.members.changes.clone(), ready));
        let view = Arc::clone(&services.spread.view);
        runtime.spawn(signs::follow(services.kernel.clone(), view, directory, hubs));
        let stopped = stop.clone();
        let handle = runtime.handle().clone();
        let thread = std::thread::Builder::new()
            .name(CONTROL_THREAD.to_owned())
            .spawn(move || runtime.block_on(stopped.cancelled()))
            .map_err(StartError::Thread)?;
        Ok(RunningControl { services, is_ready, runtime: handle, stop, thread })
    }
}

/// The control side with its thread.
#[derive(Debug)]
pub struct RunningControl {
    /// The services.
    pub services: Services,
    /// Whether the daemon knows the backend servers and has found its place among the daemons.
    pub is_ready: watch::Receiver<bool>,
    runtime: Handle,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl RunningControl {
    /// Tells the other daemons that this one stops, so that its work moves before it goes.
    pub fn leave(&self) {
        if let Ok(inbox) = self.services.kernel.find(ServiceName::Membership) {
            // A leave that is lost is noticed as a death, a few seconds later.
            let _ = inbox.try_send(MembershipRequest::Leave);
        }
        if let Ok(inbox) = self.services.kernel.find(ServiceName::Claims) {
            let _ = inbox.try_send(ClaimsCommand::Leave);
        }
    }

    /// Serves operators on `address`, on the control thread: a burst of callers does not hide what it does.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`].
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
            // The sender ends with the control thread, and this task with it.
            if is_ready.wait_for(|ready| *ready).await.is_ok() {
                readiness.set_host_list_known();
            }
        });
        self.runtime.spawn(listener.serve(parts, self.stop.clone()));
        Ok(bound)
    }

    /// Starts the service that orders engines to change role and to load models.
    pub fn order_engines(&self, parts: LeaseParts) {
        self.runtime.spawn(LeaseService::new(parts).run(self.stop.clone()));
    }

    /// Publishes figures of this daemon as metrics.
    pub fn publish_figures(&self, figures: MetricsReporter) {
        self.runtime.spawn(figures.run());
    }

    /// Ends the services and their thread.
    pub fn stop(self) {
        self.stop.cancel();
        let _ = self.thread.join();
        self.services.link.stop();
    }
}

fn start_membership(
    kernel: &Kernel,
    settings: &Settings,
    incarnation: Incarnation,
    link: &Arc<NngLink>,
) -> Result<MembershipHandle, StartError> {
    let inbox = kernel.register(ServiceName::Membership)?;
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
    kernel: &Kernel,
    settings: &Settings,
    incarnation: Incarnation,
    link: &Arc<NngLink>,
    members: &MembershipHandle,
    feed: mpsc::Sender<ConfigFeed>,
) -> Result<SpreadHandle, StartError> {
    let inbox = kernel.register(ServiceName::Spread)?;
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

/// Tells membership of the entry hosts that the platform lists, one source of it among several.
async fn tell_membership(inbox: mpsc::Sender<MembershipRequest>, directory: Arc<Directory>) {
    let mut changes = directory.changes();
    while changes.changed().await.is_ok() {
        let listed = directory.listing().entry_hosts.clone();
        if inbox.send(MembershipRequest::Listed(listed)).await.is_err() {
            return;
        }
    }
}

/// Tells the claims service who lives: each partition of keys has its usual appender among them.
async fn tell_claims(inbox: mpsc::Sender<ClaimsCommand>, mut members: MembershipHandle) {
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
