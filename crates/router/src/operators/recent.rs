//! The latest finished requests, for `hibiscusvale why`.

use std::collections::VecDeque;

use hibiscusvale_core::ids::{BackendServerId, ClassName, PartnerId, RequestId};
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;

/// What happened to one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRecord {
    /// Its id.
    pub request_id: RequestId,
    /// Whose it was; absent when no token matched.
    pub partner: Option<PartnerId>,
    /// Its class; absent when none was understood.
    pub class: Option<ClassName>,
    /// How it ended: the label of its outcome.
    pub outcome: &'static str,
    /// Why it was refused, if it was: the label of the reason.
    pub refusal: Option<&'static str>,
    /// When it came, by the wall clock.
    pub came_at_unix_ms: u64,
    /// How long it took.
    pub took_ms: Millis,
    /// What was done for it, in order.
    pub steps: Vec<RequestStep>,
}

/// One thing that was done for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestStep {
    /// Time since the request came.
    pub after_ms: Millis,
    /// What was done, or what came of it: a label of a closed set.
    pub what: &'static str,
    /// The backend server that it was done at.
    pub server: Option<BackendServerId>,
}

/// A ring of the latest finished requests.
#[derive(Debug)]
pub struct RecentRequests {
    capacity: usize,
    records: Mutex<VecDeque<RequestRecord>>,
}

impl RecentRequests {
    /// A ring of `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: Mutex::new(VecDeque::with_capacity(capacity)) }
    }

    /// Remembers a request, in place of the oldest.
    pub fn note(&self, record: RequestRecord) {
        let mut records = self.records.lock();
        if records.len() >= self.capacity {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// What happened to a request, if it is still remembered.
    pub fn find(&self, request_id: RequestId) -> Option<RequestRecord> {
        let records = self.records.lock();
        records.iter().rev().find(|record| record.request_id == request_id).cloned()
    }
}
