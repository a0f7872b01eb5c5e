//! Who usually appends for a partition. It saves appends and decides nothing: see the module of claims.

use std::collections::HashMap;

use super::ClaimSettings;
use crate::ids::HostId;
use crate::units::MonoTime;
use crate::watch::{JobHash, owner_among};

/// The usual appender of each partition, as one daemon believes.
#[derive(Debug)]
pub(super) struct Owners {
    own: HostId,
    settings: ClaimSettings,
    /// Empty while no member is known.
    by_partition: Vec<HostId>,
    /// Owners that gave no answer, and until when they are passed over.
    silent: HashMap<HostId, MonoTime>,
}

impl Owners {
    pub(super) fn new(own: HostId, settings: ClaimSettings) -> Self {
        Self { own, settings, by_partition: Vec::new(), silent: HashMap::new() }
    }

    pub(super) fn set_members(&mut self, members: &[HostId]) {
        let partitions = 0..self.settings.partitions;
        self.by_partition = partitions.filter_map(|partition| owner(members, partition)).cloned().collect();
    }

    /// The owner of a partition, if that is another daemon.
    pub(super) fn other(&self, partition: u16) -> Option<&HostId> {
        let owner = self.by_partition.get(usize::from(partition))?;
        (*owner != self.own).then_some(owner)
    }

    /// The daemon to ask about a partition; none if this one is to claim through the log itself. An owner that
    /// gave no answer of late is passed over. Membership takes a host for dead after ten seconds; until then
    /// each claim of its partitions would wait for it first, and a launch entry miss its target.
    pub(super) fn to_ask(&self, now_us: MonoTime, partition: u16) -> Option<&HostId> {
        self.other(partition).filter(|owner| {
            let silent_until_us = self.silent.get(*owner);
            silent_until_us.is_none_or(|until_us| *until_us <= now_us)
        })
    }

    /// The owner of a partition gave no answer in time. Only the grouping of appends is lost by passing it over.
    pub(super) fn note_silent(&mut self, now_us: MonoTime, partition: u16) {
        if let Some(owner) = self.other(partition).cloned() {
            self.silent.insert(owner, now_us + self.settings.silent_ms);
        }
    }

    /// A daemon said that it stops. Other data centres learn that from membership some seconds later, and each claim
    /// of its partitions would wait for it first.
    pub(super) fn note_leaving(&mut self, now_us: MonoTime, host: &HostId) {
        self.silent.insert(host.clone(), now_us + self.settings.leaving_ms);
    }
}

/// The daemon that usually appends for a partition.
fn owner(members: &[HostId], partition: u16) -> Option<&HostId> {
    owner_among(JobHash::of(&format!("claims/{partition}")), members)
}
