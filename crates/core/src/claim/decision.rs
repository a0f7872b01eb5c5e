//! Results of the claims protocol for the task that handles a caller's request.

use std::sync::Arc;

use super::answers::StoredAnswer;
use super::runs::HolderState;
use crate::units::{Millis, MonoTime};

/// What a task is to do with its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run the request once and report how it ended. It must start before `start_by_us`: after a longer pause
    /// the key may have expired, and another request may hold it.
    Run {
        /// Latest time to send the first byte to a server.
        start_by_us: MonoTime,
    },
    /// An earlier request with the key received this response.
    Answered(Arc<StoredAnswer>),
    /// An earlier request with the key is still running.
    InProgress,
    /// An earlier request with the key was answered, and its response was evicted from the cache.
    AnswerEvicted,
    /// An earlier request with the key may have run, and the daemon that handled it is gone or unreachable.
    Unknown,
    /// The key was used with a different request.
    BodyMismatch,
    /// The key could not be claimed; this request did not run and never will.
    Unavailable {
        /// Suggested delay before a retry.
        retry_after_ms: Millis,
    },
}

/// Decision for a repeated request, from the state that the holder of the key reports.
pub(super) fn duplicate_decision(same_body: bool, state: HolderState, retry_after_ms: Millis) -> Decision {
    if !same_body {
        return Decision::BodyMismatch;
    }
    match state {
        HolderState::Running => Decision::InProgress,
        HolderState::Answered(answer) => Decision::Answered(answer),
        HolderState::AnswerEvicted => Decision::AnswerEvicted,
        HolderState::NotRun => Decision::Unavailable { retry_after_ms },
        HolderState::Unknown => Decision::Unknown,
    }
}
