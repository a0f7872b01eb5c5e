//! Who lives: judged by heartbeats at this daemon's own clock, and published when it changes.

use std::collections::BTreeMap;

use super::table::Known;
use super::{
    Fingerprint, Member, MemberRecord, MemberState, MembersView, Membership, MembershipAction,
    MembershipMessage,
};
use crate::ids::DataCentreId;
use crate::units::{Micros, Millis, MonoTime};
use crate::watch::hash_name;

impl Membership {
    /// After a pause everybody looks silent, because this daemon did not listen. Taking all of them for dead
    /// would make it claim all their work at once; so the pause is added to their times. Its own counter
    /// jumps by the pause, which makes the last echo old: until somebody echoes a new one it knows that the
    /// others may have given its work away.
    pub(super) fn notice_pause(&mut self, now_us: MonoTime) {
        let gap_us = self.ticked_us.map_or(Micros::ZERO, |ticked_us| now_us.since(ticked_us));
        self.ticked_us = Some(now_us);
        if gap_us <= self.settings.pause_us() {
            return;
        }
        self.counts.paused += 1;
        self.counter += gap_us.0 / Micros::from(self.settings.tick_ms).0;
        self.table.excuse(gap_us);
        self.data_centres.excuse(gap_us);
    }

    pub(super) fn judge(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let dead_before = self.table.all().filter(|known| known.is_dead).count();
        self.table.expire(now_us, &self.settings);
        let dead_after = self.table.all().filter(|known| known.is_dead).count();
        self.counts.died += dead_after.saturating_sub(dead_before) as u64;

        let tick_us = Micros::from(self.settings.tick_ms);
        let suspect_after_us = Micros::from(self.settings.suspect_after_ms);
        for known in self.table.living() {
            let age_us = now_us.since(known.heard_us);
            if age_us <= suspect_after_us {
                continue;
            }
            if age_us <= suspect_after_us + tick_us {
                self.counts.suspected += 1;
            }
            actions.push(MembershipAction::Send {
                to: Some(known.record.host.clone()),
                address: known.record.peer_address,
                message: MembershipMessage::Ping { counter: self.counter },
            });
        }
    }

    pub(super) fn publish(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let fingerprint = self.fingerprint(now_us);
        if fingerprint == self.fingerprint {
            return;
        }
        self.fingerprint = fingerprint;
        let mut view = self.look(now_us);
        if view == self.view {
            return;
        }
        view.version += 1;
        self.view = view.clone();
        actions.push(MembershipAction::Publish(view));
    }

    /// What the view depends on, without the view: hundreds of records need not be copied at each tick to
    /// find that nothing changed.
    pub(super) fn fingerprint(&self, now_us: MonoTime) -> Fingerprint {
        let here = self.table.living().map(|known| (known.tag, self.local_state(now_us, known)));
        let reachable =
            self.data_centres.all().map(|(_, data_centre)| data_centre.is_reachable(now_us, &self.settings));
        Fingerprint {
            own_tag: self.own_tag,
            is_heard: self.is_heard(now_us),
            here: here.collect(),
            remote_changes: self.data_centres.changes(),
            reachable: reachable.collect(),
        }
    }

    pub(super) fn look(&self, now_us: MonoTime) -> MembersView {
        let mut members: BTreeMap<DataCentreId, Vec<Member>> = BTreeMap::new();
        for (tag, data_centre) in self.data_centres.all() {
            if *tag == self.own_data_centre {
                continue;
            }
            let is_reachable = data_centre.is_reachable(now_us, &self.settings);
            let known = data_centre.state.tags.iter().filter_map(|tag| self.data_centres.record(*tag));
            let listed = known.map(|record| make_member(record, remote_state(record, is_reachable)));
            members.insert(data_centre.state.data_centre.clone(), sorted(listed.collect()));
        }
        let mut here: Vec<Member> = self
            .table
            .living()
            .map(|known| make_member(&known.record, self.local_state(now_us, known)))
            .collect();
        here.push(make_member(&self.own, remote_state(&self.own, true)));
        members.insert(self.own.data_centre.clone(), sorted(here));
        MembersView {
            version: self.view.version,
            own_host: Some(self.own.host.clone()),
            own_data_centre: Some(self.own.data_centre.clone()),
            is_heard: self.is_heard(now_us),
            members,
        }
    }

    pub(super) fn local_state(&self, now_us: MonoTime, known: &Known) -> MemberState {
        if known.record.leaving {
            return MemberState::Leaving;
        }
        if now_us.since(known.heard_us) > Micros::from(self.settings.suspect_after_ms) {
            return MemberState::Suspect;
        }
        MemberState::Live
    }

    /// Whether the others still hear this daemon: one of them echoed a counter younger than what makes a
    /// daemon dead. A daemon that hears nobody is alone, or cut off with all its servers' other watchers,
    /// and has to serve what it can.
    pub(super) fn is_heard(&self, now_us: MonoTime) -> bool {
        if self.table.living().next().is_none() {
            return self.may_be_alone(now_us);
        }
        let unheard_ms = Millis(self.counter.saturating_sub(self.echoed) * self.settings.tick_ms.0);
        self.echoed > 0 && unheard_ms <= self.settings.dead_after_ms
    }

    /// A newcomer knows nobody yet and would take all work of its data centre for itself. It waits until it
    /// has had time to meet the others, unless there is nobody to meet.
    pub(super) fn may_be_alone(&self, now_us: MonoTime) -> bool {
        let has_others = self
            .seeds
            .iter()
            .chain(&self.listed)
            .any(|contact| contact.peer_address != self.own.peer_address);
        let since_start_us = self.started_us.map_or(Micros::ZERO, |started_us| now_us.since(started_us));
        !has_others || since_start_us >= Micros::from(self.settings.settle_ms)
    }
}

fn remote_state(record: &MemberRecord, is_reachable: bool) -> MemberState {
    match (is_reachable, record.leaving) {
        (false, _) => MemberState::Unreachable,
        (true, true) => MemberState::Leaving,
        (true, false) => MemberState::Live,
    }
}

fn make_member(record: &MemberRecord, state: MemberState) -> Member {
    Member {
        host: record.host.clone(),
        incarnation: record.incarnation,
        peer_address: record.peer_address,
        data_centre: record.data_centre.clone(),
        region: record.region.clone(),
        state,
        host_hash: hash_name(record.host.as_str()),
    }
}

fn sorted(mut members: Vec<Member>) -> Vec<Member> {
    members.sort_unstable_by(|a, b| a.host.cmp(&b.host));
    members.dedup_by(|a, b| a.host == b.host);
    members
}
