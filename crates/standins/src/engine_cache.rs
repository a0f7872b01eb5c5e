//! LRU prefix cache of an engine and its event feed, which lags and has gaps.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Maximum number of retained events.
const MAX_EVENTS: usize = 10_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CacheEventKind {
    Stored,
    Evicted,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    seq: u64,
    kind: CacheEventKind,
    block: String,
    #[serde(skip)]
    visible_at: Instant,
}

#[derive(Debug, Serialize)]
pub(crate) struct CacheEventPage {
    events: Vec<CacheEvent>,
    next_seq: u64,
}

/// LRU cache of prefix blocks.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    event_lag: Duration,
    gap_every: u64,
    last_use: HashMap<String, u64>,
    uses: u64,
    next_seq: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    pub(crate) fn new(capacity_blocks: usize, event_lag: Duration, gap_every: u64) -> Self {
        Self {
            capacity_blocks,
            event_lag,
            gap_every,
            last_use: HashMap::new(),
            uses: 0,
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Returns how many leading `blocks` are cached and marks them as used.
    pub(crate) fn count_hits(&mut self, blocks: &[String]) -> usize {
        self.uses += 1;
        let uses = self.uses;
        let mut hits = 0;
        for block in blocks {
            let Some(last) = self.last_use.get_mut(block) else {
                break;
            };
            *last = uses;
            hits += 1;
        }
        hits
    }

    pub(crate) fn store(&mut self, blocks: &[String], now: Instant) {
        self.uses += 1;
        for block in blocks {
            if self.last_use.insert(block.clone(), self.uses).is_none() {
                self.record(CacheEventKind::Stored, block.clone(), now);
            }
        }
        while self.last_use.len() > self.capacity_blocks {
            self.evict_oldest(now);
        }
    }

    fn evict_oldest(&mut self, now: Instant) {
        let oldest = self.last_use.iter().min_by_key(|(block, last)| (**last, (*block).clone()));
        let Some(block) = oldest.map(|(block, _)| block.clone()) else {
            return;
        };
        self.last_use.remove(&block);
        self.record(CacheEventKind::Evicted, block, now);
    }

    fn record(&mut self, kind: CacheEventKind, block: String, now: Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.gap_every > 0 && seq.is_multiple_of(self.gap_every) {
            return;
        }
        self.events.push_back(CacheEvent { seq, kind, block, visible_at: now + self.event_lag });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns events after sequence number `after` that are visible at `now`.
    pub(crate) fn events(&self, after: u64, now: Instant) -> CacheEventPage {
        let visible = self.events.iter().filter(|event| event.visible_at <= now);
        let events: Vec<_> = visible.filter(|event| event.seq > after).cloned().collect();
        let next_seq = events.last().map_or(after + 1, |event| event.seq + 1);
        CacheEventPage { events, next_seq }
    }
}
