//! Outcome of a request, and the conditions under which each outcome may be reported.
//!
//! There are exactly three outcomes. Callers repeat a booking when told "not run", so it is reported only
//! when it is proven for all attempts; whatever may have reached a server is unknown until the server
//! answers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A server ran the request and the caller has the complete answer.
    Answered,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The outcome as written in headers and problem documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Repeatability {
    /// The request may be run again safely.
    Repeatable,
    /// The request must run at most once.
    AtMostOnce,
}

/// Result of one attempt at a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptOutcome {
    /// No byte was written: the connection was refused or could not be made.
    NotSent,
    /// The server stated explicitly that it did not run the request because it is leaving or has no room.
    Declined,
    /// The server's complete answer arrived.
    Answered,
    /// A byte may have been written and no complete answer arrived: connection reset, timeout, or a broken
    /// answer. Also the result of an attempt handed to another daemon that has not stated that it will not
    /// run the request.
    MayHaveRun,
}

/// Reason for which no further attempt may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RetryRefusal {
    /// An earlier attempt may have run a request that must run at most once.
    #[error("an earlier attempt may have run the request")]
    MayHaveRun,
    /// The limit of attempts is reached.
    #[error("attempt limit reached")]
    Exhausted,
    /// The outcome was reported to the caller.
    #[error("outcome already reported to the caller")]
    Reported,
}

/// Attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    repeatability: Repeatability,
    limit: u32,
    made: u32,
    in_flight: u32,
    may_have_run: bool,
    answered: bool,
    reported: Option<Outcome>,
}

impl Attempts {
    /// Creates the state of a request that may be attempted `limit` times.
    pub fn new(repeatability: Repeatability, limit: u32) -> Self {
        Self {
            repeatability,
            limit,
            made: 0,
            in_flight: 0,
            may_have_run: false,
            answered: false,
            reported: None,
        }
    }

    /// Starts another attempt. An attempt in flight counts as one that may have run.
    ///
    /// # Errors
    ///
    /// [`RetryRefusal`] if no further attempt may be made.
    pub fn begin(&mut self) -> Result<(), RetryRefusal> {
        self.may_begin()?;
        self.made += 1;
        self.in_flight += 1;
        Ok(())
    }

    /// Checks whether another attempt may start.
    ///
    /// # Errors
    ///
    /// [`RetryRefusal`] if no further attempt may be made.
    pub fn may_begin(&self) -> Result<(), RetryRefusal> {
        if self.reported.is_some() {
            return Err(RetryRefusal::Reported);
        }
        let may_have_run = self.may_have_run || self.answered || self.in_flight > 0;
        if self.repeatability == Repeatability::AtMostOnce && may_have_run {
            return Err(RetryRefusal::MayHaveRun);
        }
        if self.made >= self.limit { Err(RetryRefusal::Exhausted) } else { Ok(()) }
    }

    /// Number of attempts that count towards the limit: those started, except ones that were not sent.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Ends an attempt. Returns whether its answer, if any, is the one for the caller: the answer of a second
    /// attempt, and one that arrives after the outcome was reported, are discarded.
    pub fn end(&mut self, outcome: AttemptOutcome) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::NotSent => {
                // It reached no server, so it does not count towards the limit of attempts.
                self.made = self.made.saturating_sub(1);
                false
            }
            AttemptOutcome::Declined => false,
            AttemptOutcome::MayHaveRun => {
                self.may_have_run = true;
                false
            }
            AttemptOutcome::Answered => {
                let first = !self.answered && self.reported.is_none();
                self.answered = true;
                first
            }
        }
    }

    /// Returns the outcome to report to the caller; it is fixed by the first call.
    pub fn report(&mut self) -> Outcome {
        let outcome = self.outcome();
        *self.reported.get_or_insert(outcome)
    }

    /// The outcome if it were reported now.
    pub fn outcome(&self) -> Outcome {
        if self.answered {
            Outcome::Answered
        } else if self.may_have_run || self.in_flight > 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
