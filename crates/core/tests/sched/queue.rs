//! Tests of the fair queue.

use hibiscusvale_core::ids::{Incarnation, RequestId};
use hibiscusvale_core::slots::{FairQueue, QueueSettings, Waiting};
use hibiscusvale_core::units::{Micros, MonoTime};
use rstest::rstest;

fn entry(sequence: u64, partner: &str, latest_us: Option<u64>) -> Waiting<()> {
    Waiting {
        request_id: RequestId { incarnation: Incarnation(1), sequence },
        partner: partner.parse().unwrap(),
        since_us: MonoTime(0),
        latest_us: latest_us.map(MonoTime),
        work_us: Micros(100),
        charge_us: Micros(100),
        item: (),
    }
}

fn pops(queue: &mut FairQueue<()>, now_us: u64) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(MonoTime(now_us))).map(|entry| entry.request_id.sequence).collect()
}

fn filled(entries: &[(u64, &str, Option<u64>)]) -> FairQueue<()> {
    let mut queue = FairQueue::new(QueueSettings::default());
    entries
        .iter()
        .for_each(|&(sequence, partner, latest_us)| queue.push(entry(sequence, partner, latest_us)));
    queue
}

// One partner fills the queue with deadlines earlier than the other's. A global deadline order would serve
// the other partner last.
#[test]
fn partners_alternate_regardless_of_deadlines() {
    let mut queue =
        filled(&[(1, "a", Some(10)), (2, "a", Some(11)), (3, "a", Some(12)), (4, "b", Some(9_000))]);
    assert_eq!(pops(&mut queue, 0), [1, 4, 2, 3]);
}

// Within a partner the earliest deadline is served first and late requests last.
#[test]
fn deadlines_order_the_work_of_one_partner() {
    let mut queue = filled(&[(1, "a", None), (2, "a", Some(90)), (3, "a", Some(50))]);
    assert_eq!(pops(&mut queue, 0), [3, 2, 1]);
}

// A request whose deadline passes while it waits is served after those that can still meet theirs.
#[test]
fn expired_requests_are_served_last() {
    let mut queue = filled(&[(1, "a", Some(40)), (2, "a", Some(90))]);
    assert_eq!(pops(&mut queue, 60), [2, 1]);
}

// Late requests must not starve while new requests that are on time keep arriving.
#[test]
fn late_requests_do_not_starve() {
    let mut queue = filled(&[(0, "a", None)]);
    let far_us = 100_000_000;
    (1..40).for_each(|sequence| queue.push(entry(sequence, "a", Some(far_us + sequence))));
    let order = pops(&mut queue, 9_000_000);
    let position = order.iter().position(|&sequence| sequence == 0).unwrap();
    assert!(position < 9, "served at position {position}");
}

// A partner that was idle must not accumulate credit, or its burst would shut out the other.
#[test]
fn idle_partner_accumulates_no_credit() {
    let mut queue = filled(&[]);
    for sequence in 0..50 {
        queue.push(entry(sequence, "a", Some(1_000)));
        queue.pop(MonoTime(0)).unwrap();
    }
    (100..104).for_each(|sequence| queue.push(entry(sequence, "b", Some(1_000))));
    (200..204).for_each(|sequence| queue.push(entry(sequence, "a", Some(1_000))));
    let order = pops(&mut queue, 0);
    let of_b = order[..4].iter().filter(|&&sequence| sequence < 200).count();
    assert!(of_b <= 3, "order {order:?}");
}

// The forecast for a partner below its fair share does not include the other partner's long queue.
#[rstest]
#[case::new_partner("b", 0, 100)]
#[case::busy("a", 1_000, 1_100)]
fn forecast_follows_fairness(#[case] partner: &str, #[case] at_least: u64, #[case] at_most: u64) {
    let mut queue = filled(&[]);
    (0..11).for_each(|sequence| queue.push(entry(sequence, "a", Some(1_000))));
    queue.pop(MonoTime(0)).unwrap();
    let forecast = queue.forecast(MonoTime(0), &entry(99, partner, Some(1_000_000)), 1.0);
    let wait_us = forecast.wait_us.0;
    assert!((at_least..=at_most).contains(&wait_us), "wait {wait_us} us");
}

// A new urgent request that would make an accepted request late is reported as such before it is admitted.
#[test]
fn forecast_reports_harm_to_an_accepted_request() {
    let queue = filled(&[(1, "a", Some(50))]);
    let forecast = queue.forecast(MonoTime(0), &entry(2, "a", Some(10)), 1.0);
    assert!(forecast.delays_earlier);
    let forecast = queue.forecast(MonoTime(0), &entry(2, "a", Some(60)), 1.0);
    assert!(!forecast.delays_earlier);
}
