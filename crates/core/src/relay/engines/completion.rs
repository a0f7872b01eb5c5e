//! How the stages of a request end, and what happens to the request then.

use super::EnginePool;
use super::events::{EngineAction, EngineRefusal};
use super::open_request::Stage;
use crate::ids::RequestId;
use crate::outcome::{Outcome, RetryRefusal};
use crate::sched::FailureCause;
use crate::units::{Micros, Millis, MonoTime, Tokens};

impl EnginePool {
    pub(super) fn prompt_prefilled(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Prefilling { prefill_engine, decode_engine, since_us, ahead } = open.stage else {
            return;
        };
        open.prefilled = Some((prefill_engine, now_us));
        open.prefills += 1;
        if open.prefills > 1 {
            self.budget.charge(now_us);
            self.counters.retries += 1;
        }
        let prompt_tokens = open.demand.prompt_tokens;
        self.engines[prefill_engine].remove_prefill(prompt_tokens);
        self.engines[prefill_engine].instance.finish(Micros::ZERO);
        self.record_prefill(now_us, prefill_engine, prompt_tokens, ahead, now_us.since(since_us));
        self.start_decode(now_us, request_id, decode_engine, Some(prefill_engine), actions);
    }

    pub(super) fn prefill_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Prefilling { prefill_engine, decode_engine, .. } = open.stage else {
            return;
        };
        open.stage = Stage::Waiting;
        if !cause.is_held() {
            open.failed_at = Some(prefill_engine);
        }
        let prompt_tokens = open.demand.prompt_tokens;
        self.engines[prefill_engine].remove_prefill(prompt_tokens);
        self.engines[prefill_engine].instance.fail(now_us, cause, true);
        // The request has reached the engine, or may have, so it counts although it was not accepted.
        if !matches!(cause, FailureCause::NotSent | FailureCause::Held(_)) {
            self.budget.charge(now_us);
            self.counters.retries += 1;
        }
        if cause == FailureCause::NoRoom {
            self.engines[prefill_engine].mark_full(now_us);
        }
        self.engines[decode_engine].release(request_id);
        self.engines[decode_engine].instance.cancel(now_us);
        self.requeue(now_us, request_id, actions);
    }

    /// Binds a request to the software version of its decode engine.
    pub(super) fn bind(&mut self, request_id: RequestId) {
        if let Some(open) = self.open.get_mut(&request_id) {
            open.bind();
        }
    }

    pub(super) fn started(&mut self, now_us: MonoTime, request_id: RequestId) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        open.prefilled = None;
        open.has_started = true;
        open.bind();
        let Stage::Decoding { decode_engine, since_us, own_prefill_tokens } = &mut open.stage else {
            return;
        };
        let (decode_engine, since_us, own_prefill_tokens) =
            (*decode_engine, *since_us, std::mem::take(own_prefill_tokens));
        if own_prefill_tokens > Tokens::ZERO {
            self.record_decode_engine_prefill(now_us, decode_engine, own_prefill_tokens, since_us);
        }
        self.engines[decode_engine].remove_prefill(own_prefill_tokens);
        self.engines[decode_engine].start_growth(now_us, request_id);
        self.engines[decode_engine].instance.answer_started();
    }

    /// Tracks the memory and decode rate of a running answer.
    ///
    /// Without it the rate would be a guess until answers end, seconds after a start or after engines change
    /// speed. A guess that is ten times off makes half-empty decode engines count as full and misjudges the
    /// split of roles.
    pub(super) fn progress(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        events: u64,
        longest_pause_ms: Millis,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Decoding { decode_engine, .. } = open.stage else {
            return;
        };
        let decoded = Tokens(events * self.settings.event_tokens);
        self.engines[decode_engine].set_memory(now_us, request_id, open.demand.prompt_tokens + decoded);
        if let Some((before_us, before)) = open.progress.replace((now_us, events)) {
            let tokens = Tokens(events.saturating_sub(before) * self.settings.event_tokens);
            self.own_stats.stats.record_decoded(tokens, now_us.since(before_us));
            self.observe_decode(decode_engine, tokens, now_us.since(before_us));
            self.record_pause(now_us, decode_engine, before_us, longest_pause_ms);
        }
    }

    pub(super) fn decode_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Decoding { decode_engine, own_prefill_tokens, .. } = open.stage else {
            return;
        };
        self.engines[decode_engine].remove_prefill(own_prefill_tokens);
        open.stage = Stage::Waiting;
        open.progress = None;
        // A failed attempt never brings a whole answer.
        let _ = open.attempts.end(cause.attempt_end());
        if cause.is_held() {
            // Its prompt may have taken as long as it may wait, and its engine left meanwhile.
            open.waits_since_us = now_us;
        } else {
            open.failed_at = Some(decode_engine);
        }
        self.undo_placement(now_us, decode_engine, request_id, cause);
        self.requeue(now_us, request_id, actions);
    }

    /// Puts a request back into the queue for other engines, or ends it according to what its attempts prove.
    pub(super) fn requeue(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        if open.has_started {
            open.waits_since_us = now_us;
        }
        let may_begin = open.attempts.may_begin();
        match may_begin {
            Ok(()) if self.has_decode_engine(now_us, &self.open[&request_id].demand.binding) => {
                self.waiting.push(request_id);
            }
            Ok(()) | Err(RetryRefusal::Exhausted | RetryRefusal::MayHaveRun | RetryRefusal::Reported) => {
                self.give_up(now_us, request_id, actions);
            }
        }
    }

    /// Ends a request that is not attempted again.
    pub(super) fn give_up(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<EngineAction>,
    ) {
        let may_have_run =
            self.open.get(&request_id).is_some_and(|open| open.attempts.outcome() != Outcome::NotRun);
        if may_have_run {
            self.close(now_us, request_id);
            self.counters.unknown += 1;
            actions.push(EngineAction::Unknown { request_id });
        } else {
            self.refuse(now_us, request_id, EngineRefusal::RetriesExhausted, actions);
        }
    }

    pub(super) fn refuse(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        reason: EngineRefusal,
        actions: &mut Vec<EngineAction>,
    ) {
        let retry_after_ms = self.retry_delay_ms(now_us, request_id);
        self.close(now_us, request_id);
        self.counters.refused += 1;
        actions.push(EngineAction::Refuse { request_id, reason, retry_after_ms });
    }

    /// When a retry is worthwhile: once everything that waits now has been placed, plus 0.5 to 1.5 times the
    /// duration of an answer; for an organisation beyond its share of the memory, not before that is free. The
    /// spread keeps callers that were refused together from returning together.
    fn retry_delay_ms(&self, now_us: MonoTime, request_id: RequestId) -> Millis {
        let Some(open) = self.open.get(&request_id) else {
            return RETRY_AFTER_MS;
        };
        let binding = &open.demand.binding;
        if let Some(until_us) = self.all_resting_until(now_us, binding) {
            return until_us.since(now_us).to_millis_ceil();
        }
        let ahead = self.waiting_before(now_us, open) + open.final_tokens;
        let Some(wait_us) = self.expected_wait_us(now_us, ahead, binding) else {
            return RETRY_AFTER_MS;
        };
        let percent = RETRY_SPREAD_MIN_PERCENT
            + request_id.sequence.wrapping_mul(RETRY_SPREAD_STEP_PERCENT) % RETRY_SPREAD_WIDTH_PERCENT;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
        let answer_us = self.typical_hold_us() as u64 * percent / PERCENT;
        let limited_us = self.limited_wait(now_us, binding).unwrap_or_default();
        let share_us = self.share_wait_us(open.demand.organisation);
        (wait_us.max(limited_us).max(share_us) + Micros(answer_us)).to_millis_ceil()
    }

    /// Removes a request and releases what was reserved for it.
    pub(super) fn close(&mut self, now_us: MonoTime, request_id: RequestId) {
        self.waiting.retain(|&waiting| waiting != request_id);
        let Some(open) = self.open.remove(&request_id) else {
            return;
        };
        let decode_engine = match open.stage {
            Stage::Waiting => return,
            Stage::Reserving { decode_engine } => decode_engine,
            Stage::Prefilling { prefill_engine, decode_engine, .. } => {
                self.engines[prefill_engine].remove_prefill(open.demand.prompt_tokens);
                self.engines[prefill_engine].instance.cancel(now_us);
                decode_engine
            }
            Stage::Decoding { decode_engine, own_prefill_tokens, .. } => {
                self.engines[decode_engine].remove_prefill(own_prefill_tokens);
                decode_engine
            }
        };
        self.engines[decode_engine].release(request_id);
        self.engines[decode_engine].instance.cancel(now_us);
    }

    pub(super) fn finished(&mut self, now_us: MonoTime, request_id: RequestId, events: u64) {
        let Some(open) = self.open.remove(&request_id) else {
            return;
        };
        self.counters.answered += 1;
        if let Stage::Decoding { decode_engine, since_us, own_prefill_tokens } = open.stage {
            self.engines[decode_engine].remove_prefill(own_prefill_tokens);
            let answer = Tokens(events * self.settings.event_tokens);
            let expected = open.final_tokens.saturating_sub(open.demand.prompt_tokens);
            self.own_stats.stats.record_answer(answer, expected, now_us.since(since_us));
            self.engines[decode_engine].release(request_id);
            self.engines[decode_engine].instance.finish(now_us.since(since_us));
        }
    }
}

/// Retry delay for callers refused because there is no engine: an engine that restarts is back within
/// seconds, and one that was set aside is tried again within two.
const RETRY_AFTER_MS: Millis = Millis(1_500);

/// Lower end of the spread of retry delays, in percent of the duration of an answer.
const RETRY_SPREAD_MIN_PERCENT: u64 = 50;

/// Width of the spread.
const RETRY_SPREAD_WIDTH_PERCENT: u64 = 100;

/// Step through the spread; coprime to its width, so that successive requests cover all of it.
const RETRY_SPREAD_STEP_PERCENT: u64 = 37;

/// 100 %.
const PERCENT: u64 = 100;
