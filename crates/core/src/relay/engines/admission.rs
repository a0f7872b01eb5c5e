//! Admission control: which requests are accepted, and how long they may wait.

use super::EnginePool;
use super::engine::Engine;
use super::events::{Demand, EngineAction, EngineRefusal, VersionBinding};
use super::open_request::{OpenRequest, Payment, Stage};
use super::prefill::START_MARGIN_MS;
use crate::ids::{RequestId, SoftwareVersion};
use crate::outcome::{Attempts, Outcome};
use crate::retry_budget::LENDER_TIMEOUT_MS;
use crate::units::{Micros, Millis, MonoTime, Tokens};

impl EnginePool {
    /// Accepts a request or refuses it. In bursts of several times the mean load, callers are refused at once
    /// when no engine can become free for them in time.
    ///
    /// A stream that its caller resumes counts as a new request: its first event was there, and what its caller has
    /// waited since must not make it yield to all others.
    pub(super) fn arrive(&mut self, now_us: MonoTime, mut demand: Demand, actions: &mut Vec<EngineAction>) {
        if demand.binding != VersionBinding::Any {
            demand.waited_ms = Millis::ZERO;
        }
        self.counters.arrivals += 1;
        self.budget.deposit();
        let hinted = demand.answer_tokens_hint.unwrap_or(Tokens(demand.answer_tokens_max.0 / 2));
        self.own_stats.stats.record_prompt(demand.prompt_tokens, hinted);
        let request_id = demand.request_id;
        if self.open.contains_key(&request_id) {
            return;
        }
        let attempts = Attempts::new(demand.repeatability, demand.attempts_max);
        let final_tokens = demand.prompt_tokens + self.expected_answer(&demand);
        let open = OpenRequest {
            demand,
            final_tokens,
            arrived_us: now_us,
            waits_since_us: now_us,
            has_started: false,
            stage: Stage::Waiting,
            attempts,
            prefills: 0,
            prefilled: None,
            failed_at: None,
            decode_version: SoftwareVersion::default(),
            payment: Payment::None,
            reported: None,
            progress: None,
        };
        self.open.insert(request_id, open);
        self.refresh_order(now_us);
        if let Some(reason) = self.unservable(now_us, &self.open[&request_id].demand.binding) {
            self.refuse(now_us, request_id, reason, actions);
        } else if self.waiting.len() >= self.settings.waiting_max
            || self.would_miss_target(now_us, request_id)
        {
            self.refuse(now_us, request_id, EngineRefusal::WouldWaitTooLong, actions);
        } else {
            self.waiting.push(request_id);
        }
    }

    /// Whether a request would wait for a decode engine beyond its target.
    ///
    /// In bursts that last some seconds and exceed the capacity of the decode engines, queueing everything
    /// makes every request slightly too late. Refusing some at once lets those callers retry after the burst
    /// while the others are answered in time.
    fn would_miss_target(&self, now_us: MonoTime, request_id: RequestId) -> bool {
        let open = &self.open[&request_id];
        let backlog = self.least_backlog(now_us);
        let prefill_ms = self.expected_prefill_ms(&open.demand, backlog);
        let within_ms =
            if self.is_late(now_us, open, backlog) { open.max_wait_ms() } else { open.demand.target_ms };
        let limit_us = Micros::from(within_ms.saturating_sub(prefill_ms + START_MARGIN_MS));
        // Requests of better rank arrive later and go before this one.
        let limit_us =
            if self.order.is_ranked { Micros(limit_us.0 * RANKED_WAIT_PERCENT / 100) } else { limit_us };
        let binding = &open.demand.binding;
        let is_limited = self.limited_wait(now_us, binding).is_some_and(|wait_us| wait_us > limit_us);
        let ahead = self.waiting_before(now_us, open) + open.final_tokens;
        let wait_us = self.expected_wait_us(now_us, ahead, binding);
        is_limited || wait_us.is_none_or(|wait_us| wait_us > limit_us)
    }

    /// Time until a decode engine accepts one more request with this binding, if all of them have used up the
    /// limits that they state; `None` if at least one has not.
    pub(super) fn limited_wait(&self, now_us: MonoTime, binding: &VersionBinding) -> Option<Micros> {
        let decode_engines = self
            .engines
            .iter()
            .filter(|engine| engine.accepts_decodes(now_us) && binding.allows(&engine.version));
        let opens_us: Option<Vec<MonoTime>> =
            decode_engines.map(|decode_engine| decode_engine.instance.limited_until(now_us)).collect();
        Some(opens_us?.into_iter().min()?.since(now_us))
    }

    /// Time until there is room for `ahead`, a request with this binding and all that goes before it; `None`
    /// while no decode engine accepts such requests, since nothing known tells when one will.
    pub(super) fn expected_wait_us(
        &self,
        now_us: MonoTime,
        ahead: Tokens,
        binding: &VersionBinding,
    ) -> Option<Micros> {
        let limit = self.memory_limit();
        let is_usable = |(index, engine): &(usize, &Engine)| {
            engine.accepts_decodes(now_us)
                && binding.allows(&engine.version)
                && !self.is_left_to_spill_over(now_us, *index, binding)
        };
        let decode_engines =
            || self.engines.iter().enumerate().filter(is_usable).map(|(_, decode_engine)| decode_engine);
        let spare = self.spare_elsewhere(binding);
        let peak = |decode_engine: &Engine| decode_engine.peak(now_us, &self.fleet_stats, None);
        let count = decode_engines().count();
        if count == 0 && spare == Tokens::ZERO {
            return None;
        }
        let free = decode_engines().fold(Tokens::ZERO, |sum, decode_engine| {
            sum + self.whole_requests(limit.saturating_sub(peak(decode_engine)))
        });
        let missing = ahead.saturating_sub(free + spare);
        // An engine of twice the mean speed frees its memory twice as fast.
        let speeds: f64 = decode_engines().map(|decode_engine| decode_engine.speed.decode).sum();
        let freed_per_us = speeds * limit.0 as f64 / self.typical_hold_us();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
        Some(Micros((missing.0 as f64 / freed_per_us.max(f64::MIN_POSITIVE)) as u64))
    }

    /// Memory in tokens that a request of typical size takes when it ends.
    pub(super) fn typical_final_tokens(&self) -> u64 {
        let (prompt, answer) = (self.fleet_stats.prompt(), self.fleet_stats.answer());
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
        let final_tokens = (prompt.unwrap_or_default() + answer.unwrap_or_default()) as u64;
        final_tokens
    }

    /// Memory that whole requests of typical size can take of `free`.
    pub(super) fn whole_requests(&self, free: Tokens) -> Tokens {
        let typical = self.typical_final_tokens().max(1);
        Tokens(free.0 / typical * typical)
    }

    /// Memory that the requests waiting at this daemon will take, without those that are already late: they
    /// wait behind all others.
    pub(super) fn waiting_tokens(&self, now_us: MonoTime) -> Tokens {
        if self.waiting.is_empty() {
            return Tokens::ZERO;
        }
        let waiting = self.waiting.iter().map(|request_id| &self.open[request_id]);
        let backlog = self.least_backlog(now_us);
        let sizes = waiting.filter(|open| !self.is_late(now_us, open, backlog)).map(|open| open.final_tokens);
        sizes.fold(Tokens::ZERO, |sum, final_tokens| sum + final_tokens)
    }

    /// Memory limit for late requests; the rest stays free for requests that can still be in time. A daemon
    /// does not see the queues of the others, so this reserve keeps the order across daemons.
    pub(super) fn late_limit(&self) -> Tokens {
        Tokens(self.memory_limit().0 * LATE_FILL_PERCENT / 100)
    }

    pub(super) fn memory_limit(&self) -> Tokens {
        Tokens(self.settings.memory_tokens.0 * self.settings.fill_percent / 100)
    }

    /// Callers' hints are right on average but often far off; the mean of recent answers becomes reliable as
    /// more of them end. Both scatter by factors, so they are combined by their geometric mean.
    fn expected_answer(&self, demand: &Demand) -> Tokens {
        let longest = demand.answer_tokens_max.0 as f64;
        let typical = self.fleet_stats.answer().unwrap_or(longest / 2.0);
        let hinted = demand.answer_tokens_hint.map_or(typical, |hint| hint.0 as f64);
        let expected = (typical * hinted).sqrt() * ANSWER_MARGIN;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
        Tokens(expected.min(longest) as u64)
    }

    pub(super) fn has_decode_engine(&self, now_us: MonoTime, binding: &VersionBinding) -> bool {
        self.engines.iter().any(|engine| engine.decodes_for(now_us, binding))
    }

    /// Why no engine can serve a request with this binding; `None` if one can.
    fn unservable(&self, now_us: MonoTime, binding: &VersionBinding) -> Option<EngineRefusal> {
        if self.has_decode_engine(now_us, binding) {
            return self.all_resting_until(now_us, binding).map(|_| EngineRefusal::Resting);
        }
        if self.has_decode_engine(now_us, &VersionBinding::Any) {
            Some(EngineRefusal::VersionGone)
        } else {
            Some(EngineRefusal::NoEngine)
        }
    }

    /// End of the first rest, if all decode engines for requests with this binding have asked for one.
    pub(super) fn all_resting_until(&self, now_us: MonoTime, binding: &VersionBinding) -> Option<MonoTime> {
        let live = self.engines.iter().filter(|engine| engine.decodes_for(now_us, binding));
        let ends: Option<Vec<MonoTime>> = live.map(|engine| engine.instance.resting_until(now_us)).collect();
        ends?.into_iter().min()
    }

    /// Refuses requests whose maximum wait is over, late ones while others can still be in time, and those that
    /// no engine can serve. An interrupted answer waits for an engine instead.
    ///
    /// In a burst a late request yields to all others and gets no slot before the burst is over; refused at
    /// once, its caller can retry by then.
    pub(super) fn refuse_expired(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let backlog = self.least_backlog(now_us);
        let in_time_tokens = self.waiting_tokens(now_us) + self.peers.waiting();
        let unplaceable = self.take_unplaceable(now_us, backlog);
        let expired: Vec<(RequestId, Option<EngineRefusal>)> = self
            .waiting
            .iter()
            .filter_map(|request_id| {
                let open = &self.open[request_id];
                let unservable = self.unservable(now_us, &open.demand.binding);
                let not_run = open.attempts.outcome() == Outcome::NotRun;
                let yields = not_run && in_time_tokens > Tokens::ZERO && self.is_late(now_us, open, backlog);
                let is_unservable = match unservable {
                    // An interrupted answer waits for an engine, except where none of its version is left.
                    Some(EngineRefusal::VersionGone) => true,
                    Some(_) => !open.has_started,
                    None => false,
                };
                let is_unplaceable = unplaceable.contains(request_id);
                let is_over = yields
                    || is_unplaceable
                    || is_unservable
                    || now_us >= open.waits_since_us + open.max_wait_ms();
                is_over.then_some((*request_id, unservable))
            })
            .collect();
        for (request_id, unservable) in expired {
            let ran = self.open[&request_id].attempts.outcome() != Outcome::NotRun;
            if ran {
                self.give_up(now_us, request_id, actions);
            } else {
                let reason = unservable.unwrap_or(EngineRefusal::WouldWaitTooLong);
                self.refuse(now_us, request_id, reason, actions);
            }
        }
    }

    pub(super) fn schedule_wake(&mut self, now_us: MonoTime, actions: &mut Vec<EngineAction>) {
        let expiry = |request_id: &RequestId| {
            let open = &self.open[request_id];
            open.waits_since_us + open.max_wait_ms()
        };
        let expiry_us = self.waiting.iter().map(expiry).min();
        let needs_payment = self.waiting.iter().any(|request_id| self.open[request_id].needs_payment());
        let recheck_ms = if needs_payment { LENDER_TIMEOUT_MS } else { RECHECK_MS };
        let retry_us = (!self.waiting.is_empty()).then(|| now_us + recheck_ms);
        let reportable_us = Some(self.reportable_us())
            .filter(|at_us| self.order.is_ranked && !self.waiting.is_empty() && *at_us > now_us);
        let Some(at_us) = [expiry_us, retry_us, reportable_us].into_iter().flatten().min() else {
            return;
        };
        if self.wake_us.is_none_or(|known_us| known_us <= now_us || at_us < known_us) {
            self.wake_us = Some(at_us);
            actions.push(EngineAction::Wake { at_us });
        }
    }
}

/// Margin for answers that grow longer than expected: an engine that runs out of memory evicts a request, and
/// prefilling it again costs more than the margin.
const ANSWER_MARGIN: f64 = 1.25;

/// Part of the time left to a request that it may be expected to wait where requests differ in rank, in percent. Where
/// it was all of it, refused requests had waited 0.3 to 0.5 s, as later ones of better rank went before them.
const RANKED_WAIT_PERCENT: u64 = 40;

/// Interval for rechecking engines that were full by their reported load: that knowledge goes stale by
/// itself.
const RECHECK_MS: Millis = Millis(50);

/// Part of the memory limit that late requests may fill, in percent: a decode engine then has room for one
/// more request of typical size.
const LATE_FILL_PERCENT: u64 = 80;
