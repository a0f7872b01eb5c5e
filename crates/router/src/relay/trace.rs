//! Trace of one request, logged as one line when it has ended.

use std::fmt::{Display, Write as _};
use std::time::Duration;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::relay::reach::HelperCounts;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::{Bytes, Micros};

use super::refusal::Reason;
use crate::backend::{EndCheck, Framing};
use crate::metrics::Label as _;

/// A step of a request at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// An instance answered.
    Answered,
    /// An instance gave no usable answer.
    Failed(FailureCause),
    /// An engine made no reservation.
    ReserveFailed(FailureCause),
    /// An engine finished the prefill.
    Prefilled,
    /// An engine did not finish the prefill.
    PrefillFailed(FailureCause),
    /// An engine began to answer.
    Decoding,
    /// An engine did not begin to answer.
    DecodeFailed(FailureCause),
    /// An engine has sent nothing for a while; its state.
    Silent(&'static str),
    /// Another daemon answered.
    Forwarded,
    /// Another daemon did not answer.
    ForwardFailed(FailureCause),
    /// Another daemon refused.
    ForwardRefused(Reason),
}

impl Step {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered | Self::Failed(_) => "answer",
            Self::ReserveFailed(_) => "reserve",
            Self::Prefilled | Self::PrefillFailed(_) => "read",
            Self::Decoding | Self::DecodeFailed(_) => "write",
            Self::Silent(_) => "silence",
            Self::Forwarded | Self::ForwardFailed(_) | Self::ForwardRefused(_) => "forward",
        }
    }

    /// Whether a server answered, if only with a refusal, so that it was reached.
    fn shows_server(self) -> bool {
        match self {
            Self::Answered | Self::Prefilled | Self::Decoding => true,
            Self::Failed(cause)
            | Self::ReserveFailed(cause)
            | Self::PrefillFailed(cause)
            | Self::DecodeFailed(cause) => match cause {
                FailureCause::NoRoom | FailureCause::Leaving | FailureCause::Gone | FailureCause::Refused => {
                    true
                }
                FailureCause::NotSent
                | FailureCause::Held(_)
                | FailureCause::Timeout
                | FailureCause::Broken => false,
            },
            Self::Silent(_) | Self::Forwarded | Self::ForwardFailed(_) | Self::ForwardRefused(_) => false,
        }
    }

    /// Cause of the failure; empty for a success.
    pub fn cause(self) -> &'static str {
        match self {
            Self::Answered | Self::Prefilled | Self::Decoding | Self::Forwarded => "",
            Self::Failed(cause)
            | Self::ReserveFailed(cause)
            | Self::PrefillFailed(cause)
            | Self::DecodeFailed(cause)
            | Self::ForwardFailed(cause) => cause_label(cause),
            Self::Silent(state) => state,
            Self::ForwardRefused(reason) => reason.label(),
        }
    }
}

/// Maximum number of steps in a trace; more come only from a fault.
const STEPS_MAX: usize = 12;

/// Steps and outcome of a request.
#[derive(Debug, Default)]
pub struct RequestTrace {
    steps: usize,
    text: String,
    has_reached_server: bool,
    outcome: Option<&'static str>,
    first_event: Option<Duration>,
    /// Software versions of the engines that sent events, in order, separated by spaces.
    versions: String,
    last_event: u64,
    last_event_at: Option<Duration>,
    longest_pause: Duration,
    framing: Option<Framing>,
    end_check: Option<EndCheck>,
    partial_event: Bytes,
    helpers: HelperCounts,
    oldest_list: Micros,
    list_version: u64,
    sent: String,
    sent_count: usize,
}

/// A request, or a step towards it, that is sent to a server by a version of the server list.
#[derive(Clone, Copy, Debug)]
pub struct Sent<'a> {
    /// What is sent: `run`, `prefill`, `hold`.
    pub kind: &'static str,
    /// Its recipient.
    pub server: &'a BackendServerId,
    /// Version of the list.
    pub list_version: u64,
    /// Age of the list; `None` if unknown.
    pub list_age_us: Option<Micros>,
}

impl RequestTrace {
    /// Adds a step at a server or daemon that ended `at` after the request's arrival.
    pub fn record_step(&mut self, at: Duration, step: Step, peer: &dyn Display) {
        self.steps += 1;
        self.has_reached_server |= step.shows_server();
        if self.steps > STEPS_MAX {
            return;
        }
        let (what, cause) = (step.label(), step.cause());
        let gap = if self.text.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = write!(self.text, "{gap}{what}:{peer}:{cause}@{}", at.as_millis());
    }

    /// Records the first event sent to the caller.
    pub fn record_first_event(&mut self, at: Duration) {
        self.first_event.get_or_insert(at);
    }

    /// Records the id of the last event sent to the caller.
    pub fn record_event(&mut self, at: Duration, last: u64) {
        let pause = self.last_event_at.map_or(Duration::ZERO, |before| at.saturating_sub(before));
        self.longest_pause = self.longest_pause.max(pause);
        self.last_event_at = Some(at);
        self.last_event = last;
    }

    /// Records the software version of an engine that begins to send events.
    pub fn record_version(&mut self, version: &str) {
        if self.versions.rsplit(' ').next() != Some(version) {
            let gap = if self.versions.is_empty() { "" } else { " " };
            // Writing to a string cannot fail.
            let _ = write!(self.versions, "{gap}{version}");
        }
    }

    /// Software versions of the engines that sent events, in order, separated by spaces.
    pub fn versions(&self) -> &str {
        &self.versions
    }

    /// Longest time between two events.
    pub fn longest_pause_ms(&self) -> u64 {
        u64::try_from(self.longest_pause.as_millis()).unwrap_or(u64::MAX)
    }

    /// Id of the last event sent to the caller.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Records how the last answer of a server is delimited.
    pub fn record_framing(&mut self, framing: Framing) {
        self.framing = Some(framing);
    }

    /// Records how the end of an answer that is delimited by its connection was judged.
    pub fn record_end_check(&mut self, check: EndCheck) {
        self.end_check = Some(check);
    }

    /// How the end of the last answer that is delimited by its connection was judged; `None` if there was none.
    pub fn end_check(&self) -> Option<EndCheck> {
        self.end_check
    }

    /// Records the bytes that followed the last complete event when an answer ended.
    pub fn record_partial_event(&mut self, size: usize) {
        self.partial_event = Bytes(size as u64);
    }

    /// Records what was known of the daemons that could take the request.
    pub fn record_helpers(&mut self, helpers: HelperCounts) {
        self.helpers = helpers;
    }

    /// What was known of the daemons that could take the request, when it was last to be forwarded.
    pub fn helpers(&self) -> HelperCounts {
        self.helpers
    }

    /// Records what is sent to a server `at` after the request's arrival.
    pub fn record_sent(&mut self, at: Duration, sent: Sent<'_>) {
        let Sent { kind, server, list_version, list_age_us } = sent;
        let age_us = list_age_us.unwrap_or_default();
        self.oldest_list = self.oldest_list.max(age_us);
        self.list_version = list_version;
        self.sent_count += 1;
        if self.sent_count <= STEPS_MAX {
            let gap = if self.sent.is_empty() { "" } else { " " };
            let age = age_us.to_millis_ceil().0;
            // Writing to a string cannot fail.
            let _ = write!(self.sent, "{gap}{kind}:{server}:{list_version}:{age}@{}", at.as_millis());
        }
    }

    /// What was sent to servers, each as `KIND:SERVER:LIST_VERSION:LIST_AGE_MS@MS`.
    pub fn sent(&self) -> &str {
        &self.sent
    }

    /// Version of the server list by which it was last sent to a server; zero if it was sent to none.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Largest age of the server list by which it was sent to a server.
    pub fn oldest_list(&self) -> Micros {
        self.oldest_list
    }

    /// Label of the framing of the last answer; empty if no server answered.
    pub fn framing(&self) -> &'static str {
        self.framing.map_or("", Framing::label)
    }

    /// Bytes that followed the last complete event when an answer ended.
    pub fn partial_event_bytes(&self) -> Bytes {
        self.partial_event
    }

    /// Records the outcome; only the first call counts.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome.get_or_insert(outcome);
    }

    /// The outcome; without one, the caller left.
    pub fn outcome(&self) -> &'static str {
        self.outcome.unwrap_or("caller-left")
    }

    /// The steps as text: step, server, cause of failure, and milliseconds since the request's arrival.
    pub fn steps(&self) -> &str {
        &self.text
    }

    /// Whether a server answered one of its attempts, if only with a refusal.
    pub fn has_reached_server(&self) -> bool {
        self.has_reached_server
    }

    /// Time from arrival to the first event; `None` before it.
    pub fn first_event_ms(&self) -> Option<u64> {
        self.first_event.map(|at| u64::try_from(at.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Label of a failure cause in logs.
pub fn cause_label(cause: FailureCause) -> &'static str {
    match cause {
        FailureCause::NotSent => "not-sent",
        FailureCause::Held(reason) => reason.label(),
        FailureCause::Timeout => "timeout",
        FailureCause::Broken => "broken",
        FailureCause::NoRoom => "no-room",
        FailureCause::Leaving => "leaving",
        FailureCause::Gone => "gone",
        FailureCause::Refused => "refused",
    }
}
