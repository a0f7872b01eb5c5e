//! What goes into the fold and what comes of it.

use crate::config::checkpoint::CheckpointError;
use crate::config::reject::RejectReason;
use crate::ids::{Offset, PartnerId};

/// What the log said of itself at a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogBounds {
    /// Oldest offset that the log still keeps.
    pub start_offset: Offset,
    /// Offset of the next append.
    pub next_offset: Offset,
}

/// What the log looks like from the state that is in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogView {
    /// Not read yet.
    #[default]
    Unread,
    /// Everything that the log holds is folded in.
    CaughtUp,
    /// The log holds more, and it is being read.
    Behind,
    /// Records expired before they were read here; only a checkpoint or a peer can help.
    Gap,
    /// The log ends before the state in force: it was emptied or shortened. The state stays in force.
    Shorter,
}

/// What taking records in did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Intake {
    /// Whether a newer state is in force now.
    pub advanced: bool,
    /// Accepted changes.
    pub accepted: u32,
    /// Records that changed nothing, for logs and counters.
    pub rejected: Vec<RejectedRecord>,
}

/// A record that changed nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RejectedRecord {
    /// Where it stands.
    pub offset: Offset,
    /// The partner that it names.
    pub publisher: Option<PartnerId>,
    /// Why.
    pub reason: RejectReason,
}

/// What offering a checkpoint did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adopted {
    /// It is newer and in force now.
    Newer,
    /// It is not newer, and nothing changed.
    NotNewer,
}

/// A checkpoint that was not adopted.
pub type AdoptError = CheckpointError;

/// The newest checkpoint seen in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenCheckpoint {
    /// Where it stands.
    pub offset: Offset,
    /// What it stands for.
    pub next_offset: Offset,
}
