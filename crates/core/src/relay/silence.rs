//! How long the silence of an engine in the middle of a stream is awaited.
//!
//! An engine that is short of memory pauses its newest streams and goes on with them once there is room. A stream that
//! is resumed elsewhere in the meantime is decoded by two engines if the first one does not notice the close, and is lost if
//! no further attempt is allowed. A connection that a middlebox has dropped is just as silent, and its stream has to be
//! resumed before the caller leaves. The report of the engine distinguishes the two where it can.

use crate::units::Millis;

/// Silence after which an engine is asked for its state: several times the longest pause that meets the targets.
pub const ASK_AFTER_MS: Millis = Millis(1_000);

/// Silence after which a stream is resumed at another engine unless its engine may have paused it.
const RESUME_AFTER_MS: Millis = Millis(1_900);

/// Shortest silence after which callers leave.
const CALLERS_LEAVE_MS: Millis = Millis(2_000);

/// Callers leave after this multiple of the first-event target at the earliest.
const TARGET_FACTOR: u64 = 4;

/// Callers leave after this multiple of the longest pause that meets the targets at the earliest.
const GAP_FACTOR: u64 = 8;

/// Time before callers leave at which a stream is resumed in any case.
const RESUME_LEAD_MS: Millis = Millis(100);

/// What an engine reports of a request that it works on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedRun {
    /// Number of the last event that it has made; `None` if the report does not list the request.
    pub last_event: Option<u64>,
    /// Whether the engine may hold the request although it is not listed, as one that waits.
    pub may_wait: bool,
}

/// State of an engine that sends nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilentEngine {
    /// Its host accepts no connection.
    Unreachable,
    /// It accepts connections and gave no report.
    NoReport,
    /// It reported.
    Reported(ReportedRun),
}

impl SilentEngine {
    /// Whether it may have paused the stream after event `last_event`, and will go on with it.
    fn may_have_paused(self, last_event: u64) -> bool {
        match self {
            Self::Unreachable | Self::NoReport => false,
            // Further events were made and do not arrive: the connection is lost.
            Self::Reported(ReportedRun { last_event: Some(made), .. }) => made <= last_event,
            Self::Reported(ReportedRun { last_event: None, may_wait }) => may_wait,
        }
    }

    /// Label in logs.
    pub fn label(self, last_event: u64) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoReport => "no-report",
            Self::Reported(_) if self.may_have_paused(last_event) => "paused",
            Self::Reported(_) => "connection-lost",
        }
    }

    /// Silence after event `last_event` up to which the engine is awaited, from the last bytes on.
    ///
    /// `target_ms` is the target of the first event and `gap_target_ms` the longest pause that meets the targets.
    pub fn awaited_ms(self, last_event: u64, target_ms: Millis, gap_target_ms: Option<Millis>) -> Millis {
        match self {
            Self::Unreachable => Millis(0),
            _ if self.may_have_paused(last_event) => {
                let leave_ms = callers_leave_ms(target_ms, gap_target_ms);
                Millis(leave_ms.0 - RESUME_LEAD_MS.0).max(RESUME_AFTER_MS)
            }
            Self::NoReport | Self::Reported(_) => RESUME_AFTER_MS,
        }
    }
}

/// Silence after which callers leave at the earliest.
pub fn callers_leave_ms(target_ms: Millis, gap_target_ms: Option<Millis>) -> Millis {
    let by_target = Millis(target_ms.0.saturating_mul(TARGET_FACTOR));
    let by_gap = Millis(gap_target_ms.unwrap_or_default().0.saturating_mul(GAP_FACTOR));
    CALLERS_LEAVE_MS.max(by_target).max(by_gap)
}

/// Time after which a stream is resumed elsewhere whose engine sends comments and no events. It leaves the other engine the
/// target of a first event before callers leave.
pub fn without_events_ms(target_ms: Millis, gap_target_ms: Option<Millis>) -> Millis {
    Millis(callers_leave_ms(target_ms, gap_target_ms).0.saturating_sub(target_ms.0)).max(RESUME_AFTER_MS)
}
