//! How much memory the requests at an engine will take at most.
//!
//! Load: bursts of some seconds above what the writers can hold. A request begins with its prompt, grows by a token with
//! each step and gives everything back when it ends. Room for the sum of the final sizes leaves a third of the memory
//! unused whenever requests have begun at different times; counted by what they take now, those that begin together in
//! a burst would outgrow the memory together, and the engine throws some out. So the sum is followed to the end of
//! each request.

use serde::{Deserialize, Serialize};

use crate::units::{Micros, Tokens};

/// A request's memory at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Growth {
    /// What it takes now.
    pub now: Tokens,
    /// What it is expected to take when it ends.
    pub end: Tokens,
    /// Length that is expected of its answer.
    pub answer: Tokens,
    /// Whether it grows already: it does not before its answer begins.
    pub grows: bool,
}

impl Growth {
    /// The same after some time, by what an engine writes in a millisecond.
    #[must_use]
    pub fn after(self, span_us: Micros, tokens_per_ms: f64) -> Self {
        if !self.grows {
            return self;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
        let written = Tokens((span_us.0 as f64 / 1_000.0 * tokens_per_ms) as u64);
        Self { now: self.now + written, ..self }
    }

    /// What it will still write. Answers that have outgrown what was expected end soon, but not at once.
    fn rest(&self) -> Tokens {
        self.end.saturating_sub(self.now).max(Tokens(self.answer.0 / OVERDUE_DIVISOR))
    }
}

/// An answer that has outgrown its expected length goes on for about a quarter of that: lengths scatter by half of their
/// mean, and most of them lie close behind the expectation. The prompt says nothing of it: as a part of all that a request
/// takes, an eighth of the memory stood empty where answers are a tenth of their prompts.
const OVERDUE_DIVISOR: u64 = 4;

/// Standard deviations that are kept free: one batch in a hundred and sixty outgrows that.
const DEVIATIONS: f64 = 2.5;

/// Memory that the requests may take beyond their peak, for answers that grow longer than expected.
///
/// Load: writers filled to the brim in a burst. Harm prevented: one whose answers grow beyond what was expected throws a
/// running request out; its caller sees a pause, and its prompt is read again. How far answers may miss their expected
/// length follows from how far they did lately (`spread`, a part of the length), and lengths are independent of each
/// other. A fixed part of the memory in its place is too much where prompts are long and answers short, and too little the
/// other way round: 0.015 of worth less than this, in paired plays of a deployment whose answers are a tenth of their prompts.
pub fn headroom<Growths>(growths: Growths, spread: f64) -> Tokens
where
    Growths: Iterator<Item = Growth>,
{
    let square = |growth: Growth| (growth.rest().0 as f64).powi(2);
    let deviation = spread * growths.map(square).sum::<f64>().sqrt();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a positive count")]
    Tokens((DEVIATIONS * deviation) as u64)
}

/// Most memory that the requests take together from now on, if each writes at the same pace.
pub fn peak<Growths>(growths: Growths) -> Tokens
where
    Growths: Iterator<Item = Growth>,
{
    let mut left: Vec<(Tokens, Tokens)> = growths.map(|growth| (growth.rest(), growth.now)).collect();
    left.sort_unstable();
    let mut now = left.iter().fold(Tokens::ZERO, |sum, (_, now)| sum + *now);
    let mut peak = now;
    let mut count = left.len() as u64;
    for (rest, own) in left {
        // Just before this one ends, each of those that are left has written as much as it.
        peak = peak.max(now + Tokens(rest.0 * count));
        now = now.saturating_sub(own);
        count -= 1;
    }
    peak
}
