//! Configuration: the classes that partners publish, folded from the platform's log.
//!
//! Every daemon folds the same records in offset order and reaches the same state without further agreement.
//! The fold only moves forward: neither a lower offset nor a truncated log reverts an accepted change.

mod apply;
mod checkpoint;
mod checkpoint_schedule;
mod fold;
mod fold_types;
mod history;
mod partner;
mod record;
mod reject;
mod state;
mod target;

pub use checkpoint::{CheckpointError, CheckpointKey, SealedCheckpoint};
pub use checkpoint_schedule::{CheckpointSchedule, CheckpointScheduleSettings};
pub use fold::{ConfigFold, PublisherKeys};
pub use fold_types::{AdoptError, Adopted, FoldOutcome, LogBounds, LogView, RejectedRecord, SeenCheckpoint};
pub use history::{HISTORY_PER_PARTNER, HistoryEntry, MAX_UNATTRIBUTED_RECORDS, UnattributedRecord, Verdict};
pub use partner::{MAX_CLASSES_PER_PARTNER, PartnerConfig, PublishedClass};
pub use record::{
    Author, ChangeBody, ClassChange, MAX_CHANGES_PER_RECORD, MAX_RECORD_BYTES, ParseAuthorError, Record,
    RecordError, SignedChange,
};
pub use reject::RejectReason;
pub use state::ConfigState;
pub use target::{ClassTarget, MAX_TARGET_MS, TargetError, TargetKind};
