//! Inputs and results of the configuration fold.

use crate::config::checkpoint::CheckpointError;
use crate::config::reject::RejectReason;
use crate::ids::{Offset, PartnerId};

/// Bounds of the log as reported by a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogBounds {
    /// Oldest offset that the log retains.
    pub start_offset: Offset,
    /// Offset of the next append.
    pub next_offset: Offset,
}

/// How far the state in force is from the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogView {
    /// The log has not been read yet.
    #[default]
    Unread,
    /// Every record in the log is folded.
    CaughtUp,
    /// The log holds records that are not folded yet.
    Behind,
    /// Records expired before this daemon read them; only a checkpoint or a peer can close the gap.
    Gap,
    /// The log ends before the state in force: it was emptied or truncated. The state stays in force.
    Shorter,
}

/// Result of folding records.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FoldOutcome {
    /// Whether a newer state is in force.
    pub advanced: bool,
    /// Number of changes accepted.
    pub accepted: u32,
    /// Rejected records, for logs and counters.
    pub rejected: Vec<RejectedRecord>,
}

/// A record that had no effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RejectedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// The publisher named in the record; absent if the record is not a readable change.
    pub publisher: Option<PartnerId>,
    /// Why the record was rejected.
    pub reason: RejectReason,
}

/// Result of offering a checkpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adopted {
    /// The checkpoint was newer and is in force.
    Newer,
    /// The checkpoint was not newer; nothing changed.
    NotNewer,
}

/// Why a checkpoint was not adopted.
pub type AdoptError = CheckpointError;

/// The newest checkpoint seen in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenCheckpoint {
    /// Offset of the checkpoint record.
    pub offset: Offset,
    /// First offset that the checkpoint does not cover.
    pub next_offset: Offset,
}
