//! Handling of incoming membership messages.

use super::table::{HeartbeatOutcome, RecordOutcome};
use super::{
    DataCentreDigest, DataCentreState, DataCentreTag, Heartbeat, MAX_DATA_CENTRES_PER_PULL, MAX_WANTED_TAGS,
    MemberRecord, MemberTag, Membership, MembershipAction, MembershipMessage,
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
            self.check_superseded(incarnation, actions);
            return;
        }
        if self.table.has_newer_incarnation(from, incarnation) {
            return;
        }
        match message {
            MembershipMessage::Gossip { sender, heartbeats, data_centres } => {
                self.update_sender(now_us, from, incarnation, sender, actions);
                self.apply_heartbeats(now_us, from, &heartbeats);
                self.apply_digests(now_us, from, &data_centres);
                self.reply_if_unlisted(now_us, from, &heartbeats, actions);
                self.pull(now_us, actions);
            }
            MembershipMessage::Pull { tags, data_centres, sender } => {
                self.update_sender(now_us, from, incarnation, sender, actions);
                self.answer_pull(from, &tags, &data_centres, actions);
            }
            MembershipMessage::Push { records, data_centres } => {
                self.apply_push(now_us, from, records, data_centres, actions);
            }
            MembershipMessage::Ping { .. } => self.send_pong(from, actions),
            MembershipMessage::Pong { heartbeat } => self.apply_heartbeats(now_us, from, &[heartbeat]),
        }
    }

    pub(super) fn check_superseded(&self, incarnation: Incarnation, actions: &mut Vec<MembershipAction>) {
        if incarnation > self.own.incarnation {
            actions.push(MembershipAction::Superseded { by: incarnation });
        }
    }

    pub(super) fn update_sender(
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
            self.update_record(now_us, record, actions);
        }
    }

    pub(super) fn update_record(
        &mut self,
        now_us: MonoTime,
        record: MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if record.host == self.own.host {
            self.check_superseded(record.incarnation, actions);
            return;
        }
        if record.data_centre != self.own.data_centre {
            self.data_centres.update_record(record);
            return;
        }
        if self.table.update_record(now_us, record.clone(), &self.settings) == RecordOutcome::Applied {
            // Gossip with the new daemon next, so that it learns of the others and takes its share of jobs
            // soon.
            self.gossip_order.push(record.host);
        }
    }

    pub(super) fn apply_heartbeats(&mut self, now_us: MonoTime, from: &HostId, heartbeats: &[Heartbeat]) {
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
            match self.table.apply_heartbeat(now_us, *heartbeat) {
                HeartbeatOutcome::Advanced => self.counts.revived += u64::from(was_dead),
                HeartbeatOutcome::Stale => {}
                HeartbeatOutcome::Unknown => {
                    if self.wanted_tags.len() < MAX_WANTED_TAGS {
                        self.wanted_tags.insert(heartbeat.tag, from.clone());
                    }
                }
            }
        }
    }

    pub(super) fn apply_digests(&mut self, now_us: MonoTime, from: &HostId, digests: &[DataCentreDigest]) {
        for digest in digests {
            if self.data_centres.apply_digest(now_us, *digest) {
                self.wanted_data_centres.insert(digest.data_centre, from.clone());
            }
        }
        self.queue_missing_records(from);
    }

    pub(super) fn queue_missing_records(&mut self, from: &HostId) {
        let room = MAX_WANTED_TAGS.saturating_sub(self.wanted_tags.len());
        let missing: Vec<MemberTag> = self.data_centres.missing(self.own_data_centre).take(room).collect();
        for tag in missing {
            self.wanted_tags.insert(tag, from.clone());
        }
    }

    /// Replies to a local daemon whose heartbeats do not include this one: it is new or has not received this
    /// daemon's heartbeats for long. The reply carries the full record, since the other daemon lacks the tag
    /// to request it.
    pub(super) fn reply_if_unlisted(
        &self,
        now_us: MonoTime,
        from: &HostId,
        heartbeats: &[Heartbeat],
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_complete = !heartbeats.is_empty() && heartbeats.len() < self.settings.heartbeats_per_message;
        let is_listed = heartbeats.iter().any(|heartbeat| heartbeat.tag == self.own_tag);
        let Some(address) = self.table.address(from).filter(|_| is_complete && !is_listed) else {
            return;
        };
        actions.push(MembershipAction::Send {
            to: Some(from.clone()),
            address,
            message: self.make_gossip(now_us, true, true),
        });
    }

    pub(super) fn answer_pull(
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
            .take(MAX_DATA_CENTRES_PER_PULL)
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

    pub(super) fn apply_push(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        records: Vec<MemberRecord>,
        data_centres: Vec<DataCentreState>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for record in records {
            self.wanted_tags.remove(&record.tag());
            self.update_record(now_us, record, actions);
        }
        for state in data_centres {
            self.wanted_data_centres.remove(&DataCentreTag::of(&state.data_centre));
            self.data_centres.adopt(now_us, state);
        }
        self.queue_missing_records(from);
        self.pull(now_us, actions);
    }

    pub(super) fn send_pong(&self, from: &HostId, actions: &mut Vec<MembershipAction>) {
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
