//! Latency targets of classes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// Largest target. An hour is far beyond what anybody waits for; a larger number is a slip of the keyboard.
pub const MAX_TARGET_MS: Millis = Millis(3_600_000);

/// What a partner wants of a class of its work. It states a target and nothing else: no weight, no share, no
/// server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClassTarget {
    /// The kind of work, with the target of that kind.
    pub kind: TargetKind,
}

/// The kinds of work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TargetKind {
    /// Language work: a request meets its target when its first token and its tokens on average come in time.
    Language {
        /// From arrival to the first token.
        first_token_ms: Millis,
        /// Between tokens, on average over the request.
        per_token_ms: Millis,
    },
    /// Calls to plain services.
    Plain {
        /// From arrival to the whole answer.
        response_ms: Millis,
    },
}

/// A target that cannot stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize, thiserror::Error)]
#[error("target of {found_ms} is outside 1 to {MAX_TARGET_MS}")]
pub struct TargetError {
    /// What was asked for.
    pub found_ms: Millis,
}

impl ClassTarget {
    /// A target of language work.
    pub fn language(first_token_ms: Millis, per_token_ms: Millis) -> Self {
        Self { kind: TargetKind::Language { first_token_ms, per_token_ms } }
    }

    /// A target of calls to plain services.
    pub fn plain(response_ms: Millis) -> Self {
        Self { kind: TargetKind::Plain { response_ms } }
    }

    /// Checks that each span is from 1 ms to [`MAX_TARGET_MS`]. A target that no engine can meet is allowed: it
    /// is the partner's own loss, and admission keeps it from being anybody else's.
    ///
    /// # Errors
    ///
    /// [`TargetError`] with the first span outside.
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
