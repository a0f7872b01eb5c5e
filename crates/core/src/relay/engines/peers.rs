//! What is known of the other daemons, apart from their usage of each engine.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::stats::WorkloadStats;
use crate::ids::{BackendServerId, DataCentreId, HostId};
use crate::units::Tokens;

/// Index of a known daemon.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct PeerIndex(usize);

#[derive(Clone, Debug)]
struct Peer {
    node_hash: NodeHash,
    /// Memory that its queued requests will take.
    waiting: Tokens,
    /// Statistics of its recent requests.
    stats: WorkloadStats,
    /// Engines that it uses.
    engines: Vec<usize>,
}

/// The other daemons.
///
/// Each of hundreds of daemons reports every request that begins or ends. Iterating over all engines or all
/// daemons for each message uses up a host's share of its core in a burst, and callers wait for the daemon
/// instead of the engines. So a message touches only the engines that it names, and the totals are kept up to
/// date.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    list: Vec<Peer>,
    index_by_name: HashMap<HostId, PeerIndex>,
    waiting: Tokens,
    stats: WorkloadStats,
    stats_are_stale: bool,
}

impl Peers {
    /// Index of the daemon on `host`, which is added if it is new.
    pub(super) fn index_of(&mut self, host: HostId) -> PeerIndex {
        let next = PeerIndex(self.list.len());
        let node_hash = NodeHash::of(&host);
        let index = *self.index_by_name.entry(host).or_insert(next);
        if index == next {
            self.list.push(Peer {
                node_hash,
                waiting: Tokens::ZERO,
                stats: WorkloadStats::default(),
                engines: Vec::new(),
            });
        }
        index
    }

    /// Applies what a daemon reports of its requests.
    pub(super) fn update(&mut self, index: PeerIndex, waiting: Tokens, stats: Option<WorkloadStats>) {
        let peer = &mut self.list[index.0];
        let stats = stats.unwrap_or(peer.stats);
        self.waiting = self.waiting.saturating_sub(peer.waiting) + waiting;
        self.stats_are_stale |= peer.stats != stats;
        (peer.waiting, peer.stats) = (waiting, stats);
    }

    /// Replaces the engines that a daemon uses.
    pub(super) fn set_engines(&mut self, index: PeerIndex, engines: Vec<usize>) {
        self.list[index.0].engines = engines;
    }

    /// Engines that a daemon uses.
    pub(super) fn engines(&self, index: PeerIndex) -> &[usize] {
        &self.list[index.0].engines
    }

    /// Memory that the queued requests of all of them will take.
    pub(super) fn waiting(&self) -> Tokens {
        self.waiting
    }

    /// Statistics of the recent requests of all of them.
    pub(super) fn stats(&mut self) -> WorkloadStats {
        if std::mem::take(&mut self.stats_are_stale) {
            self.stats = self.list.iter().fold(WorkloadStats::default(), |sum, peer| sum.and(peer.stats));
        }
        self.stats
    }

    /// Memory that the queued requests of one of them will take.
    pub(super) fn waiting_at(&self, index: PeerIndex) -> Tokens {
        self.list[index.0].waiting
    }

    /// Number of known daemons.
    pub(super) fn count(&self) -> usize {
        self.list.len()
    }

    /// Daemons that have queued requests.
    pub(super) fn contenders(&self) -> Vec<(PeerIndex, NodeHash)> {
        let waiting = self.list.iter().enumerate().filter(|(_, peer)| peer.waiting > Tokens::ZERO);
        waiting.map(|(index, peer)| (PeerIndex(index), peer.node_hash)).collect()
    }
}

/// Hash of a name, the same at all daemons.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct NodeHash(u64);

impl NodeHash {
    /// Hash of a daemon.
    pub(super) fn of(host: &HostId) -> Self {
        Self(hash(host.as_str()))
    }

    /// Hash of an engine.
    pub(super) fn of_engine(server: &BackendServerId) -> Self {
        Self(hash(server.as_str()))
    }

    /// Hash of a data centre.
    pub(super) fn of_data_centre(name: &DataCentreId) -> Self {
        Self(hash(name.as_str()))
    }

    /// Rendezvous hash of a daemon and an engine; the daemon with the smallest value gets the engine.
    pub(super) fn rendezvous_hash(self, engine: Self) -> u64 {
        hash((self.0, engine.0))
    }
}

fn hash<Value>(value: Value) -> u64
where
    Value: Hash,
{
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
