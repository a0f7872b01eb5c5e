//! Renewal, expiry and takeover of grants, and their reconciliation with load reports.

use std::collections::HashSet;

use crate::ids::{HostId, Incarnation};
use crate::units::{Micros, MonoTime};

use super::{Held, HeldReport, Ledger, LedgerAction, RENEW_CROSSING_MS};
use crate::slots::{HeldGrant, Role};

impl Ledger {
    /// Handles a load report of the server.
    ///
    /// Covers two cases that the ledger cannot see itself: requests of a daemon that died hold slots unknown
    /// to any ledger, and an expired grant would be granted again while the engine still works on it.
    /// Therefore slots that are reported but not in the ledger count as taken until a later report lacks
    /// them, and an orphaned grant is dropped only then.
    pub fn report(&mut self, now_us: MonoTime, report: &HeldReport, actions: &mut Vec<LedgerAction>) {
        let as_of_us = MonoTime(now_us.0.saturating_sub(report.as_of_us.0));
        let lag_ms = self.settings.report_lag_ms;
        self.released.retain(|_, at_us| now_us < *at_us + lag_ms);
        let reported = report.held.iter().copied().collect::<HashSet<_>>();
        self.held.retain(|id, held| !held.orphan || held.expires_us >= as_of_us || reported.contains(id));
        if self.role == Role::Decode {
            let unknown = reported.into_iter();
            self.unaccounted =
                unknown.filter(|id| !self.held.contains_key(id) && !self.released.contains_key(id)).collect();
        }
        if as_of_us >= self.since_us {
            self.report_seen = true;
            self.finish_takeover(now_us);
        }
        self.grant_waiting(now_us, actions);
    }

    /// Handles the end of a daemon's incarnation, whose grants nobody will register any more. Its known
    /// grants stay in the ledger until they expire and the server no longer reports them.
    pub fn forget_daemon(&mut self, now_us: MonoTime, incarnation: Incarnation) {
        self.unregistered.remove(&incarnation);
        self.finish_takeover(now_us);
    }

    /// Ends the takeover period after a change of watcher once it is safe to grant the same slots again: each
    /// live daemon has registered its grants, and a load report taken since has shown what dead ones hold. If
    /// either does not happen, the grants of the earlier watcher have expired after one grant lifetime
    /// anyway.
    pub(super) fn finish_takeover(&mut self, now_us: MonoTime) {
        if self.unregistered.is_empty() && (self.report_seen || self.role == Role::Prefill) {
            self.takeover_until_us = self.takeover_until_us.min(now_us);
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
        // Drops grants whose release was lost: the daemon does not list a grant that is old enough for it to
        // know.
        self.held.retain(|id, held| {
            id.incarnation != incarnation
                || listed.contains(id)
                || now_us < held.granted_us + RENEW_CROSSING_MS
        });
        for grant in list {
            self.observe_speed(grant.token_us);
            self.unaccounted.remove(&grant.request_id);
            if let Some(held) = self.held.get_mut(&grant.request_id) {
                held.expires_us = expires_us;
                held.phase = held.phase.max(grant.phase);
                continue;
            }
            self.take_over(now_us, from, grant);
        }
        if self.unregistered.remove(&incarnation) {
            self.finish_takeover(now_us);
        }
    }

    pub(super) fn take_over(&mut self, now_us: MonoTime, from: &HostId, grant: HeldGrant) {
        if self.released.contains_key(&grant.request_id) {
            return;
        }
        self.counters.taken_over += 1;
        if self.role == Role::Decode && self.held_len() >= self.slots_total as usize {
            // Two watchers granted at the same time. The engine refuses the surplus request.
            self.counters.over_committed += 1;
        }
        let held = Held {
            requester: from.clone(),
            grant_id: grant.grant_id,
            partner: grant.partner,
            charge_us: Micros::ZERO,
            granted_us: now_us,
            expires_us: now_us + self.settings.grant_ttl_ms,
            work_us: self.work_us(grant.work_tokens),
            rate_bytes_per_s: grant.rate_bytes_per_s,
            phase: grant.phase,
            phase_us: now_us,
            guaranteed: true,
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
            if self.probe == Some(request_id) {
                self.probe = None;
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
