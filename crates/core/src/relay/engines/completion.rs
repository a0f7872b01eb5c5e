//! How steps end, and what becomes of a request then.

use super::EnginePool;
use super::events::{EngineAction, EngineRefusal};
use super::open_request::Stage;
use crate::ids::RequestId;
use crate::outcome::{NoRetry, Outcome};
use crate::sched::FailureCause;
use crate::units::{Micros, Millis, MonoTime, Tokens};

impl EnginePool {
    pub(super) fn prompt_read(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Reading { reader, writer, since_us, ahead } = open.stage else {
            return;
        };
        open.read = Some((reader, now_us));
        open.reads += 1;
        if open.reads > 1 {
            self.budget.charge(now_us);
            self.counters.retries += 1;
        }
        let prompt_tokens = open.demand.prompt_tokens;
        self.engines[reader].end_reading(prompt_tokens);
        self.engines[reader].instance.finish(Micros::ZERO);
        self.note_reading(prompt_tokens, ahead, now_us.since(since_us));
        self.write(now_us, request_id, writer, Some(reader), actions);
    }

    pub(super) fn read_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Reading { reader, writer, .. } = open.stage else {
            return;
        };
        open.stage = Stage::Waiting;
        if cause != FailureCause::Limited {
            open.failed_at = Some(reader);
        }
        let prompt_tokens = open.demand.prompt_tokens;
        self.engines[reader].end_reading(prompt_tokens);
        self.engines[reader].instance.fail(now_us, cause, true);
        // It has reached the engine, or may have: that counts although it was not accepted.
        if !matches!(cause, FailureCause::NotSent | FailureCause::Limited) {
            self.budget.charge(now_us);
            self.counters.retries += 1;
        }
        if cause == FailureCause::NoRoom {
            self.engines[reader].refused(now_us);
        }
        self.engines[writer].release(request_id);
        self.engines[writer].instance.cancel(now_us);
        self.wait_again(now_us, request_id, actions);
    }

    pub(super) fn started(&mut self, now_us: MonoTime, request_id: RequestId) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        open.read = None;
        open.begun = true;
        let Stage::Writing { writer, since_us, reads } = &mut open.stage else {
            return;
        };
        let (writer, since_us, reads) = (*writer, *since_us, std::mem::take(reads));
        if reads > Tokens::ZERO {
            self.note_own_reading(now_us, writer, reads, since_us);
        }
        self.engines[writer].end_reading(reads);
        self.engines[writer].grows(now_us, request_id);
    }

    /// Follows what a running answer takes.
    ///
    /// Load: the first seconds of a deployment, and engines that turn slow or fast. Harm prevented: until answers have
    /// ended, seconds later, their pace would be a guess; ten times off, it has writers refused as full that are half
    /// empty, and the split of engines judged wrong.
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
        let Stage::Writing { writer, .. } = open.stage else {
            return;
        };
        let written = Tokens(events * self.settings.event_tokens);
        self.engines[writer].written(now_us, request_id, open.demand.prompt_tokens + written);
        if let Some((before_us, before)) = open.progress.replace((now_us, events)) {
            let tokens = Tokens(events.saturating_sub(before) * self.settings.event_tokens);
            self.fading.seen.note_written(tokens, now_us.since(before_us));
            self.note_pause(now_us, writer, before_us, longest_pause_ms);
        }
    }

    pub(super) fn write_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        let Stage::Writing { writer, reads, .. } = open.stage else {
            return;
        };
        self.engines[writer].end_reading(reads);
        open.stage = Stage::Waiting;
        open.progress = None;
        // What a failed try brought is never a whole answer.
        let _ = open.tries.end(cause.attempt_end());
        if cause != FailureCause::Limited {
            open.failed_at = Some(writer);
        }
        self.give_back(now_us, writer, request_id, cause);
        self.wait_again(now_us, request_id, actions);
    }

    /// Has a request wait for other engines, or ends it by what its tries prove.
    pub(super) fn wait_again(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else {
            return;
        };
        if open.begun {
            open.waits_since_us = now_us;
        }
        match open.tries.may_begin() {
            Ok(()) if self.has_writer(now_us) => self.waiting.push(request_id),
            Ok(()) | Err(NoRetry::Exhausted | NoRetry::MayHaveRun | NoRetry::Reported) => {
                self.give_up(now_us, request_id, actions);
            }
        }
    }

    /// Ends a request that is not tried again.
    pub(super) fn give_up(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<EngineAction>,
    ) {
        let may_have_run =
            self.open.get(&request_id).is_some_and(|open| open.tries.outcome() != Outcome::NotRun);
        if may_have_run {
            self.close(now_us, request_id);
            self.counters.unknown += 1;
            actions.push(EngineAction::Unknown { request_id });
        } else {
            self.refuse(now_us, request_id, EngineRefusal::RetriesSpent, actions);
        }
    }

    pub(super) fn refuse(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        reason: EngineRefusal,
        actions: &mut Vec<EngineAction>,
    ) {
        let retry_after_ms = self.come_back_ms(now_us, request_id);
        self.close(now_us, request_id);
        self.counters.refused += 1;
        actions.push(EngineAction::Refuse { request_id, reason, retry_after_ms });
    }

    /// When another try is worth making: when what waits has been placed, and about half to one and a half times as
    /// long again as an answer takes. Spread out, so that callers who were refused together do not return together.
    fn come_back_ms(&self, now_us: MonoTime, request_id: RequestId) -> Millis {
        let Some(open) = self.open.get(&request_id) else {
            return RETRY_AFTER_MS;
        };
        let Some(wait_us) = self.expected_wait_us(now_us, open.room) else {
            return RETRY_AFTER_MS;
        };
        let hundredths = SPREAD_FROM + request_id.sequence.wrapping_mul(SPREAD_STEP) % SPREAD_WIDTH;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive span")]
        let answer_us = self.usual_hold_us() as u64 * hundredths / WHOLE;
        let limited_us = self.limited_wait(now_us).unwrap_or_default();
        (wait_us.max(limited_us) + Micros(answer_us)).to_millis_ceil()
    }

    /// Forgets a request and gives back what was reserved for it.
    pub(super) fn close(&mut self, now_us: MonoTime, request_id: RequestId) {
        self.waiting.retain(|&waiting| waiting != request_id);
        let Some(open) = self.open.remove(&request_id) else {
            return;
        };
        let writer = match open.stage {
            Stage::Waiting => return,
            Stage::Reserving { writer } => writer,
            Stage::Reading { reader, writer, .. } => {
                self.engines[reader].end_reading(open.demand.prompt_tokens);
                self.engines[reader].instance.cancel(now_us);
                writer
            }
            Stage::Writing { writer, reads, .. } => {
                self.engines[writer].end_reading(reads);
                writer
            }
        };
        self.engines[writer].release(request_id);
        self.engines[writer].instance.cancel(now_us);
    }

    pub(super) fn finished(&mut self, now_us: MonoTime, request_id: RequestId, events: u64) {
        let Some(open) = self.open.remove(&request_id) else {
            return;
        };
        self.counters.answered += 1;
        if let Stage::Writing { writer, since_us, reads } = open.stage {
            self.engines[writer].end_reading(reads);
            let answer = Tokens(events * self.settings.event_tokens);
            let expected = open.room.saturating_sub(open.demand.prompt_tokens);
            self.fading.seen.note_answer(answer, expected, now_us.since(since_us));
            self.engines[writer].release(request_id);
            self.engines[writer].instance.finish(now_us.since(since_us));
        }
    }
}

/// Told to a caller who is refused for want of any engine: one that restarts is back within seconds, and one that was set
/// aside is tried again within two.
const RETRY_AFTER_MS: Millis = Millis(1_500);

/// Spread of the time to come back, in hundredths of the time that an answer takes.
const SPREAD_FROM: u64 = 50;

/// Width of that spread.
const SPREAD_WIDTH: u64 = 100;

/// Steps through the spread; without a common divisor with its width.
const SPREAD_STEP: u64 = 37;

/// A whole, in hundredths.
const WHOLE: u64 = 100;
