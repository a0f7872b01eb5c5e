//! The next time at which a scheduler wants to be told that time has passed.

use std::time::Duration;

use hibiscusvale_core::units::MonoTime;
use tokio::sync::watch;

use crate::clock;

/// The longest sleep; a tick without need is harmless.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Nothing is wanted.
const NEVER: MonoTime = MonoTime(u64::MAX);

/// Set from any thread, waited for by one task.
#[derive(Debug)]
pub(crate) struct Alarm {
    at_us: watch::Sender<MonoTime>,
}

impl Alarm {
    pub(crate) fn new() -> Self {
        Self { at_us: watch::Sender::new(NEVER) }
    }

    /// Goes off at `at_us`, or earlier if that was wanted before.
    pub(crate) fn set(&self, at_us: MonoTime) {
        self.at_us.send_if_modified(|known_us| {
            let sooner = at_us < *known_us;
            *known_us = at_us.min(*known_us);
            sooner
        });
    }

    /// Calls `tick` whenever the time has come, for as long as the daemon runs.
    pub(crate) async fn run<Tick>(&self, tick: Tick)
    where
        Tick: Fn(),
    {
        let mut wanted_us = self.at_us.subscribe();
        loop {
            let wait = Duration::from(wanted_us.borrow_and_update().since(clock::now())).min(LONGEST_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(wait) => {
                    self.at_us.send_replace(NEVER);
                    tick();
                }
                changed = wanted_us.changed() => if changed.is_err() { return },
            }
        }
    }
}
