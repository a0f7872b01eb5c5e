//! Bounded change history. It is part of the state and therefore identical on every daemon.

use serde::{Deserialize, Serialize};

use crate::config::record::{Author, ClassChange};
use crate::config::reject::RejectReason;
use crate::ids::{ChangeId, Offset, PartnerId};

/// History entries kept per partner. Lost replies are looked up within seconds and operator errors within
/// hours; at 16 entries the histories of 280 partners stay under 1 MB per daemon and per checkpoint.
pub const HISTORY_PER_PARTNER: usize = 16;

/// Maximum number of changes of one record that are stored in the history.
pub(super) const MAX_HISTORY_CHANGES: usize = 4;

/// Maximum number of unattributed records kept.
pub const MAX_UNATTRIBUTED_RECORDS: usize = 32;

/// One change of a partner, accepted or rejected.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifies the change across repeated appends.
    pub change_id: ChangeId,
    /// Operator who made the change; absent if the content could not be decoded.
    pub author: Option<Author>,
    /// Time of the change in milliseconds since the Unix epoch, by the operator's clock; 0 if the content
    /// could not be decoded.
    pub made_at_unix_ms: u64,
    /// Whether the change was accepted.
    pub verdict: Verdict,
    /// The first changes of the record; the list may be truncated.
    pub changes: Vec<ClassChange>,
    /// Number of changes in the record.
    pub changes_total: u32,
}

/// Result of validating a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Verdict {
    /// The change took effect. A later change may have replaced it.
    Accepted,
    /// The change had no effect.
    Rejected(RejectReason),
}

/// A record that cannot be proved to come from any partner. These are stored apart from the histories, so
/// that forged records cannot evict a partner's own changes.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct UnattributedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// The partner named in the record; absent if the record is not a readable change.
    pub claimed_publisher: Option<PartnerId>,
    /// The change id in the record; absent if the record is not a readable change.
    pub change_id: Option<ChangeId>,
    /// Why the record was rejected.
    pub reason: RejectReason,
}
