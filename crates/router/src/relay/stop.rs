//! The stop of a daemon, as its requests see it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hibiscusvale_core::relay::routes::Route;
use hibiscusvale_core::relay::stopping::{RunTime, RunTimes, StopDeadline, WouldNotEnd};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::interfaces::CallId;
use super::refusal::{Reason, Refusal};
use super::state::RelayState;
use crate::clock;

/// Retry-After of requests that this daemon cannot take any more: others take them at once.
pub const STOPPING_RETRY_MS: Millis = Millis(100);

/// Divisor of a stream's timeout: the quotient is the time that it is assumed to take while none has ended.
const ASSUMED_STREAM_DIVISOR: u64 = 2;

/// Deadline of a stopping daemon, and what is known of the time that requests take.
#[derive(Debug, Default)]
pub struct Stop {
    deadline: watch::Sender<Option<StopDeadline>>,
    has_ended: AtomicBool,
    run_times: Mutex<RunTimes>,
}

/// A request by what determines the time of its run.
#[derive(Clone, Copy, Debug)]
pub struct RunClass<'a> {
    /// Id given by the caller, for the log.
    pub call: &'a CallId,
    /// Its service.
    pub service: &'a str,
    /// Its route.
    pub route: &'a Route,
}

impl Stop {
    /// Begins the stop.
    pub fn begin(&self, deadline: StopDeadline) {
        self.deadline.send_replace(Some(deadline));
    }

    /// Records that the process ends now, with whatever is still open.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Whether the process ends now.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Waits until the last answers are due; for good while the daemon does not stop.
    pub async fn answers_due(&self) {
        let deadline = self.begun().await;
        sleep_until(deadline.answers_due_us).await;
    }

    /// Records a run that ended with a whole answer.
    pub fn record_run(&self, class: RunClass<'_>, took: Duration) {
        let took_us = Micros(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        self.run_times.lock().record(class.service, &class.route.name, took_us);
    }

    /// Drops the times of routes for which `is_known` does not hold.
    pub fn retain_routes<Known>(&self, is_known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.run_times.lock().retain(is_known);
    }

    async fn begun(&self) -> StopDeadline {
        let mut deadline = self.deadline.subscribe();
        let begun = deadline.wait_for(Option::is_some).await.ok().and_then(|begun| *begun);
        match begun {
            Some(begun) => begun,
            // The sender lives as long as `self`.
            None => std::future::pending().await,
        }
    }

    fn run_time(&self, class: RunClass<'_>) -> RunTime {
        let Route { kind, target_ms, timeout_ms, name, .. } = class.route;
        // The target of a stream is that of its first event.
        let assumed_ms =
            if kind.is_stream() { Millis(timeout_ms.0 / ASSUMED_STREAM_DIVISOR) } else { *target_ms };
        self.run_times.lock().expected(class.service, name, assumed_ms)
    }

    /// Waits until a run of the class that begins now would not end in time; for good while the daemon does not stop.
    async fn would_not_end(&self, class: RunClass<'_>) -> WouldNotEnd {
        let deadline = self.begun().await;
        loop {
            let run = self.run_time(class);
            match deadline.check(clock::now(), run) {
                Ok(()) => sleep_until(deadline.latest_start(run)).await,
                Err(would_not_end) => return would_not_end,
            }
        }
    }
}

/// Checks that the rest of a run, of which `spent` has passed, can end before the process does.
///
/// # Errors
///
/// The refusal of a request that no server works on.
pub fn check_rest(state: &RelayState, class: RunClass<'_>, spent: Duration) -> Result<(), Refusal> {
    let Some(deadline) = *state.stop.deadline.borrow() else {
        return Ok(());
    };
    let run = state.stop.run_time(class);
    let spent_us = Micros(u64::try_from(spent.as_micros()).unwrap_or(u64::MAX));
    let would_not_end = match deadline.check(clock::now(), run.rest_after(spent_us)) {
        Ok(()) => return Ok(()),
        Err(would_not_end) => would_not_end,
    };
    state.log.request_refused_by_stop(class.call, &class.route.name, &would_not_end);
    Err(Refusal::retry_after(Reason::Stopping, STOPPING_RETRY_MS))
}

async fn sleep_until(at_us: MonoTime) {
    tokio::time::sleep(at_us.since(clock::now()).into()).await;
}

/// Waits until a request that has not been sent to a server has to be refused, since it could not end before the process
/// does; for good while the daemon does not stop.
pub async fn too_late(state: &RelayState, class: RunClass<'_>) -> Refusal {
    let would_not_end = state.stop.would_not_end(class).await;
    state.log.request_refused_by_stop(class.call, &class.route.name, &would_not_end);
    Refusal::retry_after(Reason::Stopping, STOPPING_RETRY_MS)
}
