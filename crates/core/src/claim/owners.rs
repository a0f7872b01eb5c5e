//! Selection of the daemon that usually appends for a partition. It only reduces the number of appends and
//! decides no claim; see the module [`claim`](super).

use std::collections::HashMap;

use super::ClaimSettings;
use crate::ids::HostId;
use crate::units::MonoTime;
use crate::watch::{JobHash, owner_among};

/// Owner of each partition, by this daemon's view of the membership.
#[derive(Debug)]
pub(super) struct Owners {
    own: HostId,
    settings: ClaimSettings,
    /// Empty while no member is known.
    by_partition: Vec<HostId>,
    /// Owners to bypass because they did not answer or are shutting down, with the end of that time.
    unresponsive_until_us: HashMap<HostId, MonoTime>,
}

impl Owners {
    pub(super) fn new(own: HostId, settings: ClaimSettings) -> Self {
        Self { own, settings, by_partition: Vec::new(), unresponsive_until_us: HashMap::new() }
    }

    pub(super) fn set_members(&mut self, members: &[HostId]) {
        let partitions = 0..self.settings.partitions;
        self.by_partition = partitions.filter_map(|partition| owner(members, partition)).cloned().collect();
    }

    /// The owner of a partition; `None` if that is this daemon or no member is known.
    pub(super) fn remote_owner(&self, partition: u16) -> Option<&HostId> {
        let owner = self.by_partition.get(usize::from(partition))?;
        (*owner != self.own).then_some(owner)
    }

    /// The remote owner to ask about a partition; `None` if this daemon is to append the claim itself. An
    /// owner that recently did not answer is bypassed: membership declares a host dead only after ten
    /// seconds, and until then each claim of its partitions would wait for a timeout first, so that launch
    /// entries would miss their target.
    pub(super) fn available_owner(&self, now_us: MonoTime, partition: u16) -> Option<&HostId> {
        self.remote_owner(partition).filter(|owner| {
            let until_us = self.unresponsive_until_us.get(*owner);
            until_us.is_none_or(|until_us| *until_us <= now_us)
        })
    }

    /// Bypasses the owner of a partition after a timeout. Only the grouping of appends is lost.
    pub(super) fn mark_unresponsive(&mut self, now_us: MonoTime, partition: u16) {
        if let Some(owner) = self.remote_owner(partition).cloned() {
            self.unresponsive_until_us.insert(owner, now_us + self.settings.unresponsive_ms);
        }
    }

    /// Bypasses a daemon that announced its shutdown. Other data centres learn of it from membership some
    /// seconds later, and until then each claim of its partitions would wait for a timeout first.
    pub(super) fn mark_leaving(&mut self, now_us: MonoTime, host: &HostId) {
        self.unresponsive_until_us.insert(host.clone(), now_us + self.settings.leaving_ms);
    }
}

/// The member that usually appends for a partition.
fn owner(members: &[HostId], partition: u16) -> Option<&HostId> {
    owner_among(JobHash::of(&format!("claims/{partition}")), members)
}
