//! What a daemon makes of messages, and what it answers.

use super::table::{Heard, Learned};
use super::{
    DataCentreDigest, DataCentreState, DataCentreTag, Heartbeat, MemberRecord, MemberTag, Membership,
    MembershipAction, MembershipMessage, PULLED_CENTRES, WANTED_TAGS,
};
use crate::ids::{HostId, Incarnation};
use crate::units::MonoTime;

impl Membership {
    pub(super) fn receive(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        incarnation: Incarnation,
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        if *from == self.own.host {
            self.notice_successor(incarnation, actions);
            return;
        }
        if self.table.has_newer_life(from, incarnation) {
            return;
        }
        match message {
            MembershipMessage::Gossip { sender, heartbeats, data_centres } => {
                self.learn_sender(now_us, from, incarnation, sender, actions);
                self.hear(now_us, from, &heartbeats);
                self.hear_data_centres(now_us, from, &data_centres);
                self.meet(now_us, from, &heartbeats, actions);
                self.pull(now_us, actions);
            }
            MembershipMessage::Pull { tags, data_centres, sender } => {
                self.learn_sender(now_us, from, incarnation, sender, actions);
                self.answer(from, &tags, &data_centres, actions);
            }
            MembershipMessage::Push { records, data_centres } => {
                self.take(now_us, from, records, data_centres, actions);
            }
            MembershipMessage::Ping { .. } => self.pong(from, actions),
            MembershipMessage::Pong { heartbeat } => self.hear(now_us, from, &[heartbeat]),
        }
    }

    pub(super) fn notice_successor(&self, incarnation: Incarnation, actions: &mut Vec<MembershipAction>) {
        if incarnation > self.own.incarnation {
            actions.push(MembershipAction::Superseded { by: incarnation });
        }
    }

    pub(super) fn learn_sender(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        incarnation: Incarnation,
        sender: Option<MemberRecord>,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(record) =
            sender.filter(|record| record.host == *from && record.incarnation == incarnation)
        {
            self.learn(now_us, record, actions);
        }
    }

    pub(super) fn learn(
        &mut self,
        now_us: MonoTime,
        record: MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if record.host == self.own.host {
            self.notice_successor(record.incarnation, actions);
            return;
        }
        if record.data_centre != self.own.data_centre {
            self.data_centres.learn(record);
            return;
        }
        if self.table.learn(now_us, record.clone(), &self.settings) == Learned::New {
            // The newcomer is spoken to next: the sooner it knows the rest, the sooner it shares the work.
            self.round.push(record.host);
        }
    }

    pub(super) fn hear(&mut self, now_us: MonoTime, from: &HostId, heartbeats: &[Heartbeat]) {
        for heartbeat in heartbeats {
            if heartbeat.tag == self.own_tag {
                self.echoed = self.echoed.max(heartbeat.counter.min(self.counter));
                continue;
            }
            let was_dead = self
                .table
                .record(heartbeat.tag)
                .and_then(|record| self.table.find(&record.host))
                .is_some_and(|known| known.is_dead);
            match self.table.hear(now_us, *heartbeat) {
                Heard::New => self.counts.revived += u64::from(was_dead),
                Heard::Old => {}
                Heard::Unknown => {
                    if self.wanted_tags.len() < WANTED_TAGS {
                        self.wanted_tags.insert(heartbeat.tag, from.clone());
                    }
                }
            }
        }
    }

    pub(super) fn hear_data_centres(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        digests: &[DataCentreDigest],
    ) {
        for digest in digests {
            if self.data_centres.hear(now_us, *digest) {
                self.wanted_data_centres.insert(digest.data_centre, from.clone());
            }
        }
        self.want_missing(from);
    }

    pub(super) fn want_missing(&mut self, from: &HostId) {
        let room = WANTED_TAGS.saturating_sub(self.wanted_tags.len());
        let missing: Vec<MemberTag> = self.data_centres.missing(self.own_data_centre).take(room).collect();
        for tag in missing {
            self.wanted_tags.insert(tag, from.clone());
        }
    }

    /// Answers a daemon of the own data centre that does not name this one: it is new, or has not heard of
    /// this one for long. Without the record it could not even ask.
    pub(super) fn meet(
        &self,
        now_us: MonoTime,
        from: &HostId,
        heartbeats: &[Heartbeat],
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_whole = !heartbeats.is_empty() && heartbeats.len() < self.settings.heartbeats_per_message;
        let is_named = heartbeats.iter().any(|heartbeat| heartbeat.tag == self.own_tag);
        let Some(address) = self.table.address(from).filter(|_| is_whole && !is_named) else {
            return;
        };
        actions.push(MembershipAction::Send {
            to: Some(from.clone()),
            address,
            message: self.make_gossip(now_us, true, true),
        });
    }

    pub(super) fn answer(
        &self,
        from: &HostId,
        tags: &[MemberTag],
        data_centres: &[DataCentreTag],
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(address) = self.address(from) else { return };
        let records: Vec<MemberRecord> = tags
            .iter()
            .filter_map(|tag| self.record(*tag))
            .take(self.settings.records_per_message)
            .cloned()
            .collect();
        let data_centres: Vec<DataCentreState> = data_centres
            .iter()
            .filter_map(|tag| self.data_centres.find(*tag))
            .take(PULLED_CENTRES)
            .map(|data_centre| data_centre.state.clone())
            .collect();
        if records.is_empty() && data_centres.is_empty() {
            return;
        }
        actions.push(MembershipAction::Send {
            to: Some(from.clone()),
            address,
            message: MembershipMessage::Push { records, data_centres },
        });
    }

    pub(super) fn record(&self, tag: MemberTag) -> Option<&MemberRecord> {
        if tag == self.own_tag {
            return Some(&self.own);
        }
        self.table.record(tag).or_else(|| self.data_centres.record(tag))
    }

    pub(super) fn take(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        records: Vec<MemberRecord>,
        data_centres: Vec<DataCentreState>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in records {
            self.wanted_tags.remove(&record.tag());
            self.learn(now_us, record, actions);
        }
        for state in data_centres {
            self.wanted_data_centres.remove(&DataCentreTag::of(&state.data_centre));
            self.data_centres.adopt(now_us, state);
        }
        self.want_missing(from);
        self.pull(now_us, actions);
    }

    pub(super) fn pong(&self, from: &HostId, actions: &mut Vec<MembershipAction>) {
        let Some(address) = self.address(from) else { return };
        actions.push(MembershipAction::Send {
            to: Some(from.clone()),
            address,
            message: MembershipMessage::Pong {
                heartbeat: Heartbeat { tag: self.own_tag, counter: self.counter },
            },
        });
    }
}
