//! Conversions from the daemon's state to the views.

use hibiscusvale_core::config::{
    ClassTarget, ConfigState, HistoryEntry, LogView, PartnerConfig, RejectReason, TargetKind,
    UnattributedRecord, Verdict,
};
use hibiscusvale_core::ids::{HostId, PartnerId};
use hibiscusvale_core::membership::{Member, MemberState};
use hibiscusvale_core::units::{Bytes, Millis};

use super::{
    ChangeView, ClassOutcomes, ClassView, ConfigView, ControlView, CountView, LogStateView, MemberView,
    PartnerView, RequestView, StatusView, StepView, TargetView, UnattributedView, VerdictView,
};
use crate::metrics::{ClassTotals, Gauge, LabelCount};
use crate::operators::{OperatorSources, RequestRecord};

impl From<ClassTarget> for TargetView {
    fn from(target: ClassTarget) -> Self {
        match target.kind {
            TargetKind::Language { first_token_ms, per_token_ms } => {
                Self::Language { first_token_ms, per_token_ms }
            }
            TargetKind::Plain { response_ms } => Self::Plain { response_ms },
        }
    }
}

impl From<TargetView> for ClassTarget {
    fn from(view: TargetView) -> Self {
        match view {
            TargetView::Language { first_token_ms, per_token_ms } => {
                Self::language(first_token_ms, per_token_ms)
            }
            TargetView::Plain { response_ms } => Self::plain(response_ms),
        }
    }
}

impl From<&Verdict> for VerdictView {
    fn from(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Accepted => Self::Accepted,
            Verdict::Rejected(RejectReason::Duplicate { first }) => Self::Duplicate { first: *first },
            Verdict::Rejected(reason) => {
                Self::Rejected { reason: reason.as_str().to_owned(), detail: reason.to_string() }
            }
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
    /// View of `state`, limited to one partner when `filter` is given.
    pub fn new(host: &HostId, state: &ConfigState, filter: Option<&PartnerId>) -> Self {
        let partners = state.partners().filter(|(partner, _)| filter.is_none_or(|wanted| wanted == *partner));
        Self {
            host: host.clone(),
            is_known: state.is_known(),
            next_offset: state.next_offset(),
            partners: partners.map(|(partner, config)| PartnerView::new(partner, config)).collect(),
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
    /// Current status of the daemon.
    pub fn new(sources: &OperatorSources) -> Self {
        let status = **sources.config.status.load();
        let gauge = |gauge| sources.metrics.gauge(gauge);
        let state = format!("{:016x}", u64::from_be_bytes(status.state.0));
        Self {
            host: sources.host.id.clone(),
            data_centre: sources.host.data_centre.clone(),
            region: sources.host.region.clone(),
            incarnation: sources.incarnation.to_string(),
            ready: sources.readiness.state().as_str().to_owned(),
            next_offset: status.next_offset,
            state,
            log: status.log_view.into(),
            log_failure: status.log_failure.map(|failure| failure.to_string()),
            is_reader: status.is_reader,
            config_age_ms: Millis(gauge(Gauge::ConfigAgeMs)),
            checkpoint: status.checkpoint.map(|checkpoint| checkpoint.offset),
            hosts_live: sources.members.load().all().filter(|member| member.is_eligible()).count() as u64,
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
    let view = |count: LabelCount| CountView { label: count.label.to_owned(), count: count.count };
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
    /// View of a request that the daemon on `host` recorded.
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
