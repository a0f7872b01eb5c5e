//! What becomes of grants: how far they have come, how they end, what that says of the server.

use crate::ids::RequestId;
use crate::units::{Micros, Millis, MonoTime, Tokens};

use super::{Ledger, LedgerAction, MIN_OBSERVED_TOKENS, SPEED_WEIGHT, confirm_message};
use crate::slots::{AskId, DenyReason, GrantOutcome, GrantPhase, Role};

impl Ledger {
    pub(super) fn started(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(held) = self.held.get_mut(&request_id).filter(|held| held.phase == GrantPhase::Reserved) {
            held.phase = GrantPhase::Running;
            held.phase_us = now_us;
        }
    }

    pub(super) fn ready(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        ask: AskId,
        work_us: Micros,
        work_tokens: Tokens,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(held) = self.held.get_mut(&request_id).filter(|held| held.ask == ask) else {
            return;
        };
        held.expires_us = now_us + self.settings.grant_ttl_ms;
        if held.phase == GrantPhase::Moving {
            // The confirmation was lost on the way and the daemon asks again.
            let to = held.home.clone();
            let message = confirm_message(&self.server, request_id, held);
            actions.push(LedgerAction::Send { to, message });
        }
        if held.phase == GrantPhase::Ready {
            // It waits for the link or its slot. To hear so tells the daemon that its watcher lives.
            let home = held.home.clone();
            self.queued(now_us, &home, request_id, ask, actions);
            return;
        }
        if held.phase > GrantPhase::Running {
            return;
        }
        held.phase = GrantPhase::Ready;
        held.phase_us = now_us;
        if self.role == Role::Prefill {
            self.prefill_ended(now_us, work_us, work_tokens);
        }
    }

    pub(super) fn prefill_ended(&mut self, now_us: MonoTime, work_us: Micros, work_tokens: Tokens) {
        self.healthy();
        // The server reads one prompt after the other: the time since the one before bounds what this one
        // took, and leaves out its wait behind it.
        let previous_us = std::mem::replace(&mut self.last_moved_us, now_us);
        let service_us = work_us.0.min(now_us.since(previous_us).0);
        if work_tokens.0 >= MIN_OBSERVED_TOKENS {
            self.observe_speed(Micros(service_us / work_tokens.0));
        }
    }

    pub(super) fn moved(&mut self, now_us: MonoTime, request_id: RequestId) {
        if let Some(held) = self.held.get_mut(&request_id) {
            held.phase = GrantPhase::Moved;
            held.phase_us = now_us;
            held.expires_us = now_us + self.settings.grant_ttl_ms;
        }
    }

    pub(super) fn observe_speed(&mut self, token_us: Micros) {
        if token_us == Micros::ZERO {
            return;
        }
        let seen = token_us.0 as f64;
        self.token_us =
            if self.observed { self.token_us + SPEED_WEIGHT * (seen - self.token_us) } else { seen };
        self.observed = true;
    }

    pub(super) fn release(
        &mut self,
        now_us: MonoTime,
        request_id: RequestId,
        ask: AskId,
        outcome: GrantOutcome,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(held) = self.held.remove_entry(&request_id) else {
            return;
        };
        let (id, held) = held;
        if held.ask != ask {
            self.held.insert(id, held);
            return;
        }
        self.released.insert(request_id, now_us);
        if self.trial == Some(request_id) {
            self.trial = None;
        }
        match outcome {
            GrantOutcome::Done => self.healthy(),
            GrantOutcome::Unused => self.queue.refund(&held.partner, held.charge_us),
            GrantOutcome::TimedOut | GrantOutcome::Failed => self.strike(now_us, actions),
            GrantOutcome::Abandoned => {}
        }
    }

    pub(super) fn healthy(&mut self) {
        self.trial = None;
        self.strikes = 0;
        self.closed_until_us = None;
        self.reopen_ms = self.settings.reopen_ms;
    }

    /// Counts a timeout against the server. Harm prevented: a server that takes requests and never answers
    /// looks the least loaded and draws all work; a health check that it answers does not show it. After a
    /// while a single request tries it; only its success opens the server again.
    pub(super) fn strike(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.strikes += 1;
        if self.strikes < self.settings.strikes_max {
            return;
        }
        self.counters.closed += 1;
        self.closed_until_us = Some(now_us + self.reopen_ms);
        self.reopen_ms = Millis((self.reopen_ms.0 * 2).min(self.settings.reopen_max_ms.0));
        // One more timeout after the trial closes it again.
        self.strikes = self.settings.strikes_max - 1;
        self.deny_all(now_us, DenyReason::Unhealthy, actions);
    }
}
