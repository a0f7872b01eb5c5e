//! Timer for the times at which schedulers need a tick.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscusvale_core::units::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::clock;

/// Upper bound of one sleep; a tick that no scheduler asked for is harmless.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Timer that any thread can set and one task waits for. Each scheduler asks for its next tick once, so a
/// time is kept until it is reached, even when earlier times are reached before it.
#[derive(Debug)]
pub(crate) struct WakeTimer {
    pending_us: Mutex<BTreeSet<MonoTime>>,
    earlier: Notify,
}

impl WakeTimer {
    pub(crate) fn new() -> Self {
        Self { pending_us: Mutex::default(), earlier: Notify::new() }
    }

    /// Requests a tick at `at_us`.
    pub(crate) fn set(&self, at_us: MonoTime) {
        let mut pending_us = self.pending_us.lock();
        let is_earlier = pending_us.first().is_none_or(|first_us| at_us < *first_us);
        pending_us.insert(at_us);
        if is_earlier {
            self.earlier.notify_one();
        }
    }

    /// Calls `tick` whenever a requested time is reached. Runs until the daemon stops.
    pub(crate) async fn run<Tick>(&self, tick: Tick)
    where
        Tick: Fn(),
    {
        loop {
            let next_us = self.pending_us.lock().first().copied();
            let wait = next_us.map_or(MAX_SLEEP, |at_us| Duration::from(at_us.since(clock::now())));
            tokio::select! {
                () = tokio::time::sleep(wait.min(MAX_SLEEP)) => {
                    let now_us = clock::now();
                    self.pending_us.lock().retain(|at_us| *at_us > now_us);
                    tick();
                }
                () = self.earlier.notified() => {}
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/wake_timer.rs"]
mod tests;
