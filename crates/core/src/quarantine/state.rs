//! Evidence held by one daemon, and the verdicts derived from it.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::cleared::ClearedRequests;
use super::evidence::{Crash, Evidence, is_refuted};
use super::fingerprint::{Fingerprint, FingerprintKind, Fingerprints};
use super::report::{Finding, Gossip, Report, ReportId, ReportPage};
use crate::ids::{BackendServerId, Incarnation};
use crate::retransmit::RetransmitQueue;
use crate::units::{Micros, Millis, MonoTime};

/// Maximum number of reports per message, so that it fits a datagram together with its other contents.
const GOSSIP_REPORTS_MAX: usize = 12;

/// Maximum number of reports per page sent to a daemon whose digest differs, so that it fits a datagram.
const PAGE_REPORTS_MAX: usize = 64;

/// Minimum interval between two requests for reports.
const PULL_INTERVAL_MS: Millis = Millis(250);

/// Interval after a page without new reports. Digests differ briefly while reports are in transit, and for
/// longer if one daemon dropped reports that another kept.
const PULL_BACKOFF_MS: Millis = Millis(1_000);

/// Interval between two removals of expired evidence.
const EXPIRE_INTERVAL_MS: Millis = Millis(1_000);

/// Number of crashes that a quarantined request counts for against a part of its prompt. One fewer than it takes to quarantine
/// the request, so that the weight against the part does not fall when that happens.
const CRASHES_PER_REQUEST: usize = 2;

/// Settings of a [`Quarantine`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineSettings {
    /// Number of crashes that put a request in quarantine.
    pub crashes: usize,
    /// Number of crashes, none of them explained by what is in quarantine, that put a part of a prompt in quarantine. More than
    /// for a request: parts are shared, so that more of them are at crashing servers by chance.
    pub part_crashes: usize,
    /// Time from the last of these crashes to the quarantine of a part, within which other daemons report runs that clear it.
    pub part_settle_ms: Millis,
    /// How many of these crashes must not be explained by another quarantined request. A request that is
    /// resumed on several servers in turn shares the crashes of the request that causes them.
    pub unexplained_crashes: usize,
    /// Time for which a crash counts as evidence.
    pub evidence_ms: Millis,
    /// Maximum number of requests with evidence that are tracked.
    pub suspects_max: usize,
    /// Maximum number of requests remembered as having run without a crash.
    pub cleared_max: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes: 3,
            part_crashes: 5,
            part_settle_ms: Millis(500),
            unexplained_crashes: 2,
            evidence_ms: Millis(15 * 60 * 1_000),
            suspects_max: 512,
            cleared_max: 4_096,
        }
    }
}

/// Change of the quarantine state of a request or of a part of prompts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Request or part that the verdict is about.
    pub fingerprint: Fingerprint,
    /// Whether it is now in quarantine.
    pub is_quarantined: bool,
    /// Number of distinct crashes attributed to it.
    pub crashes: usize,
    /// Number of other parts that a prompt has to hold as well to be refused, since any of them may be the cause.
    pub companions: usize,
    /// Whether this daemon reported the latest crash; false on release.
    pub is_reporter: bool,
}

/// Result of processing a message of another daemon.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReceiveOutcome {
    /// Verdicts that changed.
    pub verdicts: Vec<Verdict>,
    /// Request for the reports of that daemon, with the fingerprint after which they start (`None`: from the
    /// beginning). `None` if no request is to be sent.
    pub pull_after: Option<Option<Fingerprint>>,
    /// Reports that this daemon refuted; the next message to the others says so and should be sent soon.
    pub refutations: Vec<Refutation>,
}

/// A crash that does not count against a request because a server of this daemon recently ran it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refutation {
    /// Request that the crash was reported for.
    pub fingerprint: Fingerprint,
    /// Time since a server last ran the request without crashing.
    pub survival_age_ms: Millis,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The request itself or the part of its prompt that is in quarantine.
    pub fingerprint: Fingerprint,
    /// Remaining time in quarantine.
    pub left_ms: Millis,
}

/// Result of adding reports of another daemon.
#[derive(Debug, Default)]
struct AddedReports {
    is_any_new: bool,
    refutations: Vec<Refutation>,
}

/// Crash evidence of one daemon.
///
/// A request may crash every server that runs it and be repeated through any daemon, while other requests are
/// in flight at the same servers. The service must neither lose all its servers nor refuse innocent requests.
/// Crashes are therefore counted across all daemons, a request that a server ran without crashing is cleared,
/// and crashes explained by a quarantined request do not count against others.
///
/// A part of prompts may crash servers whatever request it comes in. Parts that have been in the same prompts at all crashes
/// cannot be told apart: a prompt is refused only if it holds all of them, until runs without a crash clear the innocent ones.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    incarnation: Incarnation,
    reports_created: u64,
    suspects: HashMap<Fingerprint, Evidence>,
    cleared: ClearedRequests,
    /// Reports of this daemon to send with the next messages. A daemon that misses all of them detects it by
    /// the digest.
    pending: RetransmitQueue<Pending>,
    digest: u64,
    next_pull_us: MonoTime,
    /// Fingerprint after which the next request for reports starts; `None` from the beginning.
    pull_cursor: Option<Fingerprint>,
    next_expire_us: MonoTime,
    /// When the evidence against a part is old enough for a verdict; `None` if no part has enough of it.
    next_settled_us: Option<MonoTime>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    fingerprint: Fingerprint,
    id: ReportId,
}

impl Quarantine {
    /// Creates an empty state for the daemon with this incarnation.
    pub fn new(settings: QuarantineSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            reports_created: 0,
            suspects: HashMap::new(),
            cleared: ClearedRequests::new(settings.cleared_max),
            pending: RetransmitQueue::default(),
            digest: 0,
            next_pull_us: MonoTime::default(),
            pull_cursor: None,
            next_expire_us: MonoTime::default(),
            next_settled_us: None,
        }
    }

    /// Records that `server` crashed while the request was in flight there for `in_flight_ms`. Ignored for
    /// requests that recently ran without a crash.
    pub fn record_crash(
        &mut self,
        now_us: MonoTime,
        fingerprint: Fingerprint,
        server: BackendServerId,
        in_flight_ms: Millis,
    ) -> Vec<Verdict> {
        let is_refuted =
            self.cleared.last_survived_us(fingerprint).is_some_and(|at_us| is_refuted(now_us, at_us));
        if is_refuted {
            return Vec::new();
        }
        self.create_report(now_us, fingerprint, Finding::Crashed { server, in_flight_ms })
    }

    /// Records that a server ran the request without crashing.
    pub fn record_survival(&mut self, now_us: MonoTime, fingerprint: Fingerprint) -> Vec<Verdict> {
        self.cleared.record(fingerprint, now_us);
        if self.suspects.get(&fingerprint).is_none_or(|evidence| evidence.crashes.is_empty()) {
            return Vec::new();
        }
        self.create_report(now_us, fingerprint, Finding::Survived)
    }

    /// Whether a crash is attributed to the request.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|evidence| !evidence.crashes.is_empty())
    }

    /// Whether the request or part is in quarantine.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|evidence| evidence.is_quarantined)
    }

    /// Why a request must not be sent to a server; `None` if it may.
    pub fn refusal(&self, now_us: MonoTime, fingerprints: &Fingerprints) -> Option<Refusal> {
        let refused = fingerprints.iter().find(|fingerprint| {
            let evidence = self.suspects.get(fingerprint).filter(|evidence| evidence.is_quarantined);
            let has = |companion: &Fingerprint| fingerprints.prompt_parts.contains(companion);
            evidence.is_some_and(|evidence| evidence.companions.iter().all(has))
        })?;
        Some(Refusal { fingerprint: refused, left_ms: self.left_ms(now_us, refused)? })
    }

    /// Remaining time in quarantine; `None` if the request or part is not in quarantine.
    pub fn left_ms(&self, now_us: MonoTime, fingerprint: Fingerprint) -> Option<Millis> {
        let evidence = self.suspects.get(&fingerprint).filter(|evidence| evidence.is_quarantined)?;
        // The quarantine ends when the oldest crash that is needed to reach the threshold expires.
        let crashes = evidence.distinct_crashes(|_| true);
        let deciding = crashes.get(self.crashes_min(fingerprint).saturating_sub(1)).or(crashes.last())?;
        Some((deciding.at_us + self.settings.evidence_ms).since(self.evidence_time(now_us)).to_millis_ceil())
    }

    /// Reports of a request, to be saved.
    pub fn reports(&self, now_us: MonoTime, fingerprint: Fingerprint) -> Vec<Report> {
        let evidence = self.suspects.get(&fingerprint);
        evidence.map(|evidence| evidence.reports(self.evidence_time(now_us), fingerprint)).unwrap_or_default()
    }

    /// Adds saved reports.
    pub fn restore(&mut self, now_us: MonoTime, reports: Vec<Report>) -> Vec<Verdict> {
        if self.add_reports(now_us, reports).is_any_new { self.evaluate(now_us) } else { Vec::new() }
    }

    /// Whether a part in quarantine is refused alone: it is not known otherwise which of several is the cause.
    pub fn is_sole_cause(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|evidence| evidence.companions.is_empty())
    }

    /// Numbers of requests and parts with evidence, and of those in quarantine.
    pub fn counts(&self) -> (usize, usize) {
        let quarantined = self.suspects.values().filter(|evidence| evidence.is_quarantined).count();
        (self.suspects.len(), quarantined)
    }

    /// Drops expired evidence, at most once per `EXPIRE_INTERVAL_MS`, and judges parts whose evidence has settled.
    pub fn expire(&mut self, now_us: MonoTime) -> Vec<Verdict> {
        if now_us < self.next_expire_us || self.suspects.is_empty() {
            let is_settled = self.next_settled_us.is_some_and(|at_us| now_us >= at_us);
            return if is_settled { self.evaluate(now_us) } else { Vec::new() };
        }
        self.next_expire_us = now_us + EXPIRE_INTERVAL_MS;
        // Evidence times are shifted by `evidence_ms`, so the current time is the expiry limit.
        for evidence in self.suspects.values_mut() {
            evidence.expire(now_us);
        }
        self.suspects.retain(|_, evidence| !evidence.is_empty());
        self.evaluate(now_us)
    }

    /// Reports and digest to send with the next message to the other daemons.
    pub fn gossip(&mut self, now_us: MonoTime) -> Gossip {
        let evidence_now_us = self.evidence_time(now_us);
        let mut reports = Vec::new();
        for pending in self.pending.take_newest(GOSSIP_REPORTS_MAX) {
            let evidence = self.suspects.get(&pending.fingerprint);
            let known = evidence.map(|evidence| evidence.reports(evidence_now_us, pending.fingerprint));
            reports.extend(known.into_iter().flatten().find(|report| report.id == pending.id));
        }
        Gossip { reports, digest: self.digest }
    }

    /// Processes the reports and the digest of another daemon's message.
    pub fn receive(&mut self, now_us: MonoTime, gossip: Gossip) -> ReceiveOutcome {
        let AddedReports { is_any_new, refutations } = self.add_reports(now_us, gossip.reports);
        let verdicts = if is_any_new { self.evaluate(now_us) } else { Vec::new() };
        let is_pull_due = gossip.digest != self.digest && now_us >= self.next_pull_us;
        if is_pull_due {
            self.next_pull_us = now_us + PULL_INTERVAL_MS;
        }
        ReceiveOutcome { verdicts, pull_after: is_pull_due.then_some(self.pull_cursor), refutations }
    }

    /// Reports after a fingerprint, or from the beginning, for a daemon that requests them.
    pub fn page(&self, now_us: MonoTime, after: Option<Fingerprint>) -> ReportPage {
        let evidence_now_us = self.evidence_time(now_us);
        let mut remaining: Vec<&Fingerprint> = self
            .suspects
            .keys()
            .filter(|fingerprint| after.is_none_or(|after| **fingerprint > after))
            .collect();
        remaining.sort_unstable();
        let mut page = ReportPage::default();
        for fingerprint in remaining {
            let reports = self.suspects[fingerprint].reports(evidence_now_us, *fingerprint);
            if page.reports.len() + reports.len() > PAGE_REPORTS_MAX {
                page.more_after = page.reports.last().map(|report| report.fingerprint);
                break;
            }
            page.reports.extend(reports);
        }
        page
    }

    /// Processes a page of reports from another daemon.
    pub fn receive_page(&mut self, now_us: MonoTime, page: ReportPage) -> ReceiveOutcome {
        let AddedReports { is_any_new, refutations } = self.add_reports(now_us, page.reports);
        self.pull_cursor = page.more_after;
        if !is_any_new {
            self.next_pull_us = now_us + PULL_BACKOFF_MS;
            return ReceiveOutcome::default();
        }
        ReceiveOutcome { verdicts: self.evaluate(now_us), pull_after: page.more_after.map(Some), refutations }
    }

    /// Shifts a time by `evidence_ms`, so that findings from before the start of the process have a valid
    /// time.
    fn evidence_time(&self, now_us: MonoTime) -> MonoTime {
        now_us + self.settings.evidence_ms
    }

    fn create_report(
        &mut self,
        now_us: MonoTime,
        fingerprint: Fingerprint,
        finding: Finding,
    ) -> Vec<Verdict> {
        if self.add_own_report(now_us, fingerprint, finding, Millis::ZERO) {
            self.evaluate(now_us)
        } else {
            Vec::new()
        }
    }

    /// Adds a report of this daemon and schedules it for sending; returns whether it was new.
    fn add_own_report(
        &mut self,
        now_us: MonoTime,
        fingerprint: Fingerprint,
        finding: Finding,
        age_ms: Millis,
    ) -> bool {
        let id = ReportId { incarnation: self.incarnation, sequence: self.reports_created };
        self.reports_created += 1;
        let is_new = self.add_report(now_us, Report { id, fingerprint, finding, age_ms });
        if is_new {
            self.pending.push(Pending { fingerprint, id });
        }
        is_new
    }

    fn add_reports(&mut self, now_us: MonoTime, reports: Vec<Report>) -> AddedReports {
        let mut added = AddedReports::default();
        for report in reports {
            let fingerprint = report.fingerprint;
            if self.add_report(now_us, report) {
                added.is_any_new = true;
                added.refutations.extend(self.refute(now_us, fingerprint));
            }
        }
        added
    }

    /// Reports that a server of this daemon recently ran the request, if that refutes a crash counted against it.
    /// A daemon that has not run the request itself would attribute crashes to it that coincide by chance.
    fn refute(&mut self, now_us: MonoTime, fingerprint: Fingerprint) -> Option<Refutation> {
        let survived_us = self.cleared.last_survived_us(fingerprint)?;
        let evidence = self.suspects.get(&fingerprint)?;
        if !evidence.has_crash_refuted_by(self.evidence_time(survived_us)) {
            return None;
        }
        let survival_age_ms = now_us.since(survived_us).to_millis_ceil();
        let is_new = self.add_own_report(now_us, fingerprint, Finding::Survived, survival_age_ms);
        is_new.then_some(Refutation { fingerprint, survival_age_ms })
    }

    /// Adds one report; returns whether it was new.
    fn add_report(&mut self, now_us: MonoTime, report: Report) -> bool {
        let Report { id, fingerprint, finding, age_ms } = report;
        if age_ms >= self.settings.evidence_ms {
            return false;
        }
        let at_us = MonoTime(self.evidence_time(now_us).0.saturating_sub(Micros::from(age_ms).0));
        let evidence = self.suspects.entry(fingerprint).or_default();
        let is_new = match finding {
            Finding::Crashed { server, in_flight_ms } => {
                evidence.add(Crash { id, server, at_us, in_flight_ms })
            }
            Finding::Survived => evidence.clear(id, at_us),
        };
        if is_new {
            self.evict_over_limit(fingerprint);
        }
        is_new
    }

    /// Evicts one request if there are more than `suspects_max`: preferably not in quarantine, then with the
    /// fewest crashes, then with the oldest evidence. Never evicts `keep`.
    fn evict_over_limit(&mut self, keep: Fingerprint) {
        if self.suspects.len() <= self.settings.suspects_max {
            return;
        }
        let others = self.suspects.iter().filter(|(fingerprint, _)| **fingerprint != keep);
        let victim = others.min_by_key(|(fingerprint, evidence)| {
            (evidence.is_quarantined, evidence.crashes.len(), evidence.last_seen_us(), **fingerprint)
        });
        if let Some(victim) = victim.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&victim);
        }
    }

    /// Number of crashes that put a request or part in quarantine.
    fn crashes_min(&self, fingerprint: Fingerprint) -> usize {
        match fingerprint.kind() {
            FingerprintKind::Request => self.settings.crashes,
            FingerprintKind::PromptPart => self.settings.part_crashes,
        }
    }

    /// Re-evaluates which requests and parts are in quarantine and returns the changes.
    fn evaluate(&mut self, now_us: MonoTime) -> Vec<Verdict> {
        self.digest =
            self.suspects.values().flat_map(Evidence::report_ids).fold(0, |sum, id| sum ^ id.digest());
        let mut verdicts = self.release();
        // A request accounts for the crashes of its parts, so it is judged first.
        let parts = self.part_candidates(now_us);
        for fingerprint in self.request_candidates().into_iter().chain(parts.iter().copied()) {
            if !self.is_convicted(fingerprint, None) || self.is_better_explained(fingerprint, &parts) {
                continue;
            }
            if let Some(evidence) = self.suspects.get_mut(&fingerprint) {
                evidence.is_quarantined = true;
                verdicts.push(self.verdict(fingerprint));
            }
        }
        self.update_companions(&mut verdicts);
        verdicts
    }

    /// Whether another part that is in fewer prompts leaves too few crashes of this one unexplained: the first part of most
    /// prompts is at all crashes that a rarer one causes.
    fn is_better_explained(&self, fingerprint: Fingerprint, parts: &[Fingerprint]) -> bool {
        let evidence = &self.suspects[&fingerprint];
        parts.iter().any(|other| {
            let other = &self.suspects[other];
            let is_rarer = evidence.covers(other) && !other.covers(evidence);
            is_rarer && !other.is_quarantined && !self.is_convicted(fingerprint, Some(other))
        })
    }

    /// Whether the crashes that nothing else explains suffice for a quarantine. Those of `assumed` count as explained.
    ///
    /// A part may crash servers under each of several requests until that request is in quarantine and explains those crashes.
    /// So a quarantined request counts against the parts of its own prompt, but not against those at the same servers by chance.
    fn is_convicted(&self, fingerprint: Fingerprint, assumed: Option<&Evidence>) -> bool {
        let evidence = &self.suspects[&fingerprint];
        let is_assumed = |crash: &Crash| assumed.is_some_and(|assumed| assumed.has(crash));
        let is_unexplained = |crash: &Crash| !self.is_explained(crash) && !is_assumed(crash);
        let unexplained = evidence.distinct_crashes(is_unexplained).len();
        match fingerprint.kind() {
            FingerprintKind::Request => unexplained >= self.settings.unexplained_crashes,
            FingerprintKind::PromptPart => {
                let quarantined = self.suspects.iter().filter(|(other, request)| {
                    request.is_quarantined && other.kind() == FingerprintKind::Request
                });
                let covered = quarantined.filter(|(_, request)| evidence.shares_attempts(request)).count();
                unexplained + covered * CRASHES_PER_REQUEST >= self.settings.part_crashes
            }
        }
    }

    fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let evidence = &self.suspects[&fingerprint];
        Verdict {
            fingerprint,
            is_quarantined: evidence.is_quarantined,
            crashes: evidence.distinct_crashes(|_| true).len(),
            companions: evidence.companions.len(),
            is_reporter: evidence.is_quarantined && evidence.last_reporter() == Some(self.incarnation),
        }
    }

    /// Releases what has too few crashes left.
    fn release(&mut self) -> Vec<Verdict> {
        let quarantined = self.suspects.iter().filter(|(_, evidence)| evidence.is_quarantined);
        let is_cleared = |(fingerprint, evidence): &(&Fingerprint, &Evidence)| {
            evidence.distinct_crashes(|_| true).len() < self.crashes_min(**fingerprint)
        };
        let released: Vec<Fingerprint> =
            quarantined.filter(is_cleared).map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &released {
            if let Some(evidence) = self.suspects.get_mut(fingerprint) {
                evidence.is_quarantined = false;
                evidence.companions.clear();
            }
        }
        released.into_iter().map(|fingerprint| self.verdict(fingerprint)).collect()
    }

    fn unquarantined(&self, kind: FingerprintKind) -> impl Iterator<Item = (Fingerprint, &Evidence)> {
        let suspects = self.suspects.iter().map(|(fingerprint, evidence)| (*fingerprint, evidence));
        suspects.filter(move |(fingerprint, evidence)| fingerprint.kind() == kind && !evidence.is_quarantined)
    }

    /// Requests not in quarantine with enough crashes, ordered by likelihood of causing them: most crashes
    /// first, then the shortest time in flight.
    fn request_candidates(&self) -> Vec<Fingerprint> {
        let counted = self.unquarantined(FingerprintKind::Request).map(|(fingerprint, evidence)| {
            let crashes = evidence.distinct_crashes(|_| true).len();
            (Reverse(crashes), evidence.in_flight_ms(), fingerprint)
        });
        let mut candidates: Vec<_> =
            counted.filter(|(crashes, ..)| crashes.0 >= self.settings.crashes).collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|(_, _, fingerprint)| fingerprint).collect()
    }

    /// Parts not in quarantine with enough crashes that have settled, ordered by likelihood of causing them: most crashes
    /// first, then the fewest reports, since a part in more prompts is also in those that were at the same server by chance.
    fn part_candidates(&mut self, now_us: MonoTime) -> Vec<Fingerprint> {
        let QuarantineSettings { part_crashes, part_settle_ms, evidence_ms, .. } = self.settings;
        let evidence_now_us = self.evidence_time(now_us);
        let mut candidates = Vec::new();
        let mut next_settled_us: Option<MonoTime> = None;
        for (fingerprint, evidence) in self.unquarantined(FingerprintKind::PromptPart) {
            let crashes = evidence.distinct_crashes(|_| true);
            let Some(deciding) = crashes.len().checked_sub(part_crashes).and_then(|at| crashes.get(at))
            else {
                continue;
            };
            let settled_us = deciding.at_us + part_settle_ms;
            if settled_us <= evidence_now_us {
                candidates.push((Reverse(crashes.len()), evidence.crashes.len(), fingerprint));
            } else {
                let settled_us = MonoTime(settled_us.0.saturating_sub(Micros::from(evidence_ms).0));
                next_settled_us = Some(next_settled_us.map_or(settled_us, |next_us| next_us.min(settled_us)));
            }
        }
        self.next_settled_us = next_settled_us;
        candidates.sort_unstable();
        candidates.into_iter().map(|(_, _, fingerprint)| fingerprint).collect()
    }

    /// Finds for each quarantined part those that cannot be told apart from it.
    fn update_companions(&mut self, verdicts: &mut Vec<Verdict>) {
        let quarantined = self.suspects.iter().filter(|(fingerprint, evidence)| {
            evidence.is_quarantined && fingerprint.kind() == FingerprintKind::PromptPart
        });
        let changed: Vec<(Fingerprint, Vec<Fingerprint>)> = quarantined
            .filter_map(|(fingerprint, evidence)| {
                let others = self.unquarantined(FingerprintKind::PromptPart);
                let covering = others.filter(|(_, other)| other.covers(evidence));
                let mut companions: Vec<Fingerprint> = covering.map(|(other, _)| other).collect();
                companions.sort_unstable();
                (companions != evidence.companions).then_some((*fingerprint, companions))
            })
            .collect();
        for (fingerprint, companions) in changed {
            if let Some(evidence) = self.suspects.get_mut(&fingerprint) {
                evidence.companions = companions;
            }
            verdicts.retain(|verdict| verdict.fingerprint != fingerprint);
            verdicts.push(self.verdict(fingerprint));
        }
    }

    /// Whether a quarantined request or part was in flight at the same server when it crashed.
    fn is_explained(&self, crash: &Crash) -> bool {
        let quarantined = self.suspects.values().filter(|evidence| evidence.is_quarantined);
        quarantined.flat_map(|evidence| &evidence.crashes).any(|known| known.is_same_as(crash))
    }
}
