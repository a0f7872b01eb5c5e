//! Largest memory that the requests at an engine will take.
//!
//! A request begins with its prompt, grows by one token per step and frees everything when it ends. Reserving
//! the sum of the final sizes leaves a third of the memory unused when requests began at different times.
//! Counting only current sizes lets requests that begin together in a burst outgrow the memory together, and
//! the engine evicts some. So the sum is followed over time to the end of each request.

use serde::{Deserialize, Serialize};

use crate::units::{Micros, Tokens};

/// Memory of a request at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Growth {
    /// Current size.
    pub now: Tokens,
    /// Expected size when it ends.
    pub end: Tokens,
    /// Expected length of the answer.
    pub answer: Tokens,
    /// Whether it is growing: it does not before its answer begins.
    pub is_growing: bool,
}

impl Growth {
    /// Memory after `span_us` at a decode rate of `tokens_per_ms`.
    #[must_use]
    pub fn after(self, span_us: Micros, tokens_per_ms: f64) -> Self {
        if !self.is_growing {
            return self;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
        let decoded = Tokens((span_us.0 as f64 / 1_000.0 * tokens_per_ms) as u64);
        Self { now: self.now + decoded, ..self }
    }

    /// Tokens still to be decoded. Answers that have exceeded their expected length end soon, but not at
    /// once.
    fn remaining(&self) -> Tokens {
        self.end.saturating_sub(self.now).max(Tokens(self.answer.0 / OVERDUE_DIVISOR))
    }
}

/// An answer that has exceeded its expected length goes on for about a quarter of that length: lengths
/// scatter by half of their mean, and most lie close to the expectation. The prompt is no basis for this:
/// with a fraction of the whole request, an eighth of the memory stayed unused where answers are a tenth of
/// their prompts.
const OVERDUE_DIVISOR: u64 = 4;

/// Standard deviations kept free: one batch in 160 exceeds that.
const HEADROOM_DEVIATIONS: f64 = 2.5;

/// Memory kept free beyond the peak for answers that grow longer than expected.
///
/// Without it a decode engine that is full evicts a running request when answers exceed their expected
/// length; the caller sees a pause, and the prompt is prefilled again. The deviation is derived from recent
/// answers (`relative_error`, relative to the expected length), with lengths independent of each other. A
/// fixed part of the memory is too much for long prompts with short answers and too little for the reverse:
/// it scored 0.015 lower in paired simulation runs of a deployment whose answers are a tenth of their
/// prompts.
pub fn headroom<Growths>(growths: Growths, relative_error: f64) -> Tokens
where
    Growths: Iterator<Item = Growth>,
{
    let square = |growth: Growth| (growth.remaining().0 as f64).powi(2);
    let deviation = relative_error * growths.map(square).sum::<f64>().sqrt();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
    Tokens((HEADROOM_DEVIATIONS * deviation) as u64)
}

/// Largest memory that the requests will take together, if all decode at the same rate.
pub fn peak<Growths>(growths: Growths) -> Tokens
where
    Growths: Iterator<Item = Growth>,
{
    let mut requests: Vec<(Tokens, Tokens)> =
        growths.map(|growth| (growth.remaining(), growth.now)).collect();
    requests.sort_unstable();
    let mut now = requests.iter().fold(Tokens::ZERO, |sum, (_, now)| sum + *now);
    let mut peak = now;
    let mut count = requests.len() as u64;
    for (remaining, own) in requests {
        // Just before this one ends, each of the remaining requests has decoded as many tokens.
        peak = peak.max(now + Tokens(remaining.0 * count));
        now = now.saturating_sub(own);
        count -= 1;
    }
    peak
}
