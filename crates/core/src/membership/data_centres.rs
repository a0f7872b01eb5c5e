//! Other data centres, as known from their digests and membership summaries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::message::{DataCentreDigest, DataCentreState, DataCentreTag, MemberRecord, MemberTag};
use super::settings::MembershipSettings;
use crate::ids::{DataCentreId, HostId};
use crate::units::{Micros, MonoTime};

/// The membership summary of one data centre.
#[derive(Clone, Debug)]
pub(crate) struct DataCentre {
    pub(crate) state: DataCentreState,
    pub(crate) hash: [u8; 4],
    /// Local time at which the version last increased.
    pub(crate) last_update_us: MonoTime,
}

impl DataCentre {
    pub(crate) fn is_reachable(&self, now_us: MonoTime, settings: &MembershipSettings) -> bool {
        now_us.since(self.last_update_us) <= Micros::from(settings.unreachable_after_ms)
    }
}

/// Hash over the tags of the live daemons of a data centre.
pub(crate) fn hash_tags(tags: &[MemberTag]) -> [u8; 4] {
    let mut hasher = blake3::Hasher::new();
    for tag in tags {
        hasher.update(&tag.0);
    }
    let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
    [a, b, c, d]
}

/// All data centres, the local one included, with the records of daemons in the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct DataCentres {
    by_tag: BTreeMap<DataCentreTag, DataCentre>,
    records: BTreeMap<MemberTag, MemberRecord>,
    hosts: BTreeMap<HostId, MemberTag>,
    /// Incremented whenever a record or summary changes.
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

    /// Applies a digest. Returns whether the membership summary has to be fetched.
    pub(crate) fn apply_digest(&mut self, now_us: MonoTime, digest: DataCentreDigest) -> bool {
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
        data_centre.last_update_us = now_us;
        false
    }

    /// Adopts a membership summary if it is newer than the known one.
    pub(crate) fn adopt(&mut self, now_us: MonoTime, state: DataCentreState) {
        let tag = DataCentreTag::of(&state.data_centre);
        if self.by_tag.get(&tag).is_some_and(|data_centre| data_centre.state.version >= state.version) {
            return;
        }
        self.changes += 1;
        let hash = hash_tags(&state.tags);
        let data_centre = DataCentre { state, hash, last_update_us: now_us };
        self.by_tag.insert(tag, data_centre);
        self.prune(tag);
    }

    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn update_record(&mut self, record: MemberRecord) {
        let tag = record.tag();
        if self.records.contains_key(&tag) {
            return;
        }
        self.changes += 1;
        if let Some(old) = self.hosts.insert(record.host.clone(), tag)
            && old != tag
        {
            // Keep the record of an older incarnation while a summary still refers to it.
            let is_referenced = self.by_tag.values().any(|data_centre| data_centre.state.tags.contains(&old));
            if !is_referenced {
                self.records.remove(&old);
            }
        }
        self.records.insert(tag, record);
    }

    /// Drops records that the newest summary of a data centre does not list. While none of the listed records
    /// is known, the old ones are kept: they are the only way to reach that data centre.
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

    pub(crate) fn shift_times(&mut self, pause_us: Micros) {
        for data_centre in self.by_tag.values_mut() {
            data_centre.last_update_us = data_centre.last_update_us + pause_us;
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

    /// Known records of one data centre, whether its newest summary lists them or not.
    pub(crate) fn records_in<'a>(
        &'a self,
        data_centre: &'a DataCentreId,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        self.records.values().filter(move |record| &record.data_centre == data_centre)
    }

    /// Names of the other data centres of which at least one daemon is known.
    pub(crate) fn names(&self) -> Vec<DataCentreId> {
        let mut names: Vec<DataCentreId> =
            self.records.values().map(|record| record.data_centre.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
