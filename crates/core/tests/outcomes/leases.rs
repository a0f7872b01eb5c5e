//! Leases with a faulty log, and engines with and without fencing checks.

use hibiscusvale_core::ids::{DataCentreId, FencingNumber, Incarnation, Offset};
use hibiscusvale_core::lease::{Lease, LeaseFold, LeaseHolder, LeaseRecord, LeaseSettings};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const START: MonoTime = MonoTime(1_000_000);
const SCHEDULES: u64 = 1_000;
const STEPS: u32 = 500;

fn settings() -> LeaseSettings {
    // Orders are valid for longer than leases, so that schedules often have an old order in flight.
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

fn holder(incarnation: u64) -> LeaseHolder {
    LeaseHolder {
        host: format!("host-{}", incarnation % 2).parse().expect("name"),
        incarnation: Incarnation(incarnation.into()),
    }
}

struct Candidate {
    lease: Lease,
    fold: LeaseFold,
    incarnation: u64,
}

impl Candidate {
    fn new(incarnation: u64) -> Self {
        let lease = Lease::new(settings(), data_centre(), holder(incarnation));
        Self { lease, fold: LeaseFold::default(), incarnation }
    }

    fn read(&mut self, now_us: MonoTime, stream: &[LeaseRecord]) {
        for (offset, record) in (0..).zip(stream) {
            self.fold.apply(now_us, Offset(offset), Some(record));
        }
        self.lease.read_back(now_us, &self.fold);
    }

    fn acquire(&mut self, now_us: MonoTime, stream: &mut Vec<LeaseRecord>) -> Option<FencingNumber> {
        self.read(now_us, stream);
        stream.push(self.lease.next_record(now_us, &self.fold)?);
        self.lease.append_unconfirmed();
        self.read(now_us, stream);
        self.lease.held(now_us).map(|held| held.fencing)
    }
}

/// Two daemons that disagree on membership both append a record for the lease; only the first in log order
/// holds it.
#[test]
fn concurrent_acquisition_has_one_holder() {
    let (mut a, mut b) = (Candidate::new(1), Candidate::new(2));
    let stream: Vec<LeaseRecord> =
        [&mut a, &mut b].map(|one| one.lease.next_record(START, &one.fold).expect("free")).into();
    for one in [&mut a, &mut b] {
        one.lease.append_unconfirmed();
        one.read(START, &stream);
    }
    assert!(a.lease.held(START).is_some());
    assert_eq!(b.lease.held(START), None);
}

/// A holder that was paused past the end of its lease must notice by its own clock that it holds nothing.
#[test]
fn paused_holder_detects_end_of_lease() {
    let mut a = Candidate::new(1);
    a.acquire(START, &mut Vec::new()).expect("free");
    assert_eq!(a.lease.held(START + settings().lease_ms), None);
}

/// The holder dies. Some engines do not check fencing numbers, so its successor must wait until the last
/// order of the dead holder has expired, and then holds the lease with a greater number.
#[test]
fn successor_waits_for_lease_and_longest_order() {
    let mut stream = Vec::new();
    let (mut a, mut b) = (Candidate::new(1), Candidate::new(2));
    let first = a.acquire(START, &mut stream).expect("free");
    assert_eq!(b.acquire(START, &mut stream), None);
    let almost = START + settings().lease_ms + settings().longest_order_ms;
    assert_eq!(b.acquire(almost, &mut stream), None);
    let second = b.acquire(START + settings().takeover_ms(), &mut stream).expect("takeover delay has passed");
    assert!(second > first);
}

/// A daemon that stops releases its lease. The next holder waits only until the last order has expired.
#[test]
fn released_lease_is_free_after_last_order() {
    let mut stream = Vec::new();
    let (mut a, mut b) = (Candidate::new(1), Candidate::new(2));
    a.acquire(START, &mut stream).expect("free");
    stream.push(a.lease.release(START, &a.fold).expect("held"));
    assert_eq!(a.lease.held(START), None);
    assert_eq!(b.acquire(START, &mut stream), None);
    assert!(b.acquire(START + settings().last_order_ms(), &mut stream).is_some());
}

/// A renewal that was assumed lost arrives in the log after the next one was sent. The holder must not
/// measure its lease from the later one, because successors measure from the earlier.
#[test]
fn late_renewal_does_not_extend_lease() {
    let mut stream = Vec::new();
    let mut a = Candidate::new(1);
    a.acquire(START, &mut stream).expect("free");
    let renew_us = START + (Micros::from(settings().lease_ms) - Micros(1_000));
    let late = a.lease.next_record(renew_us, &a.fold).expect("due");
    a.lease.append_unconfirmed();
    a.read(renew_us, &stream);
    let later_us = renew_us + settings().retry_ms;
    assert_eq!(a.lease.held(later_us), None);
    let next = a.lease.next_record(later_us, &a.fold).expect("due");
    stream.extend([late, next]);
    a.lease.append_unconfirmed();
    a.read(later_us, &stream);
    assert_eq!(a.lease.held(later_us), None);
}

/// The log accepts a renewal and goes down before it can be read back. Once it is up again the daemon must
/// find its record and be able to renew or acquire the lease.
#[test]
fn unread_renewal_is_resolved_later() {
    let mut stream = Vec::new();
    let mut a = Candidate::new(1);
    stream.push(a.lease.next_record(START, &a.fold).expect("free"));
    a.lease.append_unconfirmed();
    let later_us = START + settings().takeover_ms();
    a.fold.apply(later_us, Offset(0), Some(&stream[0]));
    assert_eq!(
        a.lease.next_record(later_us, &a.fold),
        None,
        "no append during the retry delay after an unconfirmed one"
    );
    assert_eq!(a.lease.held(later_us), None, "the lease of the old record has ended");
    assert!(a.acquire(later_us + settings().retry_ms, &mut stream).is_some());
}

/// An order in flight: sent while the lease was held, executed before it expires.
struct Sent {
    fencing: FencingNumber,
    arrives_by_us: MonoTime,
}

/// An engine that checks fencing numbers and one that ignores them.
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

/// Daemons crash, pause, lose replies of the log and read it late, in 1,000 random schedules. No engine, even
/// one that ignores fencing numbers, may execute an old holder's order after a newer holder's.
#[test]
fn no_schedule_executes_old_holders_order_after_newer() {
    let mut orders = 0;
    let mut takeovers = 0;
    for seed in 0..SCHEDULES {
        let (ordered, acquired) = schedule(&mut StdRng::seed_from_u64(seed));
        orders += ordered;
        takeovers += acquired;
    }
    assert!(orders > SCHEDULES && takeovers > SCHEDULES / 2, "{orders} orders, {takeovers} takeovers");
}

fn schedule(rng: &mut StdRng) -> (u64, u64) {
    let mut now_us = START;
    let mut stream: Vec<LeaseRecord> = Vec::new();
    let mut late: Vec<LeaseRecord> = Vec::new();
    let mut candidates = [Candidate::new(1), Candidate::new(2)];
    let mut incarnations = 2;
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
                let Some(record) = one.lease.next_record(now_us, &one.fold) else {
                    continue;
                };
                match rng.random_range(0..4) {
                    0 => one.lease.append_failed(now_us),
                    1 => {
                        late.push(record);
                        one.lease.append_unconfirmed();
                    }
                    _ => {
                        stream.push(record);
                        one.lease.append_unconfirmed();
                    }
                }
            }
            12 if !late.is_empty() => stream.push(late.remove(0)),
            13 => {
                incarnations += 1;
                *one = Candidate::new(incarnations);
            }
            14 if rng.random_range(0..2) == 0 => stream.extend(one.lease.release(now_us, &one.fold)),
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
        assert!(
            holding <= 1,
            "two hold the lease, incarnations {:?}",
            candidates.each_ref().map(|one| one.incarnation)
        );
    }
    (orders, incarnations - 2)
}
