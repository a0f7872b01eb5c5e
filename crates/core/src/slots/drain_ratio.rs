//! Measured drain time of a queue in relation to the expected work.

use crate::units::{Micros, MonoTime};

/// Elapsed time per unit of expected work while requests are waiting.
///
/// Under overload, an estimate from nominal speeds is wrong whenever the server is slow, turns wait for slots
/// elsewhere, or grant requests leave because another server accepted them. An estimate that is too low accepts
/// requests that will be late, until all work is late. All three effects show in how fast the queue drains.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainRatio {
    value: f64,
    busy_from_us: Option<MonoTime>,
    busy_us: u64,
    drained_us: u64,
}

/// Busy time per sample; covers several prompts.
const WINDOW_US: u64 = 400_000;
/// Weight of a new sample in the moving average.
const WEIGHT: f64 = 0.3;
/// Limits of the ratio, so that a single outlier neither closes the queue nor admits everything.
const RANGE: (f64, f64) = (0.3, 20.0);

impl DrainRatio {
    pub(super) fn new() -> Self {
        Self { value: 1.0, busy_from_us: None, busy_us: 0, drained_us: 0 }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Marks the queue as non-empty from `now_us` on.
    pub(super) fn start_busy(&mut self, now_us: MonoTime) {
        self.busy_from_us.get_or_insert(now_us);
    }

    /// Records work that left the queue after waiting in it.
    pub(super) fn record(&mut self, now_us: MonoTime, work_us: Micros, still_waiting: bool) {
        let Some(from_us) = self.busy_from_us else {
            return;
        };
        self.busy_us += now_us.since(from_us).0;
        self.busy_from_us = still_waiting.then_some(now_us);
        self.drained_us += work_us.0;
        if self.busy_us < WINDOW_US || self.drained_us == 0 {
            return;
        }
        let seen = self.busy_us as f64 / self.drained_us as f64;
        let (low, high) = RANGE;
        self.value = (self.value + WEIGHT * (seen - self.value)).clamp(low, high);
        self.busy_us = 0;
        self.drained_us = 0;
    }
}
