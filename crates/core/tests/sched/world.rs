//! A small world in virtual time: daemons that decide apart, engines, message delay, lagging reports.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use hibiscusvale_core::ids::{BackendServerId, HostId, Incarnation, RequestId};
use hibiscusvale_core::sched::{
    Action, Attempt, Event, FailureCause, Scheduler, SchedulerSettings, ServerRecord, ServerState,
    WasteCause, WorkStage,
};
use hibiscusvale_core::slots::{
    HeldReport, LedgerAction, LedgerSettings, QueueSettings, Role, SlotMessage, Watcher,
};
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::baseline::{Baseline, Seen, Wish, server_name};
use super::engines::{DecodeEngine, Job, PrefillEngine, Seat};
use super::load::{PER_TOKEN_TARGET_MS, PREFILL_TOKEN_US, Placement, Planned, Scenario, arrival, plan};
use super::outcome::{Outcome, PartnerOutcome};

pub const HOP_US: u64 = 1_500;
const KV_PER_TOKEN: u64 = 128 << 10;
const LINK: u64 = 2_500_000_000;
const EVICT_MS: u64 = 800;
const REPORT_EVERY_US: u64 = 500_000;
const REPORT_LAG_US: u64 = 500_000;
const DETECT_US: u64 = 1_000_000;
const DRAIN_US: u64 = 25_000_000;
const SECOND_US: u64 = 1_000_000;
const PROGRESS_EVERY: u64 = 8;

#[derive(Debug)]
enum Ev {
    Arrive(usize),
    Leave(RequestId),
    Daemon(usize, Incarnation, Box<Event>),
    Peer(usize, usize, Incarnation, Box<SlotMessage>),
    Tick(usize, Incarnation),
    Probed(usize, RequestId, [(usize, Seen); 2]),
    Probe(usize, RequestId, [usize; 2]),
    Later(usize, RequestId),
    Engine(usize, Incarnation, Box<Action>),
    PrefillEnd(usize, u64),
    Evict(usize, RequestId),
    TransferEnd(usize, usize, RequestId, Attempt),
    Step(usize),
    Silence(usize, RequestId, Attempt, u64, u64),
    Report,
    Reported(usize, Vec<RequestId>, Seen),
    Second(u64),
    Detected(usize),
    Back(usize),
}

#[derive(Debug)]
struct Daemon {
    host: HostId,
    incarnation: Incarnation,
    alive: bool,
    listed: bool,
    scheduler: Scheduler,
    watcher: Watcher,
    baseline: Baseline,
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct Track {
    planned: usize,
    first_us: Option<u64>,
    tokens: u64,
    last_us: u64,
    prefilled: bool,
}

pub struct World {
    scenario: Scenario,
    now_us: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Ev>,
    sequence: u64,
    daemons: Vec<Daemon>,
    prefill: Vec<PrefillEngine>,
    decode: Vec<DecodeEngine>,
    watchers: Vec<usize>,
    plan: Vec<Planned>,
    tracks: HashMap<RequestId, Track>,
    outcome: Outcome,
    cut: bool,
}

impl World {
    pub fn run(scenario: Scenario) -> Outcome {
        let plan = plan(&scenario);
        let mut world = Self::new(scenario, plan);
        world.begin();
        let end_us = world.scenario.seconds * SECOND_US + DRAIN_US;
        while let Some(Reverse((at_us, id))) = world.heap.pop() {
            if at_us > end_us {
                break;
            }
            world.now_us = at_us;
            let event = world.events.remove(&id).unwrap();
            world.step(event);
        }
        world.finish()
    }

    fn new(scenario: Scenario, plan: Vec<Planned>) -> Self {
        let partners = scenario.sources.iter().map(|source| PartnerOutcome::new(&source.name)).collect();
        let outcome = Outcome { partners, ..Outcome::default() };
        let daemons = (0..scenario.daemons).map(|index| new_daemon(&scenario, index, 1)).collect();
        let slots = 20;
        let prefill = (0..scenario.prefills).map(|_| PrefillEngine { slow: 1, ..PrefillEngine::default() });
        let decode =
            (0..scenario.decodes).map(|_| DecodeEngine { slots, slow: 1, ..DecodeEngine::default() });
        Self {
            now_us: 0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            daemons,
            prefill: prefill.collect(),
            decode: decode.collect(),
            watchers: Vec::new(),
            plan,
            tracks: HashMap::new(),
            outcome,
            cut: false,
            scenario,
        }
    }

    fn begin(&mut self) {
        let faults = self.scenario.faults.clone();
        if faults.slow_prefill {
            self.prefill[0].slow = 10;
        }
        if faults.slow_decode {
            self.decode[0].slow = 10;
        }
        self.assign_watchers(true);
        for index in 0..self.daemons.len() {
            let records = self.records();
            self.tell(index, Event::Servers(records));
        }
        for index in 0..self.plan.len() {
            self.at(self.plan[index].at_us, Ev::Arrive(index));
        }
        self.at(0, Ev::Report);
        (0..self.scenario.seconds).for_each(|second| self.at(second * SECOND_US, Ev::Second(second)));
    }

    fn records(&self) -> Vec<ServerRecord> {
        let count = self.prefill.len() + self.decode.len();
        (0..count).map(|server| self.record(server)).collect()
    }

    fn record(&self, server: usize) -> ServerRecord {
        ServerRecord {
            server: self.name(server),
            data_centre: format!("dc{}", server % 4).parse().unwrap(),
            role: self.role(server),
            models: vec!["m".parse().unwrap()],
            slots_total: 20,
            link_bytes_per_s: BytesPerSecond(LINK),
            state: ServerState::Live,
        }
    }

    fn name(&self, server: usize) -> BackendServerId {
        server_name(self.prefill.len(), server)
    }

    fn number(&self, server: &BackendServerId) -> usize {
        let text = server.as_str();
        let number = text[1..].parse::<usize>().unwrap();
        if text.starts_with('p') { number } else { self.prefill.len() + number }
    }

    fn role(&self, server: usize) -> Role {
        if server < self.prefill.len() { Role::Prefill } else { Role::Decode }
    }

    fn decode_at(&mut self, server: usize) -> &mut DecodeEngine {
        let first = self.prefill.len();
        &mut self.decode[server - first]
    }

    fn at(&mut self, at_us: u64, event: Ev) {
        self.sequence += 1;
        self.heap.push(Reverse((at_us, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn soon(&mut self, after_us: u64, event: Ev) {
        self.at(self.now_us + after_us, event);
    }

    /// Gives each server to a living daemon; servers that change hands go through the quiet time.
    fn assign_watchers(&mut self, first: bool) {
        let live = (0..self.daemons.len()).filter(|&index| self.daemons[index].listed).collect::<Vec<_>>();
        let others = live.iter().map(|&index| self.daemons[index].incarnation).collect::<Vec<_>>();
        let now_us = MonoTime(self.now_us);
        for server in 0..self.prefill.len() + self.decode.len() {
            let rank = |index: &usize| mix(server as u64 * 1_000 + *index as u64);
            let owner = live.iter().copied().max_by_key(rank).unwrap();
            let before = self.watchers.get(server).copied();
            let name = self.name(server);
            let unchanged = before == Some(owner) && self.daemons[owner].watcher.ledger(&name).is_some();
            if unchanged {
                continue;
            }
            let mut actions = Vec::new();
            if let Some(before) = before.filter(|&before| before != owner) {
                self.daemons[before].watcher.disown(now_us, &name, &mut actions);
                self.ledger_actions(before, actions);
            }
            let others = if first { Vec::new() } else { others.clone() };
            let (role, link) = (self.role(server), BytesPerSecond(LINK));
            self.daemons[owner].watcher.own(now_us, &name, role, 20, link, &others);
            if first {
                self.watchers.push(owner);
                continue;
            }
            self.watchers[server] = owner;
            for &index in &live {
                self.tell(index, Event::WatcherChanged { server: name.clone() });
            }
        }
    }

    fn tell(&mut self, index: usize, event: Event) {
        let now_us = MonoTime(self.now_us);
        if self.scenario.placement != Placement::Ledger {
            let mut wishes = Vec::new();
            self.daemons[index].baseline.handle(now_us, event, &mut wishes);
            self.wishes(index, wishes);
            return;
        }
        let mut actions = Vec::new();
        self.daemons[index].scheduler.handle(now_us, event, &mut actions);
        actions.into_iter().for_each(|action| self.act(index, action));
    }

    fn wishes(&mut self, index: usize, wishes: Vec<Wish>) {
        for wish in wishes {
            match wish {
                Wish::Do(action) => self.act(index, action),
                Wish::Probe(request_id, servers) => self.soon(HOP_US, Ev::Probe(index, request_id, servers)),
                Wish::Later(request_id, at_us) => self.at(at_us, Ev::Later(index, request_id)),
            }
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        let incarnation = self.daemons[index].incarnation;
        match action {
            Action::Send(message) => {
                self.outcome.messages += 1;
                let owner = self.watchers[self.number(message.server())];
                let hop_us = if owner == index { 0 } else { HOP_US };
                self.soon(hop_us, Ev::Peer(owner, index, incarnation, Box::new(message)));
            }
            Action::Wake { at_us } => self.at(at_us.0.max(self.now_us + 1), Ev::Tick(index, incarnation)),
            Action::Refuse { request_id, .. } => {
                if let Some(track) = self.tracks.remove(&request_id) {
                    self.outcome.refused_after_prefill += u64::from(track.prefilled);
                    self.partner(track.planned).refused += 1;
                }
            }
            Action::Fail { request_id, .. } => {
                if let Some(track) = self.tracks.remove(&request_id) {
                    self.partner(track.planned).failed += 1;
                }
            }
            engine => self.soon(HOP_US, Ev::Engine(index, incarnation, Box::new(engine))),
        }
    }

    fn partner(&mut self, planned: usize) -> &mut PartnerOutcome {
        &mut self.outcome.partners[self.plan[planned].source]
    }

    fn ledger_actions(&mut self, index: usize, actions: Vec<LedgerAction>) {
        let incarnation = self.daemons[index].incarnation;
        for action in actions {
            match action {
                LedgerAction::Send { to, message } => {
                    self.outcome.messages += 1;
                    let Some(home) = self.daemons.iter().position(|daemon| daemon.host == to) else {
                        continue;
                    };
                    let hop_us = if home == index { 0 } else { HOP_US };
                    let to = self.daemons[home].incarnation;
                    self.soon(hop_us, Ev::Daemon(home, to, Box::new(Event::Slot(message))));
                }
                LedgerAction::Cancel { server, request_id } => {
                    let cancel = Action::Cancel { request_id, server };
                    self.soon(HOP_US, Ev::Engine(index, incarnation, Box::new(cancel)));
                }
                LedgerAction::Wake { at_us } => {
                    self.at(at_us.0.max(self.now_us + 1), Ev::Tick(index, incarnation));
                }
            }
        }
    }

    fn is_alive(&self, index: usize, incarnation: Incarnation) -> bool {
        self.daemons[index].alive && self.daemons[index].incarnation == incarnation
    }

    fn step(&mut self, event: Ev) {
        match event {
            Ev::Arrive(planned) => self.arrive(planned),
            Ev::Leave(request_id) => self.leave(request_id),
            Ev::Daemon(index, incarnation, event) => {
                if self.is_alive(index, incarnation) {
                    self.note(&event);
                    self.tell(index, *event);
                }
            }
            Ev::Peer(to, from, incarnation, message) => self.peer(to, from, incarnation, *message),
            Ev::Tick(index, incarnation) => {
                if self.is_alive(index, incarnation) {
                    let mut actions = Vec::new();
                    self.daemons[index].watcher.tick(MonoTime(self.now_us), &mut actions);
                    self.ledger_actions(index, actions);
                    self.tell(index, Event::Tick);
                }
            }
            Ev::Probe(index, request_id, servers) => {
                let loads = servers.map(|server| (server, self.load_of(server)));
                self.soon(HOP_US, Ev::Probed(index, request_id, loads));
            }
            Ev::Probed(index, request_id, loads) => {
                let mut wishes = Vec::new();
                let now_us = MonoTime(self.now_us);
                self.daemons[index].baseline.probed(now_us, request_id, loads, &mut wishes);
                self.wishes(index, wishes);
            }
            Ev::Later(index, request_id) => {
                let mut wishes = Vec::new();
                self.daemons[index].baseline.retry(MonoTime(self.now_us), request_id, &mut wishes);
                self.wishes(index, wishes);
            }
            Ev::Engine(index, incarnation, action) => self.engine(index, incarnation, *action),
            Ev::PrefillEnd(server, generation) => self.prefill_end(server, generation),
            Ev::Evict(server, request_id) => {
                if !self.prefill[server].pinned.contains(&request_id) {
                    self.prefill[server].results.remove(&request_id);
                }
            }
            Ev::TransferEnd(source, server, request_id, attempt) => {
                self.transfer_end(source, server, request_id, attempt);
            }
            Ev::Step(server) => self.decode_step(server),
            Ev::Silence(index, request_id, attempt, since_us, limit_us) => {
                self.silence(index, request_id, attempt, since_us, limit_us);
            }
            Ev::Report => self.report(),
            Ev::Reported(server, held, seen) => self.reported(server, held, seen),
            Ev::Second(second) => self.second(second),
            Ev::Detected(index) => {
                self.daemons[index].listed = false;
                let gone = self.daemons[index].incarnation;
                for daemon in &mut self.daemons {
                    daemon.watcher.forget_home(MonoTime(self.now_us), gone);
                }
                self.assign_watchers(false);
                self.prefill.iter_mut().for_each(|engine| engine.cancel_owner(gone));
                self.decode.iter_mut().for_each(|engine| engine.seats.retain(|id, _| id.incarnation != gone));
            }
            Ev::Back(index) => {
                let life = self.daemons[index].incarnation.0 + 1;
                self.daemons[index] = new_daemon(&self.scenario, index, life);
                let records = self.records();
                self.tell(index, Event::Servers(records));
                self.assign_watchers(false);
            }
        }
    }

    fn arrive(&mut self, planned: usize) {
        // The balancer sends to a daemon that lives.
        let count = self.daemons.len();
        let first = self.plan[planned].daemon;
        let index =
            (first..first + count).map(|index| index % count).find(|&index| self.daemons[index].alive);
        let index = index.unwrap();
        let daemon = &mut self.daemons[index];
        daemon.sequence += 1;
        let request_id = RequestId { incarnation: daemon.incarnation, sequence: daemon.sequence };
        let source = &self.scenario.sources[self.plan[planned].source];
        let event = Event::Arrive(arrival(source, &self.plan[planned], request_id));
        let track = Track { planned, first_us: None, tokens: 0, last_us: self.now_us, prefilled: false };
        self.tracks.insert(request_id, track);
        if let Some(after_us) = self.plan[planned].leaves_after_us {
            self.soon(after_us, Ev::Leave(request_id));
        } else {
            self.partner(planned).arrivals += 1;
        }
        self.tell(index, event);
    }

    fn home_of(&self, request_id: RequestId) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.alive && daemon.incarnation == request_id.incarnation)
    }

    fn leave(&mut self, request_id: RequestId) {
        if self.tracks.remove(&request_id).is_some()
            && let Some(index) = self.home_of(request_id)
        {
            self.tell(index, Event::CallerLeft { request_id });
        }
    }

    /// Looks at what the daemon is told: this is what its caller sees.
    fn note(&mut self, event: &Event) {
        match *event {
            Event::FirstToken { request_id } => {
                if let Some(track) = self.tracks.get_mut(&request_id) {
                    track.first_us.get_or_insert(self.now_us);
                }
            }
            Event::Finished { request_id, tokens } => {
                let Some(track) = self.tracks.remove(&request_id) else {
                    return;
                };
                if self.plan[track.planned].leaves_after_us.is_some() {
                    return;
                }
                let planned = &self.plan[track.planned];
                let source = &self.scenario.sources[planned.source];
                let target_ms = if planned.tight { source.tight_ms } else { source.loose_ms };
                let first_us = track.first_us.unwrap_or(self.now_us);
                let in_time = first_us <= planned.at_us + target_ms * 1_000;
                let pace_us = (self.now_us - first_us) / tokens.0.max(2).saturating_sub(1);
                let good = in_time && pace_us <= PER_TOKEN_TARGET_MS * 1_000;
                let tight = planned.tight;
                if !in_time {
                    self.outcome.late[usize::from(!tight)] += 1;
                }
                self.outcome.slow += u64::from(in_time && !good);
                let planned = &self.plan[track.planned];
                let second = (planned.at_us / SECOND_US) as usize;
                let partner = self.partner(track.planned);
                partner.answered += 1;
                partner.good += u64::from(good);
                partner.note_second(second, good);
            }
            _ => {}
        }
    }

    fn peer(&mut self, to: usize, from: usize, incarnation: Incarnation, message: SlotMessage) {
        if !self.daemons[to].alive {
            return;
        }
        let mut actions = Vec::new();
        let host = self.daemons[from].host.clone();
        let server = message.server().clone();
        self.daemons[to].watcher.handle(MonoTime(self.now_us), &host, incarnation, message, &mut actions);
        let ledger = self.daemons[to].watcher.ledger(&server);
        if ledger.is_some_and(|ledger| ledger.counters().closed > 0) {
            self.outcome.closed_at_us.get_or_insert(self.now_us);
        }
        self.ledger_actions(to, actions);
    }

    fn is_cut(&self, server: usize) -> bool {
        self.cut && server.is_multiple_of(4)
    }

    fn answer(&mut self, index: usize, incarnation: Incarnation, event: Event) {
        self.soon(HOP_US, Ev::Daemon(index, incarnation, Box::new(event)));
    }

    fn engine(&mut self, index: usize, incarnation: Incarnation, action: Action) {
        match action {
            Action::StartPrefill { request_id, attempt, server, from_index, priority, .. } => {
                let server = self.number(&server);
                if let Some(track) = self.tracks.get_mut(&request_id) {
                    track.prefilled = true;
                    let planned = &self.plan[track.planned];
                    let tokens = planned.prompt + from_index.0;
                    let blocks = planned.blocks.clone();
                    let job = Job { request_id, attempt, home: index, tokens, blocks, priority };
                    if self.is_cut(server) {
                        return;
                    }
                    self.prefill[server].queue.push(job);
                    self.start_prefill(server);
                }
            }
            Action::Import { request_id, attempt, source, server, rate_bytes_per_s, .. } => {
                let (source, server) = (self.number(&source), self.number(&server));
                self.import(index, incarnation, request_id, attempt, (source, server), rate_bytes_per_s.0);
            }
            Action::Decode { request_id, attempt, server, token_timeout_ms, .. } => {
                let server = self.number(&server);
                let since_us = self.now_us;
                if let Some(track) = self.tracks.get_mut(&request_id) {
                    track.last_us = since_us;
                }
                let limit_us = token_timeout_ms.0 * 1_000;
                self.soon(limit_us, Ev::Silence(index, request_id, attempt, since_us, limit_us));
                if let Some(seat) = self.decode_at(server).seats.get_mut(&request_id) {
                    seat.decoding = true;
                    self.wake_decode(server);
                }
            }
            Action::Cancel { request_id, server } => {
                let server = self.number(&server);
                if server < self.prefill.len() {
                    self.prefill[server].cancel(request_id);
                    self.start_prefill(server);
                } else {
                    self.decode_at(server).seats.remove(&request_id);
                }
            }
            _ => {}
        }
    }

    fn start_prefill(&mut self, server: usize) {
        if let Some(uncached) = self.prefill[server].start_next() {
            let work_us = uncached * PREFILL_TOKEN_US * self.prefill[server].slow;
            self.outcome.prefill_tokens += uncached;
            let generation = self.prefill[server].generation;
            self.soon(work_us, Ev::PrefillEnd(server, generation));
        }
    }

    fn prefill_end(&mut self, server: usize, generation: u64) {
        let engine = &mut self.prefill[server];
        if engine.generation != generation || engine.mute {
            return;
        }
        let Some((job, cached)) = engine.running.take() else {
            return;
        };
        engine.store(&job.blocks);
        let second = (self.now_us / SECOND_US) as usize;
        self.outcome.read_by_second.resize(self.outcome.read_by_second.len().max(second + 1), 0);
        self.outcome.read_by_second[second] += job.tokens;
        engine.results.insert(job.request_id, job.tokens);
        let request_id = job.request_id;
        let event = Event::PrefillDone {
            request_id,
            attempt: job.attempt,
            kv_bytes: Bytes(job.tokens * KV_PER_TOKEN),
            cached_tokens: Tokens(cached),
            evict_after_ms: Millis(EVICT_MS),
        };
        self.answer(job.home, request_id.incarnation, event);
        self.soon(EVICT_MS * 1_000, Ev::Evict(server, request_id));
        self.start_prefill(server);
    }

    fn import(
        &mut self,
        index: usize,
        incarnation: Incarnation,
        request_id: RequestId,
        attempt: Attempt,
        (source, server): (usize, usize),
        rate: u64,
    ) {
        let fail = |cause| {
            let stage = WorkStage::Import;
            Event::Failed { request_id, attempt, stage, cause, tokens: Tokens(0) }
        };
        if self.is_cut(server) {
            return;
        }
        let Some(&tokens) = self.prefill[source].results.get(&request_id) else {
            self.answer(index, incarnation, fail(FailureCause::Gone));
            return;
        };
        let Some(track) = self.tracks.get(&request_id) else {
            return;
        };
        let answer = self.plan[track.planned].answer;
        let seat = Seat { home: index, attempt, decoding: false, answer, written: track.tokens, rate };
        if !self.decode_at(server).take(request_id, seat) {
            self.answer(index, incarnation, fail(FailureCause::NoRoom));
            return;
        }
        self.prefill[source].pinned.insert(request_id);
        let move_us = tokens * KV_PER_TOKEN * 1_000 / (rate / 1_000).max(1);
        self.soon(move_us, Ev::TransferEnd(source, server, request_id, attempt));
    }

    fn transfer_end(&mut self, source: usize, server: usize, request_id: RequestId, attempt: Attempt) {
        if self.decode_at(server).mute {
            return;
        }
        self.prefill[source].results.remove(&request_id);
        self.prefill[source].pinned.remove(&request_id);
        let Some(home) = self.decode_at(server).seats.get(&request_id).map(|seat| seat.home) else {
            return;
        };
        self.answer(home, request_id.incarnation, Event::Imported { request_id, attempt });
    }

    fn wake_decode(&mut self, server: usize) {
        let engine = self.decode_at(server);
        if engine.stepping || engine.mute || !engine.seats.values().any(|seat| seat.decoding) {
            return;
        }
        engine.stepping = true;
        let step_us = engine.step_us();
        self.soon(step_us, Ev::Step(server));
    }

    fn decode_step(&mut self, server: usize) {
        let engine = self.decode_at(server);
        engine.stepping = false;
        if engine.mute {
            return;
        }
        let mut told = VecDeque::new();
        for (&request_id, seat) in engine.seats.iter_mut().filter(|(_, seat)| seat.decoding) {
            seat.written += 1;
            told.push_back((request_id, seat.home, seat.written, seat.written >= seat.answer));
        }
        engine.seats.retain(|_, seat| !seat.decoding || seat.written < seat.answer);
        told.make_contiguous().sort_unstable();
        for (request_id, home, written, done) in told {
            if let Some(track) = self.tracks.get_mut(&request_id) {
                track.tokens = written;
                track.last_us = self.now_us;
            }
            let incarnation = request_id.incarnation;
            if written == 1 {
                self.answer(home, incarnation, Event::FirstToken { request_id });
            }
            if done {
                self.answer(home, incarnation, Event::Finished { request_id, tokens: Tokens(written) });
            } else if written % PROGRESS_EVERY == 0 {
                self.answer(home, incarnation, Event::Progress { request_id, tokens: Tokens(written) });
            }
        }
        self.wake_decode(server);
    }

    fn silence(
        &mut self,
        index: usize,
        request_id: RequestId,
        attempt: Attempt,
        since_us: u64,
        limit_us: u64,
    ) {
        let Some(track) = self.tracks.get(&request_id).copied() else {
            return;
        };
        if track.last_us <= since_us {
            let event = Event::Failed {
                request_id,
                attempt,
                stage: WorkStage::Decode,
                cause: FailureCause::Timeout,
                tokens: Tokens(track.tokens),
            };
            self.answer(index, request_id.incarnation, event);
            return;
        }
        let at_us = track.last_us + limit_us;
        self.at(at_us, Ev::Silence(index, request_id, attempt, track.last_us, limit_us));
    }

    fn load_of(&self, server: usize) -> Seen {
        let Some(engine) = self.prefill.get(server) else {
            let engine = &self.decode[server - self.prefill.len()];
            return Seen { wait_us: 0, free: engine.slots as i64 - engine.seats.len() as i64 };
        };
        Seen { wait_us: engine.backlog_tokens() * PREFILL_TOKEN_US, free: 0 }
    }

    fn report(&mut self) {
        let second = self.now_us / SECOND_US;
        let dark = self.scenario.faults.blackout.is_some_and(|(from, until)| (from..until).contains(&second));
        for server in (0..self.prefill.len() + self.decode.len()).filter(|_| !dark) {
            let seen = self.load_of(server);
            let held = match server.checked_sub(self.prefill.len()) {
                Some(number) => self.decode[number].seats.keys().copied().collect(),
                None => Vec::new(),
            };
            self.soon(REPORT_LAG_US, Ev::Reported(server, held, seen));
        }
        self.soon(REPORT_EVERY_US, Ev::Report);
    }

    fn reported(&mut self, server: usize, held: Vec<RequestId>, seen: Seen) {
        self.daemons.iter_mut().for_each(|daemon| daemon.baseline.report(server, seen));
        let owner = self.watchers[server];
        let report = HeldReport { as_of_us: Micros(REPORT_LAG_US), held };
        let (name, mut actions) = (self.name(server), Vec::new());
        self.daemons[owner].watcher.report(MonoTime(self.now_us), &name, &report, &mut actions);
        self.ledger_actions(owner, actions);
    }

    fn second(&mut self, second: u64) {
        let faults = &self.scenario.faults;
        self.cut = faults.cut.is_some_and(|(from, until)| (from..until).contains(&second));
        if faults.mute_prefill_at == Some(second) {
            self.prefill[0].mute = true;
        }
        if faults.mute_decode_at == Some(second) {
            self.decode[0].mute = true;
        }
        let replaced = faults.replace_at.and_then(|from| second.checked_sub(from));
        let half = self.daemons.len() / 2;
        if let Some(index) = replaced.filter(|&index| (index as usize) < half) {
            let index = index as usize;
            self.daemons[index].alive = false;
            let gone = self.daemons[index].incarnation;
            self.outcome.lost_with_daemon +=
                self.tracks.keys().filter(|id| id.incarnation == gone).count() as u64;
            self.soon(DETECT_US, Ev::Detected(index));
            self.soon(DETECT_US * 3, Ev::Back(index));
        }
    }

    fn finish(mut self) -> Outcome {
        self.outcome.engine_refusals = self.decode.iter().map(|engine| engine.refused).sum();
        self.outcome.most_link = self.decode.iter().map(|engine| engine.most_link).max().unwrap_or(0);
        self.outcome.link = LINK;
        self.outcome.unanswered = self.tracks.len() as u64;
        self.outcome.held_at_end = self.decode.iter().map(|engine| engine.seats.len() as u64).sum();
        for daemon in &self.daemons {
            let counters = daemon.scheduler.counters();
            self.outcome.wasted_tokens += counters.wasted_total().0 + daemon.baseline.wasted;
            self.outcome.retries += counters.retries;
            for (index, cause) in WasteCause::ALL.into_iter().enumerate() {
                let wasted = counters.wasted(cause).0;
                match self.outcome.wasted_by.get_mut(index) {
                    Some((_, tokens)) => *tokens += wasted,
                    None => self.outcome.wasted_by.push((cause.as_str(), wasted)),
                }
            }
            self.outcome.turns_returned += counters.turns_returned;
            for server in daemon.watcher.servers() {
                let ledger = daemon.watcher.ledger(server).unwrap().counters();
                self.outcome.over_committed += ledger.over_committed;
                self.outcome.closed += ledger.closed;
            }
        }
        self.outcome
    }
}

fn new_daemon(scenario: &Scenario, index: usize, life: u128) -> Daemon {
    let seed = scenario.seed * 1_000 + index as u64;
    let queue = QueueSettings { order: scenario.order, ..QueueSettings::default() };
    let ledger = LedgerSettings { queue, ..LedgerSettings::default() };
    let settings = SchedulerSettings { start: scenario.start, ..SchedulerSettings::default() };
    Daemon {
        host: format!("h{index}").parse().unwrap(),
        incarnation: Incarnation((index as u128 + 1) * 1_000 + life),
        alive: true,
        listed: true,
        scheduler: Scheduler::new(settings, seed),
        watcher: Watcher::new(ledger),
        baseline: Baseline::new(scenario.placement, scenario.prefills, scenario.decodes, seed + 77),
        sequence: 0,
    }
}

fn mix(value: u64) -> u64 {
    let mixed = (value ^ (value >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 7
}
