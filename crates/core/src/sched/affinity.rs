//! Index of the prompt prefixes that each prefill server probably has cached.

use std::collections::{HashMap, VecDeque};

/// Kind of a prefix-cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEventKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Event reported by a server's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number at the server; gaps mean lost events.
    pub seq: u64,
    /// Whether the block was stored or evicted.
    pub kind: CacheEventKind,
    /// Hash of the prompt prefix that ends with this block.
    pub block: u64,
}

/// Servers kept per block. More holders of a hot prefix would not change where a request is placed.
const SERVERS_PER_BLOCK: usize = 3;

/// More lost events in a row than this invalidate all entries of the server.
const EVENT_GAP_MAX: u64 = 64;

#[derive(Clone, Copy, Debug, Default)]
struct BlockCopies {
    servers: [Option<(u32, u32)>; SERVERS_PER_BLOCK],
}

/// Bounded map from prefix blocks to the servers that probably cache them. Entries are hints: a wrong entry
/// costs a prefill without the expected cache hit, never a wrong answer, so late and lost events are
/// tolerated.
///
/// The bound keeps the index within a daemon's memory, which the blocks of 1,000 servers would exceed; the
/// oldest block is evicted first. After a wide gap in a server's events its epoch is raised, which
/// invalidates its entries: evictions may be among the lost events, and stale entries would send work to
/// blocks no longer cached.
#[derive(Debug)]
pub struct AffinityIndex {
    blocks: HashMap<u64, BlockCopies>,
    order: VecDeque<u64>,
    epochs: HashMap<u32, Epoch>,
    blocks_max: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Epoch {
    number: u32,
    next_seq: Option<u64>,
}

impl AffinityIndex {
    /// Creates an empty index that holds at most `blocks_max` blocks.
    pub fn new(blocks_max: usize) -> Self {
        Self { blocks: HashMap::new(), order: VecDeque::new(), epochs: HashMap::new(), blocks_max }
    }

    /// Applies an event of `server`'s cache.
    pub fn apply(&mut self, server: u32, event: CacheEvent) {
        let epoch = self.epochs.entry(server).or_default();
        let expected = epoch.next_seq.unwrap_or(event.seq);
        if event.seq > expected + EVENT_GAP_MAX {
            epoch.number += 1;
        }
        epoch.next_seq = Some(event.seq.saturating_add(1).max(expected));
        match event.kind {
            CacheEventKind::Stored => self.store(server, event.block),
            CacheEventKind::Evicted => self.evict(server, event.block),
        }
    }

    /// Records that `server` caches `block`.
    pub fn store(&mut self, server: u32, block: u64) {
        let epoch = self.epochs.entry(server).or_default().number;
        if !self.blocks.contains_key(&block) {
            self.evict_oldest();
            self.order.push_back(block);
        }
        let copies = self.blocks.entry(block).or_default();
        let known = copies.servers.iter().position(|copy| copy.is_some_and(|(holder, _)| holder == server));
        if let Some(index) = known {
            copies.servers[index] = Some((server, epoch));
            return;
        }
        copies.servers.rotate_right(1);
        copies.servers[0] = Some((server, epoch));
    }

    /// Records that `server` no longer caches `block`.
    pub fn evict(&mut self, server: u32, block: u64) {
        let Some(copies) = self.blocks.get_mut(&block) else {
            return;
        };
        for copy in &mut copies.servers {
            if copy.is_some_and(|(holder, _)| holder == server) {
                *copy = None;
            }
        }
    }

    fn evict_oldest(&mut self) {
        while self.order.len() >= self.blocks_max {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.blocks.remove(&oldest);
        }
    }

    /// Returns the length in blocks of the longest known prefix of `blocks`, and the servers that probably
    /// hold it. Caches keep whole prefixes, so a known block implies that the shorter prefixes are known and
    /// a binary search finds the last one. Where that does not hold, the result is a shorter prefix, which is
    /// still valid.
    pub fn longest_prefix(&self, blocks: &[u64]) -> (usize, [Option<u32>; SERVERS_PER_BLOCK]) {
        let length = blocks.partition_point(|block| self.has_holder(*block));
        let Some(last) = length.checked_sub(1) else {
            return (0, [None; SERVERS_PER_BLOCK]);
        };
        (length, self.holders(blocks[last]))
    }

    fn has_holder(&self, block: u64) -> bool {
        self.holders(block).iter().any(Option::is_some)
    }

    fn holders(&self, block: u64) -> [Option<u32>; SERVERS_PER_BLOCK] {
        let Some(copies) = self.blocks.get(&block) else {
            return [None; SERVERS_PER_BLOCK];
        };
        copies.servers.map(|copy| {
            let (server, epoch) = copy?;
            let current = self.epochs.get(&server).map_or(0, |epoch| epoch.number);
            (epoch == current).then_some(server)
        })
    }
}
