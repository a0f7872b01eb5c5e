//! Who changed what. Bounded, part of the state, and so the same on every daemon.

use serde::{Deserialize, Serialize};

use crate::config::record::{Author, ClassChange};
use crate::config::reject::RejectReason;
use crate::ids::{ChangeId, Offset, PartnerId};

/// Changes remembered per partner. A lost reply is looked up within seconds and a slip within hours; at 16
/// the histories of 280 partners stay under a megabyte in each daemon and each checkpoint.
pub const HISTORY_PER_PARTNER: usize = 16;

/// Changes of one record that the history spells out.
pub(super) const CHANGES_SHOWN: usize = 4;

/// Records remembered that could not be laid to any partner.
pub const UNATTRIBUTED_KEPT: usize = 32;

/// One change of a partner, accepted or not.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Where the record stands.
    pub offset: Offset,
    /// Names the change.
    pub change_id: ChangeId,
    /// Who made it; absent where the content was not understood.
    pub author: Option<Author>,
    /// When, by the operator's clock.
    pub made_at_unix_ms: u64,
    /// What came of it.
    pub verdict: Verdict,
    /// The first few changes in it.
    pub changes: Vec<ClassChange>,
    /// How many changes it holds.
    pub changes_total: u32,
}

/// What came of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Verdict {
    /// It is in force, or was until a later one.
    Accepted,
    /// It changed nothing.
    Rejected(RejectReason),
}

/// A record that is no change of any partner, as far as can be proved. It is kept apart from the histories, so
/// that forged records cannot push a partner's own changes out.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct UnattributedRecord {
    /// Where the record stands.
    pub offset: Offset,
    /// The partner that it claims to come from.
    pub claimed_publisher: Option<PartnerId>,
    /// The change id that it carries.
    pub change_id: Option<ChangeId>,
    /// Why it changed nothing.
    pub reason: RejectReason,
}
