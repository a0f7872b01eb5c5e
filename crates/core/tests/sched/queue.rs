//! The fair queue.

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

// A partner fills the queue with deadlines that are all earlier than the other's. Deadline order over all
// would serve the other last.
#[test]
fn partners_take_turns_whatever_their_deadlines() {
    let mut queue =
        filled(&[(1, "a", Some(10)), (2, "a", Some(11)), (3, "a", Some(12)), (4, "b", Some(9_000))]);
    assert_eq!(pops(&mut queue, 0), [1, 4, 2, 3]);
}

// Inside a partner the most urgent comes first, and what is late already comes last.
#[test]
fn deadlines_order_the_work_of_one_partner() {
    let mut queue = filled(&[(1, "a", None), (2, "a", Some(90)), (3, "a", Some(50))]);
    assert_eq!(pops(&mut queue, 0), [3, 2, 1]);
}

// A request whose time runs out while it waits goes behind those that can still make it.
#[test]
fn expired_requests_go_behind() {
    let mut queue = filled(&[(1, "a", Some(40)), (2, "a", Some(90))]);
    assert_eq!(pops(&mut queue, 60), [2, 1]);
}

// Late requests must not starve while new ones that are in time keep coming.
#[test]
fn late_requests_age() {
    let mut queue = filled(&[(0, "a", None)]);
    let far_us = 100_000_000;
    (1..40).for_each(|sequence| queue.push(entry(sequence, "a", Some(far_us + sequence))));
    let order = pops(&mut queue, 9_000_000);
    let place = order.iter().position(|&sequence| sequence == 0).unwrap();
    assert!(place < 9, "served as number {place}");
}

// A partner that was quiet for long must not have saved up turns, or its burst would shut the other out.
#[test]
fn quiet_partner_collects_no_credit() {
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

// The forecast of a partner that is owed time does not count the other's long queue.
#[rstest]
#[case::newcomer("b", 0, 100)]
#[case::busy("a", 1_000, 1_100)]
fn forecast_follows_fairness(#[case] partner: &str, #[case] at_least: u64, #[case] at_most: u64) {
    let mut queue = filled(&[]);
    (0..11).for_each(|sequence| queue.push(entry(sequence, "a", Some(1_000))));
    queue.pop(MonoTime(0)).unwrap();
    let forecast = queue.forecast(MonoTime(0), &entry(99, partner, Some(1_000_000)), 1.0);
    let wait_us = forecast.wait_us.0;
    assert!((at_least..=at_most).contains(&wait_us), "wait {wait_us} us");
}

// An urgent newcomer that would make an earlier, accepted request late is told so before it is taken in.
#[test]
fn newcomer_does_not_break_a_promise() {
    let queue = filled(&[(1, "a", Some(50))]);
    let forecast = queue.forecast(MonoTime(0), &entry(2, "a", Some(10)), 1.0);
    assert!(forecast.harms_earlier);
    let forecast = queue.forecast(MonoTime(0), &entry(2, "a", Some(60)), 1.0);
    assert!(!forecast.harms_earlier);
}
