//! Statistics of recent requests, answers and engines.
//!
//! Daemons exchange what they observe. Alone, one of 87 daemons sees a prompt every two seconds and would
//! take twenty to learn what all of them learn in a fraction of a second.

use serde::{Deserialize, Serialize};

use super::ratio::Ratio;
use crate::units::{Micros, Millis, MonoTime, Tokens};

/// Half-life of observations: short enough to follow traffic that turns from long prompts to long answers.
const HALF_LIFE_MS: Millis = Millis(5_000);

/// Number of prompts at or below which observations do not decay: with little traffic, old figures are better
/// than none.
const DECAY_MIN_PROMPTS: f64 = 16.0;

/// Tokens that an engine decodes per millisecond for one request, until observed. At the upper end, so that
/// occupied memory does not count as free meanwhile.
const INITIAL_DECODE_RATE: f64 = 1.7;

/// Squared relative error of expected answer lengths, until observed: answers miss by half of the length.
/// Weighs as many answers as end on one decode engine in some seconds.
const INITIAL_LENGTH_ERROR: Ratio = Ratio::prior(0.25, 8.0);

/// Prompt tokens per millisecond on a prefill engine, until observed. Weighs as much as four prompts of 100
/// ms.
const INITIAL_PREFILL_RATE: Ratio = Ratio::prior(50.0, 400.0);

/// Prompt tokens per millisecond on a decode engine, until observed: half of the rate of a prefill engine.
/// Weighs as much as four prompts of 200 ms.
const INITIAL_DECODE_ENGINE_PREFILL_RATE: Ratio = Ratio::prior(25.0, 800.0);

/// Until observed, answers are assumed to stall for the whole time that their decode engine prefills. Weighs
/// as much as four prompts of 200 ms, by their squares.
const INITIAL_STALL: Ratio = Ratio::prior(1.0, 160_000.0);

/// Upper bound of the squared error of one answer: one that is ten times longer than expected says little
/// about the others.
const LENGTH_ERROR_MAX: f64 = 4.0;

/// Means over recent requests, weighted by age.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkloadStats {
    /// Tokens of a prompt.
    prompt: Ratio,
    /// Tokens of the answer that the callers of those prompts expect.
    hinted: Ratio,
    /// Tokens of an answer that ended.
    answer: Ratio,
    /// Time for which a request that ended held memory on a decode engine.
    held_ms: Ratio,
    /// Squared relative error of the expected length of an answer that ended.
    length_error: Ratio,
    /// Tokens per millisecond by which a running answer grows.
    decode_rate: Ratio,
    /// Prompt tokens per millisecond on a prefill engine.
    prefill_rate: Ratio,
    /// Prompt tokens per millisecond on a decode engine, between the steps of its answers.
    decode_engine_prefill_rate: Ratio,
    /// Fraction of the time of a prefill on a decode engine for which one of its answers stalls.
    stall: Ratio,
}

impl WorkloadStats {
    pub(super) fn record_prompt(&mut self, prompt: Tokens, hinted: Tokens) {
        self.prompt.record(prompt.0 as f64, 1.0);
        self.hinted.record(hinted.0 as f64, 1.0);
    }

    /// Records an answer that ended, and the length that was expected.
    pub(super) fn record_answer(&mut self, answer: Tokens, expected: Tokens, held_us: Micros) {
        self.answer.record(answer.0 as f64, 1.0);
        self.held_ms.record(millis(held_us), 1.0);
        let length_error = (answer.0 as f64 - expected.0 as f64) / (expected.0 as f64).max(1.0);
        self.length_error.record(length_error.powi(2).min(LENGTH_ERROR_MAX), 1.0);
    }

    /// Records the growth of a running answer.
    pub(super) fn record_decoded(&mut self, tokens: Tokens, span_us: Micros) {
        self.decode_rate.record(tokens.0 as f64, millis(span_us));
    }

    /// Records the duration of a prefill on a prefill engine with no other backlog.
    pub(super) fn record_prefill(&mut self, prompt: Tokens, span_us: Micros) {
        self.prefill_rate.record(prompt.0 as f64, millis(span_us));
    }

    /// Records the duration of a prefill on a decode engine with no other backlog.
    pub(super) fn record_decode_engine_prefill(&mut self, prompt: Tokens, span_us: Micros) {
        self.decode_engine_prefill_rate.record(prompt.0 as f64, millis(span_us));
    }

    /// Records how long an answer stalled while its decode engine prefilled a prompt. Long prompts weigh
    /// more: short ones are prefilled within one pause in any case.
    pub(super) fn record_stall(&mut self, stalled_ms: f64, prefill_ms: f64) {
        self.stall.record(stalled_ms * prefill_ms, prefill_ms * prefill_ms);
    }

    /// Sum of both.
    #[must_use]
    pub(super) fn and(self, other: Self) -> Self {
        Self {
            prompt: self.prompt.and(other.prompt),
            hinted: self.hinted.and(other.hinted),
            answer: self.answer.and(other.answer),
            held_ms: self.held_ms.and(other.held_ms),
            length_error: self.length_error.and(other.length_error),
            decode_rate: self.decode_rate.and(other.decode_rate),
            prefill_rate: self.prefill_rate.and(other.prefill_rate),
            decode_engine_prefill_rate: self.decode_engine_prefill_rate.and(other.decode_engine_prefill_rate),
            stall: self.stall.and(other.stall),
        }
    }

    fn halved(self) -> Self {
        Self {
            prompt: self.prompt.halved(),
            hinted: self.hinted.halved(),
            answer: self.answer.halved(),
            held_ms: self.held_ms.halved(),
            length_error: self.length_error.halved(),
            decode_rate: self.decode_rate.halved(),
            prefill_rate: self.prefill_rate.halved(),
            decode_engine_prefill_rate: self.decode_engine_prefill_rate.halved(),
            stall: self.stall.halved(),
        }
    }

    /// Number of prompts that the figures rest on.
    pub(super) fn prompts(&self) -> f64 {
        self.prompt.weight()
    }

    /// Mean length of a prompt.
    pub(super) fn prompt(&self) -> Option<f64> {
        self.prompt.mean()
    }

    /// Mean length of an answer: of those that ended, else as callers expect.
    pub(super) fn answer(&self) -> Option<f64> {
        self.answer.mean().or_else(|| self.hinted.mean())
    }

    /// Tokens per millisecond that an engine decodes for one request.
    pub(super) fn decode_rate(&self) -> f64 {
        self.decode_rate.mean().unwrap_or(INITIAL_DECODE_RATE)
    }

    /// Prompt tokens per millisecond on a prefill engine.
    pub(super) fn prefill_tokens_per_ms(&self) -> f64 {
        self.prefill_rate.mean_with(INITIAL_PREFILL_RATE)
    }

    /// Prompt tokens per millisecond on a decode engine.
    pub(super) fn decode_engine_prefill_tokens_per_ms(&self) -> f64 {
        self.decode_engine_prefill_rate.mean_with(INITIAL_DECODE_ENGINE_PREFILL_RATE)
    }

    /// Fraction of the time of a prefill on a decode engine for which an answer stalls.
    pub(super) fn stall(&self) -> f64 {
        self.stall.mean_with(INITIAL_STALL)
    }

    /// Relative error of expected answer lengths, as a standard deviation.
    pub(super) fn relative_error(&self) -> f64 {
        self.length_error.mean_with(INITIAL_LENGTH_ERROR).sqrt()
    }

    /// Time for which a request holds memory on a decode engine.
    pub(super) fn held_us(&self) -> Option<f64> {
        let held_ms = self.held_ms.mean();
        Some(held_ms.or_else(|| Some(self.answer()? / self.decode_rate()))? * 1_000.0)
    }
}

fn millis(span_us: Micros) -> f64 {
    span_us.0 as f64 / 1_000.0
}

/// Statistics of what this daemon observed, decaying over time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingStats {
    pub(super) stats: WorkloadStats,
    last_decay_us: MonoTime,
}

impl DecayingStats {
    pub(super) fn decay(&mut self, now_us: MonoTime) {
        while now_us >= self.last_decay_us + HALF_LIFE_MS {
            if self.stats.prompts() <= DECAY_MIN_PROMPTS {
                self.last_decay_us = now_us;
                return;
            }
            self.stats = self.stats.halved();
            self.last_decay_us = self.last_decay_us + HALF_LIFE_MS;
        }
    }
}
