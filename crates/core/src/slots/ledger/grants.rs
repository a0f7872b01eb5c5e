//! Granting of capacity, and allocation of the link to requests that are ready to transfer.

use crate::ids::RequestId;
use crate::units::{BytesPerSecond, Micros, MonoTime};

use super::{GrantRequestOrigin, Held, Ledger, LedgerAction, MIN_WAKE_DELAY_US, confirm_message};
use crate::slots::{GrantPhase, Role, SlotMessage, Waiting};

impl Ledger {
    /// Grants waiting requests while there is room.
    pub(super) fn grant_waiting(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.confirm(now_us, actions);
        while let Some(needed_in_us) = self.queue.peek(now_us).map(|entry| entry.item.needed_in_us) {
            if let Some(at_us) = self.no_grant_until(now_us) {
                self.wake_at(now_us, at_us, actions);
                return;
            }
            if self.probe.is_some() {
                return;
            }
            if !self.has_room(now_us, needed_in_us) {
                self.wake_for_room(now_us, actions);
                return;
            }
            let Some(entry) = self.queue.pop(now_us) else {
                return;
            };
            self.grant(now_us, entry, actions);
        }
    }

    /// Requests a wake-up for when room is expected. A turn frees up as time passes, a slot only with a
    /// message.
    pub(super) fn wake_for_room(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        if self.role == Role::Prefill {
            let at_us = self.room_expected_at(now_us);
            self.wake_at(now_us, at_us, actions);
        }
    }

    pub(super) fn record_drain(&mut self, now_us: MonoTime, entry: &Waiting<GrantRequestOrigin>) {
        if entry.since_us < now_us {
            self.drain_ratio.record(now_us, entry.work_us, !self.queue.is_empty());
        }
    }

    pub(super) fn wake_at(&mut self, now_us: MonoTime, at_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        if self.wake_us.is_none_or(|known_us| known_us <= now_us || at_us < known_us) {
            self.wake_us = Some(at_us);
            actions.push(LedgerAction::Wake { at_us });
        }
    }

    pub(super) fn no_grant_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        if now_us < self.takeover_until_us {
            return Some(self.takeover_until_us);
        }
        self.closed_until_us.filter(|&until_us| now_us < until_us)
    }

    pub(super) fn grant(
        &mut self,
        now_us: MonoTime,
        entry: Waiting<GrantRequestOrigin>,
        actions: &mut Vec<LedgerAction>,
    ) {
        self.record_drain(now_us, &entry);
        let request_id = entry.request_id;
        let held = Held {
            requester: entry.item.requester.clone(),
            grant_id: entry.item.grant_id,
            partner: entry.partner,
            charge_us: entry.charge_us,
            granted_us: now_us,
            expires_us: now_us + self.settings.grant_ttl_ms,
            work_us: entry.work_us,
            rate_bytes_per_s: BytesPerSecond::ZERO,
            phase: GrantPhase::Reserved,
            phase_us: now_us,
            guaranteed: self.role == Role::Prefill || self.guaranteed_len() < self.slots_total as usize,
            orphan: false,
        };
        if self.closed_until_us.is_some() {
            self.probe = Some(request_id);
        }
        self.counters.grants += 1;
        let message = self.grant_message(now_us, request_id, &held);
        self.held.insert(request_id, held);
        actions.push(LedgerAction::Send { to: entry.item.requester, message });
    }

    pub(super) fn grant_message(&self, now_us: MonoTime, request_id: RequestId, held: &Held) -> SlotMessage {
        SlotMessage::Grant {
            server: self.server.clone(),
            request_id,
            grant_id: held.grant_id,
            load: self.load(now_us),
            ttl_ms: self.settings.grant_ttl_ms,
        }
    }

    /// Confirms transfers that are ready, in the order in which they became so.
    ///
    /// A transfer without a slot is refused by the engine, and one that shares the link with too many others
    /// is so slow that the prefill result is evicted at its source. The share of the link is therefore
    /// allocated here, at the last moment: allocated with the turn, it would be idle while the prompt is
    /// processed.
    pub(super) fn confirm(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.guarantee_freed_slots();
        while let Some(rate_bytes_per_s) = self.grantable_rate() {
            let ready =
                self.held.iter_mut().filter(|(_, held)| held.phase == GrantPhase::Ready && held.guaranteed);
            let Some((&request_id, held)) = ready.min_by_key(|(id, held)| (held.phase_us, **id)) else {
                return;
            };
            held.phase = GrantPhase::Transferring;
            held.phase_us = now_us;
            held.rate_bytes_per_s = rate_bytes_per_s;
            let to = held.requester.clone();
            let message = confirm_message(&self.server, request_id, held);
            actions.push(LedgerAction::Send { to, message });
        }
    }

    /// Turns likely slots into guaranteed ones as others become free. A grant whose prompt is processed goes
    /// first, the oldest before others, because its result is evicted first.
    pub(super) fn guarantee_freed_slots(&mut self) {
        while self.guaranteed_len() < self.slots_total as usize {
            let likely = self.held.iter_mut().filter(|(_, held)| !held.guaranteed);
            let order = |held: &Held| (held.phase != GrantPhase::Ready, held.phase_us);
            let Some((_, held)) = likely.min_by_key(|(id, held)| (order(held), **id)) else {
                return;
            };
            held.guaranteed = true;
        }
    }

    /// Number of guaranteed slots; exceeds the server's slots only after a change of watcher.
    pub(super) fn guaranteed_len(&self) -> usize {
        self.held.values().filter(|held| held.guaranteed).count() + self.unaccounted.len()
    }

    /// Whether one more grant may be given.
    ///
    /// A slot is guaranteed if there are fewer grants than slots. A request so tight that it states when it
    /// needs its slot may also get a likely one: in use now, but expected to be free by then. This never
    /// over-commits the engine, because the transfer still waits for the slot; at risk is only the prefill,
    /// and classes with slack do not take that risk.
    pub(super) fn has_room(&self, now_us: MonoTime, needed_in_us: Option<Micros>) -> bool {
        match self.role {
            Role::Decode => {
                let likely = needed_in_us.map_or(0, |needed_in_us| self.ending_by(now_us + needed_in_us));
                self.held_len() < self.slots_total as usize + likely
            }
            Role::Prefill => {
                let turns = self.turns().count();
                let ready = self.held.values().filter(|held| held.phase == GrantPhase::Ready).count();
                ready < self.settings.ready_max
                    && (turns == 0
                        || (turns < self.settings.prefill_turns_max
                            && self.ahead_us(now_us) < self.settings.prefill_ahead_us))
            }
        }
    }

    pub(super) fn ending_by(&self, at_us: MonoTime) -> usize {
        let ending =
            |held: &&Held| held.phase == GrantPhase::Transferred && held.phase_us + held.work_us <= at_us;
        self.held.values().filter(ending).count()
    }

    pub(super) fn turns(&self) -> impl Iterator<Item = &Held> {
        self.held.values().filter(|held| held.phase <= GrantPhase::Running)
    }

    /// Work sent to a prefill server and not yet done. Work that overran its estimate is expected to take as
    /// long again: otherwise a server that hangs would look idle and attract the whole queue.
    pub(super) fn backlog_us(&self, now_us: MonoTime) -> Micros {
        if self.role == Role::Decode {
            return Micros::ZERO;
        }
        let running = self.turns().filter(|held| held.phase == GrantPhase::Running);
        let (mut running_us, mut first_us) = (0, None);
        for held in running {
            running_us += held.work_us.0;
            first_us = Some(first_us.map_or(held.phase_us, |first: MonoTime| first.min(held.phase_us)));
        }
        let spent_us = first_us.map_or(0, |first_us| now_us.since(first_us.max(self.last_prefill_end_us)).0);
        Micros(running_us.abs_diff(spent_us))
    }

    /// Work of turns whose prompt was not sent yet because they wait for their slots: all of them, or with
    /// `only_fresh` only those granted recently, which start at once if their slot is free.
    pub(super) fn reserved_us(&self, now_us: MonoTime, only_fresh: bool) -> Micros {
        let grace_us = self.settings.slot_grace_us;
        let reserved = self.turns().filter(|held| {
            held.phase == GrantPhase::Reserved && (!only_fresh || now_us < held.granted_us + grace_us)
        });
        Micros(reserved.map(|held| held.work_us.0).sum())
    }

    /// Work that the server has or is about to get. A turn whose slot is not available at once is not
    /// counted: the server would stay idle, and requests of other partners would wait for nothing.
    pub(super) fn ahead_us(&self, now_us: MonoTime) -> Micros {
        self.backlog_us(now_us) + self.reserved_us(now_us, true)
    }

    pub(super) fn room_expected_at(&self, now_us: MonoTime) -> MonoTime {
        let left_us = self.ahead_us(now_us).saturating_sub(self.settings.prefill_ahead_us);
        now_us + Micros(left_us.0.max(MIN_WAKE_DELAY_US))
    }

    /// Link rate for one more transfer; `None` while too many share the link, because a transfer that is too
    /// slow is overtaken by the eviction of the prefill result at its source.
    pub(super) fn grantable_rate(&self) -> Option<BytesPerSecond> {
        let moving = self.held.values().filter(|held| held.phase == GrantPhase::Transferring);
        let used = moving.map(|held| held.rate_bytes_per_s.0).sum::<u64>();
        let free = self.link_bytes_per_s.0.saturating_sub(used);
        let smallest = self.link_bytes_per_s.0 / self.settings.link_parts_max.max(1);
        let rate = (free / self.settings.link_divisor.max(1)).max(smallest);
        (self.link_bytes_per_s.0 == 0 || rate <= free).then_some(BytesPerSecond(rate))
    }
}
