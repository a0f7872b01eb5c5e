//! Leases over a log that misbehaves, and engines of both kinds.

use hibiscusvale_core::ids::{DataCentreId, FencingNumber, Incarnation, Offset};
use hibiscusvale_core::lease::{Lease, LeaseFold, LeaseHolder, LeaseRecord, LeaseSettings};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const START: MonoTime = MonoTime(1_000_000);
const SCHEDULES: u64 = 1_000;
const STEPS: u32 = 500;

fn settings() -> LeaseSettings {
    // Orders that live longer than leases, so that schedules often have an old one under way.
    LeaseSettings {
        lease_ms: Millis(3_000),
        renew_before_ms: Millis(1_000),
        longest_order_ms: Millis(6_000),
        drift_ms: Millis(100),
        retry_ms: Millis(300),
    }
}

fn data_centre() -> DataCentreId {
    "kochi-1".parse().expect("name")
}

fn holder(life: u64) -> LeaseHolder {
    LeaseHolder {
        host: format!("host-{}", life % 2).parse().expect("name"),
        incarnation: Incarnation(life.into()),
    }
}

struct Candidate {
    lease: Lease,
    fold: LeaseFold,
    life: u64,
}

impl Candidate {
    fn new(life: u64) -> Self {
        let lease = Lease::new(settings(), data_centre(), holder(life));
        Self { lease, fold: LeaseFold::default(), life }
    }

    fn read(&mut self, now_us: MonoTime, stream: &[LeaseRecord]) {
        for (offset, record) in (0..).zip(stream) {
            self.fold.apply(now_us, Offset(offset), Some(record));
        }
        self.lease.read_back(now_us, &self.fold);
    }

    fn take(&mut self, now_us: MonoTime, stream: &mut Vec<LeaseRecord>) -> Option<FencingNumber> {
        self.read(now_us, stream);
        stream.push(self.lease.want(now_us, &self.fold)?);
        self.lease.maybe_appended();
        self.read(now_us, stream);
        self.lease.held(now_us).map(|held| held.fencing)
    }
}

/// Two daemons that differ on membership both want the lease. Both append, and the log's order lets one hold it.
#[test]
fn of_two_that_take_at_once_one_holds() {
    let (mut a, mut b) = (Candidate::new(1), Candidate::new(2));
    let stream: Vec<LeaseRecord> =
        [&mut a, &mut b].map(|one| one.lease.want(START, &one.fold).expect("free")).into();
    for one in [&mut a, &mut b] {
        one.lease.maybe_appended();
        one.read(START, &stream);
    }
    assert!(a.lease.held(START).is_some());
    assert_eq!(b.lease.held(START), None);
}

/// The holder is paused past its lease and wakes up. It sees by its own clock that it holds nothing.
#[test]
fn a_paused_holder_knows_that_its_lease_ended() {
    let mut a = Candidate::new(1);
    a.take(START, &mut Vec::new()).expect("free");
    assert_eq!(a.lease.held(START + settings().lease_ms), None);
}

/// The holder dies. Its successor waits until the last order of the dead one has expired, because some engines
/// check no fencing number; then it holds the lease under a greater number.
#[test]
fn a_successor_waits_out_lease_and_longest_order() {
    let mut stream = Vec::new();
    let (mut a, mut b) = (Candidate::new(1), Candidate::new(2));
    let first = a.take(START, &mut stream).expect("free");
    assert_eq!(b.take(START, &mut stream), None);
    let almost = START + settings().lease_ms + settings().longest_order_ms;
    assert_eq!(b.take(almost, &mut stream), None);
    let second = b.take(START + settings().takeover_ms(), &mut stream).expect("waited out");
    assert!(second > first);
}

/// A daemon stops gracefully and gives its lease up. The next waits only until the last order has expired.
#[test]
fn a_lease_given_up_is_free_after_its_last_order() {
    let mut stream = Vec::new();
    let (mut a, mut b) = (Candidate::new(1), Candidate::new(2));
    a.take(START, &mut stream).expect("free");
    stream.push(a.lease.give_up(START, &a.fold).expect("held"));
    assert_eq!(a.lease.held(START), None);
    assert_eq!(b.take(START, &mut stream), None);
    assert!(b.take(START + settings().last_order_ms(), &mut stream).is_some());
}

/// A renewal that was given up for lost lands after the next one was sent. The holder counts no time from the
/// later one, for its successors count from the earlier.
#[test]
fn a_late_renewal_gives_no_time() {
    let mut stream = Vec::new();
    let mut a = Candidate::new(1);
    a.take(START, &mut stream).expect("free");
    let renew_us = START + (Micros::from(settings().lease_ms) - Micros(1_000));
    let late = a.lease.want(renew_us, &a.fold).expect("due");
    a.lease.maybe_appended();
    a.read(renew_us, &stream);
    let later_us = renew_us + settings().retry_ms;
    assert_eq!(a.lease.held(later_us), None);
    let next = a.lease.want(later_us, &a.fold).expect("due");
    stream.extend([late, next]);
    a.lease.maybe_appended();
    a.read(later_us, &stream);
    assert_eq!(a.lease.held(later_us), None);
}

/// The log takes a renewal and goes down before it can be read back. Once it is up again the daemon finds its
/// record, and renews or takes the lease as ever.
#[test]
fn a_renewal_that_could_not_be_read_back_is_settled_later() {
    let mut stream = Vec::new();
    let mut a = Candidate::new(1);
    stream.push(a.lease.want(START, &a.fold).expect("free"));
    a.lease.maybe_appended();
    let later_us = START + settings().takeover_ms();
    a.fold.apply(later_us, Offset(0), Some(&stream[0]));
    assert_eq!(a.lease.want(later_us, &a.fold), None, "it pauses after an append that was in doubt");
    assert_eq!(a.lease.held(later_us), None, "the time of the old record is over");
    assert!(a.take(later_us + settings().retry_ms, &mut stream).is_some());
}

/// An order under way: sent while the lease was held, it takes effect before it expires.
struct Sent {
    fencing: FencingNumber,
    arrives_by_us: MonoTime,
}

/// One engine that checks fencing numbers and one that ignores them.
#[derive(Default)]
struct Engines {
    last_checked: FencingNumber,
    last_unchecked: FencingNumber,
}

impl Engines {
    fn order(&mut self, sent: &Sent) {
        self.last_checked = self.last_checked.max(sent.fencing);
        assert!(sent.fencing >= self.last_unchecked, "an old holder's order came after a newer one's");
        self.last_unchecked = sent.fencing;
    }
}

/// Daemons crash, stand still, lose answers of the log and read it late, in 1,000 random schedules. No engine,
/// not even one that ignores fencing numbers, carries out an old holder's order after a newer holder's.
#[test]
fn no_schedule_lets_an_old_holder_order_after_a_new_one() {
    let mut orders = 0;
    let mut takeovers = 0;
    for seed in 0..SCHEDULES {
        let (ordered, taken) = schedule(&mut StdRng::seed_from_u64(seed));
        orders += ordered;
        takeovers += taken;
    }
    assert!(orders > SCHEDULES && takeovers > SCHEDULES / 2, "{orders} orders, {takeovers} takeovers");
}

fn schedule(rng: &mut StdRng) -> (u64, u64) {
    let mut now_us = START;
    let mut stream: Vec<LeaseRecord> = Vec::new();
    let mut late: Vec<LeaseRecord> = Vec::new();
    let mut candidates = [Candidate::new(1), Candidate::new(2)];
    let mut lives = 2;
    let mut sent: Vec<Sent> = Vec::new();
    let mut engines = Engines::default();
    let mut orders = 0;
    for _ in 0..STEPS {
        now_us = now_us + Millis(rng.random_range(0..500));
        sent.retain(|order| order.arrives_by_us > now_us);
        let which = rng.random_range(0..2_usize);
        let one = &mut candidates[which];
        match rng.random_range(0..20) {
            0..=5 => one.read(now_us, &stream),
            6..=11 => {
                let Some(record) = one.lease.want(now_us, &one.fold) else {
                    continue;
                };
                match rng.random_range(0..4) {
                    0 => one.lease.not_appended(now_us),
                    1 => {
                        late.push(record);
                        one.lease.maybe_appended();
                    }
                    _ => {
                        stream.push(record);
                        one.lease.maybe_appended();
                    }
                }
            }
            12 if !late.is_empty() => stream.push(late.remove(0)),
            13 => {
                lives += 1;
                *one = Candidate::new(lives);
            }
            14 if rng.random_range(0..2) == 0 => stream.extend(one.lease.give_up(now_us, &one.fold)),
            15 if !sent.is_empty() => {
                let order = sent.remove(rng.random_range(0..sent.len()));
                engines.order(&order);
            }
            _ => {
                let Some(held) = one.lease.held(now_us) else {
                    continue;
                };
                orders += 1;
                let arrives_by_us = now_us + settings().longest_order_ms;
                sent.push(Sent { fencing: held.fencing, arrives_by_us });
            }
        }
        let holding = candidates.iter().filter(|one| one.lease.held(now_us).is_some()).count();
        assert!(holding <= 1, "two hold the lease, lives {:?}", candidates.each_ref().map(|one| one.life));
    }
    (orders, lives - 2)
}
