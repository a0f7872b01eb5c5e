//! Messages that a daemon initiates: gossip within its data centre, digests to others, contact attempts and
//! pulls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use super::data_centres::hash_tags;
use super::{
    Contact, DataCentreState, Heartbeat, MAX_DATA_CENTRES_PER_PULL, MAX_TAGS_PER_PULL, MIN_PULL_INTERVAL,
    MemberRecord, MemberTag, Membership, MembershipAction, MembershipMessage, is_due,
};
use crate::ids::HostId;
use crate::units::{Micros, MonoTime};
use crate::watch::{JobHash, owners_in};

impl Membership {
    pub(super) fn gossip(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let Some((host, address)) = self.next_gossip_target() else {
            return;
        };
        let message = self.make_gossip(now_us, true, false);
        actions.push(MembershipAction::Send { to: Some(host), address, message });
    }

    /// Next local daemon in a shuffled round-robin order. Each daemon is contacted once per round, so that
    /// random choice cannot leave one out.
    pub(super) fn next_gossip_target(&mut self) -> Option<(HostId, SocketAddr)> {
        for _ in 0..2 {
            while let Some(host) = self.gossip_order.pop() {
                if let Some(known) = self.table.find(&host).filter(|known| !known.is_dead) {
                    return Some((host, known.record.peer_address));
                }
            }
            self.gossip_order = self.table.live().map(|known| known.record.host.clone()).collect();
            self.gossip_order.shuffle(&mut self.rng);
        }
        None
    }

    pub(super) fn make_gossip(
        &self,
        now_us: MonoTime,
        is_local: bool,
        with_record: bool,
    ) -> MembershipMessage {
        let mut heartbeats = Vec::new();
        if is_local {
            heartbeats = self.table.heartbeats(now_us, &self.settings);
            heartbeats.push(Heartbeat { tag: self.own_tag, counter: self.counter });
        }
        MembershipMessage::Gossip {
            sender: self.sender_record(now_us, with_record),
            heartbeats,
            data_centres: self.data_centres.digests(),
        }
    }

    /// The own record, if the receiver may lack it: shortly after startup, and always across data centres,
    /// where messages are few.
    pub(super) fn sender_record(&self, now_us: MonoTime, is_needed: bool) -> Option<MemberRecord> {
        let announce_us = Micros::from(self.settings.dead_after_ms);
        let is_new = self.announced_us.is_none_or(|since_us| now_us.since(since_us) <= announce_us);
        (is_new || is_needed).then(|| self.own.clone())
    }

    /// Tags of the live daemons of the local data centre.
    pub(super) fn own_tags(&self) -> Vec<MemberTag> {
        let mut tags: Vec<MemberTag> = self.table.live().map(|known| known.tag).collect();
        tags.push(self.own_tag);
        tags.sort_unstable();
        tags
    }

    pub(super) fn rank(&self, job: &str) -> Option<usize> {
        let hosts = owners_in(JobHash::of(job), &self.own.data_centre, self.settings.bridges, &self.view);
        hosts.iter().position(|host| *host == self.own.host)
    }

    /// Publishes the membership summary of the local data centre. One daemon does so. If two consider
    /// themselves responsible, for example in a partitioned data centre, each waits before it overrides the
    /// other, so that other data centres see the summaries alternate slowly.
    pub(super) fn publish_summary(&mut self, now_us: MonoTime) {
        if self.rank("bridge") != Some(0) || !self.view.is_heard {
            return;
        }
        let tags = self.own_tags();
        let hash = hash_tags(&tags);
        let known = self.data_centres.find(self.own_data_centre);
        let summary_age_us = self.last_summary_us.map(|last_summary_us| now_us.since(last_summary_us));
        let is_changed = known.is_none_or(|data_centre| data_centre.hash != hash);
        let wait_ms =
            if is_changed { self.settings.bridge_interval_ms } else { self.settings.summary_interval_ms };
        if summary_age_us.is_some_and(|ago_us| ago_us < Micros::from(wait_ms)) {
            return;
        }
        let version = known.map_or(0, |data_centre| data_centre.state.version) + 1;
        self.last_summary_us = Some(now_us);
        let state = DataCentreState { data_centre: self.own.data_centre.clone(), version, tags };
        self.data_centres.adopt(now_us, state);
    }

    pub(super) fn gossip_across(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        if self.rank("bridge").is_none()
            || !is_due(self.last_bridge_us, now_us, self.settings.bridge_interval_ms)
        {
            return;
        }
        self.last_bridge_us = Some(now_us);
        let Some((to, address)) = self.pick_remote() else {
            return;
        };
        let message = self.make_gossip(now_us, false, true);
        actions.push(MembershipAction::Send { to, address, message });
    }

    /// Picks a daemon of a random other data centre: a known one, or a listed one if none is known.
    /// Unreachable data centres are included, which is how the end of a network partition is detected.
    pub(super) fn pick_remote(&mut self) -> Option<(Option<HostId>, SocketAddr)> {
        let mut names = self.data_centres.names();
        let listed = self.listed.iter().filter_map(|contact| contact.data_centre.clone());
        names.extend(listed);
        names.sort_unstable();
        names.dedup();
        names.retain(|name| *name != self.own.data_centre);
        let name = names.choose(&mut self.rng)?;
        if let Some(record) = self.data_centres.records_in(name).choose(&mut self.rng) {
            return Some((Some(record.host.clone()), record.peer_address));
        }
        let listed = self.listed.iter().filter(|contact| contact.data_centre.as_ref() == Some(name));
        let contact = listed.choose(&mut self.rng)?;
        Some((contact.host.clone(), contact.peer_address))
    }

    /// Contacts a daemon that is expected but not live: a seed, a listed host or a dead daemon. Without it,
    /// two partitions of a data centre that declared each other dead would never merge again.
    pub(super) fn contact(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let is_alone = self.table.live().next().is_none();
        if !is_alone && !is_due(self.last_contact_us, now_us, self.settings.contact_interval_ms) {
            return;
        }
        self.last_contact_us = Some(now_us);
        let Some((to, address)) = self.pick_missing() else {
            return;
        };
        let message = self.make_gossip(now_us, true, true);
        actions.push(MembershipAction::Send { to, address, message });
    }

    pub(super) fn pick_missing(&mut self) -> Option<(Option<HostId>, SocketAddr)> {
        let dead = self.table.all().filter(|known| known.is_dead).map(|known| {
            let record = &known.record;
            (Some(record.host.clone()), record.peer_address)
        });
        let contacts = self
            .seeds
            .iter()
            .chain(&self.listed)
            .filter(|contact| self.may_be_local(contact))
            .map(|contact| (contact.host.clone(), contact.peer_address));
        let missing: Vec<(Option<HostId>, SocketAddr)> = dead
            .chain(contacts)
            .filter(|(host, address)| !self.is_in_contact(host.as_ref(), *address))
            .collect();
        missing.choose(&mut self.rng).cloned()
    }

    /// Whether a contact may belong to the local data centre. Bridges contact the others.
    pub(super) fn may_be_local(&self, contact: &Contact) -> bool {
        contact.data_centre.as_ref().is_none_or(|data_centre| *data_centre == self.own.data_centre)
    }

    pub(super) fn is_in_contact(&self, host: Option<&HostId>, address: SocketAddr) -> bool {
        if address == self.own.peer_address || host == Some(&self.own.host) {
            return true;
        }
        let is_live_local = self
            .table
            .live()
            .any(|known| known.record.peer_address == address || Some(&known.record.host) == host);
        is_live_local || self.data_centres.is_known(address)
    }

    /// Sends the queued requests for one source, at most once per [`MIN_PULL_INTERVAL`]: a new daemon has
    /// hundreds of records to fetch, and the bandwidth of the responding daemons is limited.
    pub(super) fn pull(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        if !is_due(self.last_pull_us, now_us, MIN_PULL_INTERVAL) {
            return;
        }
        let Some(source) = self.wanted_data_centres.values().chain(self.wanted_tags.values()).next().cloned()
        else {
            return;
        };
        self.last_pull_us = Some(now_us);
        let tags = drain_keys(&mut self.wanted_tags, &source, MAX_TAGS_PER_PULL);
        let data_centres = drain_keys(&mut self.wanted_data_centres, &source, MAX_DATA_CENTRES_PER_PULL);
        let Some(address) = self.address(&source) else {
            return;
        };
        let message =
            MembershipMessage::Pull { tags, data_centres, sender: self.sender_record(now_us, true) };
        actions.push(MembershipAction::Send { to: Some(source), address, message });
    }

    pub(super) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.table.address(host).or_else(|| self.data_centres.address(host))
    }
}

/// Removes and returns at most `limit` keys queued for `source`.
fn drain_keys<Key>(wanted: &mut BTreeMap<Key, HostId>, source: &HostId, limit: usize) -> Vec<Key>
where
    Key: Copy + Ord,
{
    let keys: Vec<Key> =
        wanted.iter().filter(|(_, host)| *host == source).take(limit).map(|(key, _)| *key).collect();
    for key in &keys {
        wanted.remove(key);
    }
    keys
}
