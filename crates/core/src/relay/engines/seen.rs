//! What requests and answers were like lately.
//!
//! Each daemon tells the others what it saw. Alone, one of 87 sees a prompt in two seconds and would know after twenty
//! what all of them know in a fraction of one.

use serde::{Deserialize, Serialize};

use crate::units::{Micros, Millis, MonoTime, Tokens};

/// After this time what was seen counts half: short enough to follow traffic that turns from long prompts to long
/// answers.
const HALF_LIFE_MS: Millis = Millis(5_000);

/// Prompts that do not fade: where few come, old figures are better than none.
const LASTING_PROMPTS: f32 = 16.0;

/// Tokens that an engine writes for one request in a millisecond, until it was observed.
const FIRST_PACE: f64 = 1.7;

/// Answers that the first guess at their spread counts for: as many as end at one writer in some seconds.
const FIRST_ANSWERS: f32 = 8.0;

/// That guess: answers miss their expected length by half of it.
const FIRST_MISSES: f32 = FIRST_ANSWERS * 0.25;

/// Largest square that one answer counts for: one that is ten times longer than expected tells little of the others.
const MISS_MAX: f32 = 4.0;

/// Sums over the requests of the last seconds, older ones counting less.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Seen {
    prompts: f32,
    prompt_tokens: f32,
    /// Length of the answers that the callers of those prompts expect.
    hinted_tokens: f32,
    answers: f32,
    answer_tokens: f32,
    /// Time for which the requests that ended had memory at a writer.
    held_ms: f32,
    /// Squares of how far the answers that ended missed their expected length, as a part of it.
    misses: f32,
}

impl Seen {
    pub(super) fn note_prompt(&mut self, prompt: Tokens, hinted: Tokens) {
        self.prompts += 1.0;
        self.prompt_tokens += prompt.0 as f32;
        self.hinted_tokens += hinted.0 as f32;
    }

    /// Notes an answer that ended, beside the length that was expected of it.
    pub(super) fn note_answer(&mut self, answer: Tokens, expected: Tokens, held_us: Micros) {
        self.answers += 1.0;
        self.answer_tokens += answer.0 as f32;
        self.held_ms += held_us.0 as f32 / 1_000.0;
        let miss = (answer.0 as f32 - expected.0 as f32) / (expected.0 as f32).max(1.0);
        self.misses += miss.powi(2).min(MISS_MAX);
    }

    /// Both together.
    #[must_use]
    pub(super) fn and(self, other: Self) -> Self {
        Self {
            prompts: self.prompts + other.prompts,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            hinted_tokens: self.hinted_tokens + other.hinted_tokens,
            answers: self.answers + other.answers,
            answer_tokens: self.answer_tokens + other.answer_tokens,
            held_ms: self.held_ms + other.held_ms,
            misses: self.misses + other.misses,
        }
    }

    fn halved(self) -> Self {
        Self {
            prompts: self.prompts / 2.0,
            prompt_tokens: self.prompt_tokens / 2.0,
            hinted_tokens: self.hinted_tokens / 2.0,
            answers: self.answers / 2.0,
            answer_tokens: self.answer_tokens / 2.0,
            held_ms: self.held_ms / 2.0,
            misses: self.misses / 2.0,
        }
    }

    /// Prompts that the figures rest on.
    pub(super) fn prompts(&self) -> f64 {
        f64::from(self.prompts)
    }

    /// Length of a prompt.
    pub(super) fn prompt(&self) -> Option<f64> {
        mean(self.prompt_tokens, self.prompts)
    }

    /// Length of an answer: of those that ended, or as callers expect.
    pub(super) fn answer(&self) -> Option<f64> {
        mean(self.answer_tokens, self.answers).or_else(|| mean(self.hinted_tokens, self.prompts))
    }

    /// Tokens that an engine writes for one request in a millisecond.
    pub(super) fn pace(&self) -> f64 {
        mean(self.answer_tokens, self.held_ms).unwrap_or(FIRST_PACE)
    }

    /// How far answers miss their expected length, as a part of it: a standard deviation.
    pub(super) fn spread(&self) -> f64 {
        f64::from((self.misses + FIRST_MISSES) / (self.answers + FIRST_ANSWERS)).sqrt()
    }

    /// Time for which a request has memory at a writer.
    pub(super) fn held_us(&self) -> Option<f64> {
        let held_ms = mean(self.held_ms, self.answers);
        Some(held_ms.or_else(|| Some(self.answer()? / FIRST_PACE))? * 1_000.0)
    }
}

fn mean(sum: f32, count: f32) -> Option<f64> {
    (sum > 0.0 && count > 0.0).then(|| f64::from(sum) / f64::from(count))
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
            if self.seen.prompts <= LASTING_PROMPTS {
                self.halved_us = now_us;
                return;
            }
            self.seen = self.seen.halved();
            self.halved_us = self.halved_us + HALF_LIFE_MS;
        }
    }
}
