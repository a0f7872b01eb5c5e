//! Handling of failed steps, abandoned attempts and callers that disconnect.

use rand::RngExt;

use crate::ids::RequestId;
use crate::slots::GrantOutcome;
use crate::units::{Micros, Millis, MonoTime, Tokens};

use super::counters::{FailReason, WasteCause, clamp_retry_after};
use super::directory::StatusUpdate;
use super::events::{Action, Attempt, FailureCause, WorkStage};
use super::request::{Hold, Request, Stage};
use super::scheduler::Scheduler;

impl Scheduler {
    /// Ends the request of a caller that disconnected and releases everything it holds, in any stage.
    pub(super) fn caller_left(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.close(request_id, GrantOutcome::Abandoned, actions) else {
            return;
        };
        self.cancel_holds(&request, actions);
        if request.stage != Stage::Decoding {
            self.counters.count_waste(WasteCause::CallerLeft, request.prefilled);
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
        // After a timeout or lost connection the whole prefill counts as wasted; a refusal did no work.
        if matches!(cause, FailureCause::Timeout | FailureCause::Broken) {
            request.prefilled = request.uncached_tokens;
        }
        self.note_leaving(now_us, request_id, cause);
        self.restart(now_us, request_id, WasteCause::PrefillFailed, outcome_of(cause), actions);
    }

    pub(super) fn note_leaving(&mut self, now_us: MonoTime, request_id: RequestId, cause: FailureCause) {
        let server = self.requests.get(&request_id).and_then(|request| request.failed_at);
        if let (Some(server), FailureCause::Leaving) = (server, cause) {
            let until_us = self.status_expiry(now_us, StatusUpdate::Leaving);
            self.directory.apply_status(server, StatusUpdate::Leaving, until_us);
        }
    }

    /// Handles a failed transfer. If the decode server had no capacity or was unreachable, the result is
    /// still at its source and another slot is requested; otherwise the prefill is repeated.
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
        let result_kept =
            matches!(cause, FailureCause::NoRoom | FailureCause::NotSent | FailureCause::Leaving);
        if result_kept {
            request.enter(now_us, Stage::AwaitTransfer);
        }
        self.requests.insert(request_id, request);
        self.note_leaving(now_us, request_id, cause);
        if result_kept {
            self.request_slot(now_us, request_id, actions);
            return;
        }
        let restart_cause =
            if cause == FailureCause::Gone { WasteCause::Evicted } else { WasteCause::Transfer };
        self.restart(now_us, request_id, restart_cause, GrantOutcome::Abandoned, actions);
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

    /// Handles a broken stream. The connection is the likely cause, so the stream is first resumed by index
    /// at the same server on a new connection, which repeats no work. If that fails too, the prompt and the
    /// tokens so far are prefilled again elsewhere.
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
            let token_timeout_ms = self.token_timeout_ms(slot.server);
            self.counters.resumed += 1;
            actions.push(Action::Decode {
                request_id,
                attempt,
                server: self.directory.name(slot.server).clone(),
                from_index,
                resume: true,
                token_timeout_ms,
            });
            return;
        }
        request.failed_at = request.slot.map(|slot| slot.server);
        self.restart(now_us, request_id, WasteCause::DecodeFailed, outcome_of(cause), actions);
    }

    /// Abandons the attempt and starts another if the partner's budget allows. What the engines hold is
    /// cancelled first, so that the abandoned attempt neither keeps memory nor produces an answer.
    pub(super) fn restart(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        cause: WasteCause,
        outcome: GrantOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        self.withdraw_grant_requests(&mut request, actions);
        self.cancel_holds(&request, actions);
        let is_prefill_failure = cause == WasteCause::PrefillFailed;
        let (turn_outcome, slot_outcome) = if is_prefill_failure {
            (outcome, GrantOutcome::Unused)
        } else {
            (GrantOutcome::Abandoned, outcome)
        };
        self.release_hold(request_id, request.turn.take(), turn_outcome, actions);
        self.release_hold(request_id, request.slot.take(), slot_outcome, actions);
        self.counters.count_waste(cause, std::mem::take(&mut request.prefilled));
        request.restart_cause = Some(cause);
        if request.first_token_us.is_some() {
            let waits_until_us = now_us + self.settings.resume_slack_ms;
            request.waits_until_us = request.ends_at_us.unwrap_or(waits_until_us).min(waits_until_us);
        }
        self.requests.insert(request_id, request);
        self.retry_after_backoff(now_us, request_id, actions);
    }

    /// Schedules a retry after a back-off, or fails the request.
    ///
    /// The back-off is drawn at random below a bound that doubles with each attempt, so that requests failed
    /// by one fault do not retry in lockstep. Attempts are bounded, because a request that fails at every
    /// server is more likely the cause of the failures than their victim.
    pub(super) fn retry_after_backoff(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        if now_us >= request.waits_until_us {
            self.expire(now_us, request_id, actions);
            return;
        }
        if request.attempt.0 >= self.settings.attempts_max {
            self.fail(request_id, FailReason::Attempts, FAILED_RETRY_AFTER_MS, actions);
            return;
        }
        if !self.partners[request.partner].budget.withdraw() {
            self.counters.retries_denied += 1;
            self.fail(request_id, FailReason::RetryBudget, FAILED_RETRY_AFTER_MS, actions);
            return;
        }
        self.counters.retries += 1;
        self.expiries.start_wait(request);
        request.enter(now_us, Stage::Backoff);
        request.rounds = 0;
        request.attempted = Default::default();
        let doublings = request.attempt.0.min(MAX_DOUBLINGS);
        let longest_us = Micros::from(self.settings.backoff_ms).0 << doublings;
        let pause_us = self.rng.random_range(0..=longest_us);
        self.set_timer(request_id, now_us + Micros(pause_us));
    }

    pub(super) fn fail(
        &mut self,
        request_id: RequestId,
        reason: FailReason,
        retry_after_ms: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.close(request_id, GrantOutcome::Abandoned, actions) else {
            return;
        };
        self.counters.failed += 1;
        let retry_after_ms = clamp_retry_after(retry_after_ms);
        actions.push(Action::Fail { request_id, reason, retry_after_ms, entry: request.stage_entry() });
    }
}

/// Retry delay for a caller whose request failed on several servers: by then the faulty ones are out of use.
const FAILED_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Maximum number of doublings of the back-off.
const MAX_DOUBLINGS: u32 = 6;

/// Maps a failure to what it indicates about the server. Only timeouts and lost connections count against it:
/// a refusal for lack of capacity is an accounting error of the ledger, and a leaving server is not faulty.
fn outcome_of(cause: FailureCause) -> GrantOutcome {
    match cause {
        FailureCause::Timeout => GrantOutcome::TimedOut,
        FailureCause::Broken | FailureCause::NotSent => GrantOutcome::Failed,
        FailureCause::NoRoom
        | FailureCause::Held(_)
        | FailureCause::Leaving
        | FailureCause::Gone
        | FailureCause::Refused => GrantOutcome::Abandoned,
    }
}
