//! Engine memory that nobody waits for: releases that are repeated until the engine confirms them, and what
//! daemons that died left behind.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{BackendServerId, HostId, Incarnation};
use crate::units::{Millis, MonoTime};

/// Bounds of releasing.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseSettings {
    /// Wait before the second try; doubled for each further one.
    pub first_retry_ms: Millis,
    /// Longest wait between tries. An engine that comes back is asked again within it.
    pub longest_retry_ms: Millis,
}

impl Default for ReleaseSettings {
    fn default() -> Self {
        Self { first_retry_ms: Millis(100), longest_retry_ms: Millis(2_000) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Try {
    at_us: MonoTime,
    wait_ms: Millis,
}

/// Releases that engines have not confirmed. A release is a message like any other and can be lost; one that
/// is not repeated would hold a decode slot, of about twenty, until the engine restarts. `Item` names what is
/// held: one attempt, or all that a daemon's life holds.
#[derive(Debug)]
pub struct PendingReleases<Item> {
    settings: ReleaseSettings,
    pending: BTreeMap<BackendServerId, BTreeMap<Item, Try>>,
}

impl<Item> PendingReleases<Item>
where
    Item: Clone + Ord,
{
    /// Nothing to release yet.
    pub fn new(settings: ReleaseSettings) -> Self {
        Self { settings, pending: BTreeMap::new() }
    }

    /// Wants `item` released at `server`; the first try is due now.
    pub fn want(&mut self, now_us: MonoTime, server: &BackendServerId, item: Item) {
        let first = Try { at_us: now_us, wait_ms: self.settings.first_retry_ms };
        self.pending.entry(server.clone()).or_default().entry(item).or_insert(first);
    }

    /// The releases to send now. Each comes again, later and later, until it is confirmed.
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

    /// The engine answered that it holds nothing of `item` any more.
    pub fn confirmed(&mut self, server: &BackendServerId, item: &Item) {
        if let Some(items) = self.pending.get_mut(server) {
            items.remove(item);
            if items.is_empty() {
                self.pending.remove(server);
            }
        }
    }

    /// The engine is no longer listed: its memory went with it.
    pub fn server_gone(&mut self, server: &BackendServerId) {
        self.pending.remove(server);
    }

    /// How many releases are not confirmed.
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
    /// The engine.
    pub server: BackendServerId,
    /// What it is to let go.
    pub item: Item,
}

/// A daemon's life, as engines know the owner of what they hold.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MemoryOwner {
    /// The host.
    pub host: HostId,
    /// The life.
    pub incarnation: Incarnation,
}

/// What the watcher of an engine knows of an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerState {
    /// It is heard from.
    Live,
    /// A later life of the same host was seen. A host runs one daemon, so this is proof of death.
    Replaced,
    /// It has not been heard from for longer than membership waits. It died, or it is cut off.
    Silent,
}

/// How long owners that may be dead are given.
#[derive(Clone, Copy, Debug)]
pub struct OrphanSettings {
    /// While the engine has free slots: the longest that a cut between data centres usually lasts. Cancelling a
    /// daemon that is merely cut off costs its callers a second prefill, and idle memory costs nothing.
    pub patience_ms: Millis,
    /// While the engine is full: what a dead daemon holds is refused to the living.
    pub full_patience_ms: Millis,
}

impl Default for OrphanSettings {
    fn default() -> Self {
        Self { patience_ms: Millis(120_000), full_patience_ms: Millis(10_000) }
    }
}

/// Decides at the watcher of one engine which owners' memory is to be released.
#[derive(Debug)]
pub struct OrphanWatch {
    settings: OrphanSettings,
    silent_since: BTreeMap<MemoryOwner, MonoTime>,
}

impl OrphanWatch {
    /// A watch that has seen nothing.
    pub fn new(settings: OrphanSettings) -> Self {
        Self { settings, silent_since: BTreeMap::new() }
    }

    /// The owners to cancel, from one load report. `owners` are those that hold memory by that report, with
    /// what is known of them; `full` says that the engine has no free slot.
    ///
    /// Death is proven only by a later life of the same host. A silent owner may be cut off from here and still
    /// be reading its streams; it is given time, less of it when the engine is full. The mistake breaks those
    /// streams, which resume elsewhere by prefilling again; it runs nothing twice, for a request that may not
    /// be repeated is bound by its claim and not by its memory.
    pub fn orphans<Owners>(&mut self, now_us: MonoTime, full: bool, owners: Owners) -> Vec<MemoryOwner>
    where
        Owners: IntoIterator<Item = SeenOwner>,
    {
        let patience_ms = if full { self.settings.full_patience_ms } else { self.settings.patience_ms };
        let mut orphans = BTreeSet::new();
        let mut silent = BTreeMap::new();
        for SeenOwner { owner, state } in owners {
            match state {
                OwnerState::Live => {}
                OwnerState::Replaced => {
                    orphans.insert(owner);
                }
                OwnerState::Silent => {
                    let since_us = self.silent_since.get(&owner).copied().unwrap_or(now_us);
                    silent.insert(owner.clone(), since_us);
                    if since_us + patience_ms <= now_us {
                        orphans.insert(owner);
                    }
                }
            }
        }
        self.silent_since = silent;
        orphans.into_iter().collect()
    }
}

/// An owner of memory in a load report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeenOwner {
    /// The owner.
    pub owner: MemoryOwner,
    /// What is known of it.
    pub state: OwnerState,
}
