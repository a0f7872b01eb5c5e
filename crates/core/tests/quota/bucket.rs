//! The token bucket and leased credit.

use hibiscusvale_core::quota::{Bucket, LeasedCredit};
use hibiscusvale_core::units::{Credit, CreditPerSecond, Millis, MonoTime};

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

#[test]
fn bucket_refills_at_the_rate_up_to_the_burst() {
    let mut bucket = Bucket::new(at(0), CreditPerSecond(1_000), Credit(2_000), Credit(500));
    assert!(!bucket.try_take(at(0), Credit(600)));
    assert_eq!(bucket.wait_ms(at(0), Credit(600)), Some(Millis(100)));
    assert!(bucket.try_take(at(100), Credit(600)));
    assert_eq!(bucket.level(at(60_000)), Credit(2_000));
}

/// A prompt may cost more than the burst. It must be admitted eventually and be paid for afterwards.
#[test]
fn full_bucket_admits_a_cost_above_the_burst() {
    let mut bucket = Bucket::new(at(0), CreditPerSecond(1_000), Credit(2_000), Credit(1_999));
    assert!(!bucket.try_take(at(0), Credit(5_000)));
    assert!(bucket.try_take(at(1), Credit(5_000)));
    assert!(!bucket.try_take(at(3_000), Credit(1)));
    assert!(bucket.try_take(at(3_100), Credit(1)));
}

#[test]
fn wait_is_unknown_without_a_rate() {
    let mut bucket = Bucket::new(at(0), CreditPerSecond(0), Credit(10), Credit(0));
    assert_eq!(bucket.wait_ms(at(5), Credit(1)), None);
}

#[test]
fn lowering_the_burst_cuts_the_level() {
    let mut bucket = Bucket::new(at(0), CreditPerSecond(1_000), Credit(2_000), Credit(2_000));
    bucket.configure(at(0), CreditPerSecond(100), Credit(300));
    assert_eq!(bucket.level(at(0)), Credit(300));
}

#[test]
fn leased_credit_is_spent_once_and_expires() {
    let mut leased = LeasedCredit::default();
    leased.add(at(0), Credit(300));
    leased.add(at(200), Credit(300));
    assert!(leased.spend(at(250), Credit(400)));
    assert!(!leased.spend(at(260), Credit(201)));
    assert_eq!(leased.take_expired(at(500)), Credit(0));
    assert_eq!(leased.take_expired(at(600)), Credit(200));
    assert!(!leased.spend(at(600), Credit(1)));
}

/// A surge exceeds the quota. Its requests are refused without asking the primary for each one, while cheaper
/// requests still ask.
#[test]
fn denial_applies_to_equal_and_higher_costs() {
    let mut leased = LeasedCredit::default();
    leased.record_denial(at(0), Credit(100), Millis(50));
    assert_eq!(leased.denied_ms(at(10), Credit(100)), Some(Millis(40)));
    assert_eq!(leased.denied_ms(at(10), Credit(99)), None);
    assert_eq!(leased.denied_ms(at(50), Credit(100)), None);
}
