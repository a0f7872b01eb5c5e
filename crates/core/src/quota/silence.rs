//! Passing over a daemon that does not answer.

use crate::units::{Millis, MonoTime};

/// Questions in a row without an answer after which a daemon is passed over. On a link that loses one packet in forty,
/// fewer would have credit granted twice, by the daemon in charge and by one that stands in for it.
const QUESTIONS_MAX: u32 = 3;

/// For how long it is passed over at first; doubled each time until it answers.
const PASS_OVER_MS: Millis = Millis(250);

/// Doublings at most. By then the daemons have noticed who is gone.
const DOUBLINGS_MAX: u32 = 2;

/// What a daemon did not answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    questions: u32,
    doublings: u32,
    until_us: MonoTime,
}

impl Silence {
    /// A question got no answer.
    pub fn note(&mut self, now_us: MonoTime) {
        self.questions += 1;
        if self.questions >= QUESTIONS_MAX {
            self.until_us = now_us + Millis(PASS_OVER_MS.0 << self.doublings);
            self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
            self.questions = 0;
        }
    }

    /// Whether to ask another daemon.
    pub fn is_passed_over(&self, now_us: MonoTime) -> bool {
        now_us < self.until_us
    }
}
