//! A request that failed at some step, was given up, or whose caller left.

use rand::RngExt;

use crate::ids::RequestId;
use crate::slots::GrantOutcome;
use crate::units::{Micros, MonoTime, Tokens};

use super::counters::{FailReason, RedoCause};
use super::directory::Sign;
use super::events::{Action, Attempt, FailureCause, WorkStage};
use super::request::{Hold, Request, Stage};
use super::scheduler::Scheduler;

impl Scheduler {
    /// The caller went away: everything is given back at once, wherever the request is.
    pub(super) fn caller_left(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.close(request_id, GrantOutcome::Abandoned, actions) else {
            return;
        };
        self.cancel_holds(&request, actions);
        if request.stage != Stage::Decoding {
            self.counters.count_waste(RedoCause::CallerLeft, request.prefilled);
        }
    }

    pub(super) fn cancel_holds(&self, request: &Request, actions: &mut Vec<Action>) {
        if !request.has_run() {
            return;
        }
        let request_id = request.arrival.request_id;
        for hold in [request.turn, request.slot].into_iter().flatten() {
            let server = self.directory.name(hold.server).clone();
            actions.push(Action::Cancel { request_id, server });
        }
    }

    pub(super) fn step_timeout(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let (attempt, tokens) = (request.attempt, request.tokens);
        let stage = if request.stage == Stage::Prefilling { WorkStage::Prefill } else { WorkStage::Import };
        self.step_failed(now_us, request_id, attempt, stage, FailureCause::Timeout, tokens, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    pub(super) fn step_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        attempt: Attempt,
        stage: WorkStage,
        cause: FailureCause,
        tokens: Tokens,
        actions: &mut Vec<Action>,
    ) {
        let expected = match stage {
            WorkStage::Prefill => Stage::Prefilling,
            WorkStage::Import => Stage::Importing,
            WorkStage::Decode => Stage::Decoding,
        };
        let Some(request) = self.current(request_id, attempt, expected) else {
            return;
        };
        request.tokens = request.tokens.max(tokens);
        match stage {
            WorkStage::Prefill => self.prefill_failed(now_us, request_id, cause, actions),
            WorkStage::Import => self.import_failed(now_us, request_id, cause, actions),
            WorkStage::Decode => self.decode_failed(now_us, request_id, cause, actions),
        }
    }

    pub(super) fn prefill_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        request.failed_at = request.turn.map(|turn| turn.server);
        // What may have been read by now is lost work; a refusal read nothing.
        if matches!(cause, FailureCause::Timeout | FailureCause::Broken) {
            request.prefilled = request.uncached_tokens;
        }
        self.note_leaving(now_us, request_id, cause);
        self.redo(now_us, request_id, RedoCause::PrefillFailed, outcome_of(cause), actions);
    }

    pub(super) fn note_leaving(&mut self, now_us: MonoTime, request_id: RequestId, cause: FailureCause) {
        let server = self.requests.get(&request_id).and_then(|request| request.failed_at);
        if let (Some(server), FailureCause::Leaving) = (server, cause) {
            let until_us = self.sign_until(now_us, Sign::Leaving);
            self.directory.sign(server, Sign::Leaving, until_us);
        }
    }

    /// The transfer failed. If the decode server had no room or could not be reached the result is still at
    /// its source and another slot may do; otherwise the prompt is read again.
    pub(super) fn import_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        let slot = request.slot.take();
        request.failed_at = slot.map(|slot| slot.server);
        self.cancel_slot(request_id, slot, outcome_of(cause), actions);
        let elsewhere = matches!(cause, FailureCause::NoRoom | FailureCause::NotSent | FailureCause::Leaving);
        if elsewhere {
            request.enter(now_us, Stage::AwaitRoom);
        }
        self.requests.insert(request_id, request);
        self.note_leaving(now_us, request_id, cause);
        if elsewhere {
            self.ask_slot(now_us, request_id, actions);
            return;
        }
        let redo = if cause == FailureCause::Gone { RedoCause::Evicted } else { RedoCause::Transfer };
        self.redo(now_us, request_id, redo, GrantOutcome::Abandoned, actions);
    }

    pub(super) fn cancel_slot(
        &self,
        request_id: RequestId,
        slot: Option<Hold>,
        outcome: GrantOutcome,
        actions: &mut Vec<Action>,
    ) {
        if let Some(hold) = slot {
            let server = self.directory.name(hold.server).clone();
            actions.push(Action::Cancel { request_id, server });
        }
        self.release_hold(request_id, slot, outcome, actions);
    }

    /// A broken stream: the connection is suspected first and the stream resumed at the same server by
    /// index, on a new connection; that costs nothing. Only when this fails too is the prompt, with the
    /// tokens so far, read again elsewhere.
    pub(super) fn decode_failed(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: FailureCause,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let resumable = matches!(cause, FailureCause::Broken | FailureCause::Timeout);
        if let Some(slot) = request.slot.filter(|_| resumable && !request.resumed) {
            request.resumed = true;
            let (attempt, from_index) = (request.attempt, request.tokens);
            let silence_ms = self.silence_ms(slot.server);
            self.counters.resumed += 1;
            actions.push(Action::Decode {
                request_id,
                attempt,
                server: self.directory.name(slot.server).clone(),
                from_index,
                resume: true,
                silence_ms,
            });
            return;
        }
        request.failed_at = request.slot.map(|slot| slot.server);
        self.redo(now_us, request_id, RedoCause::DecodeFailed, outcome_of(cause), actions);
    }

    /// Gives up an attempt and starts another, if the partner's budget allows. What the engines hold is
    /// cancelled first: an attempt given up must not keep memory, nor answer.
    pub(super) fn redo(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: RedoCause,
        outcome: GrantOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        self.withdraw_asks(&mut request, actions);
        self.cancel_holds(&request, actions);
        let at_prefill = cause == RedoCause::PrefillFailed;
        let (turn_outcome, slot_outcome) =
            if at_prefill { (outcome, GrantOutcome::Unused) } else { (GrantOutcome::Abandoned, outcome) };
        self.release_hold(request_id, request.turn.take(), turn_outcome, actions);
        self.release_hold(request_id, request.slot.take(), slot_outcome, actions);
        self.counters.count_waste(cause, std::mem::take(&mut request.prefilled));
        request.redo = Some(cause);
        self.requests.insert(request_id, request);
        self.retry_later(now_us, request_id, actions);
    }

    /// Retries after a back-off, or fails the request.
    ///
    /// The back-off is drawn at random below a bound that doubles, so that requests failed by one fault do
    /// not come back in step. Attempts are bounded, because a request that fails everywhere is more likely
    /// the cause than the victim.
    pub(super) fn retry_later(&mut self, now_us: MonoTime, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        if request.attempt.0 >= self.settings.attempts_max {
            self.fail(request_id, FailReason::Attempts, actions);
            return;
        }
        if !self.partners[request.partner].budget.withdraw() {
            self.counters.retries_denied += 1;
            self.fail(request_id, FailReason::RetryBudget, actions);
            return;
        }
        self.counters.retries += 1;
        request.enter(now_us, Stage::Backoff);
        request.rounds = 0;
        request.tried = Default::default();
        let doubled = request.attempt.0.min(MAX_DOUBLINGS);
        let longest_us = Micros::from(self.settings.backoff_ms).0 << doubled;
        let pause_us = self.rng.random_range(0..=longest_us);
        self.set_timer(request_id, now_us + Micros(pause_us));
    }

    pub(super) fn fail(&mut self, request_id: RequestId, reason: FailReason, actions: &mut Vec<Action>) {
        self.close(request_id, GrantOutcome::Abandoned, actions);
        self.counters.failed += 1;
        actions.push(Action::Fail { request_id, reason });
    }
}

/// Bound of the shift in the back-off.
const MAX_DOUBLINGS: u32 = 6;

/// What a failure says about the server. Only silence and broken connections count against it: a refusal
/// for want of room is the ledger's error, and a leaving server is not ill.
fn outcome_of(cause: FailureCause) -> GrantOutcome {
    match cause {
        FailureCause::Timeout => GrantOutcome::TimedOut,
        FailureCause::Broken | FailureCause::NotSent => GrantOutcome::Failed,
        FailureCause::NoRoom
        | FailureCause::Limited
        | FailureCause::Leaving
        | FailureCause::Gone
        | FailureCause::Refused => GrantOutcome::Abandoned,
    }
}
