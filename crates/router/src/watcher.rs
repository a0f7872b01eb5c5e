//! The watcher service: keeps the ledgers of the engines that this daemon watches, and tells the scheduler
//! which engines there are and who watches them.
//!
//! It lives on the control thread. Which daemon watches an engine follows from the membership view alone, so
//! work moves by itself when a daemon goes.

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
use crate::dispatch::{Hub, PlainHub, Releases};
use crate::external::{EngineRole, ListedState};
use crate::metrics::Metrics;
use crate::metrics_reporter;
use crate::peer::{PeerBody, PeerLink};

/// Least time between two load reports of a watched engine. Grants are counted exactly; reports only find what no
/// ledger knows, such as the holdings of a daemon that died, so a second is soon enough.
const REPORT_PERIOD_MS: Millis = Millis(1_000);

/// Time between two reads, each of the engine that was read longest ago. Control may send 4 KB a second: at the
/// target a daemon watches some thirty engines, and reading all of them each second would take most of it. Eight
/// reads a second take some 700 B, and each engine is read every four seconds there, every second where eight or
/// fewer are watched.
const READ_PERIOD: Duration = Duration::from_millis(125);

/// Time between looks at grants that expire and servers that open again.
const TICK: Duration = Duration::from_millis(50);

/// Time between looks at what the ledgers have counted.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Servers in one announcement; it stays inside a frame with the longest names.
const ANNOUNCED_AT_ONCE: usize = 256;

/// What the watcher service takes in its inbox.
#[derive(Clone, Debug)]
pub enum WatcherCommand {
    /// A slot message for a server that this daemon watches, or is believed to.
    Slot {
        /// The daemon that sent it.
        from: HostId,
        /// Its life.
        incarnation: Incarnation,
        /// What it says.
        message: SlotMessage,
    },
    /// Some daemon saw that a server is leaving, or takes work again.
    Sign(BackendServerId),
}

/// What the service needs of the daemon around it.
#[derive(Clone, Debug)]
pub struct WatcherParts {
    /// This daemon's host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Who lives.
    pub members: Arc<ArcSwap<MembersView>>,
    /// The backend servers.
    pub directory: Arc<Directory>,
    /// The engines.
    pub engines: Arc<dyn EngineClient>,
    /// The way to other daemons.
    pub link: Arc<dyn PeerLink>,
    /// This daemon's scheduler.
    pub hub: Arc<Hub>,
    /// This daemon's schedulers of plain services.
    pub plain_hub: Arc<PlainHub>,
    /// Releases of engine memory.
    pub releases: Arc<Releases>,
    /// Where it counts.
    pub metrics: Metrics,
}

/// What a watched engine answered.
#[derive(Debug)]
struct Reported {
    server: BackendServerId,
    asked_us: MonoTime,
    news: News,
}

#[derive(Debug)]
enum News {
    Load(EngineLoad),
    Cache(CachePage),
}

/// The watcher service.
#[derive(Debug)]
pub struct WatcherService {
    parts: WatcherParts,
    ledgers: Watcher,
    /// What each ledger had counted when it was last looked at.
    counted: HashMap<BackendServerId, LedgerCounters>,
    /// The lives of the region's daemons, as last seen.
    lives: Vec<Incarnation>,
    /// Who watches each engine of the region, as last told to the scheduler.
    watchers: HashMap<BackendServerId, Option<HostId>>,
    /// What each watched engine last reported to hold.
    held: HashMap<BackendServerId, Vec<HeldRequest>>,
    /// When each watched engine was last read.
    read_us: HashMap<BackendServerId, MonoTime>,
    /// Up to where the cache events of each watched prefill server are known.
    cache_seq: HashMap<BackendServerId, u64>,
    /// Which owners of that memory may be dead.
    orphans: HashMap<BackendServerId, OrphanDetector>,
    reports: mpsc::UnboundedSender<Reported>,
    ready: watch::Sender<bool>,
    actions: Vec<LedgerAction>,
}

impl WatcherService {
    /// Runs until the inbox closes.
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
            counted: HashMap::new(),
            lives: Vec::new(),
            watchers: HashMap::new(),
            held: HashMap::new(),
            read_us: HashMap::new(),
            cache_seq: HashMap::new(),
            orphans: HashMap::new(),
            reports,
            ready,
            actions: Vec::new(),
        };
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut read_tick = tokio::time::interval(READ_PERIOD);
        read_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count_tick = tokio::time::interval(COUNT_PERIOD);
        count_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    service.command(command);
                }
                Some(report) = reported.recv() => service.report(report),
                Ok(()) = member_changes.changed() => service.rearrange(),
                Ok(()) = listing_changes.changed() => service.rearrange(),
                _ = tick.tick() => service.ledgers.tick(clock::now(), &mut service.actions),
                _ = read_tick.tick() => service.read_next(),
                _ = count_tick.tick() => service.count(),
            }
            service.carry_out();
        }
    }

    fn command(&mut self, command: WatcherCommand) {
        let now_us = clock::now();
        match command {
            WatcherCommand::Slot { from, incarnation, message } => {
                self.ledgers.handle(now_us, &from, incarnation, message, &mut self.actions);
            }
            WatcherCommand::Sign(server) => self.follow_sign(now_us, &server),
        }
    }

    fn follow_sign(&mut self, now_us: MonoTime, server: &BackendServerId) {
        let listing = self.parts.directory.listing();
        let Some(listed) = listing.servers.get(server) else {
            return;
        };
        let leaving = !self.parts.directory.takes_work(now_us, listed);
        if let Some(ledger) = self.ledgers.ledger_mut(server) {
            ledger.set_leaving(now_us, leaving, &mut self.actions);
        }
    }

    /// Follows a change of the members or of the servers: ledgers are opened and closed, and the scheduler
    /// learns of servers and of new watchers, with whom it registers what it holds.
    fn rearrange(&mut self) {
        let now_us = clock::now();
        let view = self.parts.members.load_full();
        let listing = self.parts.directory.listing();
        self.parts.plain_hub.adopt(&listing);
        let engines = engines_for(&self.parts.region, &listing);
        let records = engines.iter().filter_map(|server| record_of(server)).collect();
        self.parts.hub.feed(Event::Servers(records));
        let others = lives_of_region(&self.parts, &view);
        self.forget_lives(now_us, &others);
        let mut watchers = HashMap::with_capacity(engines.len());
        let known: HashSet<BackendServerId> = self.ledgers.servers().cloned().collect();
        for server in &engines {
            self.arrange(now_us, server, &view, &others);
            watchers.insert(
                server.id.clone(),
                watcher_with_fallback(&server.id, &server.data_centre, &server.region, &view),
            );
        }
        self.close_unlisted(now_us, &watchers);
        self.announce(&view, &known);
        for (server, watcher) in &watchers {
            if self.watchers.get(server) != Some(watcher) {
                self.parts.hub.feed(Event::WatcherChanged { server: server.clone() });
            }
        }
        self.watchers = watchers;
        if view.is_heard && listing.version > 0 {
            self.ready.send_replace(true);
        }
    }

    fn arrange(
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
            self.forget(&server.id);
            return;
        }
        self.ledgers.watch(now_us, &server.id, role_of(*role), *slots_total, *link_bytes_per_s, others);
        let leaving = !self.parts.directory.takes_work(now_us, server);
        if let Some(ledger) = self.ledgers.ledger_mut(&server.id) {
            ledger.set_leaving(now_us, leaving, &mut self.actions);
        }
    }

    /// Asks the other daemons of the region to register what they hold at the engines that this one watches
    /// since now.
    fn announce(&self, view: &MembersView, known: &HashSet<BackendServerId>) {
        let new: Vec<_> = self.ledgers.servers().filter(|server| !known.contains(*server)).cloned().collect();
        let others =
            view.all().filter(|member| member.region == self.parts.region && member.host != self.parts.host);
        for member in others {
            for servers in new.chunks(ANNOUNCED_AT_ONCE) {
                self.parts.link.send(&member.host, PeerBody::Watching(servers.to_vec()));
            }
        }
    }

    /// A life that has ended registers no grants any more; a new watcher need not wait for it.
    fn forget_lives(&mut self, now_us: MonoTime, lives: &[Incarnation]) {
        for ended in self.lives.iter().filter(|life| !lives.contains(life)) {
            self.ledgers.forget_daemon(now_us, *ended);
        }
        self.lives = lives.to_vec();
    }

    fn count(&mut self) {
        let mut counted = HashMap::with_capacity(self.counted.len());
        for (server, ledger) in self.ledgers.servers().filter_map(|id| Some((id, self.ledgers.ledger(id)?))) {
            let (before, now) = (self.counted.remove(server).unwrap_or_default(), ledger.counters());
            metrics_reporter::count_ledger(&self.parts.metrics, before, now);
            counted.insert(server.clone(), now);
        }
        self.counted = counted;
    }

    fn close_unlisted(&mut self, now_us: MonoTime, listed: &HashMap<BackendServerId, Option<HostId>>) {
        let gone: Vec<_> =
            self.ledgers.servers().filter(|server| !listed.contains_key(*server)).cloned().collect();
        for server in gone {
            self.ledgers.unwatch(now_us, &server, &mut self.actions);
            self.forget(&server);
        }
    }

    fn forget(&mut self, server: &BackendServerId) {
        self.held.remove(server);
        self.orphans.remove(server);
        self.cache_seq.remove(server);
        self.read_us.remove(server);
    }

    /// Reads the engine that was read longest ago, if that is long enough.
    fn read_next(&mut self) {
        let now_us = clock::now();
        let last_read = |server: &BackendServerId| self.read_us.get(server).copied().unwrap_or_default();
        let Some(server) = self.ledgers.servers().min_by_key(|server| (last_read(server), *server)).cloned()
        else {
            return;
        };
        if self.read_us.get(&server).is_some_and(|read_us| now_us < *read_us + REPORT_PERIOD_MS) {
            return;
        }
        self.read_us.insert(server.clone(), now_us);
        let Some(address) = self.parts.directory.address_of(&server) else {
            return;
        };
        let reads = self.ledgers.ledger(&server).is_some_and(|ledger| ledger.role() == Role::Prefill);
        let cache_after = reads.then(|| self.cache_seq.get(&server).copied().unwrap_or_default());
        let engines = Arc::clone(&self.parts.engines);
        tokio::spawn(read_engine(engines, self.reports.clone(), server, address, cache_after));
    }

    fn report(&mut self, reported: Reported) {
        let Reported { server, asked_us, news } = reported;
        match news {
            News::Load(load) => self.load_report(server, asked_us, load),
            News::Cache(page) => self.cache_report(server, &page),
        }
    }

    fn load_report(&mut self, server: BackendServerId, asked_us: MonoTime, load: EngineLoad) {
        let now_us = clock::now();
        // The answer may describe the engine as it was when the question arrived.
        let as_of_us = Micros::from(load.as_of_ms_ago) + now_us.since(asked_us);
        let held = load.held.iter().filter_map(|held| request_of(&held.request_id)).collect();
        self.ledgers.report(now_us, &server, &HeldReport { as_of_us, held }, &mut self.actions);
        self.release_orphans(now_us, &server, &load);
        self.held.insert(server, load.held);
    }

    /// Events tell of prompts that other daemons sent and of evictions; of its own prompts the scheduler knows
    /// before any event comes. They are a hint: one that is lost costs a prefill, never an answer.
    fn cache_report(&mut self, server: BackendServerId, page: &CachePage) {
        self.cache_seq.insert(server.clone(), page.next_seq.saturating_sub(1));
        if !page.events.is_empty() {
            let events = page.events.iter().map(cache_event).collect();
            self.parts.hub.feed(Event::Cache { server, events });
        }
    }

    /// Has an engine release what daemons that died left behind. Each report that still shows it has it asked
    /// again, so a lost cancellation costs one period.
    fn release_orphans(&mut self, now_us: MonoTime, server: &BackendServerId, load: &EngineLoad) {
        let view = self.parts.members.load();
        let owners: HashSet<&Owner> = load.held.iter().map(|held| &held.owner).collect();
        let seen = owners.into_iter().map(|owner| ReportedOwner {
            owner: MemoryOwner { host: owner.host.clone(), incarnation: owner.incarnation },
            state: owner_state(owner, &view),
        });
        let watch = self
            .orphans
            .entry(server.clone())
            .or_insert_with(|| OrphanDetector::new(OrphanSettings::default()));
        let full = load.slots_total > 0 && load.slots_used >= load.slots_total;
        let orphans = watch.orphans(now_us, full, seen);
        let Some(address) = self.parts.directory.address_of(server) else {
            return;
        };
        for MemoryOwner { host, incarnation } in orphans {
            let engines = Arc::clone(&self.parts.engines);
            let owner = Owner { host, incarnation };
            tokio::spawn(async move { engines.cancel_owner(address, owner).await });
        }
    }

    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                LedgerAction::Send { to, message } if to == self.parts.host => {
                    self.parts.hub.feed(Event::Slot(message));
                }
                LedgerAction::Send { to, message } => self.parts.link.send(&to, PeerBody::Slots(message)),
                LedgerAction::Cancel { server, request_id } => self.cancel(&server, request_id),
                // The regular tick is soon enough for what a ledger waits for.
                LedgerAction::Wake { .. } => {}
            }
        }
    }

    /// Releases what a request holds at a watched engine although its daemon, which lives, no longer renews it.
    /// The tries are those that the engine itself reported. Whether a daemon that is not heard is dead or only
    /// cut off from here is for the orphan watch to decide, with more patience: it may be reading its streams.
    fn cancel(&self, server: &BackendServerId, request_id: RequestId) {
        let view = self.parts.members.load();
        let held = self.held.get(server).into_iter().flatten();
        let of_request = held.filter(|held| request_of(&held.request_id) == Some(request_id));
        for held in of_request.filter(|held| owner_state(&held.owner, &view) == OwnerState::Live) {
            if let Ok(attempt_id) = held.request_id.parse() {
                let held = HeldMemory { attempt_id, owner: Some(held.owner.clone()) };
                self.parts.releases.release_held(server, held);
            }
        }
    }
}

/// Reads load and, of a prefill server, cache events. What does not come is nothing to act on: the ledger counts its
/// own grants, and whether the server is mute shows in the calls of requests.
async fn read_engine(
    engines: Arc<dyn EngineClient>,
    reports: mpsc::UnboundedSender<Reported>,
    server: BackendServerId,
    address: SocketAddr,
    cache_after: Option<u64>,
) {
    let asked_us = clock::now();
    // The service ends with its daemon, and its reads with it.
    if let Ok(load) = engines.load(address).await {
        let _ = reports.send(Reported { server: server.clone(), asked_us, news: News::Load(load) });
    }
    let Some(after) = cache_after else { return };
    if let Ok(page) = engines.cache_events(address, after).await {
        let _ = reports.send(Reported { server, asked_us, news: News::Cache(page) });
    }
}

fn cache_event(change: &CacheChange) -> CacheEvent {
    let kind = match change.kind {
        CacheChangeKind::Stored => CacheEventKind::Stored,
        CacheChangeKind::Evicted => CacheEventKind::Evicted,
    };
    CacheEvent { seq: change.seq, kind, block: change.block }
}

fn request_of(text: &str) -> Option<RequestId> {
    text.parse().ok().map(|attempt: AttemptId| attempt.request_id)
}

/// What the view says of a life that holds memory. One that is newer than the view's is not yet known here.
fn owner_state(owner: &Owner, view: &MembersView) -> OwnerState {
    match view.find(&owner.host) {
        Some(member) if member.incarnation > owner.incarnation => OwnerState::Replaced,
        Some(_) => OwnerState::Live,
        None => OwnerState::Silent,
    }
}

fn role_of(role: EngineRole) -> Role {
    match role {
        EngineRole::Prefill => Role::Prefill,
        EngineRole::Decode => Role::Decode,
    }
}

/// The engines that this daemon places work on: those of its region. Between regions a KV cache would cross
/// links that are slower than reading the prompt again.
fn engines_for(region: &RegionId, listing: &Listing) -> Vec<Arc<BackendServer>> {
    let engines = listing.servers.values().filter(|server| server.region == *region);
    engines.filter(|server| matches!(server.kind, BackendKind::Engine { .. })).cloned().collect()
}

fn record_of(server: &BackendServer) -> Option<ServerRecord> {
    let BackendKind::Engine { role, models, slots_total, link_bytes_per_s, .. } = &server.kind else {
        return None;
    };
    Some(ServerRecord {
        server: server.id.clone(),
        data_centre: server.data_centre.clone(),
        role: role_of(*role),
        models: models.clone(),
        slots_total: *slots_total,
        link_bytes_per_s: *link_bytes_per_s,
        state: match server.listed {
            ListedState::Live => ServerState::Live,
            ListedState::Leaving => ServerState::Leaving,
        },
    })
}

/// The lives of the other daemons of the region, any of which may hold grants of an earlier watcher.
fn lives_of_region(parts: &WatcherParts, view: &MembersView) -> Vec<Incarnation> {
    view.all()
        .filter(|member| member.region == parts.region && member.host != parts.host)
        .map(|member| member.incarnation)
        .collect()
}
