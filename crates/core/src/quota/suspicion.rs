//! Suspecting a daemon that does not answer.

use crate::units::{Millis, MonoTime};

/// Timeouts in a row after which a daemon is suspected. With fewer, a link that loses packets would have credit granted
/// twice, by the primary and by a standby.
const TIMEOUTS_MAX: u32 = 3;

/// For how long it is suspected at first; doubled each time until it answers.
const SUSPECT_MS: Millis = Millis(250);

/// Doublings at most; by then membership shows who is gone.
const DOUBLINGS_MAX: u32 = 2;

/// The timeouts of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspicion {
    timeouts: u32,
    doublings: u32,
    until_us: MonoTime,
}

impl Suspicion {
    /// A question to it timed out.
    pub fn note_timeout(&mut self, now_us: MonoTime) {
        self.timeouts += 1;
        if self.timeouts >= TIMEOUTS_MAX {
            self.until_us = now_us + Millis(SUSPECT_MS.0 << self.doublings);
            self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
            self.timeouts = 0;
        }
    }

    /// Whether to ask another daemon instead.
    pub fn is_suspected(&self, now_us: MonoTime) -> bool {
        now_us < self.until_us
    }
}
