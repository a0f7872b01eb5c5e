//! Server entries that vanish from the list around an outage of the store.
//!
//! An entry expires when its server does not renew it, and during an outage of the store no server can.
//! Applied as it is, the list after an outage would take every server out of use until it has registered
//! again, and all callers would be refused for two seconds. So vanished servers are kept for that long; those
//! still missing then are gone.
//!
//! A daemon that is cut off from the store cannot tell this from an outage. Other daemons that read the list meanwhile
//! can: for them a vanished server is gone at once. So whoever reads a change passes on what vanished, also what it
//! keeps itself, and each daemon decides by whether its own reads failed or its own list was old a moment ago. Each also
//! tells the others for how long its list has been current: an outage, if there was one, ended before that.

use std::collections::BTreeMap;

use crate::ids::BackendServerId;
use crate::units::{Micros, Millis, MonoTime};

/// Time after the store's return within which live servers have registered again.
const REREGISTRATION_GRACE_MS: Millis = Millis(2_000);

/// Shortest outage in which entries can expire: servers renew them each 1.2 s, and they live for three such intervals.
const OUTAGE_MIN_MS: Millis = Millis(2_000);

/// Time between the return of the store and the last moment at which the list is still seen to be old.
const OBSERVED_LATE_MS: Millis = Millis(500);

/// Age of another daemon's report at which it no longer shows that the store is up. Entries live longer.
const REPORT_TTL_MS: Millis = Millis(1_500);

/// Longest time between two observations of the list's age for which it counts as current in between.
const OBSERVATION_GAP_MAX_MS: Millis = Millis(1_000);

/// What another daemon reports of its list.
#[derive(Clone, Copy, Debug)]
struct CurrentList {
    /// Since when it has been current without a gap.
    since_us: MonoTime,
    /// When the report arrived.
    as_of_us: MonoTime,
}

/// Vanished entries that do not count as gone yet.
#[derive(Clone, Debug, Default)]
pub struct ExpiredEntries {
    is_store_down: bool,
    /// Since when the own list has been current without a gap; `None` while it is old.
    current_since_us: Option<MonoTime>,
    /// When the age of the own list was last observed.
    observed_us: Option<MonoTime>,
    /// The list of another daemon that has been current for longest.
    other: Option<CurrentList>,
    /// Until when a vanished entry does not prove that its server is gone.
    grace_until_us: MonoTime,
    pending: BTreeMap<BackendServerId, MonoTime>,
}

impl ExpiredEntries {
    /// Records that a read of the list failed.
    pub fn read_failed(&mut self) {
        self.is_store_down = true;
    }

    /// Records that a read of the list succeeded. If reads failed before, the store may have been away until now, but not
    /// since the list has been current without a gap.
    pub fn read_succeeded(&mut self, now_us: MonoTime) {
        if std::mem::take(&mut self.is_store_down) {
            let current_since_us = self.current_since_us.filter(|_| !self.is_unobserved(now_us));
            let until_us = now_us + REREGISTRATION_GRACE_MS;
            let until_us = current_since_us.map_or(until_us, |since_us| {
                until_us.min(since_us + REREGISTRATION_GRACE_MS + OBSERVED_LATE_MS)
            });
            self.grace_until_us = self.grace_until_us.max(until_us);
        }
    }

    /// Records the age of the list; to be called several times a second. A list that others confirm is young again at
    /// once after an outage, while its entries have not been registered again yet: so what counts is whether it was old
    /// a moment ago.
    pub fn observe_age(&mut self, now_us: MonoTime, age_us: Option<Micros>) {
        let has_paused = self.is_unobserved(now_us);
        self.observed_us = Some(now_us);
        let is_current = age_us.is_some_and(|age_us| age_us < Micros::from(OUTAGE_MIN_MS));
        self.current_since_us =
            if is_current { self.current_since_us.filter(|_| !has_paused).or(Some(now_us)) } else { None };
        if age_us.is_some_and(|age_us| age_us >= Micros::from(OUTAGE_MIN_MS)) {
            self.grace_until_us = now_us + REREGISTRATION_GRACE_MS + OBSERVED_LATE_MS;
            // No server can register again before the store is back.
            self.pending.values_mut().for_each(|until_us| *until_us = self.grace_until_us);
        }
    }

    /// For how long the own list has been current without a gap, for the other daemons; `None` while it is old.
    pub fn current_for_us(&self, now_us: MonoTime) -> Option<Micros> {
        self.current_since_us.filter(|_| !self.is_unobserved(now_us)).map(|since_us| now_us.since(since_us))
    }

    /// Whether the age of the list was not observed for so long that it may have been old.
    fn is_unobserved(&self, now_us: MonoTime) -> bool {
        self.observed_us.is_none_or(|observed_us| now_us >= observed_us + OBSERVATION_GAP_MAX_MS)
    }

    /// Records that the list of another daemon has been current for `current_us` without a gap.
    pub fn other_is_current(&mut self, now_us: MonoTime, current_us: Micros) {
        let since_us = MonoTime(now_us.0.saturating_sub(current_us.0));
        let known = self.other.filter(|other| now_us < other.as_of_us + REPORT_TTL_MS);
        if known.is_none_or(|known| since_us <= known.since_us + OBSERVED_LATE_MS) {
            let since_us = known.map_or(since_us, |known| known.since_us.min(since_us));
            self.other = Some(CurrentList { since_us, as_of_us: now_us });
        }
    }

    /// When an entry that is kept until `until_us` counts as gone, by what other daemons report.
    fn due_us(&self, now_us: MonoTime, until_us: MonoTime) -> MonoTime {
        let other = self.other.filter(|other| now_us < other.as_of_us + REPORT_TTL_MS);
        other.map_or(until_us, |other| {
            until_us.min(other.since_us + REREGISTRATION_GRACE_MS + OBSERVED_LATE_MS)
        })
    }

    /// When the first vanished entry counts as gone.
    pub fn next_due_us(&self, now_us: MonoTime) -> Option<MonoTime> {
        self.pending.values().min().map(|until_us| self.due_us(now_us, *until_us))
    }

    /// Number of vanished entries that are kept.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Until when entries that vanish now are kept.
    pub fn grace_until_us(&self, now_us: MonoTime) -> MonoTime {
        self.due_us(now_us, self.grace_until_us)
    }

    /// The vanished entries that are kept, each with the time until it counts as gone.
    pub fn kept(&self, now_us: MonoTime) -> impl Iterator<Item = (&BackendServerId, Micros)> {
        self.pending
            .iter()
            .map(move |(server, until_us)| (server, self.due_us(now_us, *until_us).since(now_us)))
    }

    /// Whether a vanished entry is kept.
    pub fn is_kept(&self, server: &BackendServerId) -> bool {
        self.pending.contains_key(server)
    }

    /// The list of another daemon has replaced this one. The entries that it keeps count as gone when they do there.
    pub fn replaced(&mut self, now_us: MonoTime, kept: Vec<(BackendServerId, Micros)>) {
        self.pending = kept.into_iter().map(|(server, left_us)| (server, now_us + left_us)).collect();
    }

    /// Applies a read, or changes of another daemon; returns which of the `vanished` servers are gone now. Those `listed`
    /// again are no longer pending.
    pub fn confirm_gone<'a, Listed>(
        &mut self,
        now_us: MonoTime,
        vanished: Vec<BackendServerId>,
        listed: Listed,
    ) -> Vec<BackendServerId>
    where
        Listed: Iterator<Item = &'a BackendServerId>,
    {
        for server in listed {
            self.pending.remove(server);
        }
        let mut gone = if now_us < self.grace_until_us(now_us) {
            for server in vanished {
                self.pending.entry(server).or_insert(self.grace_until_us);
            }
            Vec::new()
        } else {
            for server in &vanished {
                self.pending.remove(server);
            }
            vanished
        };
        // Each due time is the earlier one of its own and one that is the same for all.
        let latest_us = self.due_us(now_us, MonoTime(u64::MAX));
        let is_due = |_: &BackendServerId, until_us: &mut MonoTime| latest_us.min(*until_us) <= now_us;
        gone.extend(self.pending.extract_if(.., is_due).map(|(server, _)| server));
        gone
    }
}
