//! The other data centres, by statements of their daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::message::{DataCentreDigest, DataCentreState, DataCentreTag, MemberRecord, MemberTag};
use super::settings::MembershipSettings;
use crate::ids::{DataCentreId, HostId};
use crate::units::{Micros, MonoTime};

/// What is known of one data centre as a whole.
#[derive(Clone, Debug)]
pub(crate) struct DataCentre {
    pub(crate) state: DataCentreState,
    pub(crate) hash: [u8; 4],
    /// When the version last rose here.
    pub(crate) heard_us: MonoTime,
}

impl DataCentre {
    pub(crate) fn is_reachable(&self, now_us: MonoTime, settings: &MembershipSettings) -> bool {
        now_us.since(self.heard_us) <= Micros::from(settings.unreachable_after_ms)
    }
}

/// Hash over the tags of live daemons.
pub(crate) fn hash_tags(tags: &[MemberTag]) -> [u8; 4] {
    let mut hasher = blake3::Hasher::new();
    for tag in tags {
        hasher.update(&tag.0);
    }
    let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
    [a, b, c, d]
}

/// The data centres, the own one included, and the records of daemons in the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct DataCentres {
    by_tag: BTreeMap<DataCentreTag, DataCentre>,
    records: BTreeMap<MemberTag, MemberRecord>,
    hosts: BTreeMap<HostId, MemberTag>,
    /// Raised whenever records or statements change.
    changes: u64,
}

impl DataCentres {
    pub(crate) fn digests(&self) -> Vec<DataCentreDigest> {
        self.by_tag
            .iter()
            .map(|(tag, data_centre)| DataCentreDigest {
                data_centre: *tag,
                version: data_centre.state.version,
                hash: data_centre.hash,
            })
            .collect()
    }

    /// Takes a digest in; true when the statement behind it has to be fetched.
    pub(crate) fn hear(&mut self, now_us: MonoTime, digest: DataCentreDigest) -> bool {
        let Some(data_centre) = self.by_tag.get_mut(&digest.data_centre) else {
            return true;
        };
        if digest.version <= data_centre.state.version {
            return false;
        }
        if digest.hash != data_centre.hash {
            return true;
        }
        data_centre.state.version = digest.version;
        data_centre.heard_us = now_us;
        false
    }

    /// Takes a statement in, if it is newer than the one known.
    pub(crate) fn adopt(&mut self, now_us: MonoTime, state: DataCentreState) {
        let tag = DataCentreTag::of(&state.data_centre);
        if self.by_tag.get(&tag).is_some_and(|data_centre| data_centre.state.version >= state.version) {
            return;
        }
        self.changes += 1;
        let hash = hash_tags(&state.tags);
        let data_centre = DataCentre { state, hash, heard_us: now_us };
        self.by_tag.insert(tag, data_centre);
        self.prune(tag);
    }

    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn learn(&mut self, record: MemberRecord) {
        let tag = record.tag();
        if self.records.contains_key(&tag) {
            return;
        }
        self.changes += 1;
        if let Some(old) = self.hosts.insert(record.host.clone(), tag)
            && old != tag
        {
            // An older life that a statement still names stays known until the statement changes.
            let named = self.by_tag.values().any(|data_centre| data_centre.state.tags.contains(&old));
            if !named {
                self.records.remove(&old);
            }
        }
        self.records.insert(tag, record);
    }

    /// Drops records that the newest statement of their data centre does not name, once it is known in part:
    /// until then the old ones are the only way to reach that data centre.
    fn prune(&mut self, tag: DataCentreTag) {
        let Some(data_centre) = self.by_tag.get(&tag) else {
            return;
        };
        let state = &data_centre.state;
        if !state.tags.iter().any(|tag| self.records.contains_key(tag)) {
            return;
        }
        self.records
            .retain(|tag, record| record.data_centre != state.data_centre || state.tags.contains(tag));
        let records = &self.records;
        self.hosts.retain(|_, tag| records.contains_key(tag));
    }

    pub(crate) fn missing(&self, own: DataCentreTag) -> impl Iterator<Item = MemberTag> {
        self.by_tag
            .iter()
            .filter(move |(tag, _)| **tag != own)
            .flat_map(|(_, data_centre)| &data_centre.state.tags)
            .filter(|tag| !self.records.contains_key(tag))
            .copied()
    }

    pub(crate) fn excuse(&mut self, pause_us: Micros) {
        for data_centre in self.by_tag.values_mut() {
            data_centre.heard_us = data_centre.heard_us + pause_us;
        }
    }

    pub(crate) fn find(&self, tag: DataCentreTag) -> Option<&DataCentre> {
        self.by_tag.get(&tag)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = (&DataCentreTag, &DataCentre)> {
        self.by_tag.iter()
    }

    pub(crate) fn record(&self, tag: MemberTag) -> Option<&MemberRecord> {
        self.records.get(&tag)
    }

    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let tag = self.hosts.get(host)?;
        self.records.get(tag).map(|record| record.peer_address)
    }

    pub(crate) fn is_known(&self, address: SocketAddr) -> bool {
        self.records.values().any(|record| record.peer_address == address)
    }

    /// Records of one data centre, whether its newest statement names them or not.
    pub(crate) fn records_in<'a>(
        &'a self,
        data_centre: &'a DataCentreId,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        self.records.values().filter(move |record| &record.data_centre == data_centre)
    }

    /// Names of the other data centres of which a daemon is known.
    pub(crate) fn names(&self) -> Vec<DataCentreId> {
        let mut names: Vec<DataCentreId> =
            self.records.values().map(|record| record.data_centre.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
