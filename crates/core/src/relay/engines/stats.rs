//! What requests, answers and engines were like lately.
//!
//! Each daemon tells the others what it saw. Alone, one of 87 sees a prompt in two seconds and would know after twenty
//! what all of them know in a fraction of one.

use serde::{Deserialize, Serialize};

use super::ratio::Ratio;
use crate::units::{Micros, Millis, MonoTime, Tokens};

/// After this time what was seen counts half: short enough to follow traffic that turns from long prompts to long
/// answers.
const HALF_LIFE_MS: Millis = Millis(5_000);

/// Prompts that do not fade: where few come, old figures are better than none.
const LASTING_PROMPTS: f64 = 16.0;

/// Tokens that an engine writes for one request in a millisecond, until it was observed: at the upper end, so that memory is
/// not taken for empty meanwhile.
const FIRST_PACE: f64 = 1.7;

/// How far answers miss their expected length, squared, until that was observed: by half of it. Counts for as many answers
/// as end at one writer in some seconds.
const FIRST_MISS: Ratio = Ratio::prior(0.25, 8.0);

/// Prompt tokens that a reader takes in a millisecond, until that was observed. Counts for four prompts of 100 ms.
const FIRST_READING: Ratio = Ratio::prior(50.0, 400.0);

/// Prompt tokens that a writer takes in a millisecond, until that was observed: half of what a reader does. Counts for four
/// prompts of 200 ms.
const FIRST_OWN_READING: Ratio = Ratio::prior(25.0, 800.0);

/// Until it was observed, answers stand still all the while that their writer reads. Counts for four prompts of 200 ms, by
/// their squares.
const FIRST_STALL: Ratio = Ratio::prior(1.0, 160_000.0);

/// Largest square that one answer counts for: one that is ten times longer than expected tells little of the others.
const MISS_MAX: f64 = 4.0;

/// Means over the requests of the last seconds, older ones counting less.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Seen {
    /// Tokens of a prompt.
    prompt: Ratio,
    /// Tokens of the answers that the callers of those prompts expect.
    hinted: Ratio,
    /// Tokens of an answer that ended.
    answer: Ratio,
    /// Time for which a request that ended had memory at a writer.
    held_ms: Ratio,
    /// Square of how far an answer that ended missed its expected length, as a part of it.
    miss: Ratio,
    /// Tokens that a running answer grows by in a millisecond.
    pace: Ratio,
    /// Prompt tokens that a reader takes in a millisecond.
    reading: Ratio,
    /// Prompt tokens that a writer takes in a millisecond, between the steps of its answers.
    own_reading: Ratio,
    /// Part of the time in which a writer reads a prompt for which one of its answers stands still.
    stall: Ratio,
}

impl Seen {
    pub(super) fn note_prompt(&mut self, prompt: Tokens, hinted: Tokens) {
        self.prompt.note(prompt.0 as f64, 1.0);
        self.hinted.note(hinted.0 as f64, 1.0);
    }

    /// Notes an answer that ended, beside the length that was expected of it.
    pub(super) fn note_answer(&mut self, answer: Tokens, expected: Tokens, held_us: Micros) {
        self.answer.note(answer.0 as f64, 1.0);
        self.held_ms.note(millis(held_us), 1.0);
        let miss = (answer.0 as f64 - expected.0 as f64) / (expected.0 as f64).max(1.0);
        self.miss.note(miss.powi(2).min(MISS_MAX), 1.0);
    }

    /// Notes by how much a running answer grew.
    pub(super) fn note_written(&mut self, tokens: Tokens, span_us: Micros) {
        self.pace.note(tokens.0 as f64, millis(span_us));
    }

    /// Notes how long a reader took that had nothing else to read.
    pub(super) fn note_reading(&mut self, prompt: Tokens, span_us: Micros) {
        self.reading.note(prompt.0 as f64, millis(span_us));
    }

    /// Notes how long a writer took that had nothing else to read.
    pub(super) fn note_own_reading(&mut self, prompt: Tokens, span_us: Micros) {
        self.own_reading.note(prompt.0 as f64, millis(span_us));
    }

    /// Notes for how long an answer stood still while its writer read a prompt. Long prompts weigh more: short ones are
    /// read within one pause in any case.
    pub(super) fn note_stall(&mut self, stalled_ms: f64, reading_ms: f64) {
        self.stall.note(stalled_ms * reading_ms, reading_ms * reading_ms);
    }

    /// Both together.
    #[must_use]
    pub(super) fn and(self, other: Self) -> Self {
        Self {
            prompt: self.prompt.and(other.prompt),
            hinted: self.hinted.and(other.hinted),
            answer: self.answer.and(other.answer),
            held_ms: self.held_ms.and(other.held_ms),
            miss: self.miss.and(other.miss),
            pace: self.pace.and(other.pace),
            reading: self.reading.and(other.reading),
            own_reading: self.own_reading.and(other.own_reading),
            stall: self.stall.and(other.stall),
        }
    }

    fn halved(self) -> Self {
        Self {
            prompt: self.prompt.halved(),
            hinted: self.hinted.halved(),
            answer: self.answer.halved(),
            held_ms: self.held_ms.halved(),
            miss: self.miss.halved(),
            pace: self.pace.halved(),
            reading: self.reading.halved(),
            own_reading: self.own_reading.halved(),
            stall: self.stall.halved(),
        }
    }

    /// Prompts that the figures rest on.
    pub(super) fn prompts(&self) -> f64 {
        self.prompt.weight()
    }

    /// Length of a prompt.
    pub(super) fn prompt(&self) -> Option<f64> {
        self.prompt.mean()
    }

    /// Length of an answer: of those that ended, or as callers expect.
    pub(super) fn answer(&self) -> Option<f64> {
        self.answer.mean().or_else(|| self.hinted.mean())
    }

    /// Tokens that an engine writes for one request in a millisecond.
    pub(super) fn pace(&self) -> f64 {
        self.pace.mean().unwrap_or(FIRST_PACE)
    }

    /// Prompt tokens that a reader takes in a millisecond.
    pub(super) fn reading_per_ms(&self) -> f64 {
        self.reading.mean_with(FIRST_READING)
    }

    /// Prompt tokens that a writer takes in a millisecond.
    pub(super) fn own_reading_per_ms(&self) -> f64 {
        self.own_reading.mean_with(FIRST_OWN_READING)
    }

    /// Part of the time in which a writer reads a prompt for which an answer stands still.
    pub(super) fn stall(&self) -> f64 {
        self.stall.mean_with(FIRST_STALL)
    }

    /// How far answers miss their expected length, as a part of it: a standard deviation.
    pub(super) fn spread(&self) -> f64 {
        self.miss.mean_with(FIRST_MISS).sqrt()
    }

    /// Time for which a request has memory at a writer.
    pub(super) fn held_us(&self) -> Option<f64> {
        let held_ms = self.held_ms.mean();
        Some(held_ms.or_else(|| Some(self.answer()? / self.pace()))? * 1_000.0)
    }
}

fn millis(span_us: Micros) -> f64 {
    span_us.0 as f64 / 1_000.0
}

/// What this daemon saw, fading as time passes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fading {
    pub(super) seen: Seen,
    halved_us: MonoTime,
}

impl Fading {
    pub(super) fn pass(&mut self, now_us: MonoTime) {
        while now_us >= self.halved_us + HALF_LIFE_MS {
            if self.seen.prompts() <= LASTING_PROMPTS {
                self.halved_us = now_us;
                return;
            }
            self.seen = self.seen.halved();
            self.halved_us = self.halved_us + HALF_LIFE_MS;
        }
    }
}
