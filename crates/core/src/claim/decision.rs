//! What a caller's task is told.

use std::sync::Arc;

use super::answers::StoredAnswer;
use super::runs::HeldState;
use crate::units::{Millis, MonoTime};

/// What a caller's task is to do with its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run it, once, and report how it ended. It must be started before `start_by_us`: after a longer pause
    /// the key may have expired and be held by another.
    Run {
        /// Latest time to send the first byte to a server.
        start_by_us: MonoTime,
    },
    /// An earlier request with the key was answered so.
    Answered(Arc<StoredAnswer>),
    /// An earlier request with the key still runs.
    InProgress,
    /// An earlier request with the key was answered; the answer is no longer kept.
    AnswerGone,
    /// An earlier request with the key may have run; the daemon that knew is gone or out of reach.
    Unknown,
    /// The key was used for another request.
    OtherBody,
    /// It could not be claimed; this request did not run and never will.
    Unavailable {
        /// When another try may help.
        retry_after_ms: Millis,
    },
}

/// What a second caller is told, by what the holder of the key says of its request.
pub(super) fn held_decision(same_body: bool, state: HeldState, retry_after_ms: Millis) -> Decision {
    if !same_body {
        return Decision::OtherBody;
    }
    match state {
        HeldState::Running => Decision::InProgress,
        HeldState::Answered(answer) => Decision::Answered(answer),
        HeldState::AnswerGone => Decision::AnswerGone,
        HeldState::NotRun => Decision::Unavailable { retry_after_ms },
        HeldState::Unknown => Decision::Unknown,
    }
}
