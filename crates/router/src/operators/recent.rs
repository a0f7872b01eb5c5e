//! Most recent finished requests, for `hibiscusvale why`.

use std::collections::VecDeque;

use hibiscusvale_core::ids::{BackendServerId, ClassName, PartnerId, RequestId};
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;

/// History of one finished request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRecord {
    /// Id of the request.
    pub request_id: RequestId,
    /// Partner that sent it; `None` when no token matched.
    pub partner: Option<PartnerId>,
    /// Class of the request; `None` when it could not be determined.
    pub class: Option<ClassName>,
    /// Label of the outcome.
    pub outcome: &'static str,
    /// Label of the refusal reason; `None` when the request was not refused.
    pub refusal: Option<&'static str>,
    /// Arrival time on the wall clock, in milliseconds since the Unix epoch.
    pub came_at_unix_ms: u64,
    /// Time from arrival to completion.
    pub took_ms: Millis,
    /// Processing steps in order.
    pub steps: Vec<RequestStep>,
}

/// One processing step of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestStep {
    /// Time since arrival of the request.
    pub after_ms: Millis,
    /// Label of the action or its result, from a closed set.
    pub what: &'static str,
    /// Backend server involved, if any.
    pub server: Option<BackendServerId>,
}

/// Ring buffer of the most recent finished requests.
#[derive(Debug)]
pub struct RecentRequests {
    capacity: usize,
    records: Mutex<VecDeque<RequestRecord>>,
}

impl RecentRequests {
    /// Creates a buffer for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: Mutex::new(VecDeque::with_capacity(capacity)) }
    }

    /// Inserts a request and evicts the oldest when the buffer is full.
    pub fn insert(&self, record: RequestRecord) {
        let mut records = self.records.lock();
        if records.len() >= self.capacity {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns the record of a request, or `None` when it is unknown or evicted.
    pub fn find(&self, request_id: RequestId) -> Option<RequestRecord> {
        let records = self.records.lock();
        records.iter().rev().find(|record| record.request_id == request_id).cloned()
    }
}
