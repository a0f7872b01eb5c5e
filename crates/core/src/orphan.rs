//! Release of engine memory that no request waits for: releases that are repeated until the engine confirms
//! them, and memory left behind by daemons that died.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{BackendServerId, HostId, Incarnation};
use crate::units::{Millis, MonoTime};

/// Retry delays of releases.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseSettings {
    /// Delay before the first retry; doubled for each further one.
    pub first_retry_ms: Millis,
    /// Maximum delay between retries; an engine that recovers is asked again within it.
    pub longest_retry_ms: Millis,
}

impl Default for ReleaseSettings {
    fn default() -> Self {
        Self { first_retry_ms: Millis(100), longest_retry_ms: Millis(2_000) }
    }
}

#[derive(Clone, Copy, Debug)]
struct RetryState {
    at_us: MonoTime,
    wait_ms: Millis,
}

/// Releases that engines have not confirmed. A release message can be lost, and without a retry it would
/// occupy one of an engine's about twenty decode slots until the engine restarts. `Item` identifies what is
/// held: one attempt, or all memory of a daemon incarnation.
#[derive(Debug)]
pub struct PendingReleases<Item> {
    settings: ReleaseSettings,
    pending: BTreeMap<BackendServerId, BTreeMap<Item, RetryState>>,
}

impl<Item> PendingReleases<Item>
where
    Item: Clone + Ord,
{
    /// Creates an empty set of releases.
    pub fn new(settings: ReleaseSettings) -> Self {
        Self { settings, pending: BTreeMap::new() }
    }

    /// Requests the release of `item` at `server`; the first message is due immediately.
    pub fn request(&mut self, now_us: MonoTime, server: &BackendServerId, item: Item) {
        let first = RetryState { at_us: now_us, wait_ms: self.settings.first_retry_ms };
        self.pending.entry(server.clone()).or_default().entry(item).or_insert(first);
    }

    /// The releases to send now. Each is repeated with growing delays until it is confirmed.
    pub fn due(&mut self, now_us: MonoTime) -> Vec<DueRelease<Item>> {
        let longest_ms = self.settings.longest_retry_ms;
        let mut due = Vec::new();
        for (server, items) in &mut self.pending {
            for (item, next) in items.iter_mut().filter(|(_, next)| next.at_us <= now_us) {
                next.at_us = now_us + next.wait_ms;
                next.wait_ms = Millis(next.wait_ms.0.saturating_mul(2)).min(longest_ms);
                due.push(DueRelease { server: server.clone(), item: item.clone() });
            }
        }
        due
    }

    /// Handles the engine's confirmation that it holds nothing of `item` any more.
    pub fn confirmed(&mut self, server: &BackendServerId, item: &Item) {
        if let Some(items) = self.pending.get_mut(server) {
            items.remove(item);
            if items.is_empty() {
                self.pending.remove(server);
            }
        }
    }

    /// Drops the releases of an engine that is no longer listed, whose memory is gone with it.
    pub fn remove_server(&mut self, server: &BackendServerId) {
        self.pending.remove(server);
    }

    /// Number of unconfirmed releases.
    pub fn len(&self) -> usize {
        self.pending.values().map(BTreeMap::len).sum()
    }

    /// Whether all releases are confirmed.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// A release to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueRelease<Item> {
    /// Engine that holds the memory.
    pub server: BackendServerId,
    /// What the engine is to release.
    pub item: Item,
}

/// Daemon incarnation that owns memory at an engine.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MemoryOwner {
    /// Host of the daemon.
    pub host: HostId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

/// State of an owner, as known to the engine's watcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerState {
    /// The daemon is alive according to membership.
    Live,
    /// A later incarnation on the same host was seen. A host runs one daemon, so this proves that the owner
    /// died.
    Replaced,
    /// Nothing was received from the daemon for longer than membership waits. It died or is cut off.
    Silent,
}

/// Grace periods of owners that may be dead.
#[derive(Clone, Copy, Debug)]
pub struct OrphanSettings {
    /// Grace period while the engine has free slots: the longest usual duration of a network partition
    /// between data centres. Cancelling a daemon that is only cut off costs its callers a second prefill, and
    /// idle memory costs nothing.
    pub grace_ms: Millis,
    /// Grace period while the engine is full, when memory of a dead daemon is refused to live ones.
    pub full_grace_ms: Millis,
}

impl Default for OrphanSettings {
    fn default() -> Self {
        Self { grace_ms: Millis(120_000), full_grace_ms: Millis(10_000) }
    }
}

/// Determines, at the watcher of one engine, the owners whose memory is to be released.
#[derive(Debug)]
pub struct OrphanDetector {
    settings: OrphanSettings,
    silent_since: BTreeMap<MemoryOwner, MonoTime>,
}

impl OrphanDetector {
    /// Creates a detector without observations.
    pub fn new(settings: OrphanSettings) -> Self {
        Self { settings, silent_since: BTreeMap::new() }
    }

    /// The owners whose memory is to be released, from one load report. `owners` are those that hold memory
    /// according to the report; `full` states that the engine has no free slot.
    ///
    /// Only a later incarnation on the same host proves that an owner died. A silent owner may be cut off
    /// from this daemon and still read its streams, so it gets a grace period, a shorter one if the engine is
    /// full. A wrong decision breaks those streams, which resume elsewhere after another prefill; it runs
    /// nothing twice, because requests that must not be repeated are bound by their claim and not by engine
    /// memory.
    pub fn orphans<Owners>(&mut self, now_us: MonoTime, full: bool, owners: Owners) -> Vec<MemoryOwner>
    where
        Owners: IntoIterator<Item = ReportedOwner>,
    {
        let grace_ms = if full { self.settings.full_grace_ms } else { self.settings.grace_ms };
        let mut orphans = BTreeSet::new();
        let mut silent = BTreeMap::new();
        for ReportedOwner { owner, state } in owners {
            match state {
                OwnerState::Live => {}
                OwnerState::Replaced => {
                    orphans.insert(owner);
                }
                OwnerState::Silent => {
                    let since_us = self.silent_since.get(&owner).copied().unwrap_or(now_us);
                    silent.insert(owner.clone(), since_us);
                    if since_us + grace_ms <= now_us {
                        orphans.insert(owner);
                    }
                }
            }
        }
        self.silent_since = silent;
        orphans.into_iter().collect()
    }
}

/// Owner of memory in a load report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportedOwner {
    /// The daemon incarnation.
    pub owner: MemoryOwner,
    /// State of the daemon.
    pub state: OwnerState,
}
