//! The times at which schedulers want a tick.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscusvale_core::units::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::clock;

/// The longest sleep; a tick without need is harmless.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Set from any thread, waited for by one task. Each scheduler asks for its next time once, so a time is kept until it
/// has come, whatever comes before it.
#[derive(Debug)]
pub(crate) struct Alarm {
    wanted_us: Mutex<BTreeSet<MonoTime>>,
    sooner: Notify,
}

impl Alarm {
    pub(crate) fn new() -> Self {
        Self { wanted_us: Mutex::default(), sooner: Notify::new() }
    }

    /// Goes off at `at_us`.
    pub(crate) fn set(&self, at_us: MonoTime) {
        let mut wanted_us = self.wanted_us.lock();
        let is_sooner = wanted_us.first().is_none_or(|first_us| at_us < *first_us);
        wanted_us.insert(at_us);
        if is_sooner {
            self.sooner.notify_one();
        }
    }

    /// Calls `tick` whenever a time has come, for as long as the daemon runs.
    pub(crate) async fn run<Tick>(&self, tick: Tick)
    where
        Tick: Fn(),
    {
        loop {
            let next_us = self.wanted_us.lock().first().copied();
            let wait = next_us.map_or(LONGEST_SLEEP, |at_us| Duration::from(at_us.since(clock::now())));
            tokio::select! {
                () = tokio::time::sleep(wait.min(LONGEST_SLEEP)) => {
                    let now_us = clock::now();
                    self.wanted_us.lock().retain(|at_us| *at_us > now_us);
                    tick();
                }
                () = self.sooner.notified() => {}
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/alarm.rs"]
mod tests;
