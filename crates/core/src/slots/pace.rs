//! How fast a queue really drains.

use crate::units::{Micros, MonoTime};

/// Time that passes for a unit of expected work, while something waits.
///
/// Load: overload. Harm prevented: a forecast from nominal speeds is wrong whenever the server is slow, when
/// turns wait for slots elsewhere, or when asks leave because another server took them; too low, it takes in
/// requests that will be late, and all work becomes late work. All three show in how fast the queue drains.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    value: f64,
    busy_from_us: Option<MonoTime>,
    busy_us: u64,
    drained_us: u64,
}

/// Busy time after which a figure is taken: several prompts.
const WINDOW_US: u64 = 400_000;
/// Weight of a new figure.
const WEIGHT: f64 = 0.3;
/// One odd window cannot shut a queue or open it to everything.
const RANGE: (f64, f64) = (0.3, 20.0);

impl Pace {
    pub(super) fn new() -> Self {
        Self { value: 1.0, busy_from_us: None, busy_us: 0, drained_us: 0 }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Something waits from now on.
    pub(super) fn begin(&mut self, now_us: MonoTime) {
        self.busy_from_us.get_or_insert(now_us);
    }

    /// Work left the queue after waiting in it.
    pub(super) fn drain(&mut self, now_us: MonoTime, work_us: Micros, still_waiting: bool) {
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
