//! How long a caller has waited already when its request comes in.
//!
//! Load: bursts in which many callers are refused and come back seconds later, beside callers who come for the first
//! time. Harm prevented: places go to answers that are late anyhow, and the first-comers become late in turn. A caller
//! says how long it will wait, and one who has come before has spent a part of that. But callers differ in patience by more
//! than a target; measured against the most patient one, two in five first-comers counted as late, and a fifth of the
//! engines' memory stood empty for others while these were refused. So a caller counts as having waited only when it has
//! less time left than any first-comer, and those are known by their coming while nobody had been sent away.

use std::collections::HashMap;

use crate::units::{Millis, MonoTime};

/// What is known of the callers of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Callers {
    /// Longest time that one of them would wait.
    longest_ms: Millis,
    /// Shortest time that a first-comer would wait.
    shortest_ms: Option<Millis>,
    /// When one of them was last told to come back.
    refused_us: Option<MonoTime>,
}

impl Callers {
    /// Whether those who come now come for the first time: whoever was sent away has come back or given up.
    fn are_first_comers(&self, now_us: MonoTime) -> bool {
        self.refused_us.is_none_or(|refused_us| now_us >= refused_us + self.longest_ms)
    }
}

/// The patience of callers, by route.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    callers: HashMap<String, Callers>,
}

impl Patience {
    /// How long a caller of `route` has waited at least who will wait for another `left_ms`; nothing where it does not say.
    pub fn waited(&mut self, now_us: MonoTime, route: &str, left_ms: Option<Millis>) -> Millis {
        let Some(left_ms) = left_ms else {
            return Millis::ZERO;
        };
        let callers = match self.callers.get_mut(route) {
            Some(callers) => callers,
            None => self.callers.entry(route.to_owned()).or_default(),
        };
        callers.longest_ms = callers.longest_ms.max(left_ms);
        if callers.are_first_comers(now_us) {
            let shortest_ms = callers.shortest_ms.get_or_insert(left_ms);
            *shortest_ms = left_ms.min(*shortest_ms);
        }
        callers.shortest_ms.map_or(Millis::ZERO, |shortest_ms| shortest_ms.saturating_sub(left_ms))
    }

    /// A caller of `route` was told to come back.
    pub fn refused(&mut self, now_us: MonoTime, route: &str) {
        if let Some(callers) = self.callers.get_mut(route) {
            callers.refused_us = Some(now_us);
        }
    }

    /// The routes changed: of those that are gone nothing is kept.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.callers.retain(|route, _| is_known(route));
    }
}
