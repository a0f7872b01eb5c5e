//! Which requests are taken in, and how long they may wait.

use super::EnginePool;
use super::engine::Engine;
use super::events::{Demand, EngineAction, EngineRefusal, Role};
use super::open_request::{Open, Payment, Stage};
use super::prefill::START_MARGIN_MS;
use crate::allowance::ASK_AGAIN_MS;
use crate::ids::RequestId;
use crate::outcome::{Attempts, Outcome};
use crate::units::{Micros, Millis, MonoTime, Tokens};

impl EnginePool {
    /// Takes a request in, or refuses it.
    ///
    /// Load: bursts of several times the mean for some seconds. Harm prevented: callers who wait for an engine
    /// that cannot come free for them in time.
    pub(super) fn arrive(&mut self, now_us: MonoTime, demand: Demand, actions: &mut Vec<EngineAction>) {
        self.counters.arrivals += 1;
        self.budget.arrived();
        let hinted = demand.answer_tokens_hint.unwrap_or(Tokens(demand.answer_tokens_max.0 / 2));
        self.fading.seen.note_prompt(demand.prompt_tokens, hinted);
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
            payment: Payment::None,
            progress: None,
        };
        self.open.insert(request_id, open);
        if !self.has_writer(now_us) {
            self.refuse(now_us, request_id, EngineRefusal::NoEngine, actions);
        } else if self.waiting.len() >= self.settings.waiting_max || self.would_be_late(now_us, request_id) {
            self.refuse(now_us, request_id, EngineRefusal::WouldWaitTooLong, actions);
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
        let open = &self.open[&request_id];
        let backlog = self.least_backlog(now_us);
        let reading_ms = self.expected_reading_ms(&open.demand, backlog);
        let within_ms =
            if self.is_late(now_us, open, backlog) { open.patience_ms() } else { open.demand.target_ms };
        let limit_us = Micros::from(within_ms.saturating_sub(reading_ms + START_MARGIN_MS));
        let is_limited = self.limited_wait(now_us).is_some_and(|wait_us| wait_us > limit_us);
        is_limited || self.expected_wait_us(now_us, open.room).is_none_or(|wait_us| wait_us > limit_us)
    }

    /// Time until a writer takes one more request, where all have used up the limits that they state.
    pub(super) fn limited_wait(&self, now_us: MonoTime) -> Option<Micros> {
        let writers = self.engines.iter().filter(|engine| engine.is_writer(now_us));
        let opens_us: Option<Vec<MonoTime>> =
            writers.map(|writer| writer.instance.limited_until(now_us)).collect();
        Some(opens_us?.into_iter().min()?.since(now_us))
    }

    /// Time until there is room for one more request behind all that wait at all daemons; `None` while no writer takes
    /// any, for then nothing that is known says when.
    pub(super) fn expected_wait_us(&self, now_us: MonoTime, room: Tokens) -> Option<Micros> {
        let limit = self.memory_limit();
        let writers = || self.engines.iter().filter(|engine| engine.is_writer(now_us));
        let peak = |writer: &Engine| writer.peak(now_us, &self.usual, None);
        let count = writers().count();
        if count == 0 {
            return None;
        }
        let usual = self.usual_room().max(1);
        let whole = |free: Tokens| Tokens(free.0 / usual * usual);
        let free =
            writers().fold(Tokens::ZERO, |sum, writer| sum + whole(limit.saturating_sub(peak(writer))));
        let ahead = self.waiting_room(now_us) + self.peers.waiting() + room;
        let missing = ahead.saturating_sub(free);
        let freed_per_us = (count as u64 * limit.0) as f64 / self.usual_hold_us();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
        Some(Micros((missing.0 as f64 / freed_per_us.max(f64::MIN_POSITIVE)) as u64))
    }

    /// Memory that a request of usual size takes when it ends, in tokens.
    fn usual_room(&self) -> u64 {
        let (prompt, answer) = (self.usual.prompt(), self.usual.answer());
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
        let room = (prompt.unwrap_or_default() + answer.unwrap_or_default()) as u64;
        room
    }

    /// Memory that the requests which wait here will take. Those that are late already wait behind all others.
    pub(super) fn waiting_room(&self, now_us: MonoTime) -> Tokens {
        if self.waiting.is_empty() {
            return Tokens::ZERO;
        }
        let waiting = self.waiting.iter().map(|request_id| &self.open[request_id]);
        let backlog = self.least_backlog(now_us);
        let rooms = waiting.filter(|open| !self.is_late(now_us, open, backlog)).map(|open| open.room);
        rooms.fold(Tokens::ZERO, |sum, room| sum + room)
    }

    /// Memory that late requests leave free for those that can still be in time. One daemon does not see who waits at
    /// the others, so the order among all of them is kept by this room.
    pub(super) fn late_limit(&self) -> Tokens {
        Tokens(self.memory_limit().0 * LATE_FILL_PERCENT / 100)
    }

    pub(super) fn memory_limit(&self) -> Tokens {
        Tokens(self.settings.memory_tokens.0 * self.settings.fill_percent / 100)
    }

    /// Callers' hints are right in the middle and often far off; what answers usually are is known better the more
    /// of them have ended. The geometric mean weighs both alike, as both scatter by factors.
    fn expected_answer(&self, demand: &Demand) -> Tokens {
        let longest = demand.answer_tokens_max.0 as f64;
        let usual = self.usual.answer().unwrap_or(longest / 2.0);
        let hinted = demand.answer_tokens_hint.map_or(usual, |hint| hint.0 as f64);
        let expected = (usual * hinted).sqrt() * ANSWER_MARGIN;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
        Tokens(expected.min(longest) as u64)
    }

    pub(super) fn has_writer(&self, now_us: MonoTime) -> bool {
        self.engines
            .iter()
            .any(|engine| engine.role == Role::Decode && engine.instance.is_listed_live(now_us))
    }

    /// Refuses requests whose patience ended while they waited, and those that are late while others can still be in time.
    ///
    /// Load: bursts of some seconds beyond what engines can do. Harm prevented: whoever is late yields to those who are not,
    /// and gets no place before the burst is over; told at once, its caller comes back when it is.
    pub(super) fn expire(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let backlog = self.least_backlog(now_us);
        let in_time = self.waiting_room(now_us) + self.peers.waiting();
        let expired: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|request_id| {
                let open = &self.open[*request_id];
                let not_run = open.tries.outcome() == Outcome::NotRun;
                let yields = not_run && in_time > Tokens::ZERO && self.is_late(now_us, open, backlog);
                yields || now_us >= open.waits_since_us + open.patience_ms()
            })
            .copied()
            .collect();
        for request_id in expired {
            let ran = self.open[&request_id].tries.outcome() != Outcome::NotRun;
            if ran {
                self.give_up(now_us, request_id, actions);
            } else {
                self.refuse(now_us, request_id, EngineRefusal::WouldWaitTooLong, actions);
            }
        }
    }

    pub(super) fn wake(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let expiry = |request_id: &RequestId| {
            let open = &self.open[request_id];
            open.waits_since_us + open.patience_ms()
        };
        let expiry_us = self.waiting.iter().map(expiry).min();
        let owes = self.waiting.iter().any(|request_id| self.open[request_id].owes());
        let look_ms = if owes { ASK_AGAIN_MS } else { LOOK_AGAIN_MS };
        let retry_us = (!self.waiting.is_empty()).then(|| now_us + look_ms);
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

/// Pause between looks at engines that were full by what they told: that knowledge becomes old by itself.
const LOOK_AGAIN_MS: Millis = Millis(50);

/// Part of the memory limit that late requests may fill, in percent: a writer then has room for one more request of
/// usual size.
const LATE_FILL_PERCENT: u64 = 80;
