//! What a daemon says by itself: gossip inside its data centre, digests across, first contacts, pulls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use super::data_centres::hash_tags;
use super::{
    Contact, DataCentreState, Heartbeat, MemberRecord, MemberTag, Membership, MembershipAction,
    MembershipMessage, PULL_GAP, PULLED_CENTRES, PULLED_TAGS, is_due,
};
use crate::ids::HostId;
use crate::units::{Micros, MonoTime};
use crate::watch::{JobHash, owners_in};

impl Membership {
    pub(super) fn gossip(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let Some((host, address)) = self.next_in_round() else {
            return;
        };
        let message = self.make_gossip(now_us, true, false);
        actions.push(MembershipAction::Send { to: Some(host), address, message });
    }

    /// The next daemon of the own data centre in a shuffled round, so that each is spoken to once in each
    /// round and no run of bad luck leaves one out.
    pub(super) fn next_in_round(&mut self) -> Option<(HostId, SocketAddr)> {
        for _ in 0..2 {
            while let Some(host) = self.round.pop() {
                if let Some(known) = self.table.find(&host).filter(|known| !known.is_dead) {
                    return Some((host, known.record.peer_address));
                }
            }
            self.round = self.table.living().map(|known| known.record.host.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    pub(super) fn make_gossip(&self, now_us: MonoTime, inside: bool, introduce: bool) -> MembershipMessage {
        let mut heartbeats = Vec::new();
        if inside {
            heartbeats = self.table.heartbeats(now_us, &self.settings);
            heartbeats.push(Heartbeat { tag: self.own_tag, counter: self.counter });
        }
        MembershipMessage::Gossip {
            sender: self.introduction(now_us, introduce),
            heartbeats,
            data_centres: self.data_centres.digests(),
        }
    }

    /// The own record, while others may lack it: soon after the start, and always across data centres, where
    /// few messages pass.
    pub(super) fn introduction(&self, now_us: MonoTime, is_needed: bool) -> Option<MemberRecord> {
        let introduce_us = Micros::from(self.settings.dead_after_ms);
        let is_new = self.introduced_us.is_none_or(|since_us| now_us.since(since_us) <= introduce_us);
        (is_new || is_needed).then(|| self.own.clone())
    }

    /// Tags of the live daemons of the own data centre.
    pub(super) fn own_tags(&self) -> Vec<MemberTag> {
        let mut tags: Vec<MemberTag> = self.table.living().map(|known| known.tag).collect();
        tags.push(self.own_tag);
        tags.sort_unstable();
        tags
    }

    pub(super) fn rank(&self, job: &str) -> Option<usize> {
        let hosts = owners_in(JobHash::of(job), &self.own.data_centre, self.settings.bridges, &self.view);
        hosts.iter().position(|host| *host == self.own.host)
    }

    /// States who lives in the own data centre. One daemon does it; when two think that they are the one, for
    /// instance in a data centre split in itself, each waits before it speaks against the other, so that the
    /// rest sees the statements alternate slowly rather than race.
    pub(super) fn state_own_data_centre(&mut self, now_us: MonoTime) {
        if self.rank("bridge") != Some(0) || !self.view.is_heard {
            return;
        }
        let tags = self.own_tags();
        let hash = hash_tags(&tags);
        let known = self.data_centres.find(self.own_data_centre);
        let stated_ago_us = self.stated_us.map(|stated_us| now_us.since(stated_us));
        let is_changed = known.is_none_or(|data_centre| data_centre.hash != hash);
        let wait_ms = if is_changed { self.settings.bridge_ms } else { self.settings.statement_ms };
        if stated_ago_us.is_some_and(|ago_us| ago_us < Micros::from(wait_ms)) {
            return;
        }
        let version = known.map_or(0, |data_centre| data_centre.state.version) + 1;
        self.stated_us = Some(now_us);
        let state = DataCentreState { data_centre: self.own.data_centre.clone(), version, tags };
        self.data_centres.adopt(now_us, state);
    }

    pub(super) fn bridge(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        if self.rank("bridge").is_none() || !is_due(self.bridged_us, now_us, self.settings.bridge_ms) {
            return;
        }
        self.bridged_us = Some(now_us);
        let Some((to, address)) = self.pick_remote() else {
            return;
        };
        let message = self.make_gossip(now_us, false, true);
        actions.push(MembershipAction::Send { to, address, message });
    }

    /// A daemon of a random other data centre: one that is known, or listed while none is known. Unreachable
    /// data centres are tried as well: that is how the end of a cut is noticed.
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

    /// Tries a daemon that should be there and is not: a seed, a listed host, or one taken for dead. Without
    /// it two halves of a data centre that took each other for dead would never meet again.
    pub(super) fn contact(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        let is_alone = self.table.living().next().is_none();
        if !is_alone && !is_due(self.contacted_us, now_us, self.settings.contact_ms) {
            return;
        }
        self.contacted_us = Some(now_us);
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
        let named = self
            .seeds
            .iter()
            .chain(&self.listed)
            .filter(|contact| self.may_be_here(contact))
            .map(|contact| (contact.host.clone(), contact.peer_address));
        let missing: Vec<(Option<HostId>, SocketAddr)> =
            dead.chain(named).filter(|(host, address)| !self.is_in_touch(host.as_ref(), *address)).collect();
        missing.choose(&mut self.rng).cloned()
    }

    /// Whether a contact may be of the own data centre. The others are for the bridges to reach.
    pub(super) fn may_be_here(&self, contact: &Contact) -> bool {
        contact.data_centre.as_ref().is_none_or(|data_centre| *data_centre == self.own.data_centre)
    }

    pub(super) fn is_in_touch(&self, host: Option<&HostId>, address: SocketAddr) -> bool {
        if address == self.own.peer_address || host == Some(&self.own.host) {
            return true;
        }
        let is_here = self
            .table
            .living()
            .any(|known| known.record.peer_address == address || Some(&known.record.host) == host);
        is_here || self.data_centres.is_known(address)
    }

    /// Fetches what is wanted from one daemon, not more often than [`PULL_GAP`]: a daemon that was just
    /// started has hundreds of records to fetch, and whoever answers has a budget.
    pub(super) fn pull(&mut self, now_us: MonoTime, actions: &mut Vec<MembershipAction>) {
        if !is_due(self.pulled_us, now_us, PULL_GAP) {
            return;
        }
        let Some(source) = self.wanted_data_centres.values().chain(self.wanted_tags.values()).next().cloned()
        else {
            return;
        };
        self.pulled_us = Some(now_us);
        let tags = take_from(&mut self.wanted_tags, &source, PULLED_TAGS);
        let data_centres = take_from(&mut self.wanted_data_centres, &source, PULLED_CENTRES);
        let Some(address) = self.address(&source) else {
            return;
        };
        let message = MembershipMessage::Pull { tags, data_centres, sender: self.introduction(now_us, true) };
        actions.push(MembershipAction::Send { to: Some(source), address, message });
    }

    pub(super) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.table.address(host).or_else(|| self.data_centres.address(host))
    }
}

/// Takes at most `limit` keys that are wanted of `source`.
fn take_from<Key>(wanted: &mut BTreeMap<Key, HostId>, source: &HostId, limit: usize) -> Vec<Key>
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
