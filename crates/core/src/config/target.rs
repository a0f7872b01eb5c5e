//! Latency targets of classes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// Largest target that is accepted: one hour. It exceeds any useful latency, so a larger value is a typing
/// error.
pub const MAX_TARGET_MS: Millis = Millis(3_600_000);

/// Service objective of a class. A partner sets only a latency target, never a weight, a share or a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClassTarget {
    /// Kind of work, with the target for that kind.
    pub kind: TargetKind,
}

/// Kinds of work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TargetKind {
    /// Language model requests. A request meets its target when both the first token and the average time per
    /// token are in time.
    Language {
        /// Time from arrival to the first token.
        first_token_ms: Millis,
        /// Time between tokens, averaged over the request.
        per_token_ms: Millis,
    },
    /// Calls to plain services.
    Plain {
        /// Time from arrival to the complete response.
        response_ms: Millis,
    },
}

/// A target outside the allowed range.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize, thiserror::Error)]
#[error("target of {found_ms} is outside 1 to {MAX_TARGET_MS}")]
pub struct TargetError {
    /// The rejected value.
    pub found_ms: Millis,
}

impl ClassTarget {
    /// Creates a target for language model requests.
    pub fn language(first_token_ms: Millis, per_token_ms: Millis) -> Self {
        Self { kind: TargetKind::Language { first_token_ms, per_token_ms } }
    }

    /// Creates a target for calls to plain services.
    pub fn plain(response_ms: Millis) -> Self {
        Self { kind: TargetKind::Plain { response_ms } }
    }

    /// Checks that each value is between 1 ms and [`MAX_TARGET_MS`]. A target that no engine can meet is
    /// valid: it harms only its own partner, since admission protects the others.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError`] with the first value that is out of range.
    pub fn check(&self) -> Result<(), TargetError> {
        let spans = match self.kind {
            TargetKind::Language { first_token_ms, per_token_ms } => [first_token_ms, per_token_ms],
            TargetKind::Plain { response_ms } => [response_ms, response_ms],
        };
        let outside = |span_ms: &Millis| *span_ms < Millis(1) || *span_ms > MAX_TARGET_MS;
        spans.into_iter().find(outside).map_or(Ok(()), |found_ms| Err(TargetError { found_ms }))
    }
}

impl fmt::Display for ClassTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            TargetKind::Language { first_token_ms, per_token_ms } => {
                write!(f, "first token {first_token_ms}, per token {per_token_ms}")
            }
            TargetKind::Plain { response_ms } => write!(f, "response {response_ms}"),
        }
    }
}
