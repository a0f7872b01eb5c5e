//! The JSON views of a daemon, as it writes and the client reads them.

mod convert;

use hibiscusvale_core::ids::{ClassName, DataCentreId, HostId, Offset, PartnerId, RegionId};
use hibiscusvale_core::units::{Bytes, Millis, Tokens};
use serde::{Deserialize, Serialize};

/// `/control/config`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigView {
    /// The daemon's host.
    pub host: HostId,
    /// Whether any configuration is known.
    pub is_known: bool,
    /// The first offset that is not in force.
    pub next_offset: Offset,
    /// What each partner has published, or tried to.
    pub partners: Vec<PartnerView>,
    /// The latest records that no partner can be shown to have made.
    pub unattributed: Vec<UnattributedView>,
}

/// What one partner has published.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PartnerView {
    /// The partner.
    pub partner: PartnerId,
    /// Offset of its last accepted change.
    pub version: Option<Offset>,
    /// Its classes in force.
    pub classes: Vec<ClassView>,
    /// Its latest changes, oldest first.
    pub history: Vec<ChangeView>,
}

/// A class in force.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClassView {
    /// Its name.
    pub class: ClassName,
    /// Its target.
    #[serde(flatten)]
    pub target: TargetView,
    /// The change that set it.
    pub changed_at: Offset,
}

/// A target, as class files and views write it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum TargetView {
    /// Language work.
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

/// One change of a partner.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ChangeView {
    /// Where the record stands.
    pub offset: Offset,
    /// Names the change.
    pub change_id: String,
    /// Who made it; absent where the content was not understood.
    pub author: Option<String>,
    /// When, by the operator's clock.
    pub made_at_unix_ms: u64,
    /// What came of it.
    pub verdict: VerdictView,
    /// The first few changes in it, in words.
    pub changes: Vec<String>,
    /// How many changes it holds.
    pub changes_total: u32,
}

/// What came of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum VerdictView {
    /// It came into force.
    Accepted,
    /// It had been accepted before, at the offset `first`.
    Duplicate {
        /// Where it was accepted.
        first: Offset,
    },
    /// It changed nothing.
    Rejected {
        /// The reason's name.
        reason: String,
        /// The reason in words.
        detail: String,
    },
}

/// A record that no partner can be shown to have made.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct UnattributedView {
    /// Where the record stands.
    pub offset: Offset,
    /// The partner that it claims to come from.
    pub claimed_publisher: Option<PartnerId>,
    /// The change id that it carries.
    pub change_id: Option<String>,
    /// Why it changed nothing.
    pub reason: String,
}

/// `/control/status`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StatusView {
    /// The daemon's host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Its life.
    pub incarnation: String,
    /// Whether callers are served, or why not.
    pub ready: String,
    /// The first configuration offset that is not in force.
    pub next_offset: Offset,
    /// Hash of what is in force: the same on all hosts at one offset.
    pub state: String,
    /// The log, as last read here.
    pub log: LogStateView,
    /// Why the log could not be read last, if it could not.
    pub log_failure: Option<String>,
    /// Whether this daemon reads the log itself.
    pub is_reader: bool,
    /// Time since the log or a peer brought something, or said that there is nothing.
    pub config_age_ms: Millis,
    /// Offset of the newest checkpoint seen in the log.
    pub checkpoint: Option<Offset>,
    /// Daemons known to live.
    pub hosts_live: u64,
    /// Requests that are running.
    pub requests_in_flight: u64,
    /// Requests that wait.
    pub requests_queued: u64,
    /// What control costs this daemon.
    pub control: ControlView,
}

/// The log, as a daemon sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogStateView {
    /// Not read here.
    Unread,
    /// All of it is in force.
    CaughtUp,
    /// There is more to read.
    Behind,
    /// Records expired before they were read.
    Gap,
    /// It ends before what is in force.
    Shorter,
}

/// What control costs a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ControlView {
    /// Processor time, in millionths of a core.
    pub cpu_ppm: u64,
    /// Memory.
    pub memory_bytes: Bytes,
    /// Bytes sent a second.
    pub sent_bytes_per_s: u64,
}

/// `/control/outcomes`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OutcomesView {
    /// The daemon's host.
    pub host: HostId,
    /// Its life: counts begin anew with each.
    pub incarnation: String,
    /// Counts by partner and class.
    pub classes: Vec<ClassOutcomes>,
}

/// Counts of one class.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClassOutcomes {
    /// Whose class.
    pub partner: PartnerId,
    /// The class.
    pub class: ClassName,
    /// Requests that met all their targets.
    pub goodput: u64,
    /// Prompt tokens that were prefilled.
    pub prefill_tokens: Tokens,
    /// Finished requests by outcome.
    pub outcomes: Vec<CountView>,
    /// Refused requests by reason.
    pub refusals: Vec<CountView>,
    /// Further tries by reason.
    pub retries: Vec<CountView>,
    /// Prefilled tokens that were thrown away or done again, by cause.
    pub wasted_prefill_tokens: Vec<CountView>,
}

/// A count with its label.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CountView {
    /// What was counted.
    pub label: String,
    /// How often, or how much.
    pub count: u64,
}

/// `/control/why/REQUEST_ID`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RequestView {
    /// The daemon's host.
    pub host: HostId,
    /// The request.
    pub request_id: String,
    /// Whose it was.
    pub partner: Option<PartnerId>,
    /// Its class.
    pub class: Option<ClassName>,
    /// How it ended.
    pub outcome: String,
    /// Why it was refused, if it was.
    pub refusal: Option<String>,
    /// When it came.
    pub came_at_unix_ms: u64,
    /// How long it took.
    pub took_ms: Millis,
    /// What was done for it.
    pub steps: Vec<StepView>,
}

/// One step of a request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StepView {
    /// Time since the request came.
    pub after_ms: Millis,
    /// What was done.
    pub what: String,
    /// Where.
    pub server: Option<String>,
}

/// `/control/members`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MembersListView {
    /// The daemon that sees it so.
    pub host: HostId,
    /// Whether its neighbours hear it.
    pub is_heard: bool,
    /// The daemons that it knows.
    pub members: Vec<MemberView>,
}

/// One daemon as another sees it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberView {
    /// Its host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Its life.
    pub incarnation: String,
    /// Whether it lives.
    pub state: String,
}
