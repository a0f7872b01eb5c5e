//! JSON views of a daemon's state, shared by the operator API and its client.

mod convert;

use hibiscusvale_core::ids::{ClassName, DataCentreId, HostId, Offset, PartnerId, RegionId};
use hibiscusvale_core::units::{Bytes, Millis, Tokens};
use serde::{Deserialize, Serialize};

/// `/control/config`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigView {
    /// Host of the daemon.
    pub host: HostId,
    /// Whether the daemon has loaded a configuration.
    pub is_known: bool,
    /// First offset that is not in force.
    pub next_offset: Offset,
    /// Configuration and change history by partner.
    pub partners: Vec<PartnerView>,
    /// Most recent records that could not be attributed to a partner.
    pub unattributed: Vec<UnattributedView>,
}

/// Configuration of one partner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PartnerView {
    /// Name of the partner.
    pub partner: PartnerId,
    /// Offset of the last accepted change; `None` when there is none.
    pub version: Option<Offset>,
    /// Classes in force.
    pub classes: Vec<ClassView>,
    /// Most recent changes, oldest first.
    pub history: Vec<ChangeView>,
}

/// A class in force.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClassView {
    /// Name of the class.
    pub class: ClassName,
    /// Latency target.
    #[serde(flatten)]
    pub target: TargetView,
    /// Offset of the change that last set it.
    pub changed_at: Offset,
}

/// Latency target as written in class files and views.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum TargetView {
    /// Requests to language models.
    Language {
        /// Time from arrival to the first token.
        first_token_ms: Millis,
        /// Mean time between tokens of a request.
        per_token_ms: Millis,
    },
    /// Requests to plain services.
    Plain {
        /// Time from arrival to the complete response.
        response_ms: Millis,
    },
}

/// One configuration change of a partner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ChangeView {
    /// Offset of the record in the log.
    pub offset: Offset,
    /// Id of the change.
    pub change_id: String,
    /// Author of the change; `None` when the content could not be decoded.
    pub author: Option<String>,
    /// Creation time on the operator's clock, in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// Result of the change.
    pub verdict: VerdictView,
    /// Descriptions of the first few class changes in it.
    pub changes: Vec<String>,
    /// Total number of class changes in it.
    pub changes_total: u32,
}

/// Result of a configuration change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum VerdictView {
    /// The change is in force.
    Accepted,
    /// The same change was accepted earlier.
    Duplicate {
        /// Offset at which it was accepted.
        first: Offset,
    },
    /// The change was rejected and has no effect.
    Rejected {
        /// Identifier of the reason.
        reason: String,
        /// Description of the reason.
        detail: String,
    },
}

/// Record that could not be attributed to a partner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct UnattributedView {
    /// Offset of the record in the log.
    pub offset: Offset,
    /// Partner named in the record, unverified.
    pub claimed_publisher: Option<PartnerId>,
    /// Change id in the record, if any.
    pub change_id: Option<String>,
    /// Reason why it was rejected.
    pub reason: String,
}

/// `/control/status`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StatusView {
    /// Host of the daemon.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of the host.
    pub region: RegionId,
    /// Identifies the run of the daemon process.
    pub incarnation: String,
    /// Readiness, or the reason why callers are not accepted.
    pub ready: String,
    /// First configuration offset that is not in force.
    pub next_offset: Offset,
    /// Hash of the configuration in force; equal on all hosts at the same offset.
    pub state: String,
    /// State of the log at the last read by this daemon.
    pub log: LogStateView,
    /// Error of the last read of the log; `None` when it succeeded.
    pub log_failure: Option<String>,
    /// Whether this daemon reads the log itself.
    pub is_reader: bool,
    /// Time since the last update from the log or a peer, empty ones included.
    pub config_age_ms: Millis,
    /// Offset of the newest checkpoint seen in the log.
    pub checkpoint: Option<Offset>,
    /// Number of daemons known to be live.
    pub hosts_live: u64,
    /// Number of requests in flight.
    pub requests_in_flight: u64,
    /// Number of queued requests.
    pub requests_queued: u64,
    /// Resource usage of control in this daemon.
    pub control: ControlView,
}

/// State of the log relative to the configuration in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogStateView {
    /// The log is not read by this daemon.
    Unread,
    /// All records are in force.
    CaughtUp,
    /// Records remain to be read.
    Behind,
    /// Records expired before they were read.
    Gap,
    /// The log ends before the offset that is in force.
    Shorter,
}

/// Resource usage of control in a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ControlView {
    /// CPU time in millionths of a core.
    pub cpu_ppm: u64,
    /// Memory usage.
    pub memory_bytes: Bytes,
    /// Network send rate in bytes per second.
    pub sent_bytes_per_s: u64,
}

/// `/control/outcomes`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OutcomesView {
    /// Host of the daemon.
    pub host: HostId,
    /// Identifies the run of the daemon process; counts restart at zero with each run.
    pub incarnation: String,
    /// Counts per partner and class.
    pub classes: Vec<ClassOutcomes>,
}

/// Counts for one class.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClassOutcomes {
    /// Partner that the class belongs to.
    pub partner: PartnerId,
    /// Name of the class.
    pub class: ClassName,
    /// Requests that met all their targets.
    pub goodput: u64,
    /// Number of prefilled prompt tokens.
    pub prefill_tokens: Tokens,
    /// Finished requests by outcome.
    pub outcomes: Vec<CountView>,
    /// Refused requests by reason.
    pub refusals: Vec<CountView>,
    /// Retries by reason.
    pub retries: Vec<CountView>,
    /// Prefilled tokens that were discarded or recomputed, by cause.
    pub wasted_prefill_tokens: Vec<CountView>,
}

/// Count for one label.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CountView {
    /// Label that was counted.
    pub label: String,
    /// Number of events or units.
    pub count: u64,
}

/// `/control/why/REQUEST_ID`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestView {
    /// Host of the daemon.
    pub host: HostId,
    /// Id of the request.
    pub request_id: String,
    /// Partner that sent it; `None` when no token matched.
    pub partner: Option<PartnerId>,
    /// Class of the request; `None` when it could not be determined.
    pub class: Option<ClassName>,
    /// Label of the outcome.
    pub outcome: String,
    /// Refusal reason; `None` when the request was not refused.
    pub refusal: Option<String>,
    /// Arrival time on the wall clock, in milliseconds since the Unix epoch.
    pub came_at_unix_ms: u64,
    /// Time from arrival to completion.
    pub took_ms: Millis,
    /// Processing steps in order.
    pub steps: Vec<StepView>,
}

/// One processing step of a request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StepView {
    /// Time since arrival of the request.
    pub after_ms: Millis,
    /// Label of the action or its result.
    pub what: String,
    /// Backend server involved, if any.
    pub server: Option<String>,
}

/// `/control/members`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MembersListView {
    /// Host of the daemon that reports this view.
    pub host: HostId,
    /// Whether neighbouring daemons receive its messages.
    pub is_heard: bool,
    /// Daemons known to it.
    pub members: Vec<MemberView>,
}

/// State of one daemon as observed by another.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberView {
    /// Host of the daemon.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of the host.
    pub region: RegionId,
    /// Identifies the run of the daemon process.
    pub incarnation: String,
    /// Membership state.
    pub state: String,
}
