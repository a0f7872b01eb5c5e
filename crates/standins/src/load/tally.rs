//! Counts of one partner's class.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::answer::{Flaw, Outcome};
use crate::load::audit::Audit;
use crate::load::caller::Record;
use crate::load::settings::{Flow, FlowKind};

/// Three digits are enough for a table.
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Half and nineteen in twenty of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
}

/// What came of the requests of one flow.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// The partner.
    pub partner: String,
    /// The class.
    pub class: String,
    /// Requests sent, however often each was called.
    pub sent: usize,
    /// Calls made for them.
    pub calls: usize,
    /// Answered whole.
    pub answered: usize,
    /// Said not to have run.
    pub not_run: usize,
    /// Of which nobody can say.
    pub unknown: usize,
    /// Whose callers went away.
    pub left: usize,
    /// Without a true outcome.
    pub lost: usize,
    /// Run more than once, or run although said not to have.
    pub doubled: usize,
    /// Lost ones by flaw.
    pub flaws: BTreeMap<Flaw, usize>,
    /// Refusals over all calls, by type.
    pub refusals: BTreeMap<String, usize>,
    /// Answered within their targets.
    pub goodput: usize,
    /// Prompt tokens read for them.
    pub prefill_tokens: u64,
    /// The part of these that was thrown away or done again.
    pub wasted_prefill_tokens: u64,
    /// Time to the first token, or to the whole plain answer.
    pub first_token: Times,
    /// Mean time between tokens.
    pub per_token: Times,
}

#[derive(Debug)]
struct Spans(Histogram<u64>);

impl Spans {
    fn new() -> Self {
        Self(Histogram::new(SIGNIFICANT_DIGITS).expect("a constant that the library allows"))
    }

    fn record(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.0.record(micros).expect("the histogram grows with what it records");
    }

    fn times(&self) -> Times {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Times { p50_ms: at(0.5), p95_ms: at(0.95) }
    }
}

impl Tally {
    /// Counts the `records` of `flow` against the stand-ins' accounts.
    pub fn count<'a, R>(flow: &Flow, records: R, audit: &Audit) -> Self
    where
        R: Iterator<Item = &'a Record>,
    {
        let mut tally = Self { partner: flow.partner.clone(), class: flow.class.clone(), ..Self::default() };
        let mut first_token = Spans::new();
        let mut per_token = Spans::new();
        for record in records {
            tally.add(flow, record, audit);
            if record.outcome() != Outcome::Answered {
                continue;
            }
            let spans = AnswerSpans::of(record);
            first_token.record(spans.first);
            per_token.record(spans.per_token);
            tally.goodput += usize::from(spans.within_targets(flow));
        }
        tally.first_token = first_token.times();
        tally.per_token = per_token.times();
        tally
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

    /// The ledgers decide what really ran. An answer without an execution is not true either.
    fn check_ledger(&mut self, record: &Record, outcome: Outcome, audit: &Audit) -> Outcome {
        let runs = audit.runs_by_key.get(&record.planned.name).copied().unwrap_or_default();
        let not_run = record.calls.iter().filter(|call| call.outcome == Outcome::NotRun);
        let mut denied = not_run.filter_map(|call| call.request_id.as_ref());
        let denied_but_ran = denied.any(|id| audit.ran_requests.contains(id));
        let never_but_ran = outcome == Outcome::NotRun && runs > 0;
        self.doubled += usize::from(runs > 1 || denied_but_ran || never_but_ran);
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
            let work = audit.work_of(request_id);
            let used = if call.outcome == Outcome::Answered { work.used_tokens } else { 0 };
            self.prefill_tokens += work.tokens;
            self.wasted_prefill_tokens += work.tokens - used;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct AnswerSpans {
    first: Duration,
    per_token: Duration,
}

impl AnswerSpans {
    /// From the first sending on: a caller who had to call twice waited for both.
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
