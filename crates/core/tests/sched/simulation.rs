//! Simulation in virtual time: independent daemons, engines, message delays and delayed load reports.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use hibiscusvale_core::ids::{BackendServerId, HostId, Incarnation, RequestId};
use hibiscusvale_core::sched::{
    Action, Arrival, Attempt, Event, FailureCause, Scheduler, SchedulerSettings, ServerRecord, ServerState,
    WasteCause, WorkStage, time_to_outcome,
};
use hibiscusvale_core::slots::{
    HeldReport, LedgerAction, LedgerSettings, QueueSettings, Role, SlotMessage, Watcher,
};
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Micros, Millis, MonoTime, Tokens};

use super::baseline::{Baseline, BaselineAction, KnownLoad, server_name};
use super::engines::{DecodeEngine, Job, PrefillEngine, SlotHolder};
use super::load::{
    PER_TOKEN_TARGET_MS, PREFILL_TOKEN_US, Placement, PlannedArrival, Scenario, arrival, plan,
};
use super::outcome::{Outcome, PartnerOutcome};

pub const HOP_DELAY_US: u64 = 1_500;
const KV_BYTES_PER_TOKEN: u64 = 128 << 10;
const LINK_BYTES_PER_S: u64 = 2_500_000_000;
const EVICT_MS: u64 = 800;
const REPORT_INTERVAL_US: u64 = 500_000;
const REPORT_LAG_US: u64 = 500_000;
const FAILURE_DETECTION_US: u64 = 1_000_000;
const COMPLETION_US: u64 = 25_000_000;
const SECOND_US: u64 = 1_000_000;
const PROGRESS_INTERVAL_TOKENS: u64 = 8;

#[derive(Debug)]
enum SimEvent {
    Arrive(usize),
    Disconnect(RequestId),
    LimitReached(RequestId),
    ToDaemon(usize, Incarnation, Box<Event>),
    ToWatcher(usize, usize, Incarnation, Box<SlotMessage>),
    Tick(usize, Incarnation),
    Probed(usize, RequestId, [(usize, KnownLoad); 2]),
    Probe(usize, RequestId, [usize; 2]),
    RetryAt(usize, RequestId),
    ToEngine(usize, Incarnation, Box<Action>),
    PrefillEnd(usize, u64),
    Evict(usize, RequestId),
    TransferEnd(usize, usize, RequestId, Attempt),
    Step(usize),
    TokenTimeout(usize, RequestId, Attempt, u64, u64),
    Report,
    Reported(usize, Vec<RequestId>, KnownLoad),
    Second(u64),
    FailureDetected(usize),
    Restarted(usize),
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
struct TrackedRequest {
    planned: usize,
    first_us: Option<u64>,
    tokens: u64,
    last_us: u64,
    prefilled: bool,
}

pub struct Simulation {
    scenario: Scenario,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimEvent>,
    sequence: u64,
    daemons: Vec<Daemon>,
    prefill: Vec<PrefillEngine>,
    decode: Vec<DecodeEngine>,
    watchers: Vec<usize>,
    plan: Vec<PlannedArrival>,
    tracked: HashMap<RequestId, TrackedRequest>,
    outcome: Outcome,
    is_partition_active: bool,
}

impl Simulation {
    pub fn run(scenario: Scenario) -> Outcome {
        let plan = plan(&scenario);
        let mut simulation = Self::new(scenario, plan);
        simulation.start();
        let caller_limit_us = simulation.scenario.caller_limit_ms.unwrap_or(0) * 1_000;
        let end_us = simulation.scenario.seconds * SECOND_US + COMPLETION_US.max(caller_limit_us);
        while let Some(Reverse((at_us, id))) = simulation.queue.pop() {
            if at_us > end_us {
                break;
            }
            simulation.now_us = at_us;
            let event = simulation.events.remove(&id).unwrap();
            simulation.step(event);
        }
        simulation.finish()
    }

    fn new(scenario: Scenario, plan: Vec<PlannedArrival>) -> Self {
        let partners = scenario.sources.iter().map(|source| PartnerOutcome::new(&source.name)).collect();
        let outcome = Outcome { partners, ..Outcome::default() };
        let daemons = (0..scenario.daemons).map(|index| new_daemon(&scenario, index, 1)).collect();
        let slots = 20;
        let prefill =
            (0..scenario.prefills).map(|_| PrefillEngine { slowdown: 1, ..PrefillEngine::default() });
        let decode =
            (0..scenario.decodes).map(|_| DecodeEngine { slots, slowdown: 1, ..DecodeEngine::default() });
        Self {
            now_us: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            daemons,
            prefill: prefill.collect(),
            decode: decode.collect(),
            watchers: Vec::new(),
            plan,
            tracked: HashMap::new(),
            outcome,
            is_partition_active: false,
            scenario,
        }
    }

    fn start(&mut self) {
        let faults = self.scenario.faults.clone();
        if faults.slow_all > 0 {
            self.prefill.iter_mut().for_each(|engine| engine.slowdown = faults.slow_all);
            self.decode.iter_mut().for_each(|engine| engine.slowdown = faults.slow_all);
        }
        if faults.slow_prefill {
            self.prefill[0].slowdown = 10;
        }
        if faults.slow_decode {
            self.decode[0].slowdown = 10;
        }
        self.assign_watchers(true);
        for index in 0..self.daemons.len() {
            let records = self.records();
            self.deliver(index, Event::Servers(records));
        }
        for index in 0..self.plan.len() {
            self.schedule_at(self.plan[index].at_us, SimEvent::Arrive(index));
        }
        self.schedule_at(0, SimEvent::Report);
        (0..self.scenario.seconds)
            .for_each(|second| self.schedule_at(second * SECOND_US, SimEvent::Second(second)));
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
            link_bytes_per_s: BytesPerSecond(LINK_BYTES_PER_S),
            state: ServerState::Live,
        }
    }

    fn name(&self, server: usize) -> BackendServerId {
        server_name(self.prefill.len(), server)
    }

    fn index_of(&self, server: &BackendServerId) -> usize {
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

    fn schedule_at(&mut self, at_us: u64, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn schedule_in(&mut self, after_us: u64, event: SimEvent) {
        self.schedule_at(self.now_us + after_us, event);
    }

    /// Assigns each server to a live daemon. A new watcher grants nothing until the previous grants are known
    /// or expired.
    fn assign_watchers(&mut self, first: bool) {
        let live = (0..self.daemons.len()).filter(|&index| self.daemons[index].listed).collect::<Vec<_>>();
        let others = live.iter().map(|&index| self.daemons[index].incarnation).collect::<Vec<_>>();
        let now_us = MonoTime(self.now_us);
        for server in 0..self.prefill.len() + self.decode.len() {
            let rank = |index: &usize| hash(server as u64 * 1_000 + *index as u64);
            let owner = live.iter().copied().max_by_key(rank).unwrap();
            let before = self.watchers.get(server).copied();
            let name = self.name(server);
            let unchanged = before == Some(owner) && self.daemons[owner].watcher.ledger(&name).is_some();
            if unchanged {
                continue;
            }
            let mut actions = Vec::new();
            if let Some(before) = before.filter(|&before| before != owner) {
                self.daemons[before].watcher.unwatch(now_us, &name, &mut actions);
                self.ledger_actions(before, actions);
            }
            let others = if first { Vec::new() } else { others.clone() };
            let (role, link) = (self.role(server), BytesPerSecond(LINK_BYTES_PER_S));
            self.daemons[owner].watcher.watch(now_us, &name, role, 20, link, &others);
            if first {
                self.watchers.push(owner);
                continue;
            }
            self.watchers[server] = owner;
            for &index in &live {
                self.deliver(index, Event::WatcherChanged { server: name.clone() });
            }
        }
    }

    fn deliver(&mut self, index: usize, event: Event) {
        let now_us = MonoTime(self.now_us);
        if self.scenario.placement != Placement::Ledger {
            let mut baseline_actions = Vec::new();
            self.daemons[index].baseline.handle(now_us, event, &mut baseline_actions);
            self.apply_baseline(index, baseline_actions);
            return;
        }
        let mut actions = Vec::new();
        self.daemons[index].scheduler.handle(now_us, event, &mut actions);
        actions.into_iter().for_each(|action| self.apply(index, action));
    }

    fn apply_baseline(&mut self, index: usize, baseline_actions: Vec<BaselineAction>) {
        for action in baseline_actions {
            match action {
                BaselineAction::Perform(action) => self.apply(index, action),
                BaselineAction::Probe(request_id, servers) => {
                    self.schedule_in(HOP_DELAY_US, SimEvent::Probe(index, request_id, servers))
                }
                BaselineAction::RetryAt(request_id, at_us) => {
                    self.schedule_at(at_us, SimEvent::RetryAt(index, request_id))
                }
            }
        }
    }

    fn apply(&mut self, index: usize, action: Action) {
        let incarnation = self.daemons[index].incarnation;
        match action {
            Action::Send(message) => {
                self.outcome.messages += 1;
                let owner = self.watchers[self.index_of(message.server())];
                let hop_us = if owner == index { 0 } else { HOP_DELAY_US };
                self.schedule_in(hop_us, SimEvent::ToWatcher(owner, index, incarnation, Box::new(message)));
            }
            Action::Wake { at_us } => {
                self.schedule_at(at_us.0.max(self.now_us + 1), SimEvent::Tick(index, incarnation))
            }
            Action::Refuse { request_id, .. } => {
                if let Some(track) = self.tracked.remove(&request_id) {
                    self.outcome.refused_after_prefill += u64::from(track.prefilled);
                    self.partner(track.planned).refused += 1;
                }
            }
            Action::Fail { request_id, .. } => {
                if let Some(track) = self.tracked.remove(&request_id) {
                    self.partner(track.planned).failed += 1;
                }
            }
            engine => {
                self.schedule_in(HOP_DELAY_US, SimEvent::ToEngine(index, incarnation, Box::new(engine)))
            }
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
                    let Some(daemon) = self.daemons.iter().position(|daemon| daemon.host == to) else {
                        continue;
                    };
                    let hop_us = if daemon == index { 0 } else { HOP_DELAY_US };
                    let to = self.daemons[daemon].incarnation;
                    self.schedule_in(hop_us, SimEvent::ToDaemon(daemon, to, Box::new(Event::Slot(message))));
                }
                LedgerAction::Cancel { server, request_id } => {
                    let cancel = Action::Cancel { request_id, server };
                    self.schedule_in(HOP_DELAY_US, SimEvent::ToEngine(index, incarnation, Box::new(cancel)));
                }
                LedgerAction::Wake { at_us } => {
                    self.schedule_at(at_us.0.max(self.now_us + 1), SimEvent::Tick(index, incarnation));
                }
            }
        }
    }

    fn is_alive(&self, index: usize, incarnation: Incarnation) -> bool {
        self.daemons[index].alive && self.daemons[index].incarnation == incarnation
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(planned) => self.arrive(planned),
            SimEvent::Disconnect(request_id) => self.disconnect(request_id),
            SimEvent::LimitReached(request_id) => {
                // A daemon that died took the request with it.
                let is_open = self.tracked.contains_key(&request_id) && self.daemon_of(request_id).is_some();
                self.outcome.without_outcome += u64::from(is_open);
                self.disconnect(request_id);
            }
            SimEvent::ToDaemon(index, incarnation, event) => {
                if self.is_alive(index, incarnation) {
                    self.observe(&event);
                    self.deliver(index, *event);
                }
            }
            SimEvent::ToWatcher(to, from, incarnation, message) => {
                self.deliver_to_watcher(to, from, incarnation, *message)
            }
            SimEvent::Tick(index, incarnation) => {
                if self.is_alive(index, incarnation) {
                    let mut actions = Vec::new();
                    self.daemons[index].watcher.tick(MonoTime(self.now_us), &mut actions);
                    self.ledger_actions(index, actions);
                    self.deliver(index, Event::Tick);
                }
            }
            SimEvent::Probe(index, request_id, servers) => {
                let loads = servers.map(|server| (server, self.load_of(server)));
                self.schedule_in(HOP_DELAY_US, SimEvent::Probed(index, request_id, loads));
            }
            SimEvent::Probed(index, request_id, loads) => {
                let mut baseline_actions = Vec::new();
                let now_us = MonoTime(self.now_us);
                self.daemons[index].baseline.probed(now_us, request_id, loads, &mut baseline_actions);
                self.apply_baseline(index, baseline_actions);
            }
            SimEvent::RetryAt(index, request_id) => {
                let mut baseline_actions = Vec::new();
                self.daemons[index].baseline.retry(MonoTime(self.now_us), request_id, &mut baseline_actions);
                self.apply_baseline(index, baseline_actions);
            }
            SimEvent::ToEngine(index, incarnation, action) => self.engine(index, incarnation, *action),
            SimEvent::PrefillEnd(server, generation) => self.prefill_end(server, generation),
            SimEvent::Evict(server, request_id) => {
                if !self.prefill[server].pinned.contains(&request_id) {
                    self.prefill[server].results.remove(&request_id);
                }
            }
            SimEvent::TransferEnd(source, server, request_id, attempt) => {
                self.transfer_end(source, server, request_id, attempt);
            }
            SimEvent::Step(server) => self.decode_step(server),
            SimEvent::TokenTimeout(index, request_id, attempt, since_us, limit_us) => {
                self.check_token_timeout(index, request_id, attempt, since_us, limit_us);
            }
            SimEvent::Report => self.report(),
            SimEvent::Reported(server, held, load) => self.reported(server, held, load),
            SimEvent::Second(second) => self.apply_faults(second),
            SimEvent::FailureDetected(index) => {
                self.daemons[index].listed = false;
                let failed = self.daemons[index].incarnation;
                for daemon in &mut self.daemons {
                    daemon.watcher.forget_daemon(MonoTime(self.now_us), failed);
                }
                self.assign_watchers(false);
                self.prefill.iter_mut().for_each(|engine| engine.cancel_owner(failed));
                self.decode
                    .iter_mut()
                    .for_each(|engine| engine.holders.retain(|id, _| id.incarnation != failed));
            }
            SimEvent::Restarted(index) => {
                let incarnation = self.daemons[index].incarnation.0 + 1;
                self.daemons[index] = new_daemon(&self.scenario, index, incarnation);
                let records = self.records();
                self.deliver(index, Event::Servers(records));
                self.assign_watchers(false);
            }
        }
    }

    fn arrive(&mut self, planned: usize) {
        // The load balancer skips failed daemons.
        let count = self.daemons.len();
        let first = self.plan[planned].daemon;
        let index =
            (first..first + count).map(|index| index % count).find(|&index| self.daemons[index].alive);
        let index = index.unwrap();
        let daemon = &mut self.daemons[index];
        daemon.sequence += 1;
        let request_id = RequestId { incarnation: daemon.incarnation, sequence: daemon.sequence };
        let source = &self.scenario.sources[self.plan[planned].source];
        let stated_ms = self.scenario.caller_limit_ms.filter(|_| self.scenario.states_limit);
        let time_left_ms = stated_ms.map(|limit_ms| time_to_outcome(Millis(limit_ms)));
        let arrival = Arrival { time_left_ms, ..arrival(source, &self.plan[planned], request_id) };
        let event = Event::Arrive(arrival);
        let track =
            TrackedRequest { planned, first_us: None, tokens: 0, last_us: self.now_us, prefilled: false };
        self.tracked.insert(request_id, track);
        if let Some(after_us) = self.plan[planned].disconnects_after_us {
            self.schedule_in(after_us, SimEvent::Disconnect(request_id));
        } else {
            self.partner(planned).arrivals += 1;
            if let Some(limit_ms) = self.scenario.caller_limit_ms {
                self.schedule_in(limit_ms * 1_000, SimEvent::LimitReached(request_id));
            }
        }
        self.deliver(index, event);
    }

    fn daemon_of(&self, request_id: RequestId) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.alive && daemon.incarnation == request_id.incarnation)
    }

    fn disconnect(&mut self, request_id: RequestId) {
        if self.tracked.remove(&request_id).is_some()
            && let Some(index) = self.daemon_of(request_id)
        {
            self.deliver(index, Event::CallerLeft { request_id });
        }
    }

    /// Records the events that the caller observes.
    fn observe(&mut self, event: &Event) {
        match *event {
            Event::FirstToken { request_id } => {
                if let Some(track) = self.tracked.get_mut(&request_id) {
                    track.first_us.get_or_insert(self.now_us);
                }
            }
            Event::Finished { request_id, tokens } => {
                let Some(track) = self.tracked.remove(&request_id) else {
                    return;
                };
                if self.plan[track.planned].disconnects_after_us.is_some() {
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
                    self.outcome.missed_first_token[usize::from(!tight)] += 1;
                }
                self.outcome.missed_per_token += u64::from(in_time && !good);
                let planned = &self.plan[track.planned];
                let second = (planned.at_us / SECOND_US) as usize;
                let partner = self.partner(track.planned);
                partner.answered += 1;
                partner.good += u64::from(good);
                partner.record_second(second, good);
            }
            _ => {}
        }
    }

    fn deliver_to_watcher(&mut self, to: usize, from: usize, incarnation: Incarnation, message: SlotMessage) {
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

    fn is_partitioned(&self, server: usize) -> bool {
        self.is_partition_active && server.is_multiple_of(4)
    }

    fn reply(&mut self, index: usize, incarnation: Incarnation, event: Event) {
        self.schedule_in(HOP_DELAY_US, SimEvent::ToDaemon(index, incarnation, Box::new(event)));
    }

    fn engine(&mut self, index: usize, incarnation: Incarnation, action: Action) {
        match action {
            Action::StartPrefill { request_id, attempt, server, from_index, priority, .. } => {
                let server = self.index_of(&server);
                if let Some(track) = self.tracked.get_mut(&request_id) {
                    track.prefilled = true;
                    let planned = &self.plan[track.planned];
                    let tokens = planned.prompt + from_index.0;
                    let blocks = planned.blocks.clone();
                    let job = Job { request_id, attempt, daemon: index, tokens, blocks, priority };
                    if self.is_partitioned(server) {
                        return;
                    }
                    self.prefill[server].queue.push(job);
                    self.start_prefill(server);
                }
            }
            Action::Import { request_id, attempt, source, server, rate_bytes_per_s, .. } => {
                let (source, server) = (self.index_of(&source), self.index_of(&server));
                self.import(index, incarnation, request_id, attempt, (source, server), rate_bytes_per_s.0);
            }
            Action::Decode { request_id, attempt, server, token_timeout_ms, .. } => {
                let server = self.index_of(&server);
                let since_us = self.now_us;
                if let Some(track) = self.tracked.get_mut(&request_id) {
                    track.last_us = since_us;
                }
                let limit_us = token_timeout_ms.0 * 1_000;
                self.schedule_in(
                    limit_us,
                    SimEvent::TokenTimeout(index, request_id, attempt, since_us, limit_us),
                );
                if let Some(holder) = self.decode_at(server).holders.get_mut(&request_id) {
                    holder.decoding = true;
                    self.wake_decode(server);
                }
            }
            Action::Cancel { request_id, server } => {
                let server = self.index_of(&server);
                if server < self.prefill.len() {
                    self.prefill[server].cancel(request_id);
                    self.start_prefill(server);
                } else {
                    self.decode_at(server).holders.remove(&request_id);
                }
            }
            _ => {}
        }
    }

    fn start_prefill(&mut self, server: usize) {
        if let Some(uncached) = self.prefill[server].start_next() {
            let work_us = uncached * PREFILL_TOKEN_US * self.prefill[server].slowdown;
            self.outcome.prefill_tokens += uncached;
            let generation = self.prefill[server].generation;
            self.schedule_in(work_us, SimEvent::PrefillEnd(server, generation));
        }
    }

    fn prefill_end(&mut self, server: usize, generation: u64) {
        let engine = &mut self.prefill[server];
        if engine.generation != generation || engine.unresponsive {
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
            kv_bytes: Bytes(job.tokens * KV_BYTES_PER_TOKEN),
            cached_tokens: Tokens(cached),
            evict_after_ms: Millis(EVICT_MS),
        };
        self.reply(job.daemon, request_id.incarnation, event);
        self.schedule_in(EVICT_MS * 1_000, SimEvent::Evict(server, request_id));
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
        if self.is_partitioned(server) {
            return;
        }
        let Some(&tokens) = self.prefill[source].results.get(&request_id) else {
            self.reply(index, incarnation, fail(FailureCause::Gone));
            return;
        };
        let Some(track) = self.tracked.get(&request_id) else {
            return;
        };
        let answer = self.plan[track.planned].answer;
        let holder = SlotHolder {
            daemon: index,
            attempt,
            decoding: false,
            answer,
            tokens_written: track.tokens,
            rate,
        };
        if !self.decode_at(server).reserve(request_id, holder) {
            self.reply(index, incarnation, fail(FailureCause::NoRoom));
            return;
        }
        self.prefill[source].pinned.insert(request_id);
        let move_us = tokens * KV_BYTES_PER_TOKEN * 1_000 / (rate / 1_000).max(1);
        self.schedule_in(move_us, SimEvent::TransferEnd(source, server, request_id, attempt));
    }

    fn transfer_end(&mut self, source: usize, server: usize, request_id: RequestId, attempt: Attempt) {
        if self.decode_at(server).unresponsive {
            return;
        }
        self.prefill[source].results.remove(&request_id);
        self.prefill[source].pinned.remove(&request_id);
        let Some(daemon) = self.decode_at(server).holders.get(&request_id).map(|holder| holder.daemon) else {
            return;
        };
        self.reply(daemon, request_id.incarnation, Event::Imported { request_id, attempt });
    }

    fn wake_decode(&mut self, server: usize) {
        let engine = self.decode_at(server);
        if engine.is_stepping || engine.unresponsive || !engine.holders.values().any(|holder| holder.decoding)
        {
            return;
        }
        engine.is_stepping = true;
        let step_us = engine.step_us();
        self.schedule_in(step_us, SimEvent::Step(server));
    }

    fn decode_step(&mut self, server: usize) {
        let engine = self.decode_at(server);
        engine.is_stepping = false;
        if engine.unresponsive {
            return;
        }
        let mut updates = VecDeque::new();
        for (&request_id, holder) in engine.holders.iter_mut().filter(|(_, holder)| holder.decoding) {
            holder.tokens_written += 1;
            updates.push_back((
                request_id,
                holder.daemon,
                holder.tokens_written,
                holder.tokens_written >= holder.answer,
            ));
        }
        engine.holders.retain(|_, holder| !holder.decoding || holder.tokens_written < holder.answer);
        updates.make_contiguous().sort_unstable();
        for (request_id, daemon, tokens_written, done) in updates {
            if let Some(track) = self.tracked.get_mut(&request_id) {
                track.tokens = tokens_written;
                track.last_us = self.now_us;
            }
            let incarnation = request_id.incarnation;
            if tokens_written == 1 {
                self.reply(daemon, incarnation, Event::FirstToken { request_id });
            }
            if done {
                self.reply(
                    daemon,
                    incarnation,
                    Event::Finished { request_id, tokens: Tokens(tokens_written) },
                );
            } else if tokens_written % PROGRESS_INTERVAL_TOKENS == 0 {
                self.reply(
                    daemon,
                    incarnation,
                    Event::Progress { request_id, tokens: Tokens(tokens_written) },
                );
            }
        }
        self.wake_decode(server);
    }

    fn check_token_timeout(
        &mut self,
        index: usize,
        request_id: RequestId,
        attempt: Attempt,
        since_us: u64,
        limit_us: u64,
    ) {
        let Some(track) = self.tracked.get(&request_id).copied() else {
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
            self.reply(index, request_id.incarnation, event);
            return;
        }
        let at_us = track.last_us + limit_us;
        self.schedule_at(at_us, SimEvent::TokenTimeout(index, request_id, attempt, track.last_us, limit_us));
    }

    fn load_of(&self, server: usize) -> KnownLoad {
        let Some(engine) = self.prefill.get(server) else {
            let engine = &self.decode[server - self.prefill.len()];
            return KnownLoad { wait_us: 0, free: engine.slots as i64 - engine.holders.len() as i64 };
        };
        KnownLoad { wait_us: engine.backlog_tokens() * PREFILL_TOKEN_US, free: 0 }
    }

    fn report(&mut self) {
        let second = self.now_us / SECOND_US;
        let is_report_outage =
            self.scenario.faults.report_outage.is_some_and(|(from, until)| (from..until).contains(&second));
        for server in (0..self.prefill.len() + self.decode.len()).filter(|_| !is_report_outage) {
            let load = self.load_of(server);
            let held = match server.checked_sub(self.prefill.len()) {
                Some(number) => self.decode[number].holders.keys().copied().collect(),
                None => Vec::new(),
            };
            self.schedule_in(REPORT_LAG_US, SimEvent::Reported(server, held, load));
        }
        self.schedule_in(REPORT_INTERVAL_US, SimEvent::Report);
    }

    fn reported(&mut self, server: usize, held: Vec<RequestId>, load: KnownLoad) {
        self.daemons.iter_mut().for_each(|daemon| daemon.baseline.report(server, load));
        let owner = self.watchers[server];
        let report = HeldReport { as_of_us: Micros(REPORT_LAG_US), held };
        let (name, mut actions) = (self.name(server), Vec::new());
        self.daemons[owner].watcher.report(MonoTime(self.now_us), &name, &report, &mut actions);
        self.ledger_actions(owner, actions);
    }

    fn apply_faults(&mut self, second: u64) {
        let faults = &self.scenario.faults;
        self.is_partition_active =
            faults.partition.is_some_and(|(from, until)| (from..until).contains(&second));
        if faults.unresponsive_prefill_at == Some(second) {
            self.prefill[0].unresponsive = true;
        }
        if faults.unresponsive_decode_at == Some(second) {
            self.decode[0].unresponsive = true;
        }
        let replaced = faults.replace_at.and_then(|from| second.checked_sub(from));
        let half = self.daemons.len() / 2;
        if let Some(index) = replaced.filter(|&index| (index as usize) < half) {
            let index = index as usize;
            self.daemons[index].alive = false;
            let failed = self.daemons[index].incarnation;
            self.outcome.lost_with_daemon +=
                self.tracked.keys().filter(|id| id.incarnation == failed).count() as u64;
            self.schedule_in(FAILURE_DETECTION_US, SimEvent::FailureDetected(index));
            self.schedule_in(FAILURE_DETECTION_US * 3, SimEvent::Restarted(index));
        }
    }

    fn finish(mut self) -> Outcome {
        self.outcome.engine_refusals = self.decode.iter().map(|engine| engine.refused).sum();
        self.outcome.peak_link = self.decode.iter().map(|engine| engine.peak_link).max().unwrap_or(0);
        self.outcome.link = LINK_BYTES_PER_S;
        self.outcome.unanswered = self.tracked.len() as u64;
        self.outcome.held_at_end = self.decode.iter().map(|engine| engine.holders.len() as u64).sum();
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

fn new_daemon(scenario: &Scenario, index: usize, incarnation: u128) -> Daemon {
    let seed = scenario.seed * 1_000 + index as u64;
    let queue = QueueSettings { order: scenario.order, ..QueueSettings::default() };
    let ledger = LedgerSettings { queue, ..LedgerSettings::default() };
    let settings = SchedulerSettings { start: scenario.start, ..SchedulerSettings::default() };
    Daemon {
        host: format!("h{index}").parse().unwrap(),
        incarnation: Incarnation((index as u128 + 1) * 1_000 + incarnation),
        alive: true,
        listed: true,
        scheduler: Scheduler::new(settings, seed),
        watcher: Watcher::new(ledger),
        baseline: Baseline::new(scenario.placement, scenario.prefills, scenario.decodes, seed + 77),
        sequence: 0,
    }
}

fn hash(value: u64) -> u64 {
    let mixed = (value ^ (value >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 7
}
