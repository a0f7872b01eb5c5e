//! Giving grants, and the share of the link to those that are ready.

use crate::ids::RequestId;
use crate::units::{BytesPerSecond, Micros, MonoTime};

use super::{Asker, Held, Ledger, LedgerAction, MIN_WAIT_US, confirm_message};
use crate::slots::{GrantPhase, Role, SlotMessage, Waiting};

impl Ledger {
    /// Grants as long as there is room and somebody waits.
    pub(super) fn serve(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.confirm(now_us, actions);
        while let Some(needed_in_us) = self.queue.peek(now_us).map(|entry| entry.item.needed_in_us) {
            if let Some(at_us) = self.no_grant_until(now_us) {
                self.wake_at(now_us, at_us, actions);
                return;
            }
            if self.trial.is_some() {
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

    /// A turn becomes free with time alone, a slot only with a message.
    pub(super) fn wake_for_room(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        if self.role == Role::Prefill {
            let at_us = self.room_at(now_us);
            self.wake_at(now_us, at_us, actions);
        }
    }

    pub(super) fn drained(&mut self, now_us: MonoTime, entry: &Waiting<Asker>) {
        if entry.since_us < now_us {
            self.pace.drain(now_us, entry.work_us, !self.queue.is_empty());
        }
    }

    pub(super) fn wake_at(&mut self, now_us: MonoTime, at_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        if self.wake_us.is_none_or(|known_us| known_us <= now_us || at_us < known_us) {
            self.wake_us = Some(at_us);
            actions.push(LedgerAction::Wake { at_us });
        }
    }

    pub(super) fn no_grant_until(&self, now_us: MonoTime) -> Option<MonoTime> {
        if now_us < self.quiet_until_us {
            return Some(self.quiet_until_us);
        }
        self.closed_until_us.filter(|&until_us| now_us < until_us)
    }

    pub(super) fn grant(&mut self, now_us: MonoTime, entry: Waiting<Asker>, actions: &mut Vec<LedgerAction>) {
        self.drained(now_us, &entry);
        let request_id = entry.request_id;
        let held = Held {
            home: entry.item.home.clone(),
            ask: entry.item.ask,
            partner: entry.partner,
            charge_us: entry.charge_us,
            granted_us: now_us,
            expires_us: now_us + self.settings.grant_ttl_ms,
            work_us: entry.work_us,
            rate_bytes_per_s: BytesPerSecond::ZERO,
            phase: GrantPhase::Reserved,
            phase_us: now_us,
            sure: self.role == Role::Prefill || self.sure_len() < self.slots_total as usize,
            orphan: false,
        };
        if self.closed_until_us.is_some() {
            self.trial = Some(request_id);
        }
        self.counters.grants += 1;
        let message = self.grant_message(now_us, request_id, &held);
        self.held.insert(request_id, held);
        actions.push(LedgerAction::Send { to: entry.item.home, message });
    }

    pub(super) fn grant_message(&self, now_us: MonoTime, request_id: RequestId, held: &Held) -> SlotMessage {
        SlotMessage::Grant {
            server: self.server.clone(),
            request_id,
            ask: held.ask,
            load: self.load(now_us),
            ttl_ms: self.settings.grant_ttl_ms,
        }
    }

    /// Starts transfers that are ready, in the order in which they became so.
    ///
    /// Harm prevented: a transfer without a slot is refused by the engine, and one that shares the link with
    /// too many crawls until the prefill result is evicted at its source. So the share of the link is given
    /// here, at the last moment: promised earlier, with the turn, it would lie idle for as long as the prompt
    /// is read.
    pub(super) fn confirm(&mut self, now_us: MonoTime, actions: &mut Vec<LedgerAction>) {
        self.promote();
        while let Some(rate_bytes_per_s) = self.free_rate() {
            let ready = self.held.iter_mut().filter(|(_, held)| held.phase == GrantPhase::Ready && held.sure);
            let Some((&request_id, held)) = ready.min_by_key(|(id, held)| (held.phase_us, **id)) else {
                return;
            };
            held.phase = GrantPhase::Moving;
            held.phase_us = now_us;
            held.rate_bytes_per_s = rate_bytes_per_s;
            let to = held.home.clone();
            let message = confirm_message(&self.server, request_id, held);
            actions.push(LedgerAction::Send { to, message });
        }
    }

    /// Makes likely slots sure as others become free, the one whose prompt was read first before others:
    /// its result is evicted first.
    pub(super) fn promote(&mut self) {
        while self.sure_len() < self.slots_total as usize {
            let likely = self.held.iter_mut().filter(|(_, held)| !held.sure);
            let order = |held: &Held| (held.phase != GrantPhase::Ready, held.phase_us);
            let Some((_, held)) = likely.min_by_key(|(id, held)| (order(held), **id)) else {
                return;
            };
            held.sure = true;
        }
    }

    /// Slots that are somebody's for certain; never more than there are, but for a change of watcher.
    pub(super) fn sure_len(&self) -> usize {
        self.held.values().filter(|held| held.sure).count() + self.foreign.len()
    }

    /// Whether one more grant may be given.
    ///
    /// A slot is sure when there are fewer grants than slots. A request so tight that it says when it needs
    /// its slot may also have one that is likely: held now, but expected to be free by then. The engine
    /// is never over-committed by it, because the transfer still waits for the slot; what is risked is the
    /// prefill, and a class with slack does not take that risk.
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
        let ending = |held: &&Held| held.phase == GrantPhase::Moved && held.phase_us + held.work_us <= at_us;
        self.held.values().filter(ending).count()
    }

    pub(super) fn turns(&self) -> impl Iterator<Item = &Held> {
        self.held.values().filter(|held| held.phase <= GrantPhase::Running)
    }

    /// Work sent to a prefill server and not yet done. Work that overran its estimate is expected to take as long
    /// again: a server that hangs would look idle otherwise, and draw the whole queue.
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
        let spent_us = first_us.map_or(0, |first_us| now_us.since(first_us.max(self.last_moved_us)).0);
        Micros(running_us.abs_diff(spent_us))
    }

    /// Work of turns that still wait for their slots: of all, or only of those granted a moment ago, which
    /// will start at once if their slot is free.
    pub(super) fn reserved_us(&self, now_us: MonoTime, only_fresh: bool) -> Micros {
        let grace_us = self.settings.slot_grace_us;
        let reserved = self.turns().filter(|held| {
            held.phase == GrantPhase::Reserved && (!only_fresh || now_us < held.granted_us + grace_us)
        });
        Micros(reserved.map(|held| held.work_us.0).sum())
    }

    /// Work that the server has or will have in a moment. A turn whose slot is not to be had at once does not
    /// count: the server would idle beside it, and a request of another partner wait for nothing.
    pub(super) fn ahead_us(&self, now_us: MonoTime) -> Micros {
        self.backlog_us(now_us) + self.reserved_us(now_us, true)
    }

    pub(super) fn room_at(&self, now_us: MonoTime) -> MonoTime {
        let left_us = self.ahead_us(now_us).saturating_sub(self.settings.prefill_ahead_us);
        now_us + Micros(left_us.0.max(MIN_WAIT_US))
    }

    /// Share of the link for one more transfer, or `None` while too many share it: a transfer that crawls
    /// outlasts the prefill result at its source.
    pub(super) fn free_rate(&self) -> Option<BytesPerSecond> {
        let moving = self.held.values().filter(|held| held.phase == GrantPhase::Moving);
        let used = moving.map(|held| held.rate_bytes_per_s.0).sum::<u64>();
        let free = self.link_bytes_per_s.0.saturating_sub(used);
        let smallest = self.link_bytes_per_s.0 / self.settings.link_parts_max.max(1);
        let rate = (free / self.settings.link_divisor.max(1)).max(smallest);
        (self.link_bytes_per_s.0 == 0 || rate <= free).then_some(BytesPerSecond(rate))
    }
}
