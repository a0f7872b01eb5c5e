//! Who reads what the store keeps, and when.
//!
//! Routes and servers must be known everywhere within two seconds, and each call to the store is paid for. So a few
//! daemons read, and tell the others how old their knowledge is and what it comes to; whoever knows the same is as
//! up to date as they are without a call. Nobody depends on them: a daemon that hears nothing fresh reads itself.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::ids::HostId;
use crate::units::{Micros, Millis, MonoTime};

/// When something is read.
#[derive(Clone, Copy, Debug)]
pub struct ReadingSettings {
    /// Daemons that read for all. One is enough; the second covers the time until its end is noticed.
    pub readers: usize,
    /// Pause between their reads. A leaving server has to be known within two seconds of its entry.
    pub period_ms: Millis,
    /// Age of its knowledge at which a daemon reads itself. With the pause of the readers it stays below the two
    /// seconds; shorter than two pauses, a single lost message would cost a call.
    pub stale_ms: Millis,
}

impl Default for ReadingSettings {
    fn default() -> Self {
        Self { readers: 2, period_ms: Millis(500), stale_ms: Millis(1_200) }
    }
}

/// What another daemon says of its knowledge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Told {
    /// Whether it knows the same as this one.
    pub is_same: bool,
    /// How old its knowledge is.
    pub age_us: Micros,
}

/// When one daemon reads one thing.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    settings: ReadingSettings,
    /// The store's contents of this moment, or later ones, are known here.
    as_of_us: Option<MonoTime>,
    /// The last read, whether it came through or not.
    tried_us: Option<MonoTime>,
    /// Whether another daemon knows something newer.
    is_behind: bool,
}

impl Reading {
    /// Nothing is known yet.
    pub fn new(settings: ReadingSettings) -> Self {
        Self { settings, as_of_us: None, tried_us: None, is_behind: false }
    }

    /// A read begins.
    pub fn begin(&mut self, now_us: MonoTime) {
        self.tried_us = Some(now_us);
        self.is_behind = false;
    }

    /// The read that began at `begun_us` came through.
    pub fn done(&mut self, begun_us: MonoTime) {
        self.as_of_us = self.as_of_us.max(Some(begun_us));
    }

    /// Another daemon told of its knowledge. Returns whether this one has to read now.
    pub fn heard(&mut self, now_us: MonoTime, told: Told) -> bool {
        let as_of_us = Some(MonoTime(now_us.0.saturating_sub(told.age_us.0)));
        let is_newer = as_of_us > self.as_of_us;
        if told.is_same {
            self.as_of_us = self.as_of_us.max(as_of_us);
        } else if is_newer {
            self.is_behind = true;
        }
        self.is_behind
    }

    /// Age of what is known here; `None` before anything was.
    pub fn age_us(&self, now_us: MonoTime) -> Option<Micros> {
        Some(now_us.since(self.as_of_us?))
    }

    /// When to read next.
    pub fn next_us(&self, is_reader: bool) -> MonoTime {
        let (Some(as_of_us), Some(tried_us)) = (self.as_of_us, self.tried_us) else {
            return self.tried_us.map_or(MonoTime::default(), |tried_us| tried_us + self.settings.period_ms);
        };
        if is_reader {
            return tried_us + self.settings.period_ms;
        }
        if self.is_behind {
            return tried_us + BEHIND_PAUSE_MS;
        }
        (as_of_us + self.settings.stale_ms).max(tried_us + self.settings.period_ms)
    }
}

/// Least pause between two reads of a daemon that is behind: what it was told of may not be readable at once.
const BEHIND_PAUSE_MS: Millis = Millis(50);

/// Whether the daemon on `own` reads for all, given the `others` that live: the first few by the hash of their names,
/// so that all agree without a word and the duty moves by itself.
pub fn is_reader<'a, Others>(settings: &ReadingSettings, own: &HostId, others: Others) -> bool
where
    Others: Iterator<Item = &'a HostId>,
{
    let rank = rank(own);
    others.filter(|other| self::rank(other) < rank).count() < settings.readers
}

fn rank(host: &HostId) -> (u64, &str) {
    let mut hasher = DefaultHasher::new();
    host.as_str().hash(&mut hasher);
    (hasher.finish(), host.as_str())
}
