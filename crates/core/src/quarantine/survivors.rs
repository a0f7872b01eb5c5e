//! Requests that servers have run lately without crashing.

use std::collections::{HashSet, VecDeque};

use super::fingerprint::Fingerprint;

/// The newest requests that servers have run, up to a bound.
#[derive(Clone, Debug)]
pub(super) struct Survivors {
    oldest_first: VecDeque<Fingerprint>,
    known: HashSet<Fingerprint>,
    limit: usize,
}

impl Survivors {
    pub(super) fn new(limit: usize) -> Self {
        Self { oldest_first: VecDeque::new(), known: HashSet::new(), limit }
    }

    pub(super) fn note(&mut self, fingerprint: Fingerprint) {
        if !self.known.insert(fingerprint) {
            return;
        }
        self.oldest_first.push_back(fingerprint);
        if self.oldest_first.len() > self.limit
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.known.contains(&fingerprint)
    }
}
