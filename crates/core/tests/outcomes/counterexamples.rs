//! Counterexamples that the checker found to mutants of `spec/claim.pml`, played on the real state machine.

use hibiscusvale_core::claim::{
    AppendEnd, BodyDigest, Claim, ClaimAction, ClaimEntry, ClaimGroup, ClaimKey, ClaimMessage, ClaimPage,
    ClaimRecord, ClaimSettings, Claims, Decision, FinishedAs, UnixMillis,
};
use hibiscusvale_core::ids::{HostId, Incarnation, Offset, RequestId};
use hibiscusvale_core::units::{Millis, MonoTime};

const NOW: MonoTime = MonoTime(1_000);
const UNIX: UnixMillis = UnixMillis(1_000);
const KEY: ClaimKey = ClaimKey([1; 16]);
const BODY: BodyDigest = BodyDigest([1; 16]);

/// A daemon that believes itself the owner of every partition.
struct Daemon {
    claims: Claims,
    incarnation: Incarnation,
    partition: u16,
    decisions: Vec<Decision>,
    append: Option<ClaimGroup>,
    reads: Option<Offset>,
}

impl Daemon {
    fn new(name: &str, life: u64) -> Self {
        let host: HostId = name.parse().expect("name");
        let mut claims = Claims::new(host.clone(), Incarnation(life.into()), ClaimSettings::default());
        claims.set_members(&[host]);
        Self {
            claims,
            incarnation: Incarnation(life.into()),
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
        self.look();
    }

    fn look(&mut self) {
        for action in self.claims.take_actions() {
            match action {
                ClaimAction::Append { group, .. } => self.append = Some(group),
                ClaimAction::Read { from, .. } => self.reads = Some(from),
                ClaimAction::Decide { decision, .. } => self.decisions.push(decision),
                ClaimAction::Send { .. } => {}
            }
        }
    }

    /// Answers the read that is under way.
    fn read(&mut self, log: &[ClaimGroup]) {
        let Some(from) = self.reads.take() else { return };
        let records = (0..).zip(log).skip(usize::try_from(from.0).expect("small"));
        let records =
            records.map(|(offset, group)| ClaimRecord { offset: Offset(offset), group: Some(group.clone()) });
        let page = ClaimPage { start: Offset(0), next: Offset(log.len() as u64), records: records.collect() };
        self.claims.page(NOW, UNIX, self.partition, Some(page));
        self.look();
    }

    /// Takes the append that is under way into the log and answers it.
    fn append(&mut self, log: &mut Vec<ClaimGroup>) {
        log.push(self.append.take().expect("an append is under way"));
        self.end_append(AppendEnd::At(Offset(log.len() as u64 - 1)));
    }

    fn end_append(&mut self, end: AppendEnd) {
        self.claims.appended(NOW, UNIX, self.partition, end);
        self.look();
    }

    fn may_run(&self) -> bool {
        self.decisions.iter().any(|decision| matches!(decision, Decision::Run { .. }))
    }

    /// Begins a request and claims for it without a failure.
    fn claim(&mut self, sequence: u64, log: &mut Vec<ClaimGroup>) {
        self.begin(sequence);
        self.read(log);
        if self.append.is_some() {
            self.append(log);
        }
    }
}

/// Two daemons both believe that they own the key and read an empty log; both append. The second one's record
/// lands behind the first's, and its caller must not be let run. (`MEMORY_OWNER`, `NO_READ_BACK`)
#[test]
fn of_two_owners_only_the_first_in_the_log_runs() {
    let mut log = Vec::new();
    let (mut a, mut b) = (Daemon::new("a", 1), Daemon::new("b", 2));
    for daemon in [&mut a, &mut b] {
        daemon.begin(1);
        daemon.read(&[]);
    }
    a.append(&mut log);
    b.append(&mut log);
    assert!(a.may_run());
    assert!(!b.may_run(), "not before it has read what stands before its record");
    b.read(&log);
    assert!(!b.may_run());
}

/// A caller's request arrives and nothing of the log has been heard yet. It does not run. (`RUN_BEFORE_CLAIM`)
#[test]
fn nothing_runs_before_its_claim_stands() {
    let mut a = Daemon::new("a", 1);
    a.begin(1);
    assert!(!a.may_run());
    a.read(&[]);
    assert!(!a.may_run(), "the append is only under way");
}

/// The answer to an append is lost, and the record does not stand, while another daemon's does. The lost answer is
/// taken neither for a yes nor for a no. (`LOST_REPLY_IS_SUCCESS`)
#[test]
fn a_lost_answer_is_not_taken_for_a_claim() {
    let mut log = Vec::new();
    let (mut a, mut b) = (Daemon::new("a", 1), Daemon::new("b", 2));
    a.begin(1);
    a.read(&log);
    a.end_append(AppendEnd::Unknown);
    assert!(!a.may_run());
    b.claim(1, &mut log);
    assert!(b.may_run());
    a.read(&log);
    assert!(!a.may_run());
}

/// A daemon stands still while its append is under way, past the time that its caller waits. The caller is told
/// "not run", and the claim that turns out to stand runs nothing. (`LATE_VERDICT_COUNTS`)
#[test]
fn a_verdict_after_the_refusal_runs_nothing() {
    let mut log = Vec::new();
    let mut a = Daemon::new("a", 1);
    a.begin(1);
    a.read(&log);
    let late = NOW + ClaimSettings::default().begin_timeout_ms + Millis(1);
    a.claims.tick(late, UNIX);
    a.look();
    assert!(matches!(a.decisions[..], [Decision::Unavailable { .. }]), "{:?}", a.decisions);
    log.push(a.append.take().expect("under way"));
    a.claims.appended(late, UNIX, a.partition, AppendEnd::At(Offset(0)));
    a.look();
    assert!(!a.may_run());
}

/// The same pause, but the verdict is the first thing that the daemon sees when it wakes. (`LATE_VERDICT_COUNTS`)
#[test]
fn a_verdict_that_is_seen_too_late_runs_nothing() {
    let mut a = Daemon::new("a", 1);
    a.begin(1);
    a.read(&[]);
    let late = NOW + ClaimSettings::default().begin_timeout_ms;
    a.claims.appended(late, UNIX, a.partition, AppendEnd::At(Offset(0)));
    a.look();
    assert!(!a.may_run());
}

/// A request ran to an unknown end. Its key is not freed: a retry is told "unknown" and runs nothing.
/// (`UNKNOWN_FREES_KEY`)
#[test]
fn an_unknown_end_keeps_the_key() {
    let mut log = Vec::new();
    let mut a = Daemon::new("a", 1);
    a.claim(1, &mut log);
    a.claims.finish(NOW, UNIX, a.request(1), FinishedAs::Unknown);
    a.look();
    assert!(a.append.is_none(), "nothing is released");
    a.claim(2, &mut log);
    assert_eq!(a.decisions[1..], [Decision::Unknown]);
}

/// A request is proven not to have run. Its key is freed, and the retry runs.
#[test]
fn a_proven_not_run_frees_the_key() {
    let mut log = Vec::new();
    let mut a = Daemon::new("a", 1);
    a.claim(1, &mut log);
    a.claims.finish(NOW, UNIX, a.request(1), FinishedAs::NotRun);
    let later = NOW + ClaimSettings::default().append_interval_ms;
    a.claims.tick(later, UNIX);
    a.look();
    a.append(&mut log);
    a.decisions.clear();
    a.claim(2, &mut log);
    let later = later + ClaimSettings::default().append_interval_ms;
    a.claims.tick(later, UNIX);
    a.look();
    a.append(&mut log);
    assert!(a.may_run());
}

/// A host is replaced after its daemon claimed a key. The new daemon counts its requests from one again; what the
/// old one claimed is still not its own, because the life is part of the id. (`ID_REUSED`)
#[test]
fn a_later_life_does_not_take_an_old_claim_for_its_own() {
    let mut log = Vec::new();
    Daemon::new("a", 1).claim(1, &mut log);
    let mut successor = Daemon::new("a", 2);
    successor.claim(1, &mut log);
    assert_eq!(successor.decisions, [Decision::Unknown]);
}

/// A daemon becomes the owner of a partition of which the log keeps days. It does not read days of records before it
/// answers a caller, and yet it finds the claim of ten minutes ago.
#[test]
fn a_new_owner_reads_only_what_still_matters() {
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
        match actions.pop().expect("something to do") {
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
                daemon.claims.page(NOW, now_unix, partition, Some(page));
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
