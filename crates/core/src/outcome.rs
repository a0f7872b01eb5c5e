//! The outcome of a request, and when each may be said.
//!
//! There are three outcomes and no fourth. "Not run" is a promise: callers repeat a booking on it. So it is
//! said only on proof over all attempts, and whatever may have reached a server is unknown until it answers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A server ran it and the caller has the whole answer.
    Answered,
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The outcome as headers and problem documents have it.
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
    /// Running it again does no harm.
    Repeatable,
    /// It runs at most once.
    AtMostOnce,
}

/// How one attempt at a server ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptEnd {
    /// No byte of it was written: the connection was refused or could not be made.
    NotSent,
    /// The server said in so many words that it did not run it: leaving, or no room.
    Declined,
    /// The server's whole answer arrived.
    Answered,
    /// A byte may have been written and no whole answer came: reset, timeout, a broken answer. Also the end of
    /// an attempt that was handed to another daemon which has not said that it will not run it.
    MayHaveRun,
}

/// Why another attempt may not be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoRetry {
    /// An earlier attempt may have run a request that runs at most once.
    #[error("an earlier attempt may have run")]
    MayHaveRun,
    /// All attempts that the request is allowed were made.
    #[error("all attempts were made")]
    Exhausted,
    /// The caller has been told the outcome.
    #[error("the outcome was reported")]
    Reported,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    repeatability: Repeatability,
    limit: u32,
    made: u32,
    under_way: u32,
    may_have_run: bool,
    answered: bool,
    reported: Option<Outcome>,
}

impl Attempts {
    /// A request that may be tried `limit` times, if proof allows it.
    pub fn new(repeatability: Repeatability, limit: u32) -> Self {
        Self {
            repeatability,
            limit,
            made: 0,
            under_way: 0,
            may_have_run: false,
            answered: false,
            reported: None,
        }
    }

    /// Begins another attempt. An attempt under way counts as one that may have run.
    ///
    /// # Errors
    ///
    /// [`NoRetry`].
    pub fn begin(&mut self) -> Result<(), NoRetry> {
        self.may_begin()?;
        self.made += 1;
        self.under_way += 1;
        Ok(())
    }

    /// Whether another attempt may begin.
    ///
    /// # Errors
    ///
    /// [`NoRetry`].
    pub fn may_begin(&self) -> Result<(), NoRetry> {
        if self.reported.is_some() {
            return Err(NoRetry::Reported);
        }
        let may_have_run = self.may_have_run || self.answered || self.under_way > 0;
        if self.repeatability == Repeatability::AtMostOnce && may_have_run {
            return Err(NoRetry::MayHaveRun);
        }
        if self.made >= self.limit { Err(NoRetry::Exhausted) } else { Ok(()) }
    }

    /// Attempts begun so far.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Ends an attempt. Returns whether its answer, if it brought one, is the one for the caller: that of a
    /// second attempt, or one that comes after the outcome was told, goes nowhere.
    pub fn end(&mut self, end: AttemptEnd) -> bool {
        self.under_way = self.under_way.saturating_sub(1);
        match end {
            AttemptEnd::NotSent => {
                // It reached no server, so it does not count among those that the request may be sent to.
                self.made = self.made.saturating_sub(1);
                false
            }
            AttemptEnd::Declined => false,
            AttemptEnd::MayHaveRun => {
                self.may_have_run = true;
                false
            }
            AttemptEnd::Answered => {
                let first = !self.answered && self.reported.is_none();
                self.answered = true;
                first
            }
        }
    }

    /// The outcome to tell the caller now. It does not change once it was told.
    pub fn report(&mut self) -> Outcome {
        let outcome = self.outcome();
        *self.reported.get_or_insert(outcome)
    }

    /// The outcome as it stands, should the caller be told now.
    pub fn outcome(&self) -> Outcome {
        if self.answered {
            Outcome::Answered
        } else if self.may_have_run || self.under_way > 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
