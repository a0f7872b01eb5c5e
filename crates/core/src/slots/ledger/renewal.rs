//! Grants over time: renewed, expired, taken over from an earlier watcher, compared with load reports.

use std::collections::HashSet;

use crate::ids::{HostId, Incarnation};
use crate::units::{Micros, MonoTime};

use super::{Held, HeldReport, Ledger, LedgerAction, RENEW_CROSSING_MS};
use crate::slots::{HeldGrant, Role};

impl Ledger {
    /// Takes a load report of the server.
    ///
    /// Two things go wrong without it: requests of a daemon that died hold slots that no ledger knows, and
    /// an expired grant would be granted again while the engine still works on it. So holdings that are
    /// reported but not on the account count as taken until a later report lacks them, and an orphan is
    /// struck off only then.
    pub fn report(&mut self, now_us: MonoTime, report: &HeldReport, actions: &mut Vec<LedgerAction>) {
        let as_of_us = MonoTime(now_us.0.saturating_sub(report.as_of_us.0));
        let lag_ms = self.settings.report_lag_ms;
        self.released.retain(|_, at_us| now_us < *at_us + lag_ms);
        let reported = report.held.iter().copied().collect::<HashSet<_>>();
        self.held.retain(|id, held| !held.orphan || held.expires_us >= as_of_us || reported.contains(id));
        if self.role == Role::Decode {
            let unknown = reported.into_iter();
            self.foreign =
                unknown.filter(|id| !self.held.contains_key(id) && !self.released.contains_key(id)).collect();
        }
        if as_of_us >= self.since_us {
            self.report_seen = true;
            self.end_quiet(now_us);
        }
        self.serve(now_us, actions);
    }

    /// A daemon's life ended: nobody will register its grants. What it holds stays on the account until it
    /// expires and the server no longer reports it.
    pub fn forget_home(&mut self, now_us: MonoTime, incarnation: Incarnation) {
        self.unregistered.remove(&incarnation);
        self.end_quiet(now_us);
    }

    /// Quiet time after a change of watcher. Two things must have happened before the same slot may be
    /// granted again: each living daemon has registered its grants, and a load report taken since has shown
    /// what the dead ones hold. If either stays away, grants of the earlier watcher have run out after one
    /// life of a grant anyway.
    pub(super) fn end_quiet(&mut self, now_us: MonoTime) {
        if self.unregistered.is_empty() && (self.report_seen || self.role == Role::Prefill) {
            self.quiet_until_us = self.quiet_until_us.min(now_us);
        }
    }

    pub(super) fn renew(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        incarnation: Incarnation,
        list: Vec<HeldGrant>,
    ) {
        let expires_us = now_us + self.settings.grant_ttl_ms;
        let listed = list.iter().map(|grant| grant.request_id).collect::<HashSet<_>>();
        // A release was lost: the daemon no longer lists a grant that is old enough for it to know of.
        self.held.retain(|id, held| {
            id.incarnation != incarnation
                || listed.contains(id)
                || now_us < held.granted_us + RENEW_CROSSING_MS
        });
        for grant in list {
            self.observe_speed(grant.token_us);
            self.foreign.remove(&grant.request_id);
            if let Some(held) = self.held.get_mut(&grant.request_id) {
                held.expires_us = expires_us;
                held.phase = held.phase.max(grant.phase);
                continue;
            }
            self.take_over(now_us, from, grant);
        }
        if self.unregistered.remove(&incarnation) {
            self.end_quiet(now_us);
        }
    }

    pub(super) fn take_over(&mut self, now_us: MonoTime, from: &HostId, grant: HeldGrant) {
        if self.released.contains_key(&grant.request_id) {
            return;
        }
        self.counters.taken_over += 1;
        if self.role == Role::Decode && self.held_len() >= self.slots_total as usize {
            // Two watchers granted at the same time. The engine refuses the one too many.
            self.counters.over_committed += 1;
        }
        let held = Held {
            home: from.clone(),
            ask: grant.ask,
            partner: grant.partner,
            charge_us: Micros::ZERO,
            granted_us: now_us,
            expires_us: now_us + self.settings.grant_ttl_ms,
            work_us: self.work_us(grant.work_tokens),
            rate_bytes_per_s: grant.rate_bytes_per_s,
            phase: grant.phase,
            phase_us: now_us,
            sure: true,
            orphan: false,
        };
        self.held.insert(grant.request_id, held);
    }

    pub(super) fn expire(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        let server = &self.server;
        let counters = &mut self.counters;
        for (&request_id, held) in &mut self.held {
            if held.orphan || now_us < held.expires_us {
                continue;
            }
            if self.trial == Some(request_id) {
                self.trial = None;
            }
            held.orphan = true;
            counters.expired += 1;
            actions.push(LedgerAction::Cancel { server: server.clone(), request_id });
        }
        if self.role == Role::Prefill {
            self.held.retain(|_, held| !held.orphan);
        }
    }
}
