//! Estimates how long a caller has already waited when its request arrives.
//!
//! In bursts many callers are refused and come back seconds later, beside callers that come for the first
//! time. Slots given to answers that are late anyhow make the first-time callers late in turn. A caller
//! states how long it will wait, and one that returns has spent a part of that. But callers differ in this by
//! more than a target: measured against the longest wait, two in five first-time callers counted as late, and
//! a fifth of the engines' memory stayed reserved for others while these were refused. So a caller counts as
//! having waited only if it has less time left than any first-time caller, and first-time callers are those
//! that arrive while no refused caller can be about to return.

use std::collections::HashMap;

use crate::units::{Millis, MonoTime};

/// What is known of the callers of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Callers {
    /// Longest time that any of them stated.
    longest_wait_ms: Millis,
    /// Shortest time that a first-time caller stated.
    shortest_first_wait_ms: Option<Millis>,
    /// When one of them was last refused.
    last_refusal_us: Option<MonoTime>,
}

impl Callers {
    /// Whether callers that arrive now come for the first time: all that were refused have returned or given
    /// up.
    fn are_first_attempts(&self, now_us: MonoTime) -> bool {
        self.last_refusal_us.is_none_or(|last_refusal_us| now_us >= last_refusal_us + self.longest_wait_ms)
    }
}

/// Estimates of the time that callers have waited, by route.
#[derive(Clone, Debug, Default)]
pub struct PriorWaits {
    callers: HashMap<String, Callers>,
}

impl PriorWaits {
    /// Lower bound of the time that a caller of `route` has waited that will wait for another `remaining_ms`;
    /// zero if it does not state that.
    pub fn estimate(&mut self, now_us: MonoTime, route: &str, remaining_ms: Option<Millis>) -> Millis {
        let Some(remaining_ms) = remaining_ms else {
            return Millis::ZERO;
        };
        let callers = match self.callers.get_mut(route) {
            Some(callers) => callers,
            None => self.callers.entry(route.to_owned()).or_default(),
        };
        callers.longest_wait_ms = callers.longest_wait_ms.max(remaining_ms);
        if callers.are_first_attempts(now_us) {
            let shortest_first_wait_ms = callers.shortest_first_wait_ms.get_or_insert(remaining_ms);
            *shortest_first_wait_ms = remaining_ms.min(*shortest_first_wait_ms);
        }
        callers.shortest_first_wait_ms.map_or(Millis::ZERO, |shortest_first_wait_ms| {
            shortest_first_wait_ms.saturating_sub(remaining_ms)
        })
    }

    /// Records that a caller of `route` was refused.
    pub fn record_refusal(&mut self, now_us: MonoTime, route: &str) {
        if let Some(callers) = self.callers.get_mut(route) {
            callers.last_refusal_us = Some(now_us);
        }
    }

    /// Drops the state of routes for which `is_known` does not hold.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.callers.retain(|route, _| is_known(route));
    }
}
