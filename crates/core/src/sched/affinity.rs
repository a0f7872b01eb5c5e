//! Which prefill server probably has which prompt prefix in its cache.

use std::collections::{HashMap, VecDeque};

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEventKind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// One event of a server's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Position in the server's sequence; gaps happen.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hash of the prompt's prefix up to this block.
    pub block: u64,
}

/// Servers remembered for one block. A hot prefix lives on several servers; more than these would not
/// change where a request goes.
const SERVERS_PER_BLOCK: usize = 3;

/// A gap of more lost events than this makes what is known of a server worthless.
const GAP_MAX: u64 = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Copies {
    servers: [Option<(u32, u32)>; SERVERS_PER_BLOCK],
}

/// A bounded map from prefix blocks to servers. It is a hint: a wrong entry costs a prefill without the
/// spared part, never a wrong answer, so late and lost events are taken as they come.
///
/// Harm prevented by the bounds: an index of all blocks of 1,000 servers would not fit a daemon's memory.
/// The oldest block goes first. After a wide gap in a server's events its entries are dropped by raising
/// its epoch, because evictions among the lost events would send work to a cache that is gone.
#[derive(Debug)]
pub struct AffinityIndex {
    blocks: HashMap<u64, Copies>,
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
    /// An empty index of at most `blocks_max` blocks.
    pub fn new(blocks_max: usize) -> Self {
        Self { blocks: HashMap::new(), order: VecDeque::new(), epochs: HashMap::new(), blocks_max }
    }

    /// Takes one event of `server`'s cache.
    pub fn apply(&mut self, server: u32, event: CacheEvent) {
        let epoch = self.epochs.entry(server).or_default();
        let expected = epoch.next_seq.unwrap_or(event.seq);
        if event.seq > expected + GAP_MAX {
            epoch.number += 1;
        }
        epoch.next_seq = Some(event.seq.saturating_add(1).max(expected));
        match event.kind {
            CacheEventKind::Stored => self.store(server, event.block),
            CacheEventKind::Evicted => self.evict(server, event.block),
        }
    }

    /// Notes that `server` has `block`.
    pub fn store(&mut self, server: u32, block: u64) {
        let epoch = self.epochs.entry(server).or_default().number;
        if !self.blocks.contains_key(&block) {
            self.make_room();
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

    /// Notes that `server` no longer has `block`.
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

    fn make_room(&mut self) {
        while self.order.len() >= self.blocks_max {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.blocks.remove(&oldest);
        }
    }

    /// Servers that probably hold the longest known prefix of `blocks`, and its length in blocks. Caches
    /// keep prefixes, so a known block means that the shorter ones are known too, and halving finds the
    /// last of them; where that does not hold, a shorter prefix is found, which is still right.
    pub fn longest(&self, blocks: &[u64]) -> (usize, [Option<u32>; SERVERS_PER_BLOCK]) {
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
