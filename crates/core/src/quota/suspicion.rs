//! Suspicion of daemons that do not answer.

use crate::units::{Millis, MonoTime};

/// Consecutive timeouts after which a daemon is suspected. With fewer, packet loss on a link would make the
/// primary and a standby grant the same credit twice.
const TIMEOUTS_TO_SUSPECT: u32 = 3;

/// Duration of the first suspicion; doubled each time until the daemon answers.
const INITIAL_SUSPICION_MS: Millis = Millis(250);

/// Maximum number of doublings; by then the membership protocol has detected a failed daemon.
const DOUBLINGS_MAX: u32 = 2;

/// Consecutive timeouts of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspicion {
    timeouts: u32,
    doublings: u32,
    until_us: MonoTime,
}

impl Suspicion {
    /// Records that a request to the daemon timed out.
    pub fn record_timeout(&mut self, now_us: MonoTime) {
        self.timeouts += 1;
        if self.timeouts >= TIMEOUTS_TO_SUSPECT {
            self.until_us = now_us + Millis(INITIAL_SUSPICION_MS.0 << self.doublings);
            self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
            self.timeouts = 0;
        }
    }

    /// Whether the daemon is suspected, so that another one should be asked.
    pub fn is_suspected(&self, now_us: MonoTime) -> bool {
        now_us < self.until_us
    }
}
