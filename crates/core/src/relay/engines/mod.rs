//! Placing requests for a model on engines that read prompts and engines that write answers.
//!
//! Each daemon places the requests that it took in. A place to write is reserved before the prompt is read: a
//! KV cache that finds no writer within half a second is lost, and the reading was in vain.

mod engine;
mod events;

use std::collections::HashMap;

use crate::ids::{BackendServerId, HostId, RequestId};
use crate::outcome::{AttemptEnd, Attempts, NoRetry, Outcome};
use crate::sched::{FailureCause, InstanceSettings, RetryBudget};
use crate::units::{Micros, Millis, MonoTime, Tokens};

use engine::Engine;
pub use events::{
    Demand, EngineAction, EngineCounters, EngineEvent, EngineRefusal, Holding, Holdings, ListedEngine, Role,
    ToldLoad,
};

/// Limits of an [`EnginePool`].
#[derive(Clone, Copy, Debug)]
pub struct EnginePoolSettings {
    /// How engines are judged.
    pub instance: InstanceSettings,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: Tokens,
    /// Part of the memory that is filled at most, in percent. Answers grow beyond what was expected, and an
    /// engine without memory throws a running request out.
    pub fill_percent: u64,
    /// Tokens that one event of a stream stands for.
    pub event_tokens: u64,
    /// For how long an engine keeps a slot and memory; zero where engines keep none.
    pub reserve_ms_max: Millis,
    /// For how long a read prompt waits to be fetched.
    pub hold_ms: Millis,
    /// Requests that wait for an engine at most. Beyond, the oldest would have been refused before the newest
    /// had its turn.
    pub waiting_max: usize,
    /// Tokens that a reading engine takes in a millisecond until it was observed.
    pub read_tokens_per_ms: f64,
    /// Time that reading may take beyond what is expected before it counts as failed.
    pub read_slack_ms: Millis,
    /// Retries that one arrival pays for, in percent.
    pub retry_percent: u64,
    /// Retries saved up at most.
    pub retry_burst: u64,
}

impl Default for EnginePoolSettings {
    fn default() -> Self {
        Self {
            instance: InstanceSettings::default(),
            memory_tokens: Tokens(80_000),
            fill_percent: 95,
            event_tokens: 1,
            reserve_ms_max: Millis::ZERO,
            hold_ms: Millis(500),
            waiting_max: 256,
            read_tokens_per_ms: 50.0,
            read_slack_ms: Millis(1_000),
            retry_percent: 20,
            retry_burst: 8,
        }
    }
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting,
    /// A writer is asked to keep room.
    Reserving {
        writer: usize,
    },
    Reading {
        reader: usize,
        writer: usize,
    },
    Writing {
        writer: usize,
        since_us: MonoTime,
    },
}

#[derive(Clone, Debug)]
struct Open {
    demand: Demand,
    /// Memory for its prompt and its answer, as expected.
    room: Tokens,
    arrived_us: MonoTime,
    /// Since when it waits for an engine, the last time.
    waits_since_us: MonoTime,
    /// Whether its caller has got a part of the answer.
    begun: bool,
    stage: Stage,
    tries: Attempts,
    reads: u32,
    /// The engine that read the prompt, and when, while the KV cache may still be there.
    read: Option<(usize, MonoTime)>,
    failed_at: Option<usize>,
}

/// Places the requests of one daemon for one service of engines.
#[derive(Debug)]
pub struct EnginePool {
    settings: EnginePoolSettings,
    engines: Vec<Engine>,
    names: HashMap<BackendServerId, usize>,
    open: HashMap<RequestId, Open>,
    waiting: Vec<RequestId>,
    budget: RetryBudget,
    counters: EngineCounters,
    wake_us: Option<MonoTime>,
    /// Length of an answer, over those that have ended.
    usual_answer: Option<f64>,
    /// Time for which a request keeps its memory, over those that have ended.
    usual_hold_us: f64,
    /// Memory that the other daemons' waiting requests will take.
    peers_waiting: HashMap<HostId, Tokens>,
    /// Where the look for an engine begins, so that equals are taken in turn.
    turn: usize,
}

impl EnginePool {
    /// A pool that knows no engines yet.
    pub fn new(settings: EnginePoolSettings, turn: usize) -> Self {
        Self {
            settings,
            engines: Vec::new(),
            names: HashMap::new(),
            open: HashMap::new(),
            waiting: Vec::new(),
            budget: RetryBudget::empty(settings.retry_percent, settings.retry_burst),
            counters: EngineCounters::default(),
            wake_us: None,
            usual_answer: None,
            usual_hold_us: FIRST_HOLD_US,
            peers_waiting: HashMap::new(),
            turn,
        }
    }

    /// What it decided so far.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }

    /// What this daemon has at the engines, for the other daemons to know.
    pub fn holdings(&self) -> Holdings {
        let rooms = self.waiting.iter().map(|request_id| self.open[request_id].room);
        Holdings {
            waiting: rooms.fold(Tokens::ZERO, |sum, room| sum + room),
            engines: self.engines.iter().filter_map(Engine::holding).collect(),
        }
    }

    /// Changes the limits; what was decided stays.
    pub fn configure(&mut self, settings: EnginePoolSettings) {
        self.budget.configure(settings.retry_percent, settings.retry_burst);
        self.settings = settings;
    }

    /// Takes an event and pushes what is to be done.
    pub fn handle(&mut self, now_us: MonoTime, event: EngineEvent, actions: &mut Vec<EngineAction>) {
        match event {
            EngineEvent::Arrive(demand) => self.arrive(now_us, demand, actions),
            EngineEvent::Reserved { request_id } => self.reserved(now_us, request_id, actions),
            EngineEvent::ReserveFailed { request_id, cause } => {
                self.reserve_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::PromptRead { request_id } => self.prompt_read(now_us, request_id, actions),
            EngineEvent::ReadFailed { request_id, cause } => {
                self.read_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::Started { request_id } => self.started(request_id),
            EngineEvent::WriteFailed { request_id, cause } => {
                self.write_failed(now_us, request_id, cause, actions);
            }
            EngineEvent::Finished { request_id, events } => {
                self.finished(now_us, request_id, events);
            }
            EngineEvent::CallerLeft { request_id } => self.caller_left(now_us, request_id),
            EngineEvent::Engines(list) => self.adopt(list),
            EngineEvent::Sign { server, sign } => {
                if let Some(&index) = self.names.get(&server) {
                    self.engines[index].instance.sign(now_us, sign);
                }
            }
            EngineEvent::Load { server, load, age_us } => {
                if let Some(&index) = self.names.get(&server) {
                    self.engines[index].told(now_us, load, age_us);
                }
            }
            EngineEvent::Peer { host, holdings } => {
                for engine in &mut self.engines {
                    let at_engine = |holding: &&Holding| holding.server == *engine.instance.server();
                    engine.peer(&host, holdings.engines.iter().find(at_engine));
                }
                self.peers_waiting.insert(host, holdings.waiting);
            }
            EngineEvent::Tick => {}
        }
        self.expire(now_us, actions);
        self.serve(now_us, actions);
        self.wake(now_us, actions);
    }

    fn adopt(&mut self, list: Vec<ListedEngine>) {
        for engine in &mut self.engines {
            engine.instance.unlist();
        }
        for listed in list {
            if let Some(&index) = self.names.get(&listed.server) {
                self.engines[index].relist(&listed);
            } else {
                self.names.insert(listed.server.clone(), self.engines.len());
                self.engines.push(Engine::new(self.settings.instance, listed));
            }
        }
    }

    /// Takes a request in, or refuses it.
    ///
    /// Load: bursts of several times the mean for some seconds. Harm prevented: callers who wait for an engine
    /// that cannot come free for them in time.
    fn arrive(&mut self, now_us: MonoTime, demand: Demand, actions: &mut Vec<EngineAction>) {
        self.counters.arrivals += 1;
        self.budget.deposit();
        let request_id = demand.request_id;
        if self.open.contains_key(&request_id) {
            return;
        }
        let tries = Attempts::new(demand.repeatability, demand.attempts_max);
        let room = demand.prompt_tokens + self.expected_answer(&demand);
        let open = Open {
            demand,
            room,
            arrived_us: now_us,
            waits_since_us: now_us,
            begun: false,
            stage: Stage::Waiting,
            tries,
            reads: 0,
            read: None,
            failed_at: None,
        };
        self.open.insert(request_id, open);
        if !self.has_writer(now_us) {
            self.refuse(request_id, EngineRefusal::NoEngine, actions);
        } else if self.waiting.len() >= self.settings.waiting_max || self.would_be_late(now_us, request_id) {
            self.refuse(request_id, EngineRefusal::WouldWaitTooLong, actions);
        } else {
            self.waiting.push(request_id);
        }
    }

    /// Whether a request would wait for a writer beyond its target.
    ///
    /// Load: bursts of some seconds above what the writers can hold. Harm prevented: every request waits a little
    /// too long, and all of them are late; told at once, a part of the callers comes back when the burst is over,
    /// and the others are in time.
    fn would_be_late(&self, now_us: MonoTime, request_id: RequestId) -> bool {
        let demand = &self.open[&request_id].demand;
        let reading_ms = Millis(demand.prompt_tokens.0 / self.settings.read_tokens_per_ms.max(1.0) as u64);
        let limit_us = Micros::from(demand.target_ms.saturating_sub(reading_ms + START_MARGIN_MS));
        self.expected_wait_us(now_us, self.open[&request_id].room) > limit_us
    }

    /// Time until there is room for one more request behind all that wait at all daemons.
    fn expected_wait_us(&self, now_us: MonoTime, room: Tokens) -> Micros {
        let limit = self.memory_limit();
        let writers = || self.engines.iter().filter(|engine| engine.is_writer(now_us));
        let free = writers().fold(Tokens::ZERO, |sum, writer| sum + limit.saturating_sub(writer.room()));
        let ahead =
            self.holdings().waiting + self.peers_waiting.values().fold(room, |sum, waiting| sum + *waiting);
        let missing = ahead.saturating_sub(free);
        let freed_per_us = (writers().count() as u64 * limit.0) as f64 / self.usual_hold_us;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
        Micros((missing.0 as f64 / freed_per_us.max(f64::MIN_POSITIVE)) as u64)
    }

    fn memory_limit(&self) -> Tokens {
        Tokens(self.settings.memory_tokens.0 * self.settings.fill_percent / 100)
    }

    /// Callers' hints are right in the middle and often far off; what answers usually are is known better the more
    /// of them have ended. The geometric mean weighs both alike, as both scatter by factors.
    fn expected_answer(&self, demand: &Demand) -> Tokens {
        let longest = demand.answer_tokens_max.0 as f64;
        let usual = self.usual_answer.unwrap_or(longest / 2.0);
        let hinted = demand.answer_tokens_hint.map_or(usual, |hint| hint.0 as f64);
        let expected = (usual * hinted).sqrt() * ANSWER_MARGIN;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
        Tokens(expected.min(longest) as u64)
    }

    fn has_writer(&self, now_us: MonoTime) -> bool {
        self.engines
            .iter()
            .any(|engine| engine.role == Role::Decode && engine.instance.is_listed_live(now_us))
    }

    /// Places waiting requests, the most urgent first, for as long as there is room.
    fn serve(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        while let Some(position) = self.most_urgent(now_us) {
            let request_id = self.waiting[position];
            if !self.place(now_us, request_id, actions) {
                return;
            }
            self.waiting.retain(|&waiting| waiting != request_id);
        }
    }

    /// Answers that broke off go on first: half an answer is worth nothing. Then, requests that can still be in time
    /// go before those that cannot: a place given to a late one makes the next one late as well. Among equals the
    /// smaller rank, then the one that came first.
    fn most_urgent(&self, now_us: MonoTime) -> Option<usize> {
        let key = |request_id: &RequestId| {
            let open = &self.open[request_id];
            let late = now_us >= open.arrived_us + open.demand.target_ms;
            (!open.begun, late, open.demand.priority, open.arrived_us, *request_id)
        };
        (0..self.waiting.len()).min_by_key(|&position| key(&self.waiting[position]))
    }

    /// Chooses engines for a request; false when there is no room for it.
    fn place(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<EngineAction>) -> bool {
        let open = &self.open[&request_id];
        let (room, failed_at) = (open.room, open.failed_at);
        let Some(writer) = self.choose_writer(now_us, room, failed_at) else {
            return false;
        };
        self.engines[writer].hold(room);
        self.engines[writer].instance.start(now_us);
        if self.settings.reserve_ms_max == Millis::ZERO {
            self.read(now_us, request_id, writer, actions);
            return true;
        }
        if let Some(open) = self.open.get_mut(&request_id) {
            open.stage = Stage::Reserving { writer };
        }
        actions.push(EngineAction::Reserve {
            request_id,
            writer: self.engines[writer].instance.server().clone(),
            tokens: room,
            keep_ms: self.settings.reserve_ms_max,
            timeout_ms: RESERVE_TIMEOUT_MS,
        });
        true
    }

    fn reserved(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<EngineAction>) {
        if let Some(Stage::Reserving { writer }) = self.open.get(&request_id).map(|open| open.stage) {
            self.read(now_us, request_id, writer, actions);
        }
    }

    /// Nothing was sent that could run, so another engine is asked without any cost to the budget.
    fn reserve_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Reserving { writer } = open.stage else {
            return;
        };
        open.stage = Stage::Waiting;
        let room = open.room;
        self.give_back(now_us, writer, room, cause);
        self.wait_again(now_us, request_id, actions);
    }

    /// A writer did not take a request.
    fn give_back(&mut self, now_us: MonoTime, writer: usize, room: Tokens, cause: FailureCause) {
        let engine = &mut self.engines[writer];
        engine.release(room);
        engine.instance.fail(now_us, cause, true);
        if cause == FailureCause::NoRoom {
            engine.refused(now_us);
        }
    }

    /// Has the prompt read for `writer`, or lets it go on from a KV cache that is still kept.
    fn read(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        writer: usize,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get(&request_id) else {
            return;
        };
        let (prompt_tokens, failed_at, read) = (open.demand.prompt_tokens, open.failed_at, open.read);
        let kept = read.filter(|&(_, read_us)| now_us < read_us + self.settings.hold_ms);
        let reader = match kept {
            Some(_) => None,
            None => self.choose_reader(now_us, failed_at),
        };
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        if let Some(reader) = reader {
            let is_further = open.reads > 0;
            open.stage = Stage::Writing { writer, since_us: now_us };
            if is_further && !self.budget.withdraw() {
                self.counters.retries_denied += 1;
                self.give_up(request_id, actions);
                return;
            }
            open.reads += 1;
            open.stage = Stage::Reading { reader, writer };
            self.counters.retries += u64::from(is_further);
            self.engines[reader].start_reading(now_us, prompt_tokens);
            let expected_ms = self.engines[reader].reading_ms(self.settings.read_tokens_per_ms);
            actions.push(EngineAction::Read {
                request_id,
                reader: self.engines[reader].instance.server().clone(),
                timeout_ms: expected_ms + self.settings.read_slack_ms,
            });
            return;
        }
        self.write(now_us, request_id, writer, kept.map(|(reader, _)| reader), actions);
    }

    /// Sends a request to the engine that writes its answer.
    fn write(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        writer: usize,
        reader: Option<usize>,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        open.stage = Stage::Writing { writer, since_us: now_us };
        let is_further = open.tries.made() > 0;
        let allowed = open.tries.may_begin().is_ok() && (!is_further || self.budget.withdraw());
        if !allowed || open.tries.begin().is_err() {
            self.counters.retries_denied += 1;
            self.give_up(request_id, actions);
            return;
        }
        self.counters.retries += u64::from(is_further);
        actions.push(EngineAction::Write {
            request_id,
            writer: self.engines[writer].instance.server().clone(),
            reader: reader.map(|reader| self.engines[reader].instance.server().clone()),
        });
    }

    /// The writer whose memory is least filled. Memory binds before slots: an engine that runs out of it throws
    /// a running request out, and the pause makes that answer late.
    fn choose_writer(&mut self, now_us: MonoTime, held: Tokens, failed_at: Option<usize>) -> Option<usize> {
        let limit = self.memory_limit();
        let fits = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role == Role::Decode
                && Some(*index) != failed_at
                && !engine.is_full(now_us)
                && engine.has_slot(now_us)
                && (engine.room() == Tokens::ZERO || engine.room() + held <= limit)
        };
        self.turn = self.turn.wrapping_add(1);
        let count = self.engines.len().max(1);
        let order = (0..self.engines.len()).map(|step| (step + self.turn) % count);
        order.filter(fits).min_by_key(|&index| self.engines[index].fullness(now_us))
    }

    /// The reader with the least to read.
    fn choose_reader(&mut self, now_us: MonoTime, failed_at: Option<usize>) -> Option<usize> {
        let fits = |index: &usize| {
            let engine = &self.engines[*index];
            engine.role == Role::Prefill && Some(*index) != failed_at && engine.has_slot(now_us)
        };
        let count = self.engines.len().max(1);
        let order = (0..self.engines.len()).map(|step| (step + self.turn) % count);
        order.filter(fits).min_by_key(|&index| self.engines[index].reading_all())
    }

    fn prompt_read(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<EngineAction>) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Reading { reader, writer } = open.stage else {
            return;
        };
        open.read = Some((reader, now_us));
        let prompt_tokens = open.demand.prompt_tokens;
        self.engines[reader].end_reading(prompt_tokens);
        self.engines[reader].instance.finish(Micros::ZERO);
        self.write(now_us, request_id, writer, Some(reader), actions);
    }

    fn read_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Reading { reader, writer } = open.stage else {
            return;
        };
        open.stage = Stage::Waiting;
        open.failed_at = Some(reader);
        let (prompt_tokens, room) = (open.demand.prompt_tokens, open.room);
        self.engines[reader].end_reading(prompt_tokens);
        self.engines[reader].instance.fail(now_us, cause, true);
        self.engines[writer].release(room);
        self.engines[writer].instance.abandon(now_us);
        self.wait_again(now_us, request_id, actions);
    }

    fn started(&mut self, request_id: RequestId) {
        if let Some(open) = self.open.get_mut(&request_id) {
            open.read = None;
            open.begun = true;
        }
    }

    fn write_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Writing { writer, .. } = open.stage else {
            return;
        };
        open.stage = Stage::Waiting;
        // What a failed try brought is never a whole answer.
        let _ = open.tries.end(end_of(cause));
        if cause == FailureCause::Gone {
            // The KV cache is lost, not the writer.
            open.read = None;
        } else {
            open.failed_at = Some(writer);
        }
        let room = open.room;
        self.give_back(now_us, writer, room, cause);
        self.wait_again(now_us, request_id, actions);
    }

    /// Has a request wait for other engines, or ends it by what its tries prove.
    fn wait_again(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<EngineAction>) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        if open.begun {
            open.waits_since_us = now_us;
        }
        match open.tries.may_begin() {
            Ok(()) if self.has_writer(now_us) => self.waiting.push(request_id),
            Ok(()) | Err(NoRetry::Exhausted | NoRetry::MayHaveRun | NoRetry::Reported) => {
                self.give_up(request_id, actions);
            }
        }
    }

    /// Ends a request that is not tried again.
    fn give_up(&mut self, request_id: RequestId, actions: &mut Vec<EngineAction>) {
        let may_have_run =
            self.open.get(&request_id).is_some_and(|open| open.tries.outcome() != Outcome::NotRun);
        if may_have_run {
            self.close(request_id);
            self.counters.unknown += 1;
            actions.push(EngineAction::Unknown { request_id });
        } else {
            self.refuse(request_id, EngineRefusal::RetriesSpent, actions);
        }
    }

    fn refuse(&mut self, request_id: RequestId, reason: EngineRefusal, actions: &mut Vec<EngineAction>) {
        self.close(request_id);
        self.counters.refused += 1;
        actions.push(EngineAction::Refuse { request_id, reason, retry_after_ms: RETRY_AFTER_MS });
    }

    /// Forgets a request and gives back what was reserved for it.
    fn close(&mut self, request_id: RequestId) -> Option<Open> {
        self.waiting.retain(|&waiting| waiting != request_id);
        let open = self.open.remove(&request_id)?;
        let held = open.room;
        match open.stage {
            Stage::Waiting => {}
            Stage::Reserving { writer } => {
                self.engines[writer].release(held);
                self.engines[writer].instance.abandon(MonoTime::default());
            }
            Stage::Reading { reader, writer } => {
                self.engines[reader].end_reading(open.demand.prompt_tokens);
                self.engines[reader].instance.abandon(MonoTime::default());
                self.engines[writer].release(held);
                self.engines[writer].instance.abandon(MonoTime::default());
            }
            Stage::Writing { writer, .. } => {
                self.engines[writer].release(held);
                self.engines[writer].instance.abandon(MonoTime::default());
            }
        }
        Some(open)
    }

    fn finished(&mut self, now_us: MonoTime, request_id: RequestId, events: u64) {
        let Some(open) = self.open.remove(&request_id) else {
            return;
        };
        self.counters.answered += 1;
        if let Stage::Writing { writer, since_us } = open.stage {
            let seen = (events * self.settings.event_tokens) as f64;
            let usual = self.usual_answer.unwrap_or(seen);
            self.usual_answer = Some(usual + ANSWER_WEIGHT * (seen - usual));
            let held_us = now_us.since(since_us).0 as f64;
            self.usual_hold_us += ANSWER_WEIGHT * (held_us - self.usual_hold_us);
            self.engines[writer].release(open.room);
            self.engines[writer].instance.finish(now_us.since(since_us));
        }
    }

    fn caller_left(&mut self, _now_us: MonoTime, request_id: RequestId) {
        self.close(request_id);
    }

    /// Refuses requests whose patience ended while they waited.
    fn expire(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let expired: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|request_id| {
                let open = &self.open[*request_id];
                now_us >= open.waits_since_us + open.demand.patience_ms
            })
            .copied()
            .collect();
        for request_id in expired {
            let ran = self.open[&request_id].tries.outcome() != Outcome::NotRun;
            if ran {
                self.give_up(request_id, actions);
            } else {
                self.refuse(request_id, EngineRefusal::WouldWaitTooLong, actions);
            }
        }
    }

    fn wake(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let expiry = |request_id: &RequestId| {
            let open = &self.open[request_id];
            open.waits_since_us + open.demand.patience_ms
        };
        let expiry_us = self.waiting.iter().map(expiry).min();
        let retry_us = (!self.waiting.is_empty()).then(|| now_us + LOOK_AGAIN_MS);
        let Some(at_us) = [expiry_us, retry_us].into_iter().flatten().min() else {
            return;
        };
        if self.wake_us.is_none_or(|known_us| known_us <= now_us || at_us < known_us) {
            self.wake_us = Some(at_us);
            actions.push(EngineAction::Wake { at_us });
        }
    }
}

/// Room for answers that grow longer than expected: an engine that runs out of memory throws a request out, and
/// reading its prompt again costs more than the room.
const ANSWER_MARGIN: f64 = 1.25;

/// Time for which a request keeps its memory, until it was observed: some thousand tokens at the usual pace.
const FIRST_HOLD_US: f64 = 3_000_000.0;

/// Kept back of the target for messages and for the first step of the writer.
const START_MARGIN_MS: Millis = Millis(100);

/// Weight of the latest answer's length.
const ANSWER_WEIGHT: f64 = 0.05;

/// An engine answers a reservation within two round trips; a silent one must not cost a request its target.
const RESERVE_TIMEOUT_MS: Millis = Millis(150);

/// Told to a caller who is refused: the burst that filled the engines lasts some seconds, and an answer takes
/// one or two to be written.
const RETRY_AFTER_MS: Millis = Millis(1_500);

/// Pause between looks at engines that were full by what they told: that knowledge becomes old by itself.
const LOOK_AGAIN_MS: Millis = Millis(50);

/// What a failed try proves.
fn end_of(cause: FailureCause) -> AttemptEnd {
    match cause {
        FailureCause::NotSent => AttemptEnd::NotSent,
        FailureCause::NoRoom | FailureCause::Leaving | FailureCause::Gone => AttemptEnd::Declined,
        FailureCause::Timeout | FailureCause::Broken | FailureCause::Refused => AttemptEnd::MayHaveRun,
    }
}
