//! The control side of a daemon: its services, their inboxes, and the thread that they share.
//!
//! Control state lives on one thread of its own: a burst of traffic cannot delay a heartbeat, and control
//! needs no locks among its services.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::claim::ClaimSettings;
use hibiscusvale_core::config::CheckpointKey;
use hibiscusvale_core::ids::{BackendServerId, Incarnation};
use hibiscusvale_core::membership::{MemberRecord, MembershipSettings};
use hibiscusvale_core::meter::ControlUsage;
use hibiscusvale_core::sched::{Event, Sign};
use hibiscusvale_core::spread::{ServerSign, SpreadSettings, SpreadView};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::claims::{self, ClaimsCommand, ClaimsHandle};
use crate::clock;
use crate::config::{ConfigHandle, ConfigParts, ConfigService, publisher_keys};
use crate::daemon::{Edges, StartError};
use crate::directory::{self, Directory};
use crate::dispatch::{Hub, PlainHub};
use crate::figures::Figures;
use crate::kernel::{INBOX_CAPACITY, Kernel, KernelError, ServiceName};
use crate::leases::{LeaseParts, LeaseService};
use crate::logging::Log;
use crate::membership::{MembershipHandle, MembershipRequest, MembershipService};
use crate::meter::MeterService;
use crate::metrics::Metrics;
use crate::operators::{OperatorListener, OperatorsParts};
use crate::peer::{Inbound, LinkSettings, NngLink, PeerBody, PeerMessage};
use crate::settings::Settings;
use crate::spread::{ConfigFeed, SpreadHandle, SpreadParts, SpreadRequest, SpreadService};
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
struct Hubs {
    language: Arc<Hub>,
    plain: Arc<PlainHub>,
}

/// The running control side.
#[derive(Debug)]
pub struct Control {
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
    /// Ends the services.
    pub stop: CancellationToken,
    runtime: Runtime,
    hub: Arc<OnceLock<Hubs>>,
}

impl Control {
    /// Starts the services that need no scheduler.
    ///
    /// # Errors
    ///
    /// [`StartError`] when an address cannot be listened on, a key is none, or a thread cannot be had.
    pub fn start(parts: ControlParts<'_>) -> Result<Self, StartError> {
        let ControlParts {
            settings,
            edges,
            incarnation,
            directory,
            metrics,
            logging,
        } = parts;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(StartError::Thread)?;
        let kernel = Kernel::default();
        let hub = Arc::new(OnceLock::new());
        let stop = CancellationToken::new();
        let inbound = inbound(kernel.clone(), Arc::clone(&hub));
        let link_settings = LinkSettings::new(
            settings.host.id.clone(),
            settings.listen.peers,
            settings.peers.key.into(),
        );
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
        tokio::spawn(tell_claims(kernel.find(ServiceName::Claims)?, members.clone()));
        let (meter, usage) = MeterService::new(Arc::clone(&link));
        tokio::spawn(meter.run());
        tokio::spawn(directory::follow(Arc::clone(&edges.hosts), Arc::clone(directory)));
        tokio::spawn(tell_membership(
            kernel.find(ServiceName::Membership)?,
            Arc::clone(directory),
        ));
        drop(entered);
        Ok(Self {
            kernel,
            link,
            members,
            spread,
            config,
            claims,
            usage,
            stop,
            runtime,
            hub,
        })
    }

    /// Starts the service that watches engines, and gives the control thread to the services.
    ///
    /// # Errors
    ///
    /// [`StartError`] when the thread cannot be had.
    pub fn run(self, parts: WatcherParts) -> Result<RunningControl, StartError> {
        let Self {
            kernel,
            link,
            members,
            spread,
            config,
            claims,
            usage,
            stop,
            runtime,
            hub,
        } = self;
        let inbox = kernel.register::<WatcherCommand>(ServiceName::Watcher)?;
        let _ = hub.set(Hubs {
            language: Arc::clone(&parts.hub),
            plain: Arc::clone(&parts.plain_hub),
        });
        let directory = Arc::clone(&parts.directory);
        let (ready, is_ready) = watch::channel(false);
        runtime.spawn(WatcherService::run(parts, inbox, members.changes.clone(), ready));
        runtime.spawn(follow_signs(
            kernel.clone(),
            Arc::clone(&spread.view),
            directory,
            hub,
        ));
        let stopped = stop.clone();
        let handle = runtime.handle().clone();
        let thread = std::thread::Builder::new()
            .name(CONTROL_THREAD.to_owned())
            .spawn(move || runtime.block_on(stopped.cancelled()))
            .map_err(StartError::Thread)?;
        Ok(RunningControl {
            kernel,
            link,
            members,
            spread,
            config,
            claims,
            usage,
            is_ready,
            runtime: handle,
            stop,
            thread,
        })
    }
}

/// The control side with its thread.
#[derive(Debug)]
pub struct RunningControl {
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
    /// Whether the daemon knows the backend servers and has found its place among the daemons.
    pub is_ready: watch::Receiver<bool>,
    runtime: Handle,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl RunningControl {
    /// Tells the other daemons that this one stops, so that its work moves before it goes.
    pub fn leave(&self) {
        if let Ok(inbox) = self.kernel.find(ServiceName::Membership) {
            // A leave that is lost is noticed as a death, a few seconds later.
            let _ = inbox.try_send(MembershipRequest::Leave);
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
        parts: OperatorsParts,
    ) -> Result<SocketAddr, StartError> {
        let failed = |source| StartError::Listen { address, source };
        let listener = OperatorListener::bind(address).map_err(failed)?;
        let bound = listener.address().map_err(failed)?;
        let readiness = Arc::clone(&parts.readiness);
        let mut is_ready = self.is_ready.clone();
        self.runtime.spawn(async move {
            // The sender ends with the control thread, and this task with it.
            if is_ready.wait_for(|ready| *ready).await.is_ok() {
                readiness.host_list_known();
            }
        });
        self.runtime.spawn(listener.serve(parts, self.stop.clone()));
        Ok(bound)
    }

    /// Starts the service that orders engines to change role and to load models.
    pub fn order_engines(&self, parts: LeaseParts) {
        self.runtime
            .spawn(LeaseService::new(parts).run(self.stop.clone()));
    }

    /// Publishes figures of this daemon as metrics.
    pub fn publish_figures(&self, figures: Figures) {
        self.runtime.spawn(figures.run());
    }

    /// Ends the services and their thread.
    pub fn stop(self) {
        self.stop.cancel();
        let _ = self.thread.join();
        self.link.stop();
    }
}

/// Takes messages of other daemons to the services that they are for.
fn inbound(kernel: Kernel, hub: Arc<OnceLock<Hubs>>) -> Inbound {
    Arc::new(move |message| {
        // A service that is behind sheds: whoever needs an answer asks again.
        let _ = deliver(&kernel, &hub, message);
    })
}

/// A message of another daemon found no inbox.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
enum DeliverError {
    #[error(transparent)]
    Kernel(#[from] KernelError),
    #[error("inbox is full or closed")]
    Full,
}

impl<Message> From<mpsc::error::TrySendError<Message>> for DeliverError {
    fn from(_: mpsc::error::TrySendError<Message>) -> Self {
        Self::Full
    }
}

fn deliver(kernel: &Kernel, hub: &OnceLock<Hubs>, message: PeerMessage) -> Result<(), DeliverError> {
    let PeerMessage {
        from,
        incarnation,
        body,
    } = message;
    match body {
        PeerBody::Claims(message) => {
            kernel
                .find(ServiceName::Claims)?
                .try_send(ClaimsCommand::Peer { from, message })?;
        }
        PeerBody::Membership(message) => {
            let request = MembershipRequest::Peer {
                from,
                incarnation,
                message,
            };
            kernel.find(ServiceName::Membership)?.try_send(request)?;
        }
        PeerBody::Slots(message) if message.is_for_watcher() => {
            let command = WatcherCommand::Slot {
                from,
                incarnation,
                message,
            };
            kernel.find(ServiceName::Watcher)?.try_send(command)?;
        }
        PeerBody::Slots(message) => {
            if let Some(hub) = hub.get() {
                hub.language.feed(Event::Slot(message));
            }
        }
        PeerBody::Spread(message) => {
            kernel
                .find(ServiceName::Spread)?
                .try_send(SpreadRequest::Peer { from, message })?;
        }
    }
    Ok(())
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
    let membership = MembershipSettings {
        settle_ms: settings.peers.settle_ms,
        ..MembershipSettings::default()
    };
    let (service, handle) = MembershipService::new(
        membership,
        own,
        &settings.peers.seeds,
        Arc::<NngLink>::clone(link),
    );
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
        random_seed: incarnation.0,
        link: Arc::<NngLink>::clone(link),
        members: Arc::clone(&members.view),
        feed,
    };
    let (service, handle) = SpreadService::new(SpreadSettings::default(), parts);
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
            view.all()
                .filter(|member| member.is_eligible())
                .map(|member| member.host.clone())
                .collect()
        };
        if inbox.send(ClaimsCommand::Members(hosts)).await.is_err()
            || members.changes.changed().await.is_err()
        {
            return;
        }
    }
}

/// Time between looks at the signs that other daemons spread. A leaving server gets no new work from any
/// daemon within the time that spreading takes and this.
const SIGN_PERIOD: Duration = Duration::from_millis(200);

/// Acts on what daemons, this one among them, saw of servers: a leaving server gets no new work here either,
/// until its sign runs out or it is seen taking work again.
async fn follow_signs(
    kernel: Kernel,
    view: Arc<ArcSwap<SpreadView>>,
    directory: Arc<Directory>,
    hubs: Arc<OnceLock<Hubs>>,
) {
    let mut seen = Arc::new(SpreadView::default());
    let mut period = tokio::time::interval(SIGN_PERIOD);
    loop {
        period.tick().await;
        let now = view.load_full();
        if Arc::ptr_eq(&seen, &now) {
            continue;
        }
        let changed = now
            .signs
            .iter()
            .filter(|(server, sign)| seen.signs.get(*server) != Some(*sign));
        for (server, sign) in changed {
            act_on_sign(&kernel, &directory, &hubs, server, *sign);
        }
        for server in seen
            .signs
            .keys()
            .filter(|server| !now.signs.contains_key(*server))
        {
            act_on_sign(&kernel, &directory, &hubs, server, ServerSign::Taking);
        }
        seen = now;
    }
}

fn act_on_sign(
    kernel: &Kernel,
    directory: &Directory,
    hubs: &OnceLock<Hubs>,
    server: &BackendServerId,
    sign: ServerSign,
) {
    let sign = match sign {
        ServerSign::Leaving => {
            directory.note_leaving(clock::now(), server);
            Sign::Leaving
        }
        ServerSign::Taking => {
            directory.note_taking(server);
            Sign::Live
        }
        // No room for the moment is the ledger's business.
        ServerSign::Refusing => return,
    };
    if let Ok(inbox) = kernel.find(ServiceName::Watcher) {
        let _ = inbox.try_send(WatcherCommand::Sign(server.clone()));
    }
    if let Some(hubs) = hubs.get() {
        hubs.language.feed(Event::Sign {
            server: server.clone(),
            sign,
        });
        hubs.plain.sign(server, sign);
    }
}
