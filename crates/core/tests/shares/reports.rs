//! Reports of a daemon, and decisions on reports that a test made up.

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::shares::{REPORTED_ORGANISATIONS_MAX, RateReport, RateShares, ShareDecision};
use hibiscusvale_core::units::{Millis, MonoTime};
use rstest::rstest;

use crate::fleet::key;

pub fn absurd(demand: f32, answered: f32) -> RateReport {
    RateReport { demand: vec![(key(1), demand)], answered, ..RateReport::default() }
}

pub fn overlong() -> RateReport {
    RateReport { demand: (0..33).map(|number| (key(number), 9_000.0)).collect(), ..RateReport::default() }
}

pub fn overloaded() -> RateReport {
    let demand = vec![(key(0), 900.0), (key(1), 100.0)];
    RateReport { demand, answered: 400.0, queue_per_slot: 1.3, load_reports: 400.0, ..RateReport::default() }
}

/// Congested for long enough that shares are in force at the returned time.
fn congested(report: RateReport) -> (RateShares, MonoTime) {
    let (mut shares, host) = (RateShares::default(), "host".parse::<HostId>().unwrap());
    let start_us = MonoTime(1_000_000);
    shares.receive(start_us, &host, report);
    assert!(shares.is_congested(start_us), "guards against a signal that is not seen");
    (shares, start_us + Millis(300))
}

/// Guards against callers that are told to return at once, never, or all together, and against a refusal that gives
/// figures of another organisation.
#[test]
fn refusal_states_share_and_time() {
    let (mut shares, now_us) = congested(overloaded());
    let waits: Vec<Millis> = (0..10)
        .map(|number| match shares.decide(now_us, Some(key(0)), 0.5 + 0.05 * f64::from(number)) {
            ShareDecision::OverShare(over) => {
                assert!((over.demand_per_s - 900.0).abs() < 1.0 && over.share_per_s < 330.0, "{over:?}");
                assert_eq!((over.reports, over.oldest_report_ms), (1, Millis(300)));
                over.retry_after_ms
            }
            ShareDecision::Admit => panic!("the organisation asks for three times its share"),
        })
        .collect();
    assert!(waits.iter().all(|wait| (Millis(200)..=Millis(3_000)).contains(wait)), "{waits:?}");
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "guards against no jitter: {waits:?}");
    assert_eq!(shares.decide(now_us, Some(key(1)), 0.999), ShareDecision::Admit, "within its share");
}

/// Guards against shares that rest on daemons that are gone.
#[rstest]
#[case::expired(Millis(2_000), false)]
#[case::gone(Millis(0), true)]
fn report_ends(#[case] after_ms: Millis, #[case] is_gone: bool) {
    let (mut shares, now_us) = congested(overloaded());
    if is_gone {
        shares.peer_gone(&"host".parse().unwrap());
    }
    let now_us = now_us + after_ms + Millis(20);
    assert!(shares.usage(now_us).is_empty(), "demand of a daemon that is gone counts");
    assert_eq!(shares.decide(now_us, Some(key(0)), 0.999), ShareDecision::Admit);
}

/// Guards against reports that take more room than a message has, and against demand that others never hear of:
/// each of 400 organisations must appear with its rate in the mean of many reports.
#[test]
fn long_report_is_shortened_without_loss() {
    let mut shares = RateShares::default();
    let (mut largest, mut other, mut reports) = (0.0, 0.0, 0.0);
    for call in 0..40_000_u64 {
        let now_us = MonoTime(call * 2_500);
        let organisation = if call % 4 == 0 { 0 } else { 1 + (call * 7_919 % 399) as usize };
        shares.arrived(now_us, Some(key(organisation)));
        if call % 160 != 0 || call < 4_000 {
            continue;
        }
        let report = shares.report(now_us).unwrap();
        assert!(report.demand.len() <= REPORTED_ORGANISATIONS_MAX);
        assert!(postcard::to_stdvec(&report).unwrap().len() <= 9 * REPORTED_ORGANISATIONS_MAX + 30);
        reports += 1.0;
        for (organisation, rate) in report.demand {
            *if organisation == key(0) { &mut largest } else { &mut other } += f64::from(rate);
        }
    }
    assert!((largest / reports - 100.0).abs() < 5.0, "{}", largest / reports);
    assert!((other / reports - 300.0).abs() < 15.0, "{}", other / reports);
}

/// Guards against a daemon that admits every request because it has less than one a second: the signs of congestion in
/// the reports of the others would be forgotten between its requests, and shares would never be in force there. In a
/// fleet of 413 daemons that serves 200 calls a second, most daemons are such ones. The first request after a start is
/// admitted, as at all daemons.
#[test]
fn shares_are_in_force_at_a_daemon_with_few_requests() {
    let (mut shares, host) = (RateShares::default(), "host".parse::<HostId>().unwrap());
    let mut decisions = Vec::new();
    for at_ms in (0..20_000_u64).step_by(100) {
        let now_us = MonoTime(1_000_000) + Millis(at_ms);
        if at_ms % 200 == 0 {
            shares.receive(now_us, &host, overloaded());
        }
        if at_ms % 700 == 0 {
            shares.report(now_us);
        }
        if at_ms % 2_500 == 0 && at_ms >= 2_500 {
            shares.arrived(now_us, Some(key(0)));
            decisions.push(shares.decide(now_us, Some(key(0)), 0.999));
        }
    }
    assert_eq!((decisions.len(), decisions[0]), (7, ShareDecision::Admit));
    for decision in &decisions[1..] {
        let ShareDecision::OverShare(over) = decision else { panic!("{decisions:?}") };
        // All daemons get 400 answers a second, and the servers queue a little more than they should.
        assert!((360.0..=400.0).contains(&over.capacity_per_s), "{over:?}");
    }
}

/// Guards against shares that lapse whenever a small service answers a little less for a moment: all that the surging
/// organisation sends would be admitted then, although the servers queue as before.
#[test]
fn shares_stay_in_force_while_a_small_service_answers_less_for_a_moment() {
    let demand = vec![(key(0), 240.0), (key(1), 10.0)];
    let report =
        |answered| RateReport { demand: demand.clone(), answered, load_reports: answered, ..overloaded() };
    let (mut shares, now_us) = congested(report(35.0));
    assert!(matches!(shares.decide(now_us, Some(key(0)), 0.999), ShareDecision::OverShare(_)));
    for at_ms in (0..500).step_by(100) {
        let now_us = now_us + Millis(50 + at_ms);
        shares.receive(now_us, &"host".parse().unwrap(), report(19.0));
        let decision = shares.decide(now_us, Some(key(0)), 0.999);
        assert!(matches!(decision, ShareDecision::OverShare(_)), "after {at_ms} ms");
    }
}

/// Guards against a single server that states an impossible queue: the mean of the daemon would be impossible as well,
/// so that all other daemons drop its reports, and most of the capacity would count as lost for seconds.
#[test]
fn impossible_load_of_a_server_is_ignored() {
    let (mut shares, mut other) = (RateShares::default(), RateShares::default());
    for call in 0..400_u64 {
        let now_us = MonoTime(1_000_000 + call * 5_000);
        shares.arrived(now_us, Some(key(1)));
        assert!(shares.attempt_ended(now_us, Ok(())));
        shares.server_load(now_us, 0, 6);
    }
    let now_us = MonoTime(3_000_000);
    shares.server_load(now_us, u32::MAX, 1);
    assert!(!shares.is_congested(now_us + Millis(20)), "no server queues");
    other.receive(now_us, &"host".parse().unwrap(), shares.report(now_us).unwrap());
    assert_eq!(other.usage(now_us).len(), 1, "the report was dropped");
}

/// Guards against a capacity that still counts the answers of daemons that are gone: the demand of those that are left
/// would seem to fit, and the queues of the servers would stay full until the memory of the capacity has faded.
#[rstest]
#[case::gone(true)]
#[case::expired(false)]
fn capacity_falls_with_the_reports_of_daemons_that_are_gone(#[case] is_gone: bool) {
    let (mut shares, now_us) = congested(overloaded());
    let second: HostId = "host-2".parse().unwrap();
    shares.receive(now_us, &second, overloaded());
    let capacity_per_s = |shares: &mut RateShares, now_us: MonoTime| {
        let ShareDecision::OverShare(over) = shares.decide(now_us, Some(key(0)), 0.999) else {
            panic!("the organisation asks for three times its share")
        };
        over.capacity_per_s
    };
    let of_two = capacity_per_s(&mut shares, now_us + Millis(20));
    assert!((720.0..=840.0).contains(&of_two), "{of_two}");
    let later_us = if is_gone {
        shares.peer_gone(&second);
        now_us + Millis(50)
    } else {
        shares.receive(now_us + Millis(1_700), &"host".parse().unwrap(), overloaded());
        capacity_per_s(&mut shares, now_us + Millis(1_900));
        now_us + Millis(2_050)
    };
    let of_one = capacity_per_s(&mut shares, later_us);
    assert!((360.0..=420.0).contains(&of_one), "{of_one} of one daemon, {of_two} of two");
}
