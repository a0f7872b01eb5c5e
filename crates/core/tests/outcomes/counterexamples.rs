//! Replays, against the real state machine, counterexamples that the model checker found for mutants of
//! `spec/claim.pml`.

use hibiscusvale_core::claim::{
    AppendOutcome, BodyDigest, Claim, ClaimAction, ClaimEntry, ClaimGroup, ClaimKey, ClaimMessage, ClaimPage,
    ClaimRecord, ClaimSettings, Claims, Decision, RunOutcome, UnixMillis,
};
use hibiscusvale_core::ids::{HostId, Incarnation, Offset, RequestId};
use hibiscusvale_core::units::{Millis, MonoTime};

const NOW: MonoTime = MonoTime(1_000);
const UNIX: UnixMillis = UnixMillis(1_000);
const KEY: ClaimKey = ClaimKey([1; 16]);
const BODY: BodyDigest = BodyDigest([1; 16]);

/// A daemon that considers itself the owner of every partition.
struct Daemon {
    claims: Claims,
    incarnation: Incarnation,
    partition: u16,
    decisions: Vec<Decision>,
    append: Option<ClaimGroup>,
    reads: Option<Offset>,
}

impl Daemon {
    fn new(name: &str, incarnation: u64) -> Self {
        let host: HostId = name.parse().expect("name");
        let mut claims = Claims::new(host.clone(), Incarnation(incarnation.into()), ClaimSettings::default());
        claims.set_members(&[host]);
        Self {
            claims,
            incarnation: Incarnation(incarnation.into()),
            partition: KEY.partition(ClaimSettings::default().partitions),
            decisions: Vec::new(),
            append: None,
            reads: None,
        }
    }

    fn request(&self, sequence: u64) -> RequestId {
        RequestId { incarnation: self.incarnation, sequence }
    }

    fn begin(&mut self, sequence: u64) {
        self.claims.begin(NOW, UNIX, self.request(sequence), KEY, BODY);
        self.collect_actions();
    }

    fn collect_actions(&mut self) {
        for action in self.claims.take_actions() {
            match action {
                ClaimAction::Append { group, .. } => self.append = Some(group),
                ClaimAction::Read { from, .. } => self.reads = Some(from),
                ClaimAction::Decide { decision, .. } => self.decisions.push(decision),
                ClaimAction::Send { .. } => {}
            }
        }
    }

    /// Completes the read in flight.
    fn read(&mut self, log: &[ClaimGroup]) {
        let Some(from) = self.reads.take() else { return };
        let records = (0..).zip(log).skip(usize::try_from(from.0).expect("small"));
        let records =
            records.map(|(offset, group)| ClaimRecord { offset: Offset(offset), group: Some(group.clone()) });
        let page = ClaimPage { start: Offset(0), next: Offset(log.len() as u64), records: records.collect() };
        self.claims.read_ended(NOW, UNIX, self.partition, Some(page));
        self.collect_actions();
    }

    /// Appends the record in flight to the log and completes the append.
    fn append(&mut self, log: &mut Vec<ClaimGroup>) {
        log.push(self.append.take().expect("an append is in flight"));
        self.end_append(AppendOutcome::Appended(Offset(log.len() as u64 - 1)));
    }

    fn end_append(&mut self, end: AppendOutcome) {
        self.claims.append_ended(NOW, UNIX, self.partition, end);
        self.collect_actions();
    }

    fn may_run(&self) -> bool {
        self.decisions.iter().any(|decision| matches!(decision, Decision::Run { .. }))
    }

    /// Starts a request and claims its key without failures.
    fn claim(&mut self, sequence: u64, log: &mut Vec<ClaimGroup>) {
        self.begin(sequence);
        self.read(log);
        if self.append.is_some() {
            self.append(log);
        }
    }
}

/// Two daemons both consider themselves owner of the key, read an empty log and append. The caller whose
/// record is second must not run. (`MEMORY_OWNER`, `NO_READ_BACK`)
#[test]
fn with_two_owners_only_the_first_record_runs() {
    let mut log = Vec::new();
    let (mut a, mut b) = (Daemon::new("a", 1), Daemon::new("b", 2));
    for daemon in [&mut a, &mut b] {
        daemon.begin(1);
        daemon.read(&[]);
    }
    a.append(&mut log);
    b.append(&mut log);
    assert!(a.may_run());
    assert!(!b.may_run(), "not before it has read the records before its own");
    b.read(&log);
    assert!(!b.may_run());
}

/// A request must not run before its claim is read from the log. (`RUN_BEFORE_CLAIM`)
#[test]
fn nothing_runs_before_its_claim_is_logged() {
    let mut a = Daemon::new("a", 1);
    a.begin(1);
    assert!(!a.may_run());
    a.read(&[]);
    assert!(!a.may_run(), "the append is still in flight");
}

/// The reply to an append is lost and its record is not in the log, while another daemon's is. The lost reply
/// must count neither as success nor as failure. (`LOST_REPLY_IS_SUCCESS`)
#[test]
fn lost_append_reply_is_not_a_claim() {
    let mut log = Vec::new();
    let (mut a, mut b) = (Daemon::new("a", 1), Daemon::new("b", 2));
    a.begin(1);
    a.read(&log);
    a.end_append(AppendOutcome::Unknown);
    assert!(!a.may_run());
    b.claim(1, &mut log);
    assert!(b.may_run());
    a.read(&log);
    assert!(!a.may_run());
}

/// A daemon is paused with an append in flight until its caller's deadline passes. The caller is told "not
/// run", so the claim must run nothing although its record turns out to be in the log.
/// (`LATE_VERDICT_COUNTS`)
#[test]
fn verdict_after_refusal_runs_nothing() {
    let mut log = Vec::new();
    let mut a = Daemon::new("a", 1);
    a.begin(1);
    a.read(&log);
    let late = NOW + ClaimSettings::default().begin_timeout_ms + Millis(1);
    a.claims.tick(late, UNIX);
    a.collect_actions();
    assert!(matches!(a.decisions[..], [Decision::Unavailable { .. }]), "{:?}", a.decisions);
    log.push(a.append.take().expect("an append is in flight"));
    a.claims.append_ended(late, UNIX, a.partition, AppendOutcome::Appended(Offset(0)));
    a.collect_actions();
    assert!(!a.may_run());
}

/// The same pause, but the verdict is the first event that the daemon processes afterwards.
/// (`LATE_VERDICT_COUNTS`)
#[test]
fn verdict_after_deadline_runs_nothing() {
    let mut a = Daemon::new("a", 1);
    a.begin(1);
    a.read(&[]);
    let late = NOW + ClaimSettings::default().begin_timeout_ms;
    a.claims.append_ended(late, UNIX, a.partition, AppendOutcome::Appended(Offset(0)));
    a.collect_actions();
    assert!(!a.may_run());
}

/// A request with an unknown outcome must keep its key: a retry is told "unknown" and runs nothing.
/// (`UNKNOWN_FREES_KEY`)
#[test]
fn unknown_outcome_keeps_the_key() {
    let mut log = Vec::new();
    let mut a = Daemon::new("a", 1);
    a.claim(1, &mut log);
    a.claims.finish(NOW, UNIX, a.request(1), RunOutcome::Unknown);
    a.collect_actions();
    assert!(a.append.is_none(), "nothing is released");
    a.claim(2, &mut log);
    assert_eq!(a.decisions[1..], [Decision::Unknown]);
}

/// The key of a request that is proven not to have run is released, and the retry runs.
#[test]
fn proven_not_run_releases_the_key() {
    let mut log = Vec::new();
    let mut a = Daemon::new("a", 1);
    a.claim(1, &mut log);
    a.claims.finish(NOW, UNIX, a.request(1), RunOutcome::NotRun);
    let later = NOW + ClaimSettings::default().append_interval_ms;
    a.claims.tick(later, UNIX);
    a.collect_actions();
    a.append(&mut log);
    a.decisions.clear();
    a.claim(2, &mut log);
    let later = later + ClaimSettings::default().append_interval_ms;
    a.claims.tick(later, UNIX);
    a.collect_actions();
    a.append(&mut log);
    assert!(a.may_run());
}

/// A host is replaced after its daemon claimed a key, and the new daemon numbers its requests from 1 again.
/// It must not take the old claim for its own; the incarnation in the request id distinguishes them.
/// (`ID_REUSED`)
#[test]
fn later_incarnation_does_not_adopt_old_claim() {
    let mut log = Vec::new();
    Daemon::new("a", 1).claim(1, &mut log);
    let mut successor = Daemon::new("a", 2);
    successor.claim(1, &mut log);
    assert_eq!(successor.decisions, [Decision::Unknown]);
}

/// A daemon becomes the owner of a partition whose log keeps days of records. It must find a claim made ten
/// minutes ago without reading all of them before it answers a caller.
#[test]
fn new_owner_reads_only_recent_records() {
    const HOUR_MS: u64 = 3_600_000;
    const MINUTE_MS: u64 = 60_000;
    let group = |minutes_ago: u64, entries| ClaimGroup {
        appended_unix_ms: UnixMillis(48 * HOUR_MS - minutes_ago * MINUTE_MS),
        entries,
    };
    let held = Claim {
        key: KEY,
        digest: BODY,
        request: RequestId { incarnation: Incarnation(7), sequence: 1 },
        host: "elsewhere".parse().expect("name"),
    };
    let log: Vec<ClaimGroup> = (0..40_000)
        .map(|offset| {
            let minutes_ago = (40_000 - offset) / 20;
            let entries = if offset == 39_800 { vec![ClaimEntry::Claim(held.clone())] } else { Vec::new() };
            group(minutes_ago, entries)
        })
        .collect();
    let mut daemon = Daemon::new("a", 1);
    let now_unix = UnixMillis(48 * HOUR_MS);
    let partition = daemon.partition;
    daemon.claims.begin(NOW, now_unix, daemon.request(1), KEY, BODY);
    let (mut reads, mut records_read) = (0, 0);
    let mut asked_holder = false;
    while !asked_holder {
        let mut actions = daemon.claims.take_actions();
        match actions.pop().expect("an action") {
            ClaimAction::Read { from, limit, .. } => {
                let records: Vec<ClaimRecord> = (0..)
                    .zip(&log)
                    .skip(usize::try_from(from.0).expect("small"))
                    .take(limit as usize)
                    .map(|(offset, group)| ClaimRecord { offset: Offset(offset), group: Some(group.clone()) })
                    .collect();
                reads += 1;
                records_read += records.len();
                let page = ClaimPage { start: Offset(0), next: Offset(40_000), records };
                daemon.claims.read_ended(NOW, now_unix, partition, Some(page));
            }
            ClaimAction::Send { message: ClaimMessage::Query { holder, .. }, .. } => {
                assert_eq!(holder, held.request);
                asked_holder = true;
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    assert!(reads < 12 && records_read < 1_600, "{records_read} records in {reads} reads of 40,000");
}
