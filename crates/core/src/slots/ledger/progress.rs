//! Updates of grants as their requests progress and end, and the server's speed and health inferred from
//! them.

use crate::ids::RequestId;
use crate::units::{Micros, Millis, MonoTime, Tokens};

use super::{Ledger, LedgerAction, MIN_OBSERVED_TOKENS, SPEED_WEIGHT, confirm_message};
use crate::slots::{DenyReason, GrantId, GrantOutcome, GrantPhase, Role};

impl Ledger {
    pub(super) fn prompt_started(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(held) = self.held.get_mut(&request_id).filter(|held| held.phase == GrantPhase::Reserved) {
            held.phase = GrantPhase::Running;
            held.phase_us = now_us;
        }
    }

    pub(super) fn prompt_ready(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        grant_id: GrantId,
        work_us: Micros,
        work_tokens: Tokens,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(held) = self.held.get_mut(&request_id).filter(|held| held.grant_id == grant_id) else {
            return;
        };
        held.expires_us = now_us + self.settings.grant_ttl_ms;
        if held.phase == GrantPhase::Transferring {
            // The confirmation was lost, and the requesting daemon repeats its message.
            let to = held.requester.clone();
            let message = confirm_message(&self.server, request_id, held);
            actions.push(LedgerAction::Send { to, message });
        }
        if held.phase == GrantPhase::Ready {
            // The transfer waits for the link or its slot. The reply shows the requesting daemon that the
            // daemon with this ledger is still running.
            let requester = held.requester.clone();
            self.send_queued(now_us, &requester, request_id, grant_id, actions);
            return;
        }
        if held.phase > GrantPhase::Running {
            return;
        }
        held.phase = GrantPhase::Ready;
        held.phase_us = now_us;
        if self.role == Role::Prefill {
            self.prefill_finished(now_us, work_us, work_tokens);
        }
    }

    pub(super) fn prefill_finished(&mut self, now_us: MonoTime, work_us: Micros, work_tokens: Tokens) {
        self.mark_healthy();
        // The server processes one prompt at a time, so this prompt started no earlier than the previous one
        // ended. The time since then is an upper bound of its service time that excludes its time in the
        // server's queue.
        let previous_us = std::mem::replace(&mut self.last_prefill_end_us, now_us);
        let service_us = work_us.0.min(now_us.since(previous_us).0);
        if work_tokens.0 >= MIN_OBSERVED_TOKENS {
            self.observe_speed(Micros(service_us / work_tokens.0));
        }
    }

    pub(super) fn transfer_finished(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(held) = self.held.get_mut(&request_id) {
            held.phase = GrantPhase::Transferred;
            held.phase_us = now_us;
            held.expires_us = now_us + self.settings.grant_ttl_ms;
        }
    }

    pub(super) fn observe_speed(&mut self, token_us: Micros) {
        if token_us == Micros::ZERO {
            return;
        }
        let sample_us = token_us.0 as f64;
        self.token_us = if self.observed {
            self.token_us + SPEED_WEIGHT * (sample_us - self.token_us)
        } else {
            sample_us
        };
        self.observed = true;
    }

    pub(super) fn release(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        grant_id: GrantId,
        outcome: GrantOutcome,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(entry) = self.held.remove_entry(&request_id) else {
            return;
        };
        let (id, held) = entry;
        if held.grant_id != grant_id {
            self.held.insert(id, held);
            return;
        }
        self.released.insert(request_id, now_us);
        if self.probe == Some(request_id) {
            self.probe = None;
        }
        match outcome {
            GrantOutcome::Done => self.mark_healthy(),
            GrantOutcome::Unused => self.queue.refund(&held.partner, held.charge_us),
            GrantOutcome::TimedOut | GrantOutcome::Failed => self.record_timeout(now_us, actions),
            GrantOutcome::Abandoned => {}
        }
    }

    pub(super) fn mark_healthy(&mut self) {
        self.probe = None;
        self.timeouts = 0;
        self.closed_until_us = None;
        self.reopen_ms = self.settings.reopen_ms;
    }

    /// Counts a timeout or failure of the server and stops granting its slots once the limit is reached. A
    /// server that accepts requests and never answers appears to be the least loaded, so it would be assigned
    /// all requests, while it still passes health checks. After a delay a single request probes the server,
    /// and only the success of this probe reopens it.
    pub(super) fn record_timeout(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.timeouts += 1;
        if self.timeouts < self.settings.timeouts_max {
            return;
        }
        self.counters.closed += 1;
        self.closed_until_us = Some(now_us + self.reopen_ms);
        self.reopen_ms = Millis((self.reopen_ms.0 * 2).min(self.settings.reopen_max_ms.0));
        // If the probe fails, this single timeout closes the server again.
        self.timeouts = self.settings.timeouts_max - 1;
        self.deny_all(now_us, DenyReason::Unhealthy, actions);
    }
}
