//! What happened to one request, told in one log line when it has ended.

use std::fmt::Write as _;
use std::time::Duration;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::FailureCause;

/// A step of a request at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// An instance answered.
    Answered,
    /// An instance gave no answer that can be passed on.
    Failed(FailureCause),
    /// An engine kept no room.
    ReserveFailed(FailureCause),
    /// An engine read the prompt.
    Read,
    /// It did not.
    ReadFailed(FailureCause),
    /// An engine began its answer.
    Written,
    /// It did not.
    WriteFailed(FailureCause),
}

impl Step {
    /// Its name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered | Self::Failed(_) => "answer",
            Self::ReserveFailed(_) => "reserve",
            Self::Read | Self::ReadFailed(_) => "read",
            Self::Written | Self::WriteFailed(_) => "write",
        }
    }

    /// Why it failed; nothing where it did not.
    pub fn cause(self) -> &'static str {
        match self {
            Self::Answered | Self::Read | Self::Written => "",
            Self::Failed(cause)
            | Self::ReserveFailed(cause)
            | Self::ReadFailed(cause)
            | Self::WriteFailed(cause) => cause_label(cause),
        }
    }
}

/// Steps of one request that are told at most; more come only from a fault.
const STEPS_MAX: usize = 12;

/// The steps so far, and how it ended.
#[derive(Debug, Default)]
pub struct Story {
    steps: usize,
    text: String,
    end: Option<&'static str>,
    first_event: Option<Duration>,
    last_event: u64,
    last_event_at: Option<Duration>,
    longest_pause: Duration,
}

impl Story {
    /// Adds a step that ended `at` after the request's arrival.
    pub fn note(&mut self, at: Duration, step: Step, server: &BackendServerId) {
        self.steps += 1;
        if self.steps > STEPS_MAX {
            return;
        }
        let (what, cause) = (step.label(), step.cause());
        let gap = if self.text.is_empty() { "" } else { " " };
        // Writing to a string does not fail.
        let _ = write!(self.text, "{gap}{what}:{server}:{cause}@{}", at.as_millis());
    }

    /// The first event went to the caller.
    pub fn first_event(&mut self, at: Duration) {
        self.first_event.get_or_insert(at);
    }

    /// Notes the number of the last event that went to the caller.
    pub fn events(&mut self, at: Duration, last: u64) {
        let pause = self.last_event_at.map_or(Duration::ZERO, |before| at.saturating_sub(before));
        self.longest_pause = self.longest_pause.max(pause);
        self.last_event_at = Some(at);
        self.last_event = last;
    }

    /// Longest time between two events.
    pub fn longest_pause_ms(&self) -> u64 {
        u64::try_from(self.longest_pause.as_millis()).unwrap_or(u64::MAX)
    }

    /// Number of the last event that went to the caller.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Notes how it ended; the first word counts.
    pub fn end(&mut self, how: &'static str) {
        self.end.get_or_insert(how);
    }

    /// How it ended; a request that nobody ended was left by its caller.
    pub fn how(&self) -> &'static str {
        self.end.unwrap_or("caller-left")
    }

    /// The steps as text: what, where, why it failed, and milliseconds since the request's arrival.
    pub fn steps(&self) -> &str {
        &self.text
    }

    /// Time from arrival to the first event.
    pub fn first_event_ms(&self) -> Option<u64> {
        self.first_event.map(|at| u64::try_from(at.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Name of a cause in logs.
pub fn cause_label(cause: FailureCause) -> &'static str {
    match cause {
        FailureCause::NotSent => "not-sent",
        FailureCause::Limited => "limited",
        FailureCause::Timeout => "timeout",
        FailureCause::Broken => "broken",
        FailureCause::NoRoom => "no-room",
        FailureCause::Leaving => "leaving",
        FailureCause::Gone => "gone",
        FailureCause::Refused => "refused",
    }
}
