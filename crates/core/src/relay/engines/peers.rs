//! What is known of the other daemons, beside what each has at the engines.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::stats::Seen;
use crate::ids::{BackendServerId, HostId};
use crate::units::Tokens;

/// Position of another daemon among those that were heard of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PeerIndex(usize);

#[derive(Clone, Debug)]
struct Peer {
    rank: Rank,
    /// Memory that its waiting requests will take.
    waiting: Tokens,
    /// What its requests were like lately.
    seen: Seen,
    /// The engines where it has something.
    at: Vec<usize>,
}

/// The other daemons.
///
/// Load: hundreds of daemons, each of which tells of every request that begins or ends. Harm prevented: a look at all
/// engines, or at all daemons, for each message takes a host's share of its core in a burst, and callers wait for the daemon
/// instead of the engines. So a message touches only the engines that it names, and sums are kept.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    list: Vec<Peer>,
    names: HashMap<HostId, PeerIndex>,
    waiting: Tokens,
    seen: Seen,
    seen_is_old: bool,
}

impl Peers {
    /// The daemon on `host`, which is known from now on.
    pub(super) fn index_of(&mut self, host: HostId) -> PeerIndex {
        let next = PeerIndex(self.list.len());
        let rank = Rank::of(&host);
        let index = *self.names.entry(host).or_insert(next);
        if index == next {
            self.list.push(Peer { rank, waiting: Tokens::ZERO, seen: Seen::default(), at: Vec::new() });
        }
        index
    }

    /// Takes what a daemon tells of its requests.
    pub(super) fn tell(&mut self, index: PeerIndex, waiting: Tokens, seen: Option<Seen>) {
        let peer = &mut self.list[index.0];
        let seen = seen.unwrap_or(peer.seen);
        self.waiting = self.waiting.saturating_sub(peer.waiting) + waiting;
        self.seen_is_old |= peer.seen != seen;
        (peer.waiting, peer.seen) = (waiting, seen);
    }

    /// The engines where a daemon has something now.
    pub(super) fn set_engines(&mut self, index: PeerIndex, at: Vec<usize>) {
        self.list[index.0].at = at;
    }

    /// The engines where a daemon has something.
    pub(super) fn engines(&self, index: PeerIndex) -> &[usize] {
        &self.list[index.0].at
    }

    /// Memory that the waiting requests of all of them will take.
    pub(super) fn waiting(&self) -> Tokens {
        self.waiting
    }

    /// What the requests of all of them were like lately.
    pub(super) fn seen(&mut self) -> Seen {
        if std::mem::take(&mut self.seen_is_old) {
            self.seen = self.list.iter().fold(Seen::default(), |sum, peer| sum.and(peer.seen));
        }
        self.seen
    }

    /// Those that have requests waiting.
    pub(super) fn rivals(&self) -> Vec<Rank> {
        let waiting = self.list.iter().filter(|peer| peer.waiting > Tokens::ZERO);
        waiting.map(|peer| peer.rank).collect()
    }
}

/// A name's hash, the same at all daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Rank(u64);

impl Rank {
    /// Of a daemon.
    pub(super) fn of(host: &HostId) -> Self {
        Self(hash(host.as_str()))
    }

    /// Of an engine.
    pub(super) fn of_engine(server: &BackendServerId) -> Self {
        Self(hash(server.as_str()))
    }

    /// A daemon's claim on an engine; the least one has it.
    pub(super) fn claim(self, engine: Self) -> u64 {
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
