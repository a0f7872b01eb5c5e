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
    /// The same, by this daemon's own reads only.
    read_us: Option<MonoTime>,
    /// The last read, whether it came through or not.
    tried_us: Option<MonoTime>,
    /// Reads that failed since the last that came through.
    failures: u32,
    /// Whether another daemon knows something newer.
    is_behind: bool,
    /// Until when the first read is left to those that read for all.
    left_until_us: MonoTime,
}

impl Reading {
    /// Nothing is known yet.
    pub fn new(settings: ReadingSettings) -> Self {
        Self {
            settings,
            as_of_us: None,
            read_us: None,
            tried_us: None,
            failures: 0,
            is_behind: false,
            left_until_us: MonoTime::default(),
        }
    }

    /// Leaves the first read until then to those that read for all.
    ///
    /// Load: hundreds of daemons start together. Harm prevented: each reads the whole list, page by page, and the store turns
    /// them away.
    pub fn leave_first_read(&mut self, until_us: MonoTime) {
        self.left_until_us = until_us;
    }

    /// A read begins.
    pub fn begin(&mut self, now_us: MonoTime) {
        self.tried_us = Some(now_us);
        self.is_behind = false;
    }

    /// The read that began at `begun_us` came through.
    pub fn done(&mut self, begun_us: MonoTime) {
        self.as_of_us = self.as_of_us.max(Some(begun_us));
        self.read_us = self.read_us.max(Some(begun_us));
        self.failures = 0;
    }

    /// The read did not come through.
    pub fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Another daemon handed on what it knew `age_us` ago.
    pub fn handed(&mut self, now_us: MonoTime, age_us: Micros) {
        self.as_of_us = self.as_of_us.max(Some(MonoTime(now_us.0.saturating_sub(age_us.0))));
        self.is_behind = false;
    }

    /// Another daemon told the very change that this one was behind by. Reads that failed before say nothing of the store
    /// any more: somebody has read it since.
    pub fn caught_up(&mut self) {
        self.is_behind = false;
        self.failures = 0;
    }

    /// Whether knowledge of this age is newer than what is known here.
    pub fn is_older(&self, now_us: MonoTime, age_us: Micros) -> bool {
        self.as_of_us < Some(MonoTime(now_us.0.saturating_sub(age_us.0)))
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

    /// Whether somebody else knows something newer.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Age of what is known here; `None` before anything was.
    pub fn age_us(&self, now_us: MonoTime) -> Option<Micros> {
        Some(now_us.since(self.as_of_us?))
    }

    /// Age of what this daemon read itself: that is what it tells the others. An age that was heard has lost the time
    /// that the message took. Told on and on it would stand still, and with no reader left nobody would read: routes
    /// were in force 3.9 s late among 67 daemons.
    pub fn read_age_us(&self, now_us: MonoTime) -> Option<Micros> {
        Some(now_us.since(self.read_us?))
    }

    /// When to read next, at this place among the daemons that read for all.
    ///
    /// Load: hundreds of daemons whose readers are late. Harm prevented: all of them read at once, the store is late for that
    /// reason, and they never stop. So in a large fleet they stand in one after the other, and a read that
    /// came through keeps the rest quiet.
    pub fn next_us(&self, place: usize) -> MonoTime {
        let is_reader = place < self.readers();
        let Some(tried_us) = self.tried_us else {
            let is_left = !is_reader && self.left_until_us > MonoTime::default();
            let as_of_us = self.as_of_us.filter(|_| is_left);
            let left_until_us = if is_left { self.left_until_us } else { MonoTime::default() };
            return as_of_us.map_or(left_until_us, |as_of_us| as_of_us + self.stale_ms(place));
        };
        let retry_us = tried_us + self.retry_ms(is_reader);
        let Some(as_of_us) = self.as_of_us else {
            let left_until_us = if is_reader { MonoTime::default() } else { self.left_until_us };
            return retry_us.max(tried_us + self.settings.period_ms).max(left_until_us);
        };
        if is_reader {
            return retry_us.max(tried_us + self.settings.period_ms);
        }
        if self.is_behind {
            return retry_us.max(tried_us + BEHIND_PAUSE_MS);
        }
        retry_us.max(as_of_us + self.stale_ms(place)).max(tried_us + self.settings.period_ms)
    }

    /// Daemons that read for all. Where others stand in one after the other, the second one need not read all the while: each
    /// reader has the store send every renewal of every server's entry.
    fn readers(&self) -> usize {
        if self.left_until_us > MonoTime::default() { READERS_LEFT } else { self.settings.readers }
    }

    /// Age of its knowledge at which a daemon at this place reads.
    fn stale_ms(&self, place: usize) -> Millis {
        let is_left = self.left_until_us > MonoTime::default();
        let before = if is_left { place.saturating_sub(self.readers()) as u64 } else { 0 };
        self.settings.stale_ms + Millis(STAND_IN_MS.0 * before)
    }

    /// When to ask another daemon that knows something newer. The store's failures are no reason to wait for that.
    pub fn next_ask_us(&self) -> MonoTime {
        self.tried_us.map_or(MonoTime::default(), |tried_us| tried_us + BEHIND_PAUSE_MS)
    }

    /// Pause after reads that failed.
    fn retry_ms(&self, is_reader: bool) -> Millis {
        let is_left = !is_reader && self.left_until_us > MonoTime::default();
        let most = if is_left { MOST_DOUBLINGS_LEFT } else { MOST_DOUBLINGS };
        let doublings = self.failures.saturating_sub(1).min(most);
        if self.failures == 0 { Millis::ZERO } else { Millis(RETRY_MS.0 << doublings) }
    }
}

/// Daemons of a data centre that read for all where others stand in for them.
const READERS_LEFT: usize = 1;

/// Time between two daemons of a data centre that stand in for readers who are late.
const STAND_IN_MS: Millis = Millis(100);

/// Pause after the first read that failed; doubled with each further one.
const RETRY_MS: Millis = Millis(100);

/// Longest pause 0.8 s: entries are back two seconds after the store is, and have to be known by then.
const MOST_DOUBLINGS: u32 = 3;

/// Longest pause 6.4 s where readers read for hundreds: if all of these asked a store in need as often as their readers do,
/// it would never get over it.
const MOST_DOUBLINGS_LEFT: u32 = 6;

/// Least pause between two reads of a daemon that is behind: what it was told of may not be readable at once.
const BEHIND_PAUSE_MS: Millis = Millis(50);

/// Whether the daemon on `own` reads for all, given the `others` that live: the first few by the hash of their names,
/// so that all agree without a word and the duty moves by itself.
pub fn is_reader<'a, Others>(settings: &ReadingSettings, own: &HostId, others: Others) -> bool
where
    Others: Iterator<Item = &'a HostId>,
{
    place(own, others) < settings.readers
}

/// How many of the `others` read for all before the daemon on `own`.
pub fn place<'a, Others>(own: &HostId, others: Others) -> usize
where
    Others: Iterator<Item = &'a HostId>,
{
    let rank = rank(own);
    others.filter(|other| self::rank(other) < rank).count()
}

fn rank(host: &HostId) -> (u64, &str) {
    let mut hasher = DefaultHasher::new();
    host.as_str().hash(&mut hasher);
    (hasher.finish(), host.as_str())
}
