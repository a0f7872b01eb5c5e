//! Evidence collected about one request.

use super::Fingerprint;
use super::report::{Finding, Report, ReportId};
use crate::ids::{BackendServerId, Incarnation};
use crate::units::{Millis, MonoTime};

/// Reports of one server within this time refer to the same crash; a crashed server takes some seconds to
/// return.
const SAME_CRASH_WINDOW_MS: Millis = Millis(1_000);

/// Time after a run without a crash within which crashes do not count against a request. A request that is at
/// several crashing servers by chance is repeated so often that it ran elsewhere within this time.
const CLEARANCE_MS: Millis = Millis(10_000);

/// Whether a run without a crash at `survived_us` refutes a crash at `crashed_us`.
pub(super) fn is_refuted(crashed_us: MonoTime, survived_us: MonoTime) -> bool {
    crashed_us <= survived_us + CLEARANCE_MS
}

/// Maximum number of crash reports kept per request; several daemons may report the same crash.
const CRASHES_MAX: usize = 32;

/// Crash of a server while it had the request in flight.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) id: ReportId,
    pub(super) server: BackendServerId,
    pub(super) at_us: MonoTime,
    pub(super) in_flight_ms: Millis,
}

impl Crash {
    pub(super) fn is_same_as(&self, other: &Self) -> bool {
        let (earlier_us, later_us) = (self.at_us.min(other.at_us), self.at_us.max(other.at_us));
        self.server == other.server && later_us < earlier_us + SAME_CRASH_WINDOW_MS
    }

    /// Whether both are findings of one daemon about one attempt.
    fn is_same_attempt(&self, other: &Self) -> bool {
        let is_same_sender = self.id.incarnation == other.id.incarnation;
        is_same_sender && self.in_flight_ms == other.in_flight_ms && self.is_same_as(other)
    }
}

/// Evidence about one request or part of prompts.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Ordered from oldest to newest.
    pub(super) crashes: Vec<Crash>,
    cleared: Option<(ReportId, MonoTime)>,
    pub(super) is_quarantined: bool,
    /// Parts that were in all prompts under which a quarantined part crashed servers, so that they may be the cause as well.
    pub(super) companions: Vec<Fingerprint>,
}

impl Evidence {
    /// Adds a crash report. Returns false if it is known, or refuted by a run that cleared the request.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let is_known = self.crashes.iter().any(|known| known.id == crash.id);
        let is_cleared = self.cleared.is_some_and(|(_, survived_us)| is_refuted(crash.at_us, survived_us));
        if is_known || is_cleared {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at_us);
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.remove(0);
        }
        true
    }

    /// Records that a server ran the request without crashing, which discards the crashes that it refutes.
    /// Returns false if a run at least as recent is known.
    pub(super) fn clear(&mut self, id: ReportId, at_us: MonoTime) -> bool {
        if self.cleared.is_some_and(|(_, known_us)| known_us >= at_us) {
            return false;
        }
        self.cleared = Some((id, at_us));
        self.crashes.retain(|crash| !is_refuted(crash.at_us, at_us));
        true
    }

    /// Whether a run without a crash at `survived_us` refutes a crash that is counted against the request.
    pub(super) fn has_crash_refuted_by(&self, survived_us: MonoTime) -> bool {
        self.crashes.iter().any(|crash| is_refuted(crash.at_us, survived_us))
    }

    /// Drops evidence from `oldest_us` or earlier.
    pub(super) fn expire(&mut self, oldest_us: MonoTime) {
        self.crashes.retain(|crash| crash.at_us > oldest_us);
        self.cleared = self.cleared.filter(|(_, at_us)| *at_us > oldest_us);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_none()
    }

    /// Incarnation of the daemon that reported the latest crash.
    pub(super) fn last_reporter(&self) -> Option<Incarnation> {
        Some(self.crashes.last()?.id.incarnation)
    }

    pub(super) fn last_seen_us(&self) -> Option<MonoTime> {
        let cleared_us = self.cleared.map(|(_, at_us)| at_us);
        self.crashes.iter().map(|crash| crash.at_us).chain(cleared_us).max()
    }

    /// Crashes that satisfy `counts`, newest first; several reports of one crash count once.
    pub(super) fn distinct_crashes<Counts>(&self, counts: Counts) -> Vec<&Crash>
    where
        Counts: Fn(&Crash) -> bool,
    {
        let mut distinct: Vec<&Crash> = Vec::new();
        for crash in self.crashes.iter().rev().filter(|crash| counts(crash)) {
            if !distinct.iter().any(|known| known.is_same_as(crash)) {
                distinct.push(crash);
            }
        }
        distinct
    }

    /// Whether all crashes of `other` count against this suspect as well.
    pub(super) fn covers(&self, other: &Self) -> bool {
        other.crashes.iter().all(|crash| self.has(crash))
    }

    /// Whether this suspect was at the same crash.
    pub(super) fn has(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same_as(crash))
    }

    /// Whether all crashes of `request` were in attempts in which this suspect was as well.
    pub(super) fn shares_attempts(&self, request: &Self) -> bool {
        let is_shared = |crash: &Crash| self.crashes.iter().any(|known| known.is_same_attempt(crash));
        request.crashes.iter().all(is_shared)
    }

    /// Total time that the request was in flight at the crashed servers. A request that causes crashes
    /// usually arrived shortly before them.
    pub(super) fn in_flight_ms(&self) -> Millis {
        self.crashes.iter().fold(Millis::ZERO, |sum, crash| sum + crash.in_flight_ms)
    }

    pub(super) fn report_ids(&self) -> impl Iterator<Item = ReportId> + '_ {
        self.crashes.iter().map(|crash| crash.id).chain(self.cleared.map(|(id, _)| id))
    }

    /// All evidence as reports.
    pub(super) fn reports(&self, now_us: MonoTime, fingerprint: Fingerprint) -> Vec<Report> {
        let report = |id, finding, at_us: MonoTime| Report {
            id,
            fingerprint,
            finding,
            age_ms: now_us.since(at_us).to_millis_ceil(),
        };
        let crashes = self.crashes.iter().map(|crash| {
            let (server, in_flight_ms) = (crash.server.clone(), crash.in_flight_ms);
            report(crash.id, Finding::Crashed { server, in_flight_ms }, crash.at_us)
        });
        let cleared = self.cleared.map(|(id, at_us)| report(id, Finding::Survived, at_us));
        cleared.into_iter().chain(crashes).collect()
    }
}
