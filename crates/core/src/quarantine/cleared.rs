//! Requests that recently ran without crashing a server.

use std::collections::{HashMap, VecDeque};

use super::fingerprint::Fingerprint;
use crate::units::MonoTime;

/// Requests that ran without a crash and the times of their last such runs, up to `capacity` requests.
#[derive(Clone, Debug)]
pub(super) struct ClearedRequests {
    /// Each with the time of its last run when it was queued.
    oldest_first: VecDeque<(Fingerprint, MonoTime)>,
    survived_us: HashMap<Fingerprint, MonoTime>,
    capacity: usize,
}

impl ClearedRequests {
    pub(super) fn new(capacity: usize) -> Self {
        Self { oldest_first: VecDeque::new(), survived_us: HashMap::new(), capacity }
    }

    pub(super) fn record(&mut self, fingerprint: Fingerprint, at_us: MonoTime) {
        if self.survived_us.insert(fingerprint, at_us).is_some() {
            return;
        }
        self.oldest_first.push_back((fingerprint, at_us));
        while self.oldest_first.len() > self.capacity
            && let Some((oldest, queued_us)) = self.oldest_first.pop_front()
        {
            // One that ran again since then is kept: the first part of most prompts must outlast requests that come once.
            match self.last_survived_us(oldest).filter(|survived_us| *survived_us > queued_us) {
                Some(survived_us) => self.oldest_first.push_back((oldest, survived_us)),
                None => drop(self.survived_us.remove(&oldest)),
            }
        }
    }

    /// When a server last ran the request without crashing.
    pub(super) fn last_survived_us(&self, fingerprint: Fingerprint) -> Option<MonoTime> {
        self.survived_us.get(&fingerprint).copied()
    }
}
