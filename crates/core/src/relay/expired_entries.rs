//! Entries that vanish from the list of servers around an outage of the store.
//!
//! An entry lapses when its server has not renewed it, and while the store is away no server can. Taken at its word,
//! the list after an outage would take every server out of use until they have registered again, and all callers
//! would be refused for two seconds. So what vanished is kept for that long; what is still missing then is gone.

use std::collections::BTreeMap;

use crate::ids::BackendServerId;
use crate::units::{Millis, MonoTime};

/// Time after the store's return in which servers that live have registered again.
const RETURN_MS: Millis = Millis(2_000);

/// Entries that vanished and are not believed gone yet.
#[derive(Clone, Debug, Default)]
pub struct Lapses {
    is_away: bool,
    /// Until when a vanished entry proves nothing.
    doubted_until_us: MonoTime,
    held: BTreeMap<BackendServerId, MonoTime>,
}

impl Lapses {
    /// A read of the list failed.
    pub fn lost(&mut self) {
        self.is_away = true;
    }

    /// A read came through.
    pub fn read(&mut self, now_us: MonoTime) {
        if std::mem::take(&mut self.is_away) {
            self.doubted_until_us = now_us + RETURN_MS;
        }
    }

    /// Takes what a read says; returns which of the `vanished` servers are gone now. Those that are `listed` again are
    /// not held any more.
    pub fn filter<'a, Listed>(
        &mut self,
        now_us: MonoTime,
        vanished: Vec<BackendServerId>,
        listed: Listed,
    ) -> Vec<BackendServerId>
    where
        Listed: Iterator<Item = &'a BackendServerId>,
    {
        for server in listed {
            self.held.remove(server);
        }
        if now_us < self.doubted_until_us {
            for server in vanished {
                self.held.entry(server).or_insert(self.doubted_until_us);
            }
            return Vec::new();
        }
        let mut gone = vanished;
        let is_due = |_: &BackendServerId, until_us: &mut MonoTime| *until_us <= now_us;
        gone.extend(self.held.extract_if(.., is_due).map(|(server, _)| server));
        gone
    }
}
