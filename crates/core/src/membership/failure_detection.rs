//! Failure detection by heartbeat age on the local clock, and publication of the resulting view.

use std::collections::BTreeMap;

use super::table::KnownMember;
use super::{
    Fingerprint, Member, MemberRecord, MemberState, MembersView, Membership, MembershipAction,
    MembershipMessage,
};
use crate::ids::DataCentreId;
use crate::units::{Micros, Millis, MonoTime};
use crate::watch::hash_name;

impl Membership {
    /// Detects that this process was suspended. Every other daemon then appears silent; declaring them dead
    /// would make this daemon claim all their jobs, so their deadlines are extended by the gap. The own
    /// heartbeat counter advances by the gap, which makes the last echo stale: until a peer echoes a newer
    /// value, this daemon assumes that its jobs may have been reassigned.
    pub(super) fn detect_pause(&mut self, now_us: MonoTime) {
        let gap_us = self.last_tick_us.map_or(Micros::ZERO, |last_tick_us| now_us.since(last_tick_us));
        self.last_tick_us = Some(now_us);
        if gap_us <= self.settings.pause_us() {
            return;
        }
        self.counts.paused += 1;
        self.counter += gap_us.0 / Micros::from(self.settings.tick_ms).0;
        self.table.shift_times(gap_us);
        self.data_centres.shift_times(gap_us);
    }

    pub(super) fn detect_failures(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let dead_before = self.table.all().filter(|known| known.is_dead).count();
        self.table.expire(now_us, &self.settings);
        let dead_after = self.table.all().filter(|known| known.is_dead).count();
        self.counts.died += dead_after.saturating_sub(dead_before) as u64;

        let tick_us = Micros::from(self.settings.tick_ms);
        let suspect_after_us = Micros::from(self.settings.suspect_after_ms);
        for known in self.table.live() {
            let age_us = now_us.since(known.last_heartbeat_us);
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
        let mut view = self.build_view(now_us);
        if view == self.view {
            return;
        }
        view.version += 1;
        self.view = view.clone();
        actions.push(MembershipAction::Publish(view));
    }

    /// The inputs of the view. Comparing them avoids rebuilding hundreds of records at each tick when nothing
    /// changed.
    pub(super) fn fingerprint(&self, now_us: MonoTime) -> Fingerprint {
        let local = self.table.live().map(|known| (known.tag, self.local_state(now_us, known)));
        let reachable =
            self.data_centres.all().map(|(_, data_centre)| data_centre.is_reachable(now_us, &self.settings));
        Fingerprint {
            own_tag: self.own_tag,
            is_heard: self.is_heard(now_us),
            local: local.collect(),
            remote_changes: self.data_centres.changes(),
            reachable: reachable.collect(),
        }
    }

    pub(super) fn build_view(&self, now_us: MonoTime) -> MembersView {
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
        let mut local: Vec<Member> = self
            .table
            .live()
            .map(|known| make_member(&known.record, self.local_state(now_us, known)))
            .collect();
        local.push(make_member(&self.own, remote_state(&self.own, true)));
        members.insert(self.own.data_centre.clone(), sorted(local));
        MembersView {
            version: self.view.version,
            own_host: Some(self.own.host.clone()),
            own_data_centre: Some(self.own.data_centre.clone()),
            is_heard: self.is_heard(now_us),
            members,
        }
    }

    pub(super) fn local_state(&self, now_us: MonoTime, known: &KnownMember) -> MemberState {
        if known.record.leaving {
            return MemberState::Leaving;
        }
        if now_us.since(known.last_heartbeat_us) > Micros::from(self.settings.suspect_after_ms) {
            return MemberState::Suspect;
        }
        MemberState::Live
    }

    /// Whether peers still receive this daemon's heartbeats: one of them echoed a counter that is younger
    /// than the dead threshold. A daemon with no live peers is alone, or cut off together with its backend
    /// servers, and keeps serving.
    pub(super) fn is_heard(&self, now_us: MonoTime) -> bool {
        if self.table.live().next().is_none() {
            return self.may_be_alone(now_us);
        }
        let unheard_ms = Millis(self.counter.saturating_sub(self.echoed) * self.settings.tick_ms.0);
        self.echoed > 0 && unheard_ms <= self.settings.dead_after_ms
    }

    /// Whether this daemon may act without live peers. A new daemon that knows no peers would take over all
    /// jobs of its data centre, so it first waits [`MembershipSettings::settle_ms`], unless there are no
    /// other contacts.
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
