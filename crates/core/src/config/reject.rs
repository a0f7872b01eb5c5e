//! Why a record changed nothing.

use serde::{Deserialize, Serialize};

use crate::config::target::TargetError;
use crate::ids::{ClassName, Offset};

/// Why a record of the configuration stream changed nothing. Each is shown to the publisher that the record
/// names, so each says what is to be done differently.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize, thiserror::Error)]
pub enum RejectReason {
    /// The bytes are no record.
    #[error("bytes are not a configuration record")]
    Malformed,
    /// The record is larger than any honest one.
    #[error("record is larger than allowed")]
    TooLarge,
    /// No key is known for the publisher that it names.
    #[error("no key is known for the publisher")]
    UnknownPublisher,
    /// The signature is not that of the publisher that it names.
    #[error("signature is not the publisher's")]
    BadSignature,
    /// A checkpoint that no daemon sealed.
    #[error("checkpoint is not sealed by a daemon")]
    ForgedCheckpoint,
    /// Signed by its publisher, but what was signed is no change.
    #[error("signed bytes are not a change")]
    MalformedChange,
    /// The same change was accepted at an earlier offset: an append was repeated.
    #[error("change was accepted at offset {first} already")]
    Duplicate {
        /// Where it was accepted.
        first: Offset,
    },
    /// The publisher's classes changed since the version that the change was made from.
    #[error("made from version {}, but version {} is in force", Shown(*made_from), Shown(*in_force))]
    Conflict {
        /// The version that the change was made from.
        made_from: Option<Offset>,
        /// The version that was in force at the record's offset.
        in_force: Option<Offset>,
    },
    /// The change holds nothing.
    #[error("change is empty")]
    Empty,
    /// The change holds more than one record may.
    #[error("change holds {found} classes, at most {limit} are allowed")]
    TooManyChanges {
        /// Classes in it.
        found: u32,
        /// Classes allowed.
        limit: u32,
    },
    /// One change names one class twice.
    #[error("class {class} is named twice")]
    RepeatedClass {
        /// The class.
        class: ClassName,
    },
    /// The class to delete does not exist.
    #[error("class {class} does not exist")]
    UnknownClass {
        /// The class.
        class: ClassName,
    },
    /// A target that cannot stand.
    #[error("class {class}: {error}")]
    BadTarget {
        /// The class.
        class: ClassName,
        /// What is wrong.
        error: TargetError,
    },
    /// The publisher would have more classes than allowed.
    #[error("publisher would have {found} classes, at most {limit} are allowed")]
    TooManyClasses {
        /// Classes it would have.
        found: u32,
        /// Classes allowed.
        limit: u32,
    },
}

impl RejectReason {
    /// The reason in counters.
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

struct Shown(Option<Offset>);

impl std::fmt::Display for Shown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(offset) => offset.fmt(f),
            None => f.write_str("none"),
        }
    }
}
