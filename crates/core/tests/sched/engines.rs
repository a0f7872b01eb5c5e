//! Fakes of the model engines, in virtual time.

use std::collections::{HashMap, HashSet, VecDeque};

use hibiscusvale_core::ids::{Incarnation, RequestId};
use hibiscusvale_core::sched::Attempt;

/// A prompt at a prefill engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub request_id: RequestId,
    pub attempt: Attempt,
    pub home: usize,
    pub tokens: u64,
    pub blocks: Vec<u64>,
    pub priority: u8,
}

/// Reads one prompt after the other, keeps results until they are pulled or evicted.
#[derive(Debug, Default)]
pub struct PrefillEngine {
    pub queue: Vec<Job>,
    pub running: Option<(Job, u64)>,
    pub results: HashMap<RequestId, u64>,
    pub pinned: HashSet<RequestId>,
    pub cache: HashSet<u64>,
    pub order: VecDeque<u64>,
    pub slow: u64,
    pub mute: bool,
    pub generation: u64,
}

pub const BLOCK_TOKENS: u64 = 64;
const CACHE_BLOCKS: usize = 2_000;

impl PrefillEngine {
    /// Tokens of the prompt that the cache spares.
    pub fn cached(&self, job: &Job) -> u64 {
        let blocks = job.blocks.iter().take_while(|block| self.cache.contains(block)).count() as u64;
        (blocks * BLOCK_TOKENS).min(job.tokens.saturating_sub(1))
    }

    /// Starts the next prompt if idle; returns its uncached tokens.
    pub fn start_next(&mut self) -> Option<u64> {
        if self.running.is_some() || self.queue.is_empty() || self.mute {
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
                self.order.push_back(block);
            }
        }
        while self.order.len() > CACHE_BLOCKS {
            let Some(oldest) = self.order.pop_front() else {
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

    /// Tokens waiting or running, as a load report would say.
    pub fn backlog_tokens(&self) -> u64 {
        let running = self.running.iter().map(|(job, cached)| job.tokens - cached).sum::<u64>();
        running + self.queue.iter().map(|job| job.tokens).sum::<u64>()
    }
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
pub struct Seat {
    pub home: usize,
    pub attempt: Attempt,
    pub decoding: bool,
    pub answer: u64,
    pub written: u64,
    pub rate: u64,
}

/// Writes one token for each of its requests in each step; a fuller batch steps slower.
#[derive(Debug, Default)]
pub struct DecodeEngine {
    pub seats: HashMap<RequestId, Seat>,
    pub slots: usize,
    pub slow: u64,
    pub mute: bool,
    pub stepping: bool,
    pub refused: u64,
    pub most_link: u64,
}

const STEP_BASE_US: u64 = 20_000;
const STEP_PER_SEAT_US: u64 = 500;

impl DecodeEngine {
    pub fn step_us(&self) -> u64 {
        let active = self.seats.values().filter(|seat| seat.decoding).count() as u64;
        (STEP_BASE_US + STEP_PER_SEAT_US * active) * self.slow.max(1)
    }

    /// Takes a slot for a transfer; false when there is none.
    pub fn take(&mut self, request_id: RequestId, seat: Seat) -> bool {
        if self.seats.len() >= self.slots && !self.seats.contains_key(&request_id) {
            self.refused += 1;
            return false;
        }
        self.seats.insert(request_id, seat);
        let link = self.seats.values().filter(|seat| !seat.decoding).map(|seat| seat.rate).sum::<u64>();
        self.most_link = self.most_link.max(link);
        true
    }
}
