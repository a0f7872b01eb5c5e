//! The token bucket and leased credit.

use hibiscusvale_core::quota::{Bucket, LeasedCredit};
use hibiscusvale_core::units::{Credit, CreditPerSecond, Millis, MonoTime};

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

#[test]
fn it_fills_at_its_rate_up_to_its_burst() {
    let mut bucket = Bucket::new(at(0), CreditPerSecond(1_000), Credit(2_000), Credit(500));
    assert!(!bucket.take(at(0), Credit(600)));
    assert_eq!(bucket.wait_ms(at(0), Credit(600)), Some(Millis(100)));
    assert!(bucket.take(at(100), Credit(600)));
    assert_eq!(bucket.level(at(60_000)), Credit(2_000));
}

/// A prompt costs more than a burst. It must be let through some time, and be paid for afterwards.
#[test]
fn what_costs_more_than_a_burst_is_let_through_by_a_full_bucket() {
    let mut bucket = Bucket::new(at(0), CreditPerSecond(1_000), Credit(2_000), Credit(1_999));
    assert!(!bucket.take(at(0), Credit(5_000)));
    assert!(bucket.take(at(1), Credit(5_000)));
    assert!(!bucket.take(at(3_000), Credit(1)));
    assert!(bucket.take(at(3_100), Credit(1)));
}

#[test]
fn a_bucket_without_a_rate_never_promises() {
    let mut bucket = Bucket::new(at(0), CreditPerSecond(0), Credit(10), Credit(0));
    assert_eq!(bucket.wait_ms(at(5), Credit(1)), None);
}

#[test]
fn a_lower_burst_takes_away_what_was_saved() {
    let mut bucket = Bucket::new(at(0), CreditPerSecond(1_000), Credit(2_000), Credit(2_000));
    bucket.configure(at(0), CreditPerSecond(100), Credit(300));
    assert_eq!(bucket.level(at(0)), Credit(300));
}

#[test]
fn leased_credit_is_spent_once_and_runs_out() {
    let mut leased = LeasedCredit::default();
    leased.add(at(0), Credit(300));
    leased.add(at(200), Credit(300));
    assert!(leased.spend(at(250), Credit(400)));
    assert!(!leased.spend(at(260), Credit(201)));
    assert_eq!(leased.take_expired(at(500)), Credit(0));
    assert_eq!(leased.take_expired(at(600)), Credit(200));
    assert!(!leased.spend(at(600), Credit(1)));
}

/// A surge far beyond the quota: its requests are refused without a question for each, cheaper ones still ask.
#[test]
fn a_denial_is_remembered_for_what_costs_as_much() {
    let mut leased = LeasedCredit::default();
    leased.deny(at(0), Credit(100), Millis(50));
    assert_eq!(leased.denied_ms(at(10), Credit(100)), Some(Millis(40)));
    assert_eq!(leased.denied_ms(at(10), Credit(99)), None);
    assert_eq!(leased.denied_ms(at(50), Credit(100)), None);
}
