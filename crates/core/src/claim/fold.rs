//! Claims of one partition, computed from the log's records in order.

use std::collections::{HashMap, VecDeque};

use super::{Claim, ClaimEntry, ClaimGroup, ClaimKey, UnixMillis};
use crate::ids::{Offset, RequestId};
use crate::units::Millis;

/// Error for a record whose offset is not the next expected one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("record at offset {found} is out of sequence; expected offset {expected}")]
pub struct FoldError {
    /// Offset of the record expected next.
    pub expected: Offset,
    /// Offset of the rejected record.
    pub found: Offset,
}

#[derive(Clone, Debug)]
struct Holder {
    claim: Claim,
    since_unix_ms: UnixMillis,
}

/// Deterministic fold over one partition's records: the same records give each daemon the same holders.
///
/// The fold's clock is the latest timestamp in any record so far, so expiry is decided by the log and not by
/// the reader. A claim that loses restarts the holder's retention: two readers that disagree on whether the
/// old claim had just expired still agree that the key is held now, and cannot both let a third request run.
#[derive(Clone, Debug)]
pub struct ClaimFold {
    hold_ms: Millis,
    next: Offset,
    log_clock_unix_ms: UnixMillis,
    holders: HashMap<ClaimKey, Holder>,
    by_age: VecDeque<(UnixMillis, ClaimKey)>,
}

impl ClaimFold {
    /// Creates an empty fold that expects the record at `next`.
    pub fn new(hold_ms: Millis, next: Offset) -> Self {
        Self {
            hold_ms,
            next,
            log_clock_unix_ms: UnixMillis(0),
            holders: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// Offset of the record expected next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// The claim that holds `key`, if any.
    pub fn holder(&self, key: &ClaimKey) -> Option<&Claim> {
        self.holders.get(key).map(|holder| &holder.claim)
    }

    /// Whether `request` holds `key`.
    pub fn holds(&self, key: &ClaimKey, request: RequestId) -> bool {
        self.holder(key).is_some_and(|claim| claim.request == request)
    }

    /// Whether `key` is held and still would be for a record written at `unix_ms`.
    pub fn holds_at(&self, key: &ClaimKey, unix_ms: UnixMillis) -> bool {
        self.holders.get(key).is_some_and(|holder| holder.since_unix_ms.0 + self.hold_ms.0 > unix_ms.0)
    }

    /// Applies the record at `offset`. A record that could not be decoded is passed as `None`: it advances
    /// the offset and claims nothing, for every reader alike.
    ///
    /// # Errors
    ///
    /// [`FoldError`] if the record is not the next one; the fold is unchanged then.
    pub fn apply(&mut self, offset: Offset, group: Option<&ClaimGroup>) -> Result<(), FoldError> {
        if offset != self.next {
            return Err(FoldError { expected: self.next, found: offset });
        }
        self.next = offset.next();
        let Some(group) = group else { return Ok(()) };
        self.log_clock_unix_ms = self.log_clock_unix_ms.max(group.appended_unix_ms);
        self.expire();
        for entry in &group.entries {
            match entry {
                ClaimEntry::Claim(claim) => self.claim(claim),
                ClaimEntry::Release { key, request } => self.release(key, *request),
            }
        }
        Ok(())
    }

    fn claim(&mut self, claim: &Claim) {
        let since_unix_ms = self.log_clock_unix_ms;
        self.by_age.push_back((since_unix_ms, claim.key));
        self.holders
            .entry(claim.key)
            .and_modify(|holder| holder.since_unix_ms = since_unix_ms)
            .or_insert_with(|| Holder { claim: claim.clone(), since_unix_ms });
    }

    fn release(&mut self, key: &ClaimKey, request: RequestId) {
        if self.holds(key, request) {
            self.holders.remove(key);
        }
    }

    fn expire(&mut self) {
        let Some(limit) = self.log_clock_unix_ms.0.checked_sub(self.hold_ms.0) else {
            return;
        };
        while let Some(&(since, key)) = self.by_age.front() {
            if since.0 > limit {
                break;
            }
            self.by_age.pop_front();
            if self.holders.get(&key).is_some_and(|holder| holder.since_unix_ms.0 <= limit) {
                self.holders.remove(&key);
            }
        }
    }
}
