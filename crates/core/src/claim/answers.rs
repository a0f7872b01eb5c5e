//! Answers kept for callers who ask a second time.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::units::Bytes;

/// One header of a kept answer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredHeader {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// An answer kept for second callers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredAnswer {
    /// Status code.
    pub status: u16,
    /// Headers that the caller was given.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Memory that the answer takes.
    pub fn size(&self) -> Bytes {
        let headers: usize = self.headers.iter().map(|header| header.name.len() + header.value.len()).sum();
        Bytes((headers + self.body.len()) as u64)
    }
}

/// Answers within a bound of memory; the oldest go first. Losing one is safe: the second caller is told that
/// the answer is gone.
#[derive(Debug)]
pub struct AnswerMemory<Id> {
    answer_bytes: Bytes,
    limit_bytes: Bytes,
    used_bytes: Bytes,
    kept: HashMap<Id, Arc<StoredAnswer>>,
    by_age: VecDeque<Id>,
}

impl<Id> AnswerMemory<Id>
where
    Id: Clone + Eq + Hash,
{
    /// Keeps answers of at most `answer_bytes`, and `limit_bytes` in all.
    pub fn new(answer_bytes: Bytes, limit_bytes: Bytes) -> Self {
        Self {
            answer_bytes,
            limit_bytes,
            used_bytes: Bytes::ZERO,
            kept: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// Keeps an answer, if it is small enough.
    pub fn keep(&mut self, id: Id, answer: Arc<StoredAnswer>) {
        if answer.size() > self.answer_bytes || self.kept.contains_key(&id) {
            return;
        }
        self.used_bytes += answer.size();
        self.kept.insert(id.clone(), answer);
        self.by_age.push_back(id);
        while self.used_bytes > self.limit_bytes {
            let Some(oldest) = self.by_age.pop_front() else {
                return;
            };
            self.forget(&oldest);
        }
    }

    /// The answer, if it is still kept.
    pub fn get(&self, id: &Id) -> Option<&Arc<StoredAnswer>> {
        self.kept.get(id)
    }

    /// Forgets an answer.
    pub fn forget(&mut self, id: &Id) {
        if let Some(answer) = self.kept.remove(id) {
            self.used_bytes -= answer.size();
        }
    }
}
