//! Cache of responses, served to callers that repeat a request.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::units::Bytes;

/// A header of a stored response.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredHeader {
    /// Header name.
    pub name: String,
    /// Header value.
    pub value: Vec<u8>,
}

/// A complete response, stored for repeated requests with the same key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that the first caller received.
    pub headers: Vec<StoredHeader>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Size that counts against the cache limits: header names, header values and body.
    pub fn size(&self) -> Bytes {
        let headers: usize = self.headers.iter().map(|header| header.name.len() + header.value.len()).sum();
        Bytes((headers + self.body.len()) as u64)
    }
}

/// Response cache of bounded size that evicts the oldest entries first. Eviction is safe: a repeated request
/// is then told that the response is no longer available.
#[derive(Debug)]
pub struct AnswerCache<Id> {
    entry_limit_bytes: Bytes,
    limit_bytes: Bytes,
    used_bytes: Bytes,
    entries: HashMap<Id, Arc<StoredAnswer>>,
    insertion_order: VecDeque<Id>,
}

impl<Id> AnswerCache<Id>
where
    Id: Clone + Eq + Hash,
{
    /// Creates a cache for responses of at most `entry_limit_bytes` each and `limit_bytes` in total.
    pub fn new(entry_limit_bytes: Bytes, limit_bytes: Bytes) -> Self {
        Self {
            entry_limit_bytes,
            limit_bytes,
            used_bytes: Bytes::ZERO,
            entries: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Stores a response, unless it exceeds the size limit or one is stored under `id` already.
    pub fn insert(&mut self, id: Id, answer: Arc<StoredAnswer>) {
        if answer.size() > self.entry_limit_bytes || self.entries.contains_key(&id) {
            return;
        }
        self.used_bytes += answer.size();
        self.entries.insert(id.clone(), answer);
        self.insertion_order.push_back(id);
        while self.used_bytes > self.limit_bytes {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.remove(&oldest);
        }
    }

    /// The stored response; `None` when it was evicted or never stored.
    pub fn get(&self, id: &Id) -> Option<&Arc<StoredAnswer>> {
        self.entries.get(id)
    }

    /// Removes a stored response.
    pub fn remove(&mut self, id: &Id) {
        if let Some(answer) = self.entries.remove(id) {
            self.used_bytes -= answer.size();
        }
    }
}
