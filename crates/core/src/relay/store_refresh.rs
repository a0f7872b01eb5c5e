//! Schedule of the reads by which a daemon refreshes its copy of routes and servers from the store.
//!
//! Changes of routes and servers must reach all daemons within two seconds, and each call to the store has a
//! cost. So a few daemons, the readers, poll the store and report the age and a summary of their copy to the
//! other daemons; a daemon with an equal copy is as up to date without a call. No daemon depends on the
//! readers: one that receives no recent report reads the store itself.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::ids::HostId;
use crate::units::{Micros, Millis, MonoTime};

/// Number of readers and intervals of their reads.
#[derive(Clone, Copy, Debug)]
pub struct RefreshSettings {
    /// Number of daemons that poll the store on behalf of all. One suffices; a second one covers the time
    /// until a failure of the first is detected.
    pub readers: usize,
    /// Interval between the reads of a reader. All daemons must learn of a leaving server within two seconds
    /// after the store lists it as leaving.
    pub period_ms: Millis,
    /// Age of its copy at which a daemon reads the store itself. The sum with `period_ms` must stay below two
    /// seconds. A value below twice `period_ms` would cause a call after a single lost message.
    pub stale_ms: Millis,
}

impl Default for RefreshSettings {
    fn default() -> Self {
        Self { readers: 2, period_ms: Millis(500), stale_ms: Millis(1_200) }
    }
}

/// Report of another daemon on its copy of the resource.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerReport {
    /// Whether the other daemon's copy equals the copy of this daemon.
    pub is_same: bool,
    /// Age of the other daemon's copy.
    pub age_us: Micros,
}

/// Schedule of one daemon's reads of one resource.
#[derive(Clone, Copy, Debug)]
pub struct RefreshSchedule {
    settings: RefreshSettings,
    /// The local copy is at least as recent as the contents of the store at this time.
    as_of_us: Option<MonoTime>,
    /// Start of this daemon's last successful read.
    own_read_us: Option<MonoTime>,
    /// Start of the last read, successful or not.
    last_attempt_us: Option<MonoTime>,
    /// Consecutive failed reads.
    failures: u32,
    /// Whether another daemon has a newer copy.
    is_behind: bool,
    /// Time until which a daemon that is not a reader and has no copy defers its first read.
    deferred_until_us: MonoTime,
}

impl RefreshSchedule {
    /// A schedule for a resource that was not read yet.
    pub fn new(settings: RefreshSettings) -> Self {
        Self {
            settings,
            as_of_us: None,
            own_read_us: None,
            last_attempt_us: None,
            failures: 0,
            is_behind: false,
            deferred_until_us: MonoTime::default(),
        }
    }

    /// Defers the first read until `until_us` while this daemon is not a reader and has no copy.
    ///
    /// When hundreds of daemons start together and each reads the whole list page by page, the store rejects
    /// their reads.
    pub fn defer_first_read(&mut self, until_us: MonoTime) {
        self.deferred_until_us = until_us;
    }

    /// Records the start of a read.
    pub fn read_started(&mut self, now_us: MonoTime) {
        self.last_attempt_us = Some(now_us);
        self.is_behind = false;
    }

    /// Records that the read begun at `started_us` succeeded.
    pub fn read_succeeded(&mut self, started_us: MonoTime) {
        self.as_of_us = self.as_of_us.max(Some(started_us));
        self.own_read_us = self.own_read_us.max(Some(started_us));
        self.failures = 0;
    }

    /// Records that a read failed.
    pub fn read_failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that a copy of age `age_us` was adopted from another daemon.
    pub fn adopted_from_peer(&mut self, now_us: MonoTime, age_us: Micros) {
        self.as_of_us = self.as_of_us.max(Some(MonoTime(now_us.0.saturating_sub(age_us.0))));
        self.is_behind = false;
    }

    /// Records that another daemon sent the change that the local copy lacked. Resets the count of failed
    /// reads, since the store has answered another daemon in the meantime.
    pub fn caught_up(&mut self) {
        self.is_behind = false;
        self.failures = 0;
    }

    /// Whether the local copy is older than a copy of age `age_us`.
    pub fn is_older_than(&self, now_us: MonoTime, age_us: Micros) -> bool {
        self.as_of_us < Some(MonoTime(now_us.0.saturating_sub(age_us.0)))
    }

    /// Applies a report of another daemon. Returns whether this daemon has to read now.
    pub fn peer_reported(&mut self, now_us: MonoTime, report: PeerReport) -> bool {
        let as_of_us = Some(MonoTime(now_us.0.saturating_sub(report.age_us.0)));
        let is_newer = as_of_us > self.as_of_us;
        if report.is_same {
            self.as_of_us = self.as_of_us.max(as_of_us);
        } else if is_newer {
            self.is_behind = true;
        }
        self.is_behind
    }

    /// Whether another daemon has a newer copy.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Age of the copy; `None` if there is none yet.
    pub fn age_us(&self, now_us: MonoTime) -> Option<Micros> {
        Some(now_us.since(self.as_of_us?))
    }

    /// Whether the copy was read, or confirmed by another daemon, later than at `at_us`.
    pub fn is_confirmed_since(&self, at_us: MonoTime) -> bool {
        self.as_of_us > Some(at_us)
    }

    /// Age of this daemon's last successful read, which it reports to other daemons. It does not forward ages
    /// from other daemons, because they lack the transit time of the message: if daemons forward them to each
    /// other, the age stops growing, and once the readers have failed no daemon reads the store. Among 67
    /// daemons, routes came into force 3.9 s late for this reason.
    pub fn read_age_us(&self, now_us: MonoTime) -> Option<Micros> {
        Some(now_us.since(self.own_read_us?))
    }

    /// Time of the next read for a daemon of this rank among the readers.
    ///
    /// If the readers of a fleet of hundreds of daemons are late and all other daemons read at once, the
    /// store is overloaded, reads stay late and the overload persists. So in a large fleet the daemons take
    /// over in rank order, and after the first successful read the daemons of higher rank do not need to
    /// read.
    pub fn next_read_us(&self, rank: usize) -> MonoTime {
        let is_reader = rank < self.readers();
        let Some(last_attempt_us) = self.last_attempt_us else {
            let is_deferred = !is_reader && self.deferred_until_us > MonoTime::default();
            let as_of_us = self.as_of_us.filter(|_| is_deferred);
            let deferred_until_us = if is_deferred { self.deferred_until_us } else { MonoTime::default() };
            return as_of_us.map_or(deferred_until_us, |as_of_us| as_of_us + self.stale_ms(rank));
        };
        let retry_us = last_attempt_us + self.retry_ms(is_reader);
        let Some(as_of_us) = self.as_of_us else {
            let deferred_until_us = if is_reader { MonoTime::default() } else { self.deferred_until_us };
            return retry_us.max(last_attempt_us + self.settings.period_ms).max(deferred_until_us);
        };
        if is_reader {
            return retry_us.max(last_attempt_us + self.settings.period_ms);
        }
        if self.is_behind {
            return retry_us.max(last_attempt_us + CATCH_UP_PAUSE_MS);
        }
        retry_us.max(as_of_us + self.stale_ms(rank)).max(last_attempt_us + self.settings.period_ms)
    }

    /// Number of readers. In a fleet in which daemons take over in rank order, one reader suffices, and a
    /// second one would be costly: the store sends each reader every renewal of every server's entry.
    fn readers(&self) -> usize {
        if self.deferred_until_us > MonoTime::default() { DEFERRED_READERS } else { self.settings.readers }
    }

    /// Age of its copy at which a daemon of this rank reads.
    fn stale_ms(&self, rank: usize) -> Millis {
        let is_deferred = self.deferred_until_us > MonoTime::default();
        let predecessors = if is_deferred { rank.saturating_sub(self.readers()) as u64 } else { 0 };
        self.settings.stale_ms + Millis(TAKEOVER_STAGGER_MS.0 * predecessors)
    }

    /// Time of the next query to another daemon that has a newer copy. Failed reads of the store do not delay
    /// it.
    pub fn next_peer_query_us(&self) -> MonoTime {
        self.last_attempt_us
            .map_or(MonoTime::default(), |last_attempt_us| last_attempt_us + CATCH_UP_PAUSE_MS)
    }

    /// Pause after failed reads.
    fn retry_ms(&self, is_reader: bool) -> Millis {
        let is_deferred = !is_reader && self.deferred_until_us > MonoTime::default();
        let max_doublings = if is_deferred { DEFERRED_RETRY_DOUBLINGS_MAX } else { RETRY_DOUBLINGS_MAX };
        let doublings = self.failures.saturating_sub(1).min(max_doublings);
        if self.failures == 0 { Millis::ZERO } else { Millis(RETRY_BASE_MS.0 << doublings) }
    }
}

/// Number of readers in a data centre whose other daemons take over in rank order.
const DEFERRED_READERS: usize = 1;

/// Delay between two daemons of a data centre that take over from late readers.
const TAKEOVER_STAGGER_MS: Millis = Millis(100);

/// Pause after the first failed read; doubled with each further one.
const RETRY_BASE_MS: Millis = Millis(100);

/// Limits the pause to 0.8 s. After an outage of the store, the entries are present again within two seconds,
/// and daemons have to know them by then.
const RETRY_DOUBLINGS_MAX: u32 = 3;

/// Limits the pause to 6.4 s for daemons other than the readers of a large fleet: an overloaded store would
/// not recover if hundreds of daemons retried as often as the readers.
const DEFERRED_RETRY_DOUBLINGS_MAX: u32 = 6;

/// Minimum pause between two reads of a daemon that is behind: a change announced by another daemon may not
/// be readable at once.
const CATCH_UP_PAUSE_MS: Millis = Millis(50);

/// Whether the daemon on `own` is a reader, given the live `others`. The daemons with the lowest hashes of
/// their host names are the readers, so that all daemons choose the same ones without communication and
/// another daemon takes over when a reader fails.
pub fn is_reader<'a, Others>(settings: &RefreshSettings, own: &HostId, others: Others) -> bool
where
    Others: Iterator<Item = &'a HostId>,
{
    reader_rank(own, others) < settings.readers
}

/// Number of the `others` that rank before the daemon on `own` as readers.
pub fn reader_rank<'a, Others>(own: &HostId, others: Others) -> usize
where
    Others: Iterator<Item = &'a HostId>,
{
    let host_hash = host_hash(own);
    others.filter(|other| self::host_hash(other) < host_hash).count()
}

/// The daemon of `hosts` that ranks first as a reader.
pub fn first_reader<'a, Hosts>(hosts: Hosts) -> Option<&'a HostId>
where
    Hosts: Iterator<Item = &'a HostId>,
{
    hosts.min_by_key(|host| host_hash(host))
}

fn host_hash(host: &HostId) -> (u64, &str) {
    let mut hasher = DefaultHasher::new();
    host.as_str().hash(&mut hasher);
    (hasher.finish(), host.as_str())
}
