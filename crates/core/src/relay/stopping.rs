//! Decides whether a daemon that stops can still take a request.
//!
//! Its process ends at a known time, with whatever is open. A request that a server has by then is cut, and its caller
//! cannot know whether it ran. One that is refused instead goes to another daemon. So the end of the grace period is a
//! deadline of every request, and a request is passed on only if a run of its class is likely to end before.

use std::collections::HashMap;

use crate::units::{Micros, Millis, MonoTime};

/// Number of runs of a class that are remembered.
const RUNS_MAX: usize = 32;

/// Divisor of the longest recent run: the quotient is added to it, since the next one may be longer.
const MARGIN_DIVISOR: u64 = 8;

/// Shortest time that is added.
const MARGIN_MIN_MS: Millis = Millis(20);

/// How the duration of a run is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunTimeSource {
    /// From runs of the class that have ended.
    Ended,
    /// None has ended.
    Assumed,
}

/// Time that a run of a class is expected to take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunTime {
    /// The time, with a margin.
    pub expected_us: Micros,
    /// How it is known.
    pub source: RunTimeSource,
}

impl RunTime {
    /// Expected rest of a run of which `spent_us` has passed. A run that has not begun to be answered has at least half of
    /// its time ahead.
    #[must_use]
    pub fn rest_after(self, spent_us: Micros) -> Self {
        let rest_us = self.expected_us.0.saturating_sub(spent_us.0).max(self.expected_us.0 / 2);
        Self { expected_us: Micros(rest_us), ..self }
    }
}

/// The last runs of a class.
#[derive(Clone, Debug, Default)]
struct RecentRuns {
    took_us: Vec<Micros>,
    next: usize,
}

impl RecentRuns {
    fn record(&mut self, took_us: Micros) {
        if self.took_us.len() < RUNS_MAX {
            self.took_us.push(took_us);
        } else {
            self.took_us[self.next] = took_us;
        }
        self.next = (self.next + 1) % RUNS_MAX;
    }
}

/// Durations of runs by class: service and route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    services: HashMap<String, HashMap<String, RecentRuns>>,
}

impl RunTimes {
    /// Records a run that ended with a whole answer.
    pub fn record(&mut self, service: &str, route: &str, took_us: Micros) {
        if let Some(runs) = self.services.get_mut(service).and_then(|routes| routes.get_mut(route)) {
            return runs.record(took_us);
        }
        let routes = self.services.entry(service.to_owned()).or_default();
        routes.entry(route.to_owned()).or_default().record(took_us);
    }

    /// Time that the next run may take: somewhat more than the longest recent one, or `assumed_ms` while none has ended.
    pub fn expected(&self, service: &str, route: &str, assumed_ms: Millis) -> RunTime {
        let runs = self.services.get(service).and_then(|routes| routes.get(route));
        let Some(&longest_us) = runs.and_then(|runs| runs.took_us.iter().max()) else {
            return RunTime { expected_us: assumed_ms.into(), source: RunTimeSource::Assumed };
        };
        let margin_us = Micros(longest_us.0 / MARGIN_DIVISOR).max(MARGIN_MIN_MS.into());
        RunTime { expected_us: Micros(longest_us.0 + margin_us.0), source: RunTimeSource::Ended }
    }

    /// Drops the routes for which `is_known` does not hold.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.services.retain(|_, routes| {
            routes.retain(|route, _| is_known(route));
            !routes.is_empty()
        });
    }
}

/// A run that is not expected to end in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WouldNotEnd {
    /// Time left for answers.
    pub left_ms: Millis,
    /// The run.
    pub run: RunTime,
}

/// When the answers of a stopping daemon are due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopDeadline {
    /// Time of the last answers, including those with an unknown outcome.
    pub answers_due_us: MonoTime,
}

impl StopDeadline {
    /// Time until which a run may begin.
    pub fn latest_start(self, run: RunTime) -> MonoTime {
        MonoTime(self.answers_due_us.0.saturating_sub(run.expected_us.0))
    }

    /// Checks that a run that begins now can end in time.
    ///
    /// # Errors
    ///
    /// [`WouldNotEnd`] if it is not expected to.
    pub fn check(self, now_us: MonoTime, run: RunTime) -> Result<(), WouldNotEnd> {
        if now_us < self.latest_start(run) {
            return Ok(());
        }
        Err(WouldNotEnd { left_ms: self.answers_due_us.since(now_us).to_millis_floor(), run })
    }
}
