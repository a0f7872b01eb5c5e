//! The watcher service: maintains the slot ledgers of the engines watched by this daemon, and tells the
//! scheduler which engines exist and who watches them.
//!
//! Runs on the control thread. Which daemon watches an engine is derived from the membership view alone, so
//! engines are reassigned automatically when a daemon fails.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::{AttemptId, BackendServerId, HostId, Incarnation, RegionId, RequestId};
use hibiscusvale_core::membership::MembersView;
use hibiscusvale_core::orphan::{MemoryOwner, OrphanDetector, OrphanSettings, OwnerState, ReportedOwner};
use hibiscusvale_core::sched::{CacheEvent, CacheEventKind, Event, ServerRecord, ServerState};
use hibiscusvale_core::slots::{
    HeldReport, LedgerAction, LedgerCounters, LedgerSettings, Role, SlotMessage, Watcher,
};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use hibiscusvale_core::watch::{is_watched_here, watcher_with_fallback};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use crate::backend::{
    CacheChange, CacheChangeKind, CachePage, EngineClient, EngineLoad, HeldMemory, HeldRequest, Owner,
};
use crate::clock;
use crate::directory::{BackendKind, BackendServer, Directory, Listing};
use crate::dispatch::{LanguageScheduler, PlainSchedulers, Releases};
use crate::external::{EngineRole, ListedState};
use crate::metrics::Metrics;
use crate::metrics_reporter;
use crate::peer::{PeerBody, PeerLink};

/// Minimum time between two load reports of a watched engine. Grants are counted exactly; reports only detect
/// memory that no ledger knows of, such as that of a daemon that died, so one second is enough.
const MIN_READ_INTERVAL_MS: Millis = Millis(1_000);

/// Interval of engine reads; each one reads the engine that was read longest ago. Control may send 4 KB/s: at
/// the design size a daemon watches about thirty engines, and reading all of them every second would use most
/// of that. Eight reads a second take about 700 B, which reads each engine every four seconds there, and every
/// second where eight or fewer are watched.
const READ_INTERVAL: Duration = Duration::from_millis(125);

/// Interval of checks for expired grants and servers that become available again.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the counters of the ledgers are exported.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Servers per announcement; with the longest names it still fits into a frame.
const MAX_ANNOUNCED_SERVERS: usize = 256;

/// Messages accepted by the watcher service.
#[derive(Clone, Debug)]
pub enum WatcherCommand {
    /// A slot message for a server that this daemon watches, or is assumed to watch by the sender.
    Slot {
        /// Host of the sender.
        from: HostId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        message: SlotMessage,
    },
    /// A daemon observed that this server is leaving, or accepts work again.
    ServerStatus(BackendServerId),
}

/// Dependencies of the watcher service.
#[derive(Clone, Debug)]
pub struct WatcherParts {
    /// Host of this daemon.
    pub host: HostId,
    /// Region of this daemon.
    pub region: RegionId,
    /// Membership view.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Directory of backend servers.
    pub directory: Arc<Directory>,
    /// Client of the engines.
    pub engines: Arc<dyn EngineClient>,
    /// Link to other daemons.
    pub link: Arc<dyn PeerLink>,
    /// Scheduler of language requests.
    pub language_scheduler: Arc<LanguageScheduler>,
    /// Schedulers of plain services.
    pub plain_schedulers: Arc<PlainSchedulers>,
    /// Releases of engine memory.
    pub releases: Arc<Releases>,
    /// Metrics.
    pub metrics: Metrics,
}

/// Response of a watched engine.
#[derive(Debug)]
struct EngineReport {
    server: BackendServerId,
    requested_us: MonoTime,
    content: ReportContent,
}

#[derive(Debug)]
enum ReportContent {
    Load(EngineLoad),
    Cache(CachePage),
}

/// Maintains the ledgers of the watched engines.
#[derive(Debug)]
pub struct WatcherService {
    parts: WatcherParts,
    ledgers: Watcher,
    /// Counters of each ledger as last exported.
    exported_counters: HashMap<BackendServerId, LedgerCounters>,
    /// Incarnations of the region's other daemons, as last seen.
    incarnations: Vec<Incarnation>,
    /// Watcher of each engine of the region, as last reported to the scheduler.
    watchers: HashMap<BackendServerId, Option<HostId>>,
    /// Requests that each watched engine last reported to hold memory for.
    held: HashMap<BackendServerId, Vec<HeldRequest>>,
    /// Time of the last read of each watched engine.
    read_us: HashMap<BackendServerId, MonoTime>,
    /// Sequence number of the last known cache event of each watched prefill server.
    cache_seq: HashMap<BackendServerId, u64>,
    /// Per watched engine, detection of memory whose owner may be dead.
    orphans: HashMap<BackendServerId, OrphanDetector>,
    reports: mpsc::UnboundedSender<EngineReport>,
    ready: watch::Sender<bool>,
    actions: Vec<LedgerAction>,
}

impl WatcherService {
    /// Runs until the inbox is closed.
    pub async fn run(
        parts: WatcherParts,
        mut inbox: mpsc::Receiver<WatcherCommand>,
        mut member_changes: watch::Receiver<u64>,
        ready: watch::Sender<bool>,
    ) {
        let (reports, mut reported) = mpsc::unbounded_channel();
        let mut listing_changes = parts.directory.changes();
        let mut service = Self {
            parts,
            ledgers: Watcher::new(LedgerSettings::default()),
            exported_counters: HashMap::new(),
            incarnations: Vec::new(),
            watchers: HashMap::new(),
            held: HashMap::new(),
            read_us: HashMap::new(),
            cache_seq: HashMap::new(),
            orphans: HashMap::new(),
            reports,
            ready,
            actions: Vec::new(),
        };
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut read_tick = tokio::time::interval(READ_INTERVAL);
        read_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count_tick = tokio::time::interval(COUNT_INTERVAL);
        count_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    service.command(command);
                }
                Some(report) = reported.recv() => service.handle_report(report),
                Ok(()) = member_changes.changed() => service.update_assignments(),
                Ok(()) = listing_changes.changed() => service.update_assignments(),
                _ = tick.tick() => service.ledgers.tick(clock::now(), &mut service.actions),
                _ = read_tick.tick() => service.read_next(),
                _ = count_tick.tick() => service.count_ledgers(),
            }
            service.execute_actions();
        }
    }

    fn command(&mut self, command: WatcherCommand) {
        let now_us = clock::now();
        match command {
            WatcherCommand::Slot { from, incarnation, message } => {
                self.ledgers.handle(now_us, &from, incarnation, message, &mut self.actions);
            }
            WatcherCommand::ServerStatus(server) => self.apply_server_status(now_us, &server),
        }
    }

    fn apply_server_status(&mut self, now_us: MonoTime, server: &BackendServerId) {
        let listing = self.parts.directory.listing();
        let Some(listed) = listing.servers.get(server) else {
            return;
        };
        let leaving = !self.parts.directory.accepts_work(now_us, listed);
        if let Some(ledger) = self.ledgers.ledger_mut(server) {
            ledger.set_leaving(now_us, leaving, &mut self.actions);
        }
    }

    /// Applies a change of membership or of the directory: opens and closes ledgers, and tells the scheduler
    /// about servers and new watchers, with which it registers its held slots.
    fn update_assignments(&mut self) {
        let now_us = clock::now();
        let view = self.parts.members.load_full();
        let listing = self.parts.directory.listing();
        self.parts.plain_schedulers.adopt(&listing);
        let engines = engines_in_region(&self.parts.region, &listing);
        let records = engines.iter().filter_map(|server| server_record(server)).collect();
        self.parts.language_scheduler.feed(Event::Servers(records));
        let others = incarnations_in_region(&self.parts, &view);
        self.forget_ended_incarnations(now_us, &others);
        let mut watchers = HashMap::with_capacity(engines.len());
        let known: HashSet<BackendServerId> = self.ledgers.servers().cloned().collect();
        for server in &engines {
            self.update_ledger(now_us, server, &view, &others);
            watchers.insert(
                server.id.clone(),
                watcher_with_fallback(&server.id, &server.data_centre, &server.region, &view),
            );
        }
        self.unwatch_unlisted(now_us, &watchers);
        self.announce(&view, &known);
        for (server, watcher) in &watchers {
            if self.watchers.get(server) != Some(watcher) {
                self.parts.language_scheduler.feed(Event::WatcherChanged { server: server.clone() });
            }
        }
        self.watchers = watchers;
        if view.is_heard && listing.version > 0 {
            self.ready.send_replace(true);
        }
    }

    fn update_ledger(
        &mut self,
        now_us: MonoTime,
        server: &BackendServer,
        view: &MembersView,
        others: &[Incarnation],
    ) {
        let BackendKind::Engine { role, slots_total, link_bytes_per_s, .. } = &server.kind else {
            return;
        };
        if !is_watched_here(&server.id, &server.data_centre, &server.region, view) {
            self.ledgers.unwatch(now_us, &server.id, &mut self.actions);
            self.remove_server(&server.id);
            return;
        }
        self.ledgers.watch(now_us, &server.id, ledger_role(*role), *slots_total, *link_bytes_per_s, others);
        let leaving = !self.parts.directory.accepts_work(now_us, server);
        if let Some(ledger) = self.ledgers.ledger_mut(&server.id) {
            ledger.set_leaving(now_us, leaving, &mut self.actions);
        }
    }

    /// Asks the other daemons of the region to register the slots they hold at newly watched engines.
    fn announce(&self, view: &MembersView, known: &HashSet<BackendServerId>) {
        let new: Vec<_> = self.ledgers.servers().filter(|server| !known.contains(*server)).cloned().collect();
        let others =
            view.all().filter(|member| member.region == self.parts.region && member.host != self.parts.host);
        for member in others {
            for servers in new.chunks(MAX_ANNOUNCED_SERVERS) {
                self.parts.link.send(&member.host, PeerBody::Watching(servers.to_vec()));
            }
        }
    }

    /// Removes incarnations that have ended: they no longer register grants, so new watchers need not wait for
    /// them.
    fn forget_ended_incarnations(&mut self, now_us: MonoTime, live: &[Incarnation]) {
        for ended in self.incarnations.iter().filter(|incarnation| !live.contains(incarnation)) {
            self.ledgers.forget_daemon(now_us, *ended);
        }
        self.incarnations = live.to_vec();
    }

    fn count_ledgers(&mut self) {
        let mut exported_counters = HashMap::with_capacity(self.exported_counters.len());
        for (server, ledger) in self.ledgers.servers().filter_map(|id| Some((id, self.ledgers.ledger(id)?))) {
            let (before, now) =
                (self.exported_counters.remove(server).unwrap_or_default(), ledger.counters());
            metrics_reporter::count_ledger(&self.parts.metrics, before, now);
            exported_counters.insert(server.clone(), now);
        }
        self.exported_counters = exported_counters;
    }

    fn unwatch_unlisted(&mut self, now_us: MonoTime, listed: &HashMap<BackendServerId, Option<HostId>>) {
        let gone: Vec<_> =
            self.ledgers.servers().filter(|server| !listed.contains_key(*server)).cloned().collect();
        for server in gone {
            self.ledgers.unwatch(now_us, &server, &mut self.actions);
            self.remove_server(&server);
        }
    }

    fn remove_server(&mut self, server: &BackendServerId) {
        self.held.remove(server);
        self.orphans.remove(server);
        self.cache_seq.remove(server);
        self.read_us.remove(server);
    }

    /// Reads the engine that was read longest ago, unless that was too recent.
    fn read_next(&mut self) {
        let now_us = clock::now();
        let last_read = |server: &BackendServerId| self.read_us.get(server).copied().unwrap_or_default();
        let Some(server) = self.ledgers.servers().min_by_key(|server| (last_read(server), *server)).cloned()
        else {
            return;
        };
        if self.read_us.get(&server).is_some_and(|read_us| now_us < *read_us + MIN_READ_INTERVAL_MS) {
            return;
        }
        self.read_us.insert(server.clone(), now_us);
        let Some(address) = self.parts.directory.address_of(&server) else {
            return;
        };
        let is_prefill = self.ledgers.ledger(&server).is_some_and(|ledger| ledger.role() == Role::Prefill);
        let cache_after = is_prefill.then(|| self.cache_seq.get(&server).copied().unwrap_or_default());
        let engines = Arc::clone(&self.parts.engines);
        tokio::spawn(read_engine(engines, self.reports.clone(), server, address, cache_after));
    }

    fn handle_report(&mut self, reported: EngineReport) {
        let EngineReport { server, requested_us, content } = reported;
        match content {
            ReportContent::Load(load) => self.load_report(server, requested_us, load),
            ReportContent::Cache(page) => self.cache_report(server, &page),
        }
    }

    fn load_report(&mut self, server: BackendServerId, requested_us: MonoTime, load: EngineLoad) {
        let now_us = clock::now();
        // The answer may reflect the state of the engine at the time it received the request.
        let as_of_us = Micros::from(load.as_of_ms_ago) + now_us.since(requested_us);
        let held = load.held.iter().filter_map(|held| parse_request_id(&held.request_id)).collect();
        self.ledgers.report(now_us, &server, &HeldReport { as_of_us, held }, &mut self.actions);
        self.release_orphans(now_us, &server, &load);
        self.held.insert(server, load.held);
    }

    /// Feeds cache events to the scheduler. Events report prompts sent by other daemons, and evictions; the
    /// scheduler already knows its own prompts. They are hints: a lost event may cost a prefill, but never an
    /// answer.
    fn cache_report(&mut self, server: BackendServerId, page: &CachePage) {
        self.cache_seq.insert(server.clone(), page.next_seq.saturating_sub(1));
        if !page.events.is_empty() {
            let events = page.events.iter().map(cache_event).collect();
            self.parts.language_scheduler.feed(Event::Cache { server, events });
        }
    }

    /// Asks an engine to release the memory of daemons that have died. The request is repeated for each report
    /// that still lists such memory, so a lost cancellation costs one report interval.
    fn release_orphans(&mut self, now_us: MonoTime, server: &BackendServerId, load: &EngineLoad) {
        let view = self.parts.members.load();
        let owners: HashSet<&Owner> = load.held.iter().map(|held| &held.owner).collect();
        let seen = owners.into_iter().map(|owner| ReportedOwner {
            owner: MemoryOwner { host: owner.host.clone(), incarnation: owner.incarnation },
            state: owner_state(owner, &view),
        });
        let detector = self
            .orphans
            .entry(server.clone())
            .or_insert_with(|| OrphanDetector::new(OrphanSettings::default()));
        let full = load.slots_total > 0 && load.slots_used >= load.slots_total;
        let orphans = detector.orphans(now_us, full, seen);
        let Some(address) = self.parts.directory.address_of(server) else {
            return;
        };
        for MemoryOwner { host, incarnation } in orphans {
            let engines = Arc::clone(&self.parts.engines);
            let owner = Owner { host, incarnation };
            tokio::spawn(async move { engines.cancel_owner(address, owner).await });
        }
    }

    fn execute_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                LedgerAction::Send { to, message } if to == self.parts.host => {
                    self.parts.language_scheduler.feed(Event::Slot(message));
                }
                LedgerAction::Send { to, message } => self.parts.link.send(&to, PeerBody::Slots(message)),
                LedgerAction::Cancel { server, request_id } => self.cancel(&server, request_id),
                // The regular tick covers what a ledger waits for.
                LedgerAction::Wake { .. } => {}
            }
        }
    }

    /// Releases the memory of a request at a watched engine after its daemon, which is live, stopped renewing
    /// it. The attempts are those reported by the engine. If the daemon is not heard, the orphan detector
    /// decides after a longer delay whether it is dead or only unreachable from here: it may still be reading
    /// its streams.
    fn cancel(&self, server: &BackendServerId, request_id: RequestId) {
        let view = self.parts.members.load();
        let held = self.held.get(server).into_iter().flatten();
        let of_request = held.filter(|held| parse_request_id(&held.request_id) == Some(request_id));
        for held in of_request.filter(|held| owner_state(&held.owner, &view) == OwnerState::Live) {
            if let Ok(attempt_id) = held.request_id.parse() {
                let held = HeldMemory { attempt_id, owner: Some(held.owner.clone()) };
                self.parts.releases.release_held(server, held);
            }
        }
    }
}

/// Reads the load and, for a prefill server, the cache events. Failed reads are ignored: the ledger counts its
/// own grants, and an unresponsive server shows up in failed requests.
async fn read_engine(
    engines: Arc<dyn EngineClient>,
    reports: mpsc::UnboundedSender<EngineReport>,
    server: BackendServerId,
    address: SocketAddr,
    cache_after: Option<u64>,
) {
    let requested_us = clock::now();
    // The channel is closed only when the daemon shuts down.
    if let Ok(load) = engines.load(address).await {
        let _ = reports.send(EngineReport {
            server: server.clone(),
            requested_us,
            content: ReportContent::Load(load),
        });
    }
    let Some(after) = cache_after else { return };
    if let Ok(page) = engines.cache_events(address, after).await {
        let _ = reports.send(EngineReport { server, requested_us, content: ReportContent::Cache(page) });
    }
}

fn cache_event(change: &CacheChange) -> CacheEvent {
    let kind = match change.kind {
        CacheChangeKind::Stored => CacheEventKind::Stored,
        CacheChangeKind::Evicted => CacheEventKind::Evicted,
    };
    CacheEvent { seq: change.seq, kind, block: change.block }
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    text.parse().ok().map(|attempt: AttemptId| attempt.request_id)
}

/// State of the owner according to the membership view. An incarnation newer than the view's counts as live,
/// since it is not yet known here.
fn owner_state(owner: &Owner, view: &MembersView) -> OwnerState {
    match view.find(&owner.host) {
        Some(member) if member.incarnation > owner.incarnation => OwnerState::Replaced,
        Some(_) => OwnerState::Live,
        None => OwnerState::Silent,
    }
}

fn ledger_role(role: EngineRole) -> Role {
    match role {
        EngineRole::Prefill => Role::Prefill,
        EngineRole::Decode => Role::Decode,
    }
}

/// The engines that this daemon schedules work on: those of its region. Between regions, transferring a KV
/// cache is slower than repeating the prefill.
fn engines_in_region(region: &RegionId, listing: &Listing) -> Vec<Arc<BackendServer>> {
    let engines = listing.servers.values().filter(|server| server.region == *region);
    engines.filter(|server| matches!(server.kind, BackendKind::Engine { .. })).cloned().collect()
}

fn server_record(server: &BackendServer) -> Option<ServerRecord> {
    let BackendKind::Engine { role, models, slots_total, link_bytes_per_s, .. } = &server.kind else {
        return None;
    };
    Some(ServerRecord {
        server: server.id.clone(),
        data_centre: server.data_centre.clone(),
        role: ledger_role(*role),
        models: models.clone(),
        slots_total: *slots_total,
        link_bytes_per_s: *link_bytes_per_s,
        state: match server.listed {
            ListedState::Live => ServerState::Live,
            ListedState::Leaving => ServerState::Leaving,
        },
    })
}

/// Incarnations of the other daemons of the region, any of which may hold grants of a previous watcher.
fn incarnations_in_region(parts: &WatcherParts, view: &MembersView) -> Vec<Incarnation> {
    view.all()
        .filter(|member| member.region == parts.region && member.host != parts.host)
        .map(|member| member.incarnation)
        .collect()
}
