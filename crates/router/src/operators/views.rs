//! The JSON views of a daemon, as it writes and the client reads them.

use hibiscusvale_core::config::{
    ClassTarget, ConfigState, HistoryEntry, LogView, PartnerConfig, TargetKind, UnattributedRecord, Verdict,
};
use hibiscusvale_core::ids::{ClassName, DataCentreId, HostId, Offset, PartnerId, RegionId};
use hibiscusvale_core::membership::{Member, MemberState};
use hibiscusvale_core::units::{Bytes, Millis, Tokens};
use serde::{Deserialize, Serialize};

use crate::metrics::{ClassTotals, Gauge, LabelCount};
use crate::operators::{OperatorsParts, RequestRecord};

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

impl From<ClassTarget> for TargetView {
    fn from(target: ClassTarget) -> Self {
        match target.kind {
            TargetKind::Language {
                first_token_ms,
                per_token_ms,
            } => Self::Language {
                first_token_ms,
                per_token_ms,
            },
            TargetKind::Plain { response_ms } => Self::Plain { response_ms },
        }
    }
}

impl From<TargetView> for ClassTarget {
    fn from(view: TargetView) -> Self {
        match view {
            TargetView::Language {
                first_token_ms,
                per_token_ms,
            } => Self::language(first_token_ms, per_token_ms),
            TargetView::Plain { response_ms } => Self::plain(response_ms),
        }
    }
}

impl From<&Verdict> for VerdictView {
    fn from(verdict: &Verdict) -> Self {
        use hibiscusvale_core::config::RejectReason;
        match verdict {
            Verdict::Accepted => Self::Accepted,
            Verdict::Rejected(RejectReason::Duplicate { first }) => Self::Duplicate { first: *first },
            Verdict::Rejected(reason) => Self::Rejected {
                reason: reason.as_str().to_owned(),
                detail: reason.to_string(),
            },
        }
    }
}

impl From<&HistoryEntry> for ChangeView {
    fn from(entry: &HistoryEntry) -> Self {
        Self {
            offset: entry.offset,
            change_id: entry.change_id.to_string(),
            author: entry.author.as_ref().map(ToString::to_string),
            made_at_unix_ms: entry.made_at_unix_ms,
            verdict: VerdictView::from(&entry.verdict),
            changes: entry.changes.iter().map(ToString::to_string).collect(),
            changes_total: entry.changes_total,
        }
    }
}

impl From<&UnattributedRecord> for UnattributedView {
    fn from(record: &UnattributedRecord) -> Self {
        Self {
            offset: record.offset,
            claimed_publisher: record.claimed_publisher.clone(),
            change_id: record.change_id.map(|id| id.to_string()),
            reason: record.reason.to_string(),
        }
    }
}

impl PartnerView {
    fn new(partner: &PartnerId, config: &PartnerConfig) -> Self {
        let classes = config.classes().map(|(class, published)| ClassView {
            class: class.clone(),
            target: published.target.into(),
            changed_at: published.changed_at,
        });
        Self {
            partner: partner.clone(),
            version: config.version(),
            classes: classes.collect(),
            history: config.history().map(ChangeView::from).collect(),
        }
    }
}

impl ConfigView {
    /// What `state` holds, of all partners or of one.
    pub fn new(host: &HostId, state: &ConfigState, only: Option<&PartnerId>) -> Self {
        let partners = state
            .partners()
            .filter(|(partner, _)| only.is_none_or(|only| only == *partner));
        Self {
            host: host.clone(),
            is_known: state.is_known(),
            next_offset: state.next_offset(),
            partners: partners
                .map(|(partner, config)| PartnerView::new(partner, config))
                .collect(),
            unattributed: state.unattributed().map(UnattributedView::from).collect(),
        }
    }
}

impl From<LogView> for LogStateView {
    fn from(view: LogView) -> Self {
        match view {
            LogView::Unread => Self::Unread,
            LogView::CaughtUp => Self::CaughtUp,
            LogView::Behind => Self::Behind,
            LogView::Gap => Self::Gap,
            LogView::Shorter => Self::Shorter,
        }
    }
}

impl StatusView {
    /// How a daemon stands.
    pub fn new(parts: &OperatorsParts) -> Self {
        let status = **parts.config.status.load();
        let gauge = |gauge| parts.metrics.gauge(gauge);
        let state = format!("{:016x}", u64::from_be_bytes(status.state.0));
        Self {
            host: parts.host.id.clone(),
            data_centre: parts.host.data_centre.clone(),
            region: parts.host.region.clone(),
            incarnation: parts.incarnation.to_string(),
            ready: parts.readiness.state().as_str().to_owned(),
            next_offset: status.next_offset,
            state,
            log: status.log_view.into(),
            log_failure: status.log_failure.map(|failure| failure.to_string()),
            is_reader: status.is_reader,
            config_age_ms: Millis(gauge(Gauge::ConfigAgeMs)),
            checkpoint: status.checkpoint.map(|checkpoint| checkpoint.offset),
            hosts_live: parts
                .members
                .load()
                .all()
                .filter(|member| member.is_eligible())
                .count() as u64,
            requests_in_flight: gauge(Gauge::RequestsInFlight),
            requests_queued: gauge(Gauge::RequestsQueued),
            control: ControlView {
                cpu_ppm: gauge(Gauge::ControlCpuPpm),
                memory_bytes: Bytes(gauge(Gauge::ControlMemoryBytes)),
                sent_bytes_per_s: gauge(Gauge::ControlSentBytesPerS),
            },
        }
    }
}

fn counts(counts: Vec<LabelCount>) -> Vec<CountView> {
    let view = |count: LabelCount| CountView {
        label: count.label.to_owned(),
        count: count.count,
    };
    counts.into_iter().map(view).collect()
}

impl From<ClassTotals> for ClassOutcomes {
    fn from(totals: ClassTotals) -> Self {
        Self {
            partner: totals.partner,
            class: totals.class,
            goodput: totals.goodput,
            prefill_tokens: totals.prefill_tokens,
            outcomes: counts(totals.outcomes),
            refusals: counts(totals.refusals),
            retries: counts(totals.retries),
            wasted_prefill_tokens: counts(totals.wasted_prefill_tokens),
        }
    }
}

impl RequestView {
    /// What the daemon on `host` knows of a request.
    pub fn new(host: &HostId, record: &RequestRecord) -> Self {
        let steps = record.steps.iter().map(|step| StepView {
            after_ms: step.after_ms,
            what: step.what.to_owned(),
            server: step.server.as_ref().map(ToString::to_string),
        });
        Self {
            host: host.clone(),
            request_id: record.request_id.to_string(),
            partner: record.partner.clone(),
            class: record.class.clone(),
            outcome: record.outcome.to_owned(),
            refusal: record.refusal.map(ToOwned::to_owned),
            came_at_unix_ms: record.came_at_unix_ms,
            took_ms: record.took_ms,
            steps: steps.collect(),
        }
    }
}

impl From<&Member> for MemberView {
    fn from(member: &Member) -> Self {
        let state = match member.state {
            MemberState::Live => "live",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Unreachable => "unreachable",
        };
        Self {
            host: member.host.clone(),
            data_centre: member.data_centre.clone(),
            region: member.region.clone(),
            incarnation: member.incarnation.to_string(),
            state: state.to_owned(),
        }
    }
}
