//! Configuration: what partners publish, folded from the platform's log.
//!
//! Every daemon folds the same records in the order of their offsets and so comes to the same state, without
//! any agreement of their own. The fold only moves forward: nothing at a lower offset, and no log that has
//! become shorter, takes back what was accepted.

mod apply;
mod checkpoint;
mod duty;
mod fold;
mod history;
mod intake;
mod partner;
mod record;
mod reject;
mod state;
mod target;

pub use checkpoint::{CheckpointError, CheckpointKey, SealedCheckpoint};
pub use duty::{CheckpointDuty, CheckpointDutySettings};
pub use fold::{ConfigFold, PublisherKeys};
pub use history::{HISTORY_PER_PARTNER, HistoryEntry, UNATTRIBUTED_KEPT, UnattributedRecord, Verdict};
pub use intake::{AdoptError, Adopted, Intake, LogBounds, LogView, RejectedRecord, SeenCheckpoint};
pub use partner::{MAX_CLASSES_PER_PARTNER, PartnerConfig, PublishedClass};
pub use record::{
    Author, ChangeBody, ClassChange, MAX_CHANGES_PER_RECORD, MAX_RECORD_BYTES, ParseAuthorError, Record,
    RecordError, SignedChange,
};
pub use reject::RejectReason;
pub use state::ConfigState;
pub use target::{ClassTarget, MAX_TARGET_MS, TargetError, TargetKind};
