//! Statistics of one flow.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::answer::{Flaw, Outcome};
use crate::load::audit::Audit;
use crate::load::caller::Record;
use crate::load::settings::{Flow, FlowKind};

/// Prefix of the problem types of refusals.
const REFUSAL_PREFIX: &str = "urn:hibiscusvale:refusal:";

/// Reasons of refusals that no retry can resolve.
const WRONG_REQUEST: [&str; 7] = [
    "bad-body",
    "bad-header",
    "no-route",
    "unauthenticated",
    "unknown-class",
    "unknown-model",
    "wrong-class",
];

/// Precision of the histograms; the table shows no more digits.
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
}

/// Outcomes and latency of the requests of one flow.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FlowStats {
    /// The partner.
    pub partner: String,
    /// The class.
    pub class: String,
    /// Requests sent, without retries.
    pub sent: usize,
    /// Calls made, including retries.
    pub calls: usize,
    /// Requests answered completely.
    pub answered: usize,
    /// Requests reported as not executed.
    pub not_run: usize,
    /// Requests whose execution is uncertain.
    pub unknown: usize,
    /// Requests whose callers disconnected.
    pub left: usize,
    /// Requests without a true outcome.
    pub lost: usize,
    /// Requests executed more than once, or executed although reported as not run.
    pub doubled: usize,
    /// Lost requests by cause.
    pub flaws: BTreeMap<Flaw, usize>,
    /// Refusals over all calls, by type.
    pub refusals: BTreeMap<String, usize>,
    /// Requests answered within their targets.
    pub goodput: usize,
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Prefilled tokens that were discarded or repeated.
    pub wasted_prefill_tokens: u64,
    /// Time to the first token, or to the complete plain answer.
    pub first_token: Percentiles,
    /// Mean time between tokens.
    pub per_token: Percentiles,
}

#[derive(Debug)]
struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    fn new() -> Self {
        Self(Histogram::new(SIGNIFICANT_DIGITS).expect("the precision is valid"))
    }

    fn record(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.0.record(micros).expect("the histogram resizes automatically");
    }

    fn times(&self) -> Percentiles {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Percentiles { p50_ms: at(0.5), p95_ms: at(0.95) }
    }
}

impl FlowStats {
    /// Evaluates the `records` of `flow` against the audit.
    pub fn count<'a, R>(flow: &Flow, records: R, audit: &Audit) -> Self
    where
        R: Iterator<Item = &'a Record>,
    {
        let mut flow_stats =
            Self { partner: flow.partner.clone(), class: flow.class.clone(), ..Self::default() };
        let mut first_token = LatencyHistogram::new();
        let mut per_token = LatencyHistogram::new();
        for record in records {
            flow_stats.add(flow, record, audit);
            if record.outcome() != Outcome::Answered {
                continue;
            }
            let spans = AnswerLatency::of(record);
            first_token.record(spans.first);
            per_token.record(spans.per_token);
            flow_stats.goodput += usize::from(spans.within_targets(flow));
        }
        flow_stats.first_token = first_token.times();
        flow_stats.per_token = per_token.times();
        flow_stats
    }

    /// Whether a call was refused for what the plan says of it: the daemons or the plan have the wrong configuration.
    pub fn is_refused_as_wrong(&self) -> bool {
        self.refusals.keys().any(|kind| {
            kind.strip_prefix(REFUSAL_PREFIX).is_some_and(|reason| WRONG_REQUEST.contains(&reason))
        })
    }

    fn add(&mut self, flow: &Flow, record: &Record, audit: &Audit) {
        self.sent += 1;
        self.calls += record.calls.len();
        let mut outcome = record.outcome();
        if flow.kind == FlowKind::Once {
            outcome = self.check_ledger(record, outcome, audit);
        }
        match outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Left => self.left += 1,
            Outcome::Lost(cause) => {
                self.lost += 1;
                *self.flaws.entry(cause).or_default() += 1;
            }
        }
        for refusal in record.calls.iter().filter_map(|call| call.refusal.as_ref()) {
            *self.refusals.entry(refusal.clone()).or_default() += 1;
        }
        self.add_prefill(record, audit);
    }

    /// Checks a reported outcome against the ledgers, which are authoritative. An answer without an execution is
    /// wrong, too.
    fn check_ledger(&mut self, record: &Record, outcome: Outcome, audit: &Audit) -> Outcome {
        let runs = audit.executions_by_key.get(&record.planned.name).copied().unwrap_or_default();
        let not_run = record.calls.iter().filter(|call| call.outcome == Outcome::NotRun);
        let mut rejected = not_run.filter_map(|call| call.request_id.as_ref());
        let rejected_but_executed = rejected.any(|id| audit.executed_requests.contains(id));
        let not_run_but_executed = outcome == Outcome::NotRun && runs > 0;
        self.doubled += usize::from(runs > 1 || rejected_but_executed || not_run_but_executed);
        if outcome == Outcome::Answered && runs == 0 {
            return Outcome::Lost(Flaw::Wrong);
        }
        outcome
    }

    fn add_prefill(&mut self, record: &Record, audit: &Audit) {
        for call in &record.calls {
            let Some(request_id) = &call.request_id else {
                continue;
            };
            let work = audit.prefill_work(request_id);
            let used = if call.outcome == Outcome::Answered { work.used_tokens } else { 0 };
            self.prefill_tokens += work.tokens;
            self.wasted_prefill_tokens += work.tokens - used;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct AnswerLatency {
    first: Duration,
    per_token: Duration,
}

impl AnswerLatency {
    /// Measures from the first send, so that the time of retries is included.
    fn of(record: &Record) -> Self {
        let answered = record.calls.iter().find(|call| call.outcome == Outcome::Answered);
        let first_at = answered.and_then(|call| call.first_at).unwrap_or(record.sent_at);
        let last_at = answered.and_then(|call| call.last_at).unwrap_or(first_at);
        let gaps = u32::try_from(record.planned.answer_tokens).unwrap_or(u32::MAX).saturating_sub(1);
        Self { first: first_at - record.sent_at, per_token: (last_at - first_at) / gaps.max(1) }
    }

    fn within_targets(&self, flow: &Flow) -> bool {
        self.first <= Duration::from_millis(flow.first_token_target_ms)
            && self.per_token <= Duration::from_millis(flow.per_token_target_ms)
    }
}
