//! Server entries that vanish from the list around an outage of the store.
//!
//! An entry expires when its server does not renew it, and during an outage of the store no server can.
//! Applied as it is, the list after an outage would take every server out of use until it has registered
//! again, and all callers would be refused for two seconds. So vanished servers are kept for that long; those
//! still missing then are gone.
//!
//! A daemon that is cut off from the store cannot tell this from an outage. Other daemons that read the list meanwhile
//! can: for them a vanished server is gone at once. So whoever reads a change passes on what vanished, also what it
//! keeps itself, and each daemon decides by whether its own reads failed or its own list was old a moment ago.

use std::collections::BTreeMap;

use crate::ids::BackendServerId;
use crate::units::{Micros, Millis, MonoTime};

/// Time after the store's return within which live servers have registered again.
const REREGISTRATION_GRACE_MS: Millis = Millis(2_000);

/// Shortest outage in which entries can expire: servers renew them each 1.2 s, and they live for three such intervals.
const OUTAGE_MIN_MS: Millis = Millis(2_000);

/// Time between the return of the store and the last moment at which the list is still seen to be old.
const OBSERVED_LATE_MS: Millis = Millis(500);

/// Vanished entries that do not count as gone yet.
#[derive(Clone, Debug, Default)]
pub struct ExpiredEntries {
    is_store_down: bool,
    /// Until when a vanished entry does not prove that its server is gone.
    grace_until_us: MonoTime,
    pending: BTreeMap<BackendServerId, MonoTime>,
}

impl ExpiredEntries {
    /// Records that a read of the list failed.
    pub fn read_failed(&mut self) {
        self.is_store_down = true;
    }

    /// Records that a read of the list succeeded.
    pub fn read_succeeded(&mut self, now_us: MonoTime) {
        if std::mem::take(&mut self.is_store_down) {
            self.grace_until_us = self.grace_until_us.max(now_us + REREGISTRATION_GRACE_MS);
        }
    }

    /// Records the age of the list; to be called several times a second. A list that others confirm is young again at
    /// once after an outage, while its entries have not been registered again yet: so what counts is whether it was old
    /// a moment ago.
    pub fn observe_age(&mut self, now_us: MonoTime, age_us: Option<Micros>) {
        if age_us.is_some_and(|age_us| age_us >= Micros::from(OUTAGE_MIN_MS)) {
            self.grace_until_us = now_us + REREGISTRATION_GRACE_MS + OBSERVED_LATE_MS;
            // No server can register again before the store is back.
            self.pending.values_mut().for_each(|until_us| *until_us = self.grace_until_us);
        }
    }

    /// When the first vanished entry counts as gone.
    pub fn next_due_us(&self) -> Option<MonoTime> {
        self.pending.values().min().copied()
    }

    /// Number of vanished entries that are kept.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Until when entries that vanish now are kept.
    pub fn grace_until_us(&self) -> MonoTime {
        self.grace_until_us
    }

    /// Forgets the vanished entries: the list of another daemon has replaced this one.
    pub fn replaced(&mut self) {
        self.pending.clear();
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
        let mut gone = if now_us < self.grace_until_us {
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
        let is_due = |_: &BackendServerId, until_us: &mut MonoTime| *until_us <= now_us;
        gone.extend(self.pending.extract_if(.., is_due).map(|(server, _)| server));
        gone
    }
}
