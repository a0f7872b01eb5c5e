//! Metrics of one class of one partner.

use std::sync::atomic::{AtomicU64, Ordering};

use hibiscusvale_core::ids::{ClassName, PartnerId};
use hibiscusvale_core::units::{Micros, Tokens};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter};
use serde::Serialize;

use crate::metrics::labeled_counters::{Label, LabelCount, LabeledCounters};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Bucket bounds in ms. They cover first-token targets from 0.1 s to summaries that may wait for minutes.
const FIRST_TOKEN_BOUNDS_MS: [f64; 14] = [
    10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0, 12_800.0, 25_600.0, 60_000.0,
    120_000.0,
];

/// Bucket bounds in ms, densest around the system's design target of 31 ms between tokens.
const PER_TOKEN_BOUNDS_MS: [f64; 12] =
    [2.0, 5.0, 10.0, 15.0, 20.0, 25.0, 31.0, 40.0, 60.0, 100.0, 250.0, 1_000.0];

/// Latency histograms. They are split by partner and not by class: 15 buckets for each of thousands of classes would
/// make each scrape several megabytes.
#[derive(Clone, Debug)]
pub(super) struct Histograms {
    first_token_ms: Histogram<f64>,
    per_token_ms: Histogram<f64>,
}

impl Histograms {
    pub(super) fn new(meter: &Meter) -> Self {
        Self {
            first_token_ms: meter
                .f64_histogram("hibiscusvale_first_token_ms")
                .with_boundaries(FIRST_TOKEN_BOUNDS_MS.to_vec())
                .build(),
            per_token_ms: meter
                .f64_histogram("hibiscusvale_per_token_ms")
                .with_boundaries(PER_TOKEN_BOUNDS_MS.to_vec())
                .build(),
        }
    }
}

/// Metrics of one class of one partner on this daemon.
#[derive(Debug)]
pub struct ClassMetrics {
    partner: PartnerId,
    class: ClassName,
    attributes: [KeyValue; 2],
    histograms: Histograms,
    pub(super) outcomes: LabeledCounters,
    pub(super) refusals: LabeledCounters,
    pub(super) retries: LabeledCounters,
    pub(super) wasted_prefill_tokens: LabeledCounters,
    goodput: AtomicU64,
    prefill_tokens: AtomicU64,
}

/// Snapshot of the counters of a class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ClassTotals {
    /// Partner that the class belongs to.
    pub partner: PartnerId,
    /// Name of the class.
    pub class: ClassName,
    /// Finished requests by outcome.
    pub outcomes: Vec<LabelCount>,
    /// Requests that met all their targets.
    pub goodput: u64,
    /// Refused requests by reason.
    pub refusals: Vec<LabelCount>,
    /// Retries by reason.
    pub retries: Vec<LabelCount>,
    /// Number of prefilled prompt tokens.
    pub prefill_tokens: Tokens,
    /// Prefilled tokens that were discarded or recomputed, by cause.
    pub wasted_prefill_tokens: Vec<LabelCount>,
}

impl ClassMetrics {
    pub(super) fn new(partner: &PartnerId, class: &ClassName, histograms: &Histograms) -> Self {
        Self {
            partner: partner.clone(),
            class: class.clone(),
            attributes: [
                KeyValue::new("partner", partner.to_string()),
                KeyValue::new("class", class.to_string()),
            ],
            histograms: histograms.clone(),
            outcomes: LabeledCounters::default(),
            refusals: LabeledCounters::default(),
            retries: LabeledCounters::default(),
            wasted_prefill_tokens: LabeledCounters::default(),
            goodput: AtomicU64::new(0),
            prefill_tokens: AtomicU64::new(0),
        }
    }

    pub(super) fn attributes(&self) -> &[KeyValue; 2] {
        &self.attributes
    }

    /// Counts a finished request.
    pub fn record_outcome<Outcome>(&self, outcome: Outcome)
    where
        Outcome: Label,
    {
        self.outcomes.add(outcome, 1);
    }

    /// Counts a refused request.
    pub fn record_refusal<Reason>(&self, reason: Reason)
    where
        Reason: Label,
    {
        self.refusals.add(reason, 1);
    }

    /// Counts a retry.
    pub fn record_retry<Reason>(&self, reason: Reason)
    where
        Reason: Label,
    {
        self.retries.add(reason, 1);
    }

    /// Counts a request that met all its targets.
    pub fn record_goodput(&self) {
        self.goodput.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts prefilled prompt tokens.
    pub fn record_prefill(&self, tokens: Tokens) {
        self.prefill_tokens.fetch_add(tokens.0, Ordering::Relaxed);
    }

    /// Counts prefilled tokens that were discarded or recomputed.
    pub fn record_wasted_prefill<Cause>(&self, cause: Cause, tokens: Tokens)
    where
        Cause: Label,
    {
        self.wasted_prefill_tokens.add(cause, tokens.0);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn record_first_token(&self, elapsed_us: Micros) {
        let [partner, _] = &self.attributes;
        let millis = elapsed_us.0 as f64 / MICROS_PER_MILLI;
        self.histograms.first_token_ms.record(millis, std::slice::from_ref(partner));
    }

    /// Records the mean time between a request's tokens.
    pub fn record_per_token(&self, elapsed_us: Micros) {
        let [partner, _] = &self.attributes;
        let millis = elapsed_us.0 as f64 / MICROS_PER_MILLI;
        self.histograms.per_token_ms.record(millis, std::slice::from_ref(partner));
    }

    /// Returns a snapshot of the counters.
    pub fn totals(&self) -> ClassTotals {
        ClassTotals {
            partner: self.partner.clone(),
            class: self.class.clone(),
            outcomes: self.outcomes.counts(),
            goodput: self.goodput.load(Ordering::Relaxed),
            refusals: self.refusals.counts(),
            retries: self.retries.counts(),
            prefill_tokens: Tokens(self.prefill_tokens.load(Ordering::Relaxed)),
            wasted_prefill_tokens: self.wasted_prefill_tokens.counts(),
        }
    }
}
