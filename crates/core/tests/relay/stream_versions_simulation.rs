//! Daemons in virtual time that record streams, forget them at restarts, are cut off, and are asked to resume them.
//!
//! Each step has the order of the router: own record, records of others, versions that all have seen or that are saved.

use std::collections::{BTreeSet, HashMap};

use hibiscusvale_core::ids::{DataCentreId, HostId, ServiceId, SoftwareVersion};
use hibiscusvale_core::relay::stream_versions::{
    ALL_KEEPERS_MAX, Confirmation, SeenVersions, StreamKey, StreamLookup, StreamOrigin, StreamRecord,
    StreamVersions, VersionHistory, keepers, only_version,
};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Step of the simulation. Messages between daemons arrive within one.
const STEP_MS: u64 = 50;

/// Interval at which the daemon that saves versions does so.
const SAVE_INTERVAL_MS: u64 = 500;

/// Length of a run.
const RUN_MS: u64 = 90_000;

/// Time during which a stream is resumed after its first event.
const RESUME_MS: std::ops::Range<u64> = 0..14_000;

/// The same for callers that come back at once.
const RESUME_AT_ONCE_MS: std::ops::Range<u64> = 0..1_000;

/// Share of these callers, and of the cuts in which a version joins, per thousand.
const AT_ONCE_PER_MILLE: u32 = 300;
const JOIN_PER_MILLE: u32 = 300;

/// Time for which a daemon must have run undisturbed for its answers to count.
const CONTACT_MS: u64 = 3_000;

/// Time after which an own list that was not confirmed is not current.
const CURRENT_LIST_MS: u64 = 3_000;

/// Number of streams from which the share that goes on counts.
const TAKEN_UP_MIN: usize = 12;

/// Number of mixed streams that the users tolerate.
const MIXED_MAX: usize = 2;

/// A fault in the design that the checks have to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// Records reach the others long after the event.
    RecordsLate,
    /// Records hold the version of the first choice, which may have been replaced before the first event.
    WrongVersion,
    /// Records are dropped after a second.
    ForgetsEarly,
    /// Without a record a stream goes on at a version that serves.
    Guesses,
    /// A new daemon takes its own list for all that has ever served.
    TrustsShortHistory,
    /// A daemon takes a list that was current a moment ago for all that has served until now.
    TrustsOwnList,
    /// A daemon takes the replies of those that it reaches for those of all.
    TrustsReachable,
}

/// How versions come and go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Regime {
    /// Several serve most of the time, and come back.
    Churn,
    /// One serves, until another one replaces it or is taken back.
    Releases,
    /// As above, within moments, and nothing is wrong but that all daemons end at once.
    Restarts,
}

struct Daemon {
    host: HostId,
    data_centre: DataCentreId,
    streams: StreamVersions,
    history: VersionHistory,
    list_at: MonoTime,
    is_up: bool,
    is_cut: bool,
    /// When it was last started, stopped, cut off or reconnected.
    disturbed: MonoTime,
}

struct Stream {
    key: StreamKey,
    version: SoftwareVersion,
    began: MonoTime,
    resume_at: MonoTime,
    is_named: bool,
    /// The daemon that began it.
    at: usize,
    /// Whether that daemon could send its record to others.
    began_in_touch: bool,
    data_centre: DataCentreId,
}

#[derive(Debug, Default)]
struct Outcome {
    mixed: usize,
    in_touch: usize,
    in_touch_went_on: usize,
    /// Of those, the streams whose first daemon was in touch and has ended since.
    orphaned: usize,
    orphaned_went_on: usize,
    refused: usize,
}

struct Simulation {
    rng: StdRng,
    mutant: Mutant,
    regime: Regime,
    now: MonoTime,
    daemons: Vec<Daemon>,
    serving: BTreeSet<SoftwareVersion>,
    /// What is saved on the platform.
    saved: Option<Vec<SoftwareVersion>>,
    log: Vec<StreamRecord>,
    late: Vec<(MonoTime, Vec<HostId>, StreamRecord)>,
    streams: Vec<Stream>,
    outcome: Outcome,
    next_key: u64,
}

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn version(number: u64) -> SoftwareVersion {
    format!("v{number}").parse().unwrap()
}

impl Daemon {
    fn is_in_touch(&self, now: MonoTime) -> bool {
        self.is_up && !self.is_cut && now >= self.disturbed + Millis(CONTACT_MS)
    }

    fn start(&mut self, now: MonoTime, is_first: bool) {
        self.streams = StreamVersions::new(1 << 16);
        self.history = VersionHistory::new(is_first);
        self.list_at = now;
        self.is_up = true;
        self.disturbed = now;
    }
}

impl Simulation {
    fn new(seed: u64, daemons: usize, data_centres: usize, regime: Regime, mutant: Mutant) -> Self {
        let daemon = |number: usize| Daemon {
            host: format!("entry-{number}").parse().unwrap(),
            data_centre: format!("z-{}", number % data_centres).parse().unwrap(),
            streams: StreamVersions::new(1 << 16),
            history: VersionHistory::new(true),
            list_at: MonoTime::default(),
            is_up: true,
            is_cut: false,
            disturbed: MonoTime::default(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            mutant,
            regime,
            now: MonoTime::default(),
            daemons: (0..daemons).map(daemon).collect(),
            serving: BTreeSet::from([version(0)]),
            saved: None,
            log: Vec::new(),
            late: Vec::new(),
            streams: Vec::new(),
            outcome: Outcome::default(),
            next_key: 0,
        }
    }

    fn run(mut self) -> Outcome {
        while self.now < MonoTime::default() + Millis(RUN_MS) {
            self.change_versions();
            self.disturb();
            self.read_lists();
            self.deliver_late_records();
            (0..self.rng.random_range(0..3)).for_each(|_| self.begin());
            self.resume_due();
            self.now = self.now + Millis(STEP_MS);
        }
        self.outcome
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn change_versions(&mut self) {
        match (self.regime, self.serving.len()) {
            (Regime::Churn, _) => self.churn(),
            (Regime::Releases | Regime::Restarts, 1) => {
                if self.chance(if self.regime == Regime::Restarts { 3 } else { 1 }) {
                    self.release();
                }
            }
            (Regime::Releases | Regime::Restarts, _) => {
                if self.chance(if self.regime == Regime::Restarts { 200 } else { 20 }) {
                    let is_taken_back = self.chance(200);
                    if is_taken_back {
                        self.serving.pop_last()
                    } else {
                        self.serving.pop_first()
                    };
                }
            }
        }
    }

    /// A new version joins the only one.
    fn release(&mut self) {
        let number = (0..).find(|number| self.serving.iter().all(|serving| *serving < version(*number)));
        self.serving.extend(number.map(version));
        // From now on the version of a stream is not known without its record.
        let (now, service) = (self.now, service());
        for daemon in self.daemons.iter().filter(|daemon| daemon.is_up && !daemon.is_cut) {
            self.log.extend(daemon.streams.records_of(now, &service));
        }
    }

    fn churn(&mut self) {
        if self.chance(4) {
            let number = self.rng.random_range(0..4);
            if self.serving.len() > 1 && self.chance(500) {
                self.serving.pop_first();
            } else {
                self.serving.insert(version(number));
            }
        }
    }

    fn disturb(&mut self) {
        if self.chance(1) && (self.regime == Regime::Restarts || self.chance(300)) {
            // All processes end at once.
            let now = self.now;
            self.daemons.iter_mut().for_each(|daemon| daemon.start(now, false));
        }
        if self.regime == Regime::Restarts {
            return;
        }
        for at in 0..self.daemons.len() {
            let is_struck = self.chance(2);
            let now = self.now;
            let kind = self.rng.random_range(0..3);
            let daemon = &mut self.daemons[at];
            if !is_struck {
                continue;
            }
            match kind {
                0 if daemon.is_up => {
                    daemon.is_up = false;
                    daemon.disturbed = now;
                }
                0 | 1 if !daemon.is_up => daemon.start(now, false),
                _ => {
                    daemon.is_cut = !daemon.is_cut;
                    daemon.disturbed = now;
                    let is_single = self.serving.len() == 1;
                    if self.regime == Regime::Releases && is_single && self.chance(JOIN_PER_MILLE) {
                        self.release();
                    }
                }
            }
        }
    }

    fn read_lists(&mut self) {
        let (now, service) = (self.now, service());
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_up) {
            if !daemon.is_cut {
                daemon.list_at = now;
                daemon.history.adopt(now, self.serving.iter().map(|version| ("llm", version)));
            }
            daemon.history.observe(now, Some(now.since(daemon.list_at)));
        }
        // One daemon saves for all, at intervals.
        if !now.since(MonoTime::default()).0.is_multiple_of(Micros::from(Millis(SAVE_INTERVAL_MS)).0) {
            return;
        }
        let saver = self.daemons.iter_mut().find(|daemon| daemon.is_up && !daemon.is_cut);
        if let Some(saver) = saver {
            if let Some(saved) = &self.saved
                && !saver.history.is_complete(now, &service)
            {
                saver.history.adopt_earlier(now, &service, saved);
            }
            let seen = saver.history.seen(now, &service);
            if seen.is_complete {
                self.saved = Some(seen.versions);
            }
        }
    }

    fn keepers_of(&self, at: usize, key: StreamKey, count: usize) -> Vec<HostId> {
        let own = &self.daemons[at];
        let others = self.daemons.iter().filter(|daemon| daemon.host != own.host);
        let others = others.map(|daemon| (&daemon.host, &daemon.data_centre));
        keepers(key, &own.data_centre, others, count).into_iter().cloned().collect()
    }

    /// Whether a message gets from one daemon to the other. Cut daemons of one data centre reach each other.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.daemons[from], &self.daemons[to]);
        let is_connected =
            (!from.is_cut && !to.is_cut) || (from.is_cut && to.is_cut && from.data_centre == to.data_centre);
        from.is_up && to.is_up && is_connected
    }

    fn any_daemon(&mut self, data_centre: Option<&DataCentreId>) -> Option<usize> {
        let usable: Vec<usize> = (0..self.daemons.len())
            .filter(|at| self.daemons[*at].is_up)
            .filter(|at| data_centre.is_none_or(|wanted| self.daemons[*at].data_centre == *wanted))
            .collect();
        (!usable.is_empty()).then(|| usable[self.rng.random_range(0..usable.len())])
    }

    fn begin(&mut self) {
        let Some(at) = self.any_daemon(None) else { return };
        let listed = self.daemons[at].history.seen(self.now, &service()).versions;
        let serving: Vec<SoftwareVersion> =
            self.serving.iter().filter(|version| listed.contains(version)).cloned().collect();
        if serving.is_empty() {
            return;
        }
        let first_choice = serving[self.rng.random_range(0..serving.len())].clone();
        let version = serving[self.rng.random_range(0..serving.len())].clone();
        self.next_key += 1;
        let key = StreamKey(self.next_key);
        let recorded = if self.mutant == Mutant::WrongVersion { first_choice } else { version.clone() };
        let origin = StreamOrigin { service: service(), version: recorded };
        let record = StreamRecord { key, origin: Some(origin) };
        let now = self.now;
        self.daemons[at].streams.record(now, &record);
        let keepers = self.keepers_of(at, key, 2);
        let recipients: Vec<HostId> = keepers
            .into_iter()
            .filter(|host| {
                let to = self.daemons.iter().position(|daemon| daemon.host == *host).unwrap();
                self.reaches(at, to)
            })
            .collect();
        if self.mutant == Mutant::RecordsLate {
            self.late.push((now + Millis(20_000), recipients, record.clone()));
        } else {
            self.deliver(&recipients, &record);
        }
        // In a small fleet the daemon that saves for all has each record, and may know of versions before.
        let saver = self.daemons.iter().find(|daemon| daemon.is_up && !daemon.is_cut);
        let saver = saver.filter(|_| self.daemons.len() <= ALL_KEEPERS_MAX + 1);
        let is_release_known = listed.len() > 1
            || saver.is_some_and(|saver| saver.history.seen(now, &service()).versions.len() > 1);
        if is_release_known && !self.daemons[at].is_cut && self.mutant != Mutant::RecordsLate {
            self.log.push(record);
        }
        // A version is saved before its first stream begins.
        if !self.daemons[at].is_cut
            && let Some(saved) = &mut self.saved
            && !saved.contains(&version)
        {
            saved.push(version.clone());
        }
        let is_at_once = self.chance(AT_ONCE_PER_MILLE);
        let resume_after = self.rng.random_range(if is_at_once { RESUME_AT_ONCE_MS } else { RESUME_MS });
        let is_named = self.chance(800);
        let data_centre = self.daemons[at].data_centre.clone();
        self.streams.push(Stream {
            key,
            version,
            began: now,
            resume_at: now + Millis(resume_after),
            is_named,
            at,
            began_in_touch: self.daemons[at].is_in_touch(now),
            data_centre,
        });
    }

    fn deliver(&mut self, hosts: &[HostId], record: &StreamRecord) {
        let now = self.now;
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_up && hosts.contains(&daemon.host)) {
            daemon.streams.record(now, record);
        }
    }

    fn deliver_late_records(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _, _)| *at <= now);
        self.late = later;
        due.into_iter().for_each(|(_, hosts, record)| self.deliver(&hosts, &record));
    }

    fn resume_due(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.streams).into_iter().partition(|stream| stream.resume_at <= now);
        self.streams = later;
        for stream in due {
            let is_local = self.chance(700);
            let Some(at) = self.any_daemon(is_local.then_some(&stream.data_centre)) else { continue };
            let is_in_touch = self.daemons[at].is_in_touch(now) && self.serving.contains(&stream.version);
            let decided = self.version_of(at, &stream);
            let counts = is_in_touch && stream.is_named;
            let first = &self.daemons[stream.at];
            let has_ended = !first.is_up || (!first.is_cut && first.disturbed > stream.began);
            let is_orphaned = counts && stream.began_in_touch && has_ended;
            let went_on = decided.as_ref() == Some(&stream.version);
            self.outcome.in_touch += usize::from(counts);
            self.outcome.in_touch_went_on += usize::from(counts && went_on);
            self.outcome.orphaned += usize::from(is_orphaned);
            self.outcome.orphaned_went_on += usize::from(is_orphaned && went_on);
            match decided {
                None => self.outcome.refused += 1,
                // A version of which no server is left is refused too.
                Some(version) if !self.serving.contains(&version) => self.outcome.refused += 1,
                Some(_) if went_on => {}
                Some(_) => self.outcome.mixed += 1,
            }
        }
    }

    /// The version at which a daemon goes on with a stream; `None` if it refuses.
    fn version_of(&mut self, at: usize, stream: &Stream) -> Option<SoftwareVersion> {
        let (now, service) = (self.now, service());
        let key = stream.is_named.then_some(stream.key);
        let forgets = self.mutant == Mutant::ForgetsEarly && now >= stream.began + Millis(1_000);
        let find = |daemon: &Daemon, key: StreamKey| match daemon.streams.find(now, key).0 {
            StreamLookup::Known(origin) if !forgets => Some(Some(origin.version)),
            StreamLookup::Ambiguous => Some(None),
            StreamLookup::Known(_) | StreamLookup::Unknown => None,
        };
        if let Some(found) = key.and_then(|key| find(&self.daemons[at], key)) {
            return found;
        }
        let is_current = now < self.daemons[at].list_at + Millis(CURRENT_LIST_MS);
        if self.mutant == Mutant::TrustsOwnList
            && is_current
            && let Some(only) = only_version(Some(Confirmation::AllDaemons), [&self.seen(at)].into_iter())
        {
            return Some(only);
        }
        let is_small = self.daemons.len() <= ALL_KEEPERS_MAX + 1;
        let asked: Vec<usize> = match key {
            Some(key) => self.keepers_of(at, key, 3),
            None => {
                let count = if is_small { self.daemons.len() } else { 4 };
                self.daemons.iter().map(|daemon| daemon.host.clone()).take(count).collect()
            }
        }
        .into_iter()
        .filter_map(|host| self.daemons.iter().position(|daemon| daemon.host == host))
        .filter(|to| *to != at)
        .collect();
        let replied: Vec<usize> = asked.iter().copied().filter(|to| self.reaches(at, *to)).collect();
        let found = key.and_then(|key| replied.iter().find_map(|to| find(&self.daemons[*to], key)));
        if let Some(found) = found {
            return found;
        }
        let logged = self.log.iter().find(|record| Some(record.key) == key && !self.daemons[at].is_cut);
        if let Some(record) = logged.filter(|_| !forgets) {
            return record.origin.as_ref().map(|origin| origin.version.clone());
        }
        if self.mutant == Mutant::Guesses {
            return self.serving.first().cloned();
        }
        let is_everyone = is_small && replied.len() == asked.len() && !replied.is_empty();
        let trusts_reachable = self.mutant == Mutant::TrustsReachable && !replied.is_empty();
        let mut confirmation = (is_everyone || trusts_reachable).then_some(Confirmation::AllDaemons);
        let mut seen: Vec<SeenVersions> = replied.iter().map(|to| self.seen(*to)).collect();
        seen.push(self.seen(at));
        if (confirmation.is_none() || !seen.iter().any(|seen| seen.is_complete))
            && is_current
            && !self.daemons[at].is_cut
            && let Some(saved) = &self.saved
        {
            confirmation = Some(Confirmation::Saved);
            seen.push(SeenVersions { versions: saved.clone(), is_complete: false });
            self.daemons[at].history.adopt_earlier(now, &service, saved);
            seen.push(self.seen(at));
        }
        only_version(confirmation, seen.iter())
    }

    fn seen(&self, at: usize) -> SeenVersions {
        let mut seen = self.daemons[at].history.seen(self.now, &service());
        seen.is_complete |= self.mutant == Mutant::TrustsShortHistory;
        seen
    }
}

fn outcomes(
    mutant: Mutant,
    daemons: usize,
    data_centres: usize,
    regime: Regime,
    seeds: std::ops::Range<u64>,
) -> Vec<Outcome> {
    seeds.map(|seed| Simulation::new(seed, daemons, data_centres, regime, mutant).run()).collect()
}

/// Number of seeds at which more streams were mixed than the users tolerate, at which less than half of those went on that
/// were taken up at daemons in touch, and at which less than half of those went on whose first daemon had ended.
fn broken(outcomes: &[Outcome]) -> HashMap<&'static str, usize> {
    let seeds = |is: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|outcome| is(outcome)).count();
    let is_below_half = |taken_up: usize, went_on: usize| taken_up >= TAKEN_UP_MIN && went_on * 2 < taken_up;
    HashMap::from([
        ("mixed", seeds(&|outcome| outcome.mixed > MIXED_MAX)),
        ("lost", seeds(&|outcome| is_below_half(outcome.in_touch, outcome.in_touch_went_on))),
        ("orphaned", seeds(&|outcome| is_below_half(outcome.orphaned, outcome.orphaned_went_on))),
    ])
}

/// Daemons are killed, all of them at once too, and cut off, while versions come and go: no stream goes on at another
/// version, and most of those that are taken up where nothing is wrong go on.
#[rstest]
#[case(9, 3, 0..40)]
#[case(58, 4, 0..6)]
#[case(300, 4, 0..2)]
fn streams_keep_their_version_through_deaths_and_cuts(
    #[case] daemons: usize,
    #[case] data_centres: usize,
    #[case] seeds: std::ops::Range<u64>,
) {
    let outcomes = outcomes(Mutant::None, daemons, data_centres, Regime::Churn, seeds);
    let none = HashMap::from([("mixed", 0), ("lost", 0), ("orphaned", 0)]);
    assert_eq!(broken(&outcomes), none, "{outcomes:?}");
    let sum = |count: fn(&Outcome) -> usize| outcomes.iter().map(count).sum::<usize>();
    let (orphaned, refused) = (sum(|outcome| outcome.orphaned), sum(|outcome| outcome.refused));
    assert!(orphaned > 10 && refused > 10, "{orphaned} streams lost their daemon, {refused} were refused");
}

/// As above, while one version replaces another one: a daemon that is cut off has a list that was current a moment ago.
#[rstest]
#[case(Regime::Releases, 9, 3, 0..80)]
#[case(Regime::Releases, 58, 4, 0..6)]
#[case(Regime::Releases, 300, 4, 0..2)]
#[case(Regime::Restarts, 9, 3, 0..40)]
fn no_stream_goes_on_at_the_version_before_a_release(
    #[case] regime: Regime,
    #[case] daemons: usize,
    #[case] data_centres: usize,
    #[case] seeds: std::ops::Range<u64>,
) {
    let outcomes = outcomes(Mutant::None, daemons, data_centres, regime, seeds);
    assert_eq!(mixed(&outcomes), 0, "{outcomes:?}");
    assert_eq!(broken(&outcomes)["lost"], 0, "{outcomes:?}");
    // Streams that begin between two ends of all daemons need not be in the log yet.
    if regime != Regime::Restarts {
        assert_eq!(broken(&outcomes)["orphaned"], 0, "{outcomes:?}");
    }
}

fn mixed(outcomes: &[Outcome]) -> usize {
    outcomes.iter().map(|outcome| outcome.mixed).sum()
}

/// The checks have to find each of these faults.
#[rstest]
#[case(Mutant::RecordsLate, "orphaned")]
#[case(Mutant::ForgetsEarly, "lost")]
#[case(Mutant::WrongVersion, "mixed")]
#[case(Mutant::Guesses, "mixed")]
fn faults_in_the_design_are_found(#[case] mutant: Mutant, #[case] check: &str) {
    let found = broken(&outcomes(mutant, 9, 3, Regime::Churn, 0..40));
    assert!(found[check] > 0, "{mutant:?} is not found: {found:?}");
}

/// The check of releases has to find each of these faults.
#[rstest]
#[case(Mutant::TrustsOwnList, Regime::Releases)]
#[case(Mutant::TrustsReachable, Regime::Releases)]
#[case(Mutant::TrustsShortHistory, Regime::Restarts)]
fn faults_around_releases_are_found(#[case] mutant: Mutant, #[case] regime: Regime) {
    let found = mixed(&outcomes(mutant, 9, 3, regime, 0..80));
    println!("{mutant:?}: {found} mixed");
    assert!(found > 0, "{mutant:?} is not found");
}
