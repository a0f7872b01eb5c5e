//! Reasons for rejecting a record.

use serde::{Deserialize, Serialize};

use crate::config::target::TargetError;
use crate::ids::{ClassName, Offset};

/// Why a record of the configuration stream was rejected. The text is shown to the publisher named in the
/// record, so it states what to correct.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize, thiserror::Error)]
pub enum RejectReason {
    /// The bytes cannot be decoded as a record.
    #[error("bytes are not a configuration record")]
    Malformed,
    /// The record exceeds the maximum size of a valid record.
    #[error("record is larger than allowed")]
    TooLarge,
    /// No key is configured for the publisher named in the record.
    #[error("no key is known for the publisher")]
    UnknownPublisher,
    /// The signature does not verify under the publisher's key.
    #[error("signature is not the publisher's")]
    BadSignature,
    /// The checkpoint's MAC does not verify.
    #[error("checkpoint is not sealed by a daemon")]
    ForgedCheckpoint,
    /// The signature is valid, but the signed bytes cannot be decoded as a change.
    #[error("signed bytes are not a change")]
    MalformedChange,
    /// The same change was accepted at an earlier offset; the append was repeated.
    #[error("change was accepted at offset {first} already")]
    Duplicate {
        /// Offset at which it was accepted.
        first: Offset,
    },
    /// The publisher's classes changed after the version that the change is based on.
    #[error("made from version {}, but version {} is in force", DisplayVersion(*made_from), DisplayVersion(*in_force))]
    Conflict {
        /// Version that the change is based on; `None` before the first one.
        made_from: Option<Offset>,
        /// Version in force at the record's offset; `None` before the first one.
        in_force: Option<Offset>,
    },
    /// The change contains no classes.
    #[error("change is empty")]
    Empty,
    /// The change contains more classes than one record may.
    #[error("change holds {found} classes, at most {limit} are allowed")]
    TooManyChanges {
        /// Number of classes in the change.
        found: u32,
        /// Maximum number allowed.
        limit: u32,
    },
    /// The change names the same class more than once.
    #[error("class {class} is named twice")]
    RepeatedClass {
        /// The repeated class.
        class: ClassName,
    },
    /// The class to delete does not exist.
    #[error("class {class} does not exist")]
    UnknownClass {
        /// The missing class.
        class: ClassName,
    },
    /// The target is out of range.
    #[error("class {class}: {error}")]
    BadTarget {
        /// The class with the invalid target.
        class: ClassName,
        /// Which value is out of range.
        error: TargetError,
    },
    /// The publisher would exceed its maximum number of classes.
    #[error("publisher would have {found} classes, at most {limit} are allowed")]
    TooManyClasses {
        /// Number of classes after the change.
        found: u32,
        /// Maximum number allowed.
        limit: u32,
    },
}

impl RejectReason {
    /// The reason's label in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::UnknownPublisher => "unknown-publisher",
            Self::BadSignature => "bad-signature",
            Self::ForgedCheckpoint => "forged-checkpoint",
            Self::MalformedChange => "malformed-change",
            Self::Duplicate { .. } => "duplicate",
            Self::Conflict { .. } => "conflict",
            Self::Empty => "empty",
            Self::TooManyChanges { .. } => "too-many-changes",
            Self::RepeatedClass { .. } => "repeated-class",
            Self::UnknownClass { .. } => "unknown-class",
            Self::BadTarget { .. } => "bad-target",
            Self::TooManyClasses { .. } => "too-many-classes",
        }
    }
}

struct DisplayVersion(Option<Offset>);

impl std::fmt::Display for DisplayVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(offset) => offset.fmt(f),
            None => f.write_str("none"),
        }
    }
}
