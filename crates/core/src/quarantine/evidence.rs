//! The evidence against one request.

use super::Fingerprint;
use super::report::{Finding, Report, ReportId};
use crate::ids::{BackendServerId, Incarnation};
use crate::units::{Millis, MonoTime};

/// Reports of one server within this time are of one crash; a server that crashed is back after some seconds.
const SAME_CRASH_MS: Millis = Millis(1_000);

/// Reports of crashes that are kept of one request; several daemons may report each crash.
const CRASHES_MAX: usize = 32;

/// A server that crashed with the request in flight.
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
        self.server == other.server && later_us < earlier_us + SAME_CRASH_MS
    }
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Oldest first.
    pub(super) crashes: Vec<Crash>,
    survived: Option<(ReportId, MonoTime)>,
    pub(super) is_quarantined: bool,
}

impl Evidence {
    /// Adds a crash; returns whether it was new.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let is_known = self.crashes.iter().any(|known| known.id == crash.id);
        let is_cleared = self.survived.is_some_and(|(_, at_us)| crash.at_us <= at_us);
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

    /// A server has run the request and lives: what was seen before proves nothing any more.
    pub(super) fn clear(&mut self, id: ReportId, at_us: MonoTime) -> bool {
        if self.survived.is_some_and(|(_, known_us)| known_us >= at_us) {
            return false;
        }
        self.survived = Some((id, at_us));
        self.crashes.retain(|crash| crash.at_us > at_us);
        true
    }

    /// Drops what is from `oldest_us` or before.
    pub(super) fn expire(&mut self, oldest_us: MonoTime) {
        self.crashes.retain(|crash| crash.at_us > oldest_us);
        self.survived = self.survived.filter(|(_, at_us)| *at_us > oldest_us);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survived.is_none()
    }

    /// The life of the daemon that reported the newest crash.
    pub(super) fn newest_incarnation(&self) -> Option<Incarnation> {
        Some(self.crashes.last()?.id.incarnation)
    }

    pub(super) fn newest_us(&self) -> Option<MonoTime> {
        let survived_us = self.survived.map(|(_, at_us)| at_us);
        self.crashes.iter().map(|crash| crash.at_us).chain(survived_us).max()
    }

    /// Crashes for which `counts` holds, newest first; reports of one crash count once.
    pub(super) fn distinct<Counts>(&self, counts: Counts) -> Vec<&Crash>
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

    /// How long the request was at the servers that crashed, all together. What crashes them has mostly come last.
    pub(super) fn in_flight_ms(&self) -> Millis {
        self.crashes.iter().fold(Millis::ZERO, |sum, crash| sum + crash.in_flight_ms)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = ReportId> + '_ {
        self.crashes.iter().map(|crash| crash.id).chain(self.survived.map(|(id, _)| id))
    }

    /// All of it as reports.
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
        let survived = self.survived.map(|(id, at_us)| report(id, Finding::Survived, at_us));
        survived.into_iter().chain(crashes).collect()
    }
}
