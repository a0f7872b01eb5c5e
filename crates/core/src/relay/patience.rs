//! How long a caller has waited already when its request comes in.
//!
//! Load: bursts in which many callers are refused and come back seconds later, beside callers who come for the first
//! time. Harm prevented: places go to answers that are late anyhow, and the first-comers become late in turn. A caller
//! says how long it will wait; all callers of a route begin with the same patience, so one who has less left has spent
//! the rest with earlier tries.

use std::collections::HashMap;

use crate::units::Millis;

/// The longest patience seen by route, since the routes last changed.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    longest: HashMap<String, Millis>,
}

impl Patience {
    /// How long a caller of `route` has waited who will wait for another `left_ms`; nothing where it does not say.
    pub fn waited(&mut self, route: &str, left_ms: Option<Millis>) -> Millis {
        let Some(left_ms) = left_ms else {
            return Millis::ZERO;
        };
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.to_owned(), left_ms);
            return Millis::ZERO;
        };
        *longest = (*longest).max(left_ms);
        longest.saturating_sub(left_ms)
    }

    /// The routes changed, and what was seen may be of others.
    pub fn forget(&mut self) {
        self.longest.clear();
    }
}
