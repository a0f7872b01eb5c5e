//! The evidence that one daemon holds, and what follows from it.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::Fingerprint;
use super::evidence::{Crash, Evidence};
use super::report::{Finding, Gossip, Report, ReportId, ReportPage};
use super::survivors::Survivors;
use crate::ids::{BackendServerId, Incarnation};
use crate::retransmit::RetransmitQueue;
use crate::units::{Micros, Millis, MonoTime};

/// Reports in one message. A message fits a datagram beside what else it holds.
const GOSSIP_REPORTS_MAX: usize = 12;

/// Reports in one answer to a daemon whose digest differs; they fit a datagram.
const PAGE_REPORTS_MAX: usize = 64;

/// Pause between two questions for reports.
const ASK_PAUSE_MS: Millis = Millis(250);

/// The same after an answer without news: digests differ for a moment while reports travel, and for longer where one
/// daemon has dropped what another one kept.
const ASK_PAUSE_NO_NEWS_MS: Millis = Millis(1_000);

/// Pause between two looks for evidence that is too old.
const EXPIRE_PAUSE_MS: Millis = Millis(1_000);

/// Limits of a [`Quarantine`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineSettings {
    /// Crashes under a request that put it in quarantine.
    pub crashes: usize,
    /// How many of them no other request in quarantine may account for. A request that is resumed at one server after
    /// the other shares the crashes of the one that causes them.
    pub own_crashes: usize,
    /// For how long a crash counts.
    pub evidence_ms: Millis,
    /// Requests with evidence against them that are remembered.
    pub suspects_max: usize,
    /// Requests that are remembered to have run without harm.
    pub survivors_max: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes: 3,
            own_crashes: 2,
            evidence_ms: Millis(15 * 60 * 1_000),
            suspects_max: 512,
            survivors_max: 4_096,
        }
    }
}

/// A request was put in quarantine, or let out of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it is in quarantine now.
    pub is_quarantined: bool,
    /// Servers that crashed under it, as far as that counts.
    pub crashes: usize,
    /// Whether this daemon made the newest of the reports.
    pub is_reporter: bool,
}

/// What follows from a message of another daemon.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Received {
    /// What changed.
    pub verdicts: Vec<Verdict>,
    /// Whether to ask that daemon for its reports, and behind which fingerprint.
    pub ask: Option<Option<Fingerprint>>,
}

/// The evidence of one daemon.
///
/// Load: one request crashes whichever server runs it and comes again through any daemon, among requests that are in
/// flight at the same servers. Harm prevented: a service without servers, and innocent requests refused. So crashes are
/// counted over all daemons, a request that some server ran and outlived is cleared, and crashes that a request in
/// quarantine accounts for do not count against others.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    incarnation: Incarnation,
    reports_made: u64,
    suspects: HashMap<Fingerprint, Evidence>,
    survivors: Survivors,
    /// Reports of this daemon for the next messages; whoever misses all of them notices by the digest.
    pending: RetransmitQueue<Pending>,
    digest: u64,
    ask_at_us: MonoTime,
    /// Behind which fingerprint to ask next.
    asked_after: Option<Fingerprint>,
    expire_at_us: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    fingerprint: Fingerprint,
    id: ReportId,
}

impl Quarantine {
    /// No evidence, on the daemon with this life.
    pub fn new(settings: QuarantineSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            reports_made: 0,
            suspects: HashMap::new(),
            survivors: Survivors::new(settings.survivors_max),
            pending: RetransmitQueue::default(),
            digest: 0,
            ask_at_us: MonoTime::default(),
            asked_after: None,
            expire_at_us: MonoTime::default(),
        }
    }

    /// A server crashed that had the request for `in_flight_ms`.
    pub fn crashed(
        &mut self,
        now_us: MonoTime,
        fingerprint: Fingerprint,
        server: BackendServerId,
        in_flight_ms: Millis,
    ) -> Vec<Verdict> {
        if self.survivors.contains(fingerprint) {
            return Vec::new();
        }
        self.report(now_us, fingerprint, Finding::Crashed { server, in_flight_ms })
    }

    /// A server has run the request and lives.
    pub fn survived(&mut self, now_us: MonoTime, fingerprint: Fingerprint) -> Vec<Verdict> {
        self.survivors.note(fingerprint);
        if self.suspects.get(&fingerprint).is_none_or(|evidence| evidence.crashes.is_empty()) {
            return Vec::new();
        }
        self.report(now_us, fingerprint, Finding::Survived)
    }

    /// Whether a server is known to have crashed under the request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|evidence| !evidence.crashes.is_empty())
    }

    /// Whether the request is in quarantine.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|evidence| evidence.is_quarantined)
    }

    /// How long the request stays in quarantine, if it is.
    pub fn left_ms(&self, now_us: MonoTime, fingerprint: Fingerprint) -> Option<Millis> {
        let evidence = self.suspects.get(&fingerprint).filter(|evidence| evidence.is_quarantined)?;
        // It leaves when the last crash is too old without which too few are left.
        let crashes = evidence.distinct(|_| true);
        let decisive = crashes.get(self.settings.crashes.saturating_sub(1)).or(crashes.last())?;
        Some((decisive.at_us + self.settings.evidence_ms).since(self.reckoned(now_us)).to_millis_ceil())
    }

    /// The reports of a request, for saving them.
    pub fn reports(&self, now_us: MonoTime, fingerprint: Fingerprint) -> Vec<Report> {
        let evidence = self.suspects.get(&fingerprint);
        evidence.map(|evidence| evidence.reports(self.reckoned(now_us), fingerprint)).unwrap_or_default()
    }

    /// Takes reports that were saved.
    pub fn restore(&mut self, now_us: MonoTime, reports: Vec<Report>) -> Vec<Verdict> {
        if self.take_all(now_us, reports) { self.evaluate() } else { Vec::new() }
    }

    /// Requests with evidence against them, and those of them in quarantine.
    pub fn counts(&self) -> (usize, usize) {
        let quarantined = self.suspects.values().filter(|evidence| evidence.is_quarantined).count();
        (self.suspects.len(), quarantined)
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now_us: MonoTime) -> Vec<Verdict> {
        if now_us < self.expire_at_us || self.suspects.is_empty() {
            return Vec::new();
        }
        self.expire_at_us = now_us + EXPIRE_PAUSE_MS;
        // Reckoned times are later by the age at which evidence expires.
        for evidence in self.suspects.values_mut() {
            evidence.expire(now_us);
        }
        self.suspects.retain(|_, evidence| !evidence.is_empty());
        self.evaluate()
    }

    /// What goes into the next message to the other daemons.
    pub fn gossip(&mut self, now_us: MonoTime) -> Gossip {
        let reckoned_us = self.reckoned(now_us);
        let mut reports = Vec::new();
        for pending in self.pending.take_newest(GOSSIP_REPORTS_MAX) {
            let evidence = self.suspects.get(&pending.fingerprint);
            let known = evidence.map(|evidence| evidence.reports(reckoned_us, pending.fingerprint));
            reports.extend(known.into_iter().flatten().find(|report| report.id == pending.id));
        }
        Gossip { reports, digest: self.digest }
    }

    /// Takes what came with a message of another daemon.
    pub fn receive(&mut self, now_us: MonoTime, gossip: Gossip) -> Received {
        let is_news = self.take_all(now_us, gossip.reports);
        let verdicts = if is_news { self.evaluate() } else { Vec::new() };
        let asks = gossip.digest != self.digest && now_us >= self.ask_at_us;
        if asks {
            self.ask_at_us = now_us + ASK_PAUSE_MS;
        }
        Received { verdicts, ask: asks.then_some(self.asked_after) }
    }

    /// Answers a daemon that asks for the reports behind a fingerprint.
    pub fn page(&self, now_us: MonoTime, after: Option<Fingerprint>) -> ReportPage {
        let reckoned_us = self.reckoned(now_us);
        let mut behind: Vec<&Fingerprint> = self
            .suspects
            .keys()
            .filter(|fingerprint| after.is_none_or(|after| **fingerprint > after))
            .collect();
        behind.sort_unstable();
        let mut page = ReportPage::default();
        for fingerprint in behind {
            let reports = self.suspects[fingerprint].reports(reckoned_us, *fingerprint);
            if page.reports.len() + reports.len() > PAGE_REPORTS_MAX {
                page.more_after = page.reports.last().map(|report| report.fingerprint);
                break;
            }
            page.reports.extend(reports);
        }
        page
    }

    /// Takes an answer to such a question.
    pub fn receive_page(&mut self, now_us: MonoTime, page: ReportPage) -> Received {
        let is_news = self.take_all(now_us, page.reports);
        self.asked_after = page.more_after;
        if !is_news {
            self.ask_at_us = now_us + ASK_PAUSE_NO_NEWS_MS;
            return Received::default();
        }
        Received { verdicts: self.evaluate(), ask: page.more_after.map(Some) }
    }

    /// A time in this daemon's own reckoning, in which what was seen before the process started has a time as well.
    fn reckoned(&self, now_us: MonoTime) -> MonoTime {
        now_us + self.settings.evidence_ms
    }

    fn report(&mut self, now_us: MonoTime, fingerprint: Fingerprint, finding: Finding) -> Vec<Verdict> {
        let id = ReportId { incarnation: self.incarnation, sequence: self.reports_made };
        self.reports_made += 1;
        if !self.take(now_us, Report { id, fingerprint, finding, age_ms: Millis::ZERO }) {
            return Vec::new();
        }
        self.pending.push(Pending { fingerprint, id });
        self.evaluate()
    }

    fn take_all(&mut self, now_us: MonoTime, reports: Vec<Report>) -> bool {
        let mut is_news = false;
        for report in reports {
            is_news |= self.take(now_us, report);
        }
        is_news
    }

    /// Takes one report; returns whether it was new.
    fn take(&mut self, now_us: MonoTime, report: Report) -> bool {
        let Report { id, fingerprint, finding, age_ms } = report;
        if age_ms >= self.settings.evidence_ms {
            return false;
        }
        let at_us = MonoTime(self.reckoned(now_us).0.saturating_sub(Micros::from(age_ms).0));
        let evidence = self.suspects.entry(fingerprint).or_default();
        let is_news = match finding {
            Finding::Crashed { server, in_flight_ms } => {
                evidence.add(Crash { id, server, at_us, in_flight_ms })
            }
            Finding::Survived => evidence.clear(id, at_us),
        };
        if is_news {
            self.make_room(fingerprint);
        }
        is_news
    }

    /// Drops a request beyond the bound: one that is not in quarantine, with the fewest crashes, the oldest of those.
    fn make_room(&mut self, newest: Fingerprint) {
        if self.suspects.len() <= self.settings.suspects_max {
            return;
        }
        let others = self.suspects.iter().filter(|(fingerprint, _)| **fingerprint != newest);
        let least = others.min_by_key(|(fingerprint, evidence)| {
            (evidence.is_quarantined, evidence.crashes.len(), evidence.newest_us(), **fingerprint)
        });
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }

    /// Decides anew which requests are in quarantine; returns what changed.
    fn evaluate(&mut self) -> Vec<Verdict> {
        self.digest = self.suspects.values().flat_map(Evidence::ids).fold(0, |sum, id| sum ^ id.digest());
        let mut verdicts = Vec::new();
        for (fingerprint, evidence) in &mut self.suspects {
            let crashes = evidence.distinct(|_| true).len();
            if evidence.is_quarantined && crashes < self.settings.crashes {
                evidence.is_quarantined = false;
                let verdict =
                    Verdict { fingerprint: *fingerprint, is_quarantined: false, crashes, is_reporter: false };
                verdicts.push(verdict);
            }
        }
        for (fingerprint, crashes) in self.candidates() {
            let own = {
                let evidence = &self.suspects[&fingerprint];
                evidence.distinct(|crash| !self.is_explained(crash)).len()
            };
            if own < self.settings.own_crashes {
                continue;
            }
            if let Some(evidence) = self.suspects.get_mut(&fingerprint) {
                evidence.is_quarantined = true;
                let is_reporter = evidence.newest_incarnation() == Some(self.incarnation);
                verdicts.push(Verdict { fingerprint, is_quarantined: true, crashes, is_reporter });
            }
        }
        verdicts
    }

    /// Requests outside of quarantine with enough crashes, those that most likely cause them first: the most crashes,
    /// then the shortest time at the servers.
    fn candidates(&self) -> Vec<(Fingerprint, usize)> {
        let open = self.suspects.iter().filter(|(_, evidence)| !evidence.is_quarantined);
        let counted = open.map(|(fingerprint, evidence)| {
            (*fingerprint, evidence.distinct(|_| true).len(), evidence.in_flight_ms())
        });
        let mut candidates: Vec<_> =
            counted.filter(|(_, crashes, _)| *crashes >= self.settings.crashes).collect();
        candidates.sort_unstable_by_key(|(fingerprint, crashes, in_flight_ms)| {
            (Reverse(*crashes), *in_flight_ms, *fingerprint)
        });
        candidates.into_iter().map(|(fingerprint, crashes, _)| (fingerprint, crashes)).collect()
    }

    /// Whether a request in quarantine was at the server as well.
    fn is_explained(&self, crash: &Crash) -> bool {
        let quarantined = self.suspects.values().filter(|evidence| evidence.is_quarantined);
        quarantined.flat_map(|evidence| &evidence.crashes).any(|known| known.is_same_as(crash))
    }
}
