//! Whether the list differs from those of other daemons at the same version.
//!
//! No list should lack what its version covers; this is what ends it if one does. A daemon whose list differs asks the other
//! one for its list, which may know which records came late, and reads the whole list. In a small fleet any difference makes a
//! daemon do so. In a large one all daemons would do so because of one that is wrong, and thousands of servers
//! would be read by hundreds of daemons: there, only a daemon reads that differs from more of the others than it agrees with.

use std::collections::HashMap;

use crate::ids::HostId;
use crate::relay::recipients::BroadcastScope;
use crate::units::{Millis, MonoTime};

/// Minimum interval between two reads of the whole list.
const WHOLE_READ_INTERVAL_MS: Millis = Millis(10_000);

/// Minimum interval between two requests for the list of another daemon. It stays below the two seconds within which changes
/// have to be known.
const REQUEST_INTERVAL_MS: Millis = Millis(1_000);

/// Time for which the result of a comparison counts: two messages of a daemon without news.
const RESULT_TTL_MS: Millis = Millis(1_500);

/// Comparisons with other daemons, and the read that follows from them.
#[derive(Clone, Debug, Default)]
pub struct Divergence {
    /// Whether each daemon had the same list at its last comparison, and when that was.
    results: HashMap<HostId, (MonoTime, bool)>,
    /// Whether the next read has to fetch the whole list.
    pub is_whole_read_due: bool,
    whole_read_us: Option<MonoTime>,
    /// Whether the daemon whose list differed last is to be asked for it.
    pub is_request_due: bool,
    requested_us: Option<MonoTime>,
}

impl Divergence {
    /// Records a comparison at the same version. Returns whether a read of the whole list is due now, and was not before.
    pub fn compared(
        &mut self,
        now_us: MonoTime,
        from: &HostId,
        is_same: bool,
        scope: BroadcastScope,
    ) -> bool {
        if scope == BroadcastScope::DataCentre {
            self.results.retain(|_, (at_us, _)| now_us < *at_us + RESULT_TTL_MS);
            self.results.insert(from.clone(), (now_us, is_same));
        }
        let is_reacted_to = !is_same && self.is_outvoted(scope);
        let was_asked =
            self.requested_us.is_some_and(|requested_us| now_us < requested_us + REQUEST_INTERVAL_MS);
        if is_reacted_to && !was_asked {
            self.is_request_due = true;
            self.requested_us = Some(now_us);
        }
        let was_read = self.whole_read_us.is_some_and(|read_us| now_us < read_us + WHOLE_READ_INTERVAL_MS);
        if !is_reacted_to || was_read || self.is_whole_read_due {
            return false;
        }
        self.is_whole_read_due = true;
        true
    }

    fn is_outvoted(&self, scope: BroadcastScope) -> bool {
        match scope {
            BroadcastScope::AllDaemons => true,
            BroadcastScope::DataCentre => {
                let same = self.results.values().filter(|(_, is_same)| *is_same).count();
                2 * same < self.results.len()
            }
        }
    }

    /// Records that the whole list was read.
    pub fn whole_read(&mut self, now_us: MonoTime) {
        if std::mem::take(&mut self.is_whole_read_due) {
            self.whole_read_us = Some(now_us);
        }
        self.results.clear();
    }
}
