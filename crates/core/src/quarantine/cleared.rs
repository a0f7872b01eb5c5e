//! Requests that recently ran without crashing a server.

use std::collections::{HashSet, VecDeque};

use super::fingerprint::Fingerprint;

/// Most recent requests that ran without a crash, up to `capacity`.
#[derive(Clone, Debug)]
pub(super) struct ClearedRequests {
    oldest_first: VecDeque<Fingerprint>,
    known: HashSet<Fingerprint>,
    capacity: usize,
}

impl ClearedRequests {
    pub(super) fn new(capacity: usize) -> Self {
        Self { oldest_first: VecDeque::new(), known: HashSet::new(), capacity }
    }

    pub(super) fn record(&mut self, fingerprint: Fingerprint) {
        if !self.known.insert(fingerprint) {
            return;
        }
        self.oldest_first.push_back(fingerprint);
        if self.oldest_first.len() > self.capacity
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.known.contains(&fingerprint)
    }
}
