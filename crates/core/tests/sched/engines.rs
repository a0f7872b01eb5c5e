//! Fake model engines in virtual time.

use std::collections::{HashMap, HashSet, VecDeque};

use hibiscusvale_core::ids::{Incarnation, RequestId};
use hibiscusvale_core::sched::Attempt;

/// Prompt queued at a prefill engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub request_id: RequestId,
    pub attempt: Attempt,
    pub daemon: usize,
    pub tokens: u64,
    pub blocks: Vec<u64>,
    pub priority: u8,
}

/// Fake prefill engine: processes one prompt at a time and keeps results until they are transferred or
/// evicted.
#[derive(Debug, Default)]
pub struct PrefillEngine {
    pub queue: Vec<Job>,
    pub running: Option<(Job, u64)>,
    pub results: HashMap<RequestId, u64>,
    pub pinned: HashSet<RequestId>,
    pub cache: HashSet<u64>,
    pub insertion_order: VecDeque<u64>,
    pub slowdown: u64,
    pub unresponsive: bool,
    pub generation: u64,
}

pub const BLOCK_TOKENS: u64 = 64;
const CACHE_BLOCKS: usize = 2_000;

impl PrefillEngine {
    /// Prompt tokens served from the cache.
    pub fn cached(&self, job: &Job) -> u64 {
        let blocks = job.blocks.iter().take_while(|block| self.cache.contains(block)).count() as u64;
        (blocks * BLOCK_TOKENS).min(job.tokens.saturating_sub(1))
    }

    /// Starts the next prompt if idle; returns its uncached tokens.
    pub fn start_next(&mut self) -> Option<u64> {
        if self.running.is_some() || self.queue.is_empty() || self.unresponsive {
            return None;
        }
        let first = (0..self.queue.len()).min_by_key(|&index| (self.queue[index].priority, index))?;
        let job = self.queue.remove(first);
        let cached = self.cached(&job);
        let uncached = job.tokens - cached;
        self.generation += 1;
        self.running = Some((job, cached));
        Some(uncached)
    }

    pub fn store(&mut self, blocks: &[u64]) {
        for &block in blocks {
            if self.cache.insert(block) {
                self.insertion_order.push_back(block);
            }
        }
        while self.insertion_order.len() > CACHE_BLOCKS {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.cache.remove(&oldest);
        }
    }

    pub fn cancel(&mut self, request_id: RequestId) {
        self.queue.retain(|job| job.request_id != request_id);
        self.results.remove(&request_id);
        self.pinned.remove(&request_id);
        if self.running.as_ref().is_some_and(|(job, _)| job.request_id == request_id) {
            self.running = None;
            self.generation += 1;
        }
    }

    pub fn cancel_owner(&mut self, owner: Incarnation) {
        let running = self.running.iter().map(|(job, _)| job.request_id);
        let ids =
            self.queue.iter().map(|job| job.request_id).chain(running).chain(self.results.keys().copied());
        let gone = ids.filter(|id| id.incarnation == owner).collect::<Vec<_>>();
        gone.into_iter().for_each(|id| self.cancel(id));
    }

    /// Uncached tokens of the running prompt and all tokens of queued ones, as in a load report.
    pub fn backlog_tokens(&self) -> u64 {
        let running = self.running.iter().map(|(job, cached)| job.tokens - cached).sum::<u64>();
        running + self.queue.iter().map(|job| job.tokens).sum::<u64>()
    }
}

/// Request that holds a slot.
#[derive(Clone, Debug)]
pub struct SlotHolder {
    pub daemon: usize,
    pub attempt: Attempt,
    pub decoding: bool,
    pub answer: u64,
    pub tokens_written: u64,
    pub rate: u64,
}

/// Fake decode engine: each step generates one token per request and takes longer with a fuller batch.
#[derive(Debug, Default)]
pub struct DecodeEngine {
    pub holders: HashMap<RequestId, SlotHolder>,
    pub slots: usize,
    pub slowdown: u64,
    pub unresponsive: bool,
    pub is_stepping: bool,
    pub refused: u64,
    pub peak_link: u64,
}

const STEP_BASE_US: u64 = 20_000;
const STEP_PER_REQUEST_US: u64 = 500;

impl DecodeEngine {
    pub fn step_us(&self) -> u64 {
        let active = self.holders.values().filter(|holder| holder.decoding).count() as u64;
        (STEP_BASE_US + STEP_PER_REQUEST_US * active) * self.slowdown.max(1)
    }

    /// Reserves a slot for a transfer; returns false if none is free.
    pub fn reserve(&mut self, request_id: RequestId, holder: SlotHolder) -> bool {
        if self.holders.len() >= self.slots && !self.holders.contains_key(&request_id) {
            self.refused += 1;
            return false;
        }
        self.holders.insert(request_id, holder);
        let link =
            self.holders.values().filter(|holder| !holder.decoding).map(|holder| holder.rate).sum::<u64>();
        self.peak_link = self.peak_link.max(link);
        true
    }
}
