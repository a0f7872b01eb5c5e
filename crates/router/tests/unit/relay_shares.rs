//! Tests of the shares of organisations in plain services, with virtual time.

use std::collections::BTreeMap;

use hibiscusvale_core::quota::{Quota, QuotaUnit};
use hibiscusvale_core::relay::partners::Partner;
use hibiscusvale_core::relay::routes::{CallerLimits, ServiceSpec, TableVersion};
use hibiscusvale_core::shares::OverShare;
use hibiscusvale_core::units::{Credit, CreditPerSecond, Micros, Tokens};
use rstest::rstest;

use super::*;

/// Quota in tokens, with the cost of a plain request in this deployment.
const TOKENS: QuotaUnit = QuotaUnit::Tokens { plain: Tokens(200) };

const START: MonoTime = MonoTime(10_000_000);

fn partner(name: &str) -> PartnerId {
    name.parse().unwrap()
}

fn quota(unit: QuotaUnit, rate: u64) -> Quota {
    Quota { unit, rate: CreditPerSecond(rate), burst: Credit(1_000_000) }
}

fn table(quotas: &[(&str, Option<Quota>)]) -> RouteTable {
    let spec = ServiceSpec { connections_max: 10, health_path: None, engine: None };
    let services = BTreeMap::from([("app".parse().unwrap(), spec)]);
    let partners = quotas.iter().map(|(name, quota)| Partner {
        id: partner(name),
        keys: Vec::new(),
        priority: None,
        quota: *quota,
    });
    RouteTable::new(TableVersion(1), Vec::new(), services, CallerLimits::default())
        .with_partners(partners.collect())
}

/// Shares without quotas for `large` and `small`.
fn shares() -> SharedShares {
    let shares = SharedShares::default();
    shares.configure(&table(&[("large", None), ("small", None)]), |_| false);
    shares
}

/// Two seconds with 100 answers a second, requests of `large` and `small` at these intervals, and this queue at
/// servers with six slots. Returns the requests refused of each, and the messages that were due.
fn run(shares: &SharedShares, large_ms: u64, small_ms: u64, waiting: u32) -> ([Vec<OverShare>; 2], u32) {
    let mut refused = [Vec::new(), Vec::new()];
    let mut messages = 0;
    for at_ms in 0..2_000_u64 {
        let now_us = START + Millis(at_ms);
        let mut is_message_due = false;
        for (number, (name, every_ms)) in [("large", large_ms), ("small", small_ms)].into_iter().enumerate() {
            if at_ms % every_ms == 0 {
                let draw = (at_ms / every_ms * 37 % 100) as f64 / 100.0;
                let admission = shares.admit(now_us, "app", Some(&partner(name)), draw);
                is_message_due |= admission.is_message_due;
                if let ShareDecision::OverShare(over) = admission.decision {
                    refused[number].push(over);
                }
            }
        }
        if at_ms % 10 == 0 {
            is_message_due |= shares.record_attempt(now_us, "app", Ok(()));
            is_message_due |= shares.record_load(now_us, "app", waiting, 6);
        }
        if is_message_due {
            messages += 1;
            shares.reports(now_us);
        }
    }
    (refused, messages)
}

#[rstest]
#[case::by_quota([Some(quota(TOKENS, 6_000)), Some(quota(TOKENS, 2_000))], 3.0)]
#[case::without_quotas([None, None], 1.0)]
#[case::one_without([Some(quota(TOKENS, 6_000)), None], 1.0)]
#[case::different_units([Some(quota(TOKENS, 6_000)), Some(quota(QuotaUnit::Requests, 2_000))], 1.0)]
fn weights_follow_quotas(#[case] quotas: [Option<Quota>; 2], #[case] expected: f64) {
    let weights =
        SharedShares::default().configure(&table(&[("large", quotas[0]), ("small", quotas[1])]), |_| false);
    let [large, small] = ["large", "small"].map(|name| weights[&OrganisationKey::of(&partner(name))]);
    assert!((large / small - expected).abs() < 1e-9, "{large} {small}");
}

/// Quotas and organisations change while a service is congested; the next decision must follow the new table.
#[test]
fn weights_follow_a_changed_table_at_once() {
    let shares = SharedShares::default();
    let quotas =
        |large| table(&[("large", Some(quota(TOKENS, large))), ("small", Some(quota(TOKENS, 1_000)))]);
    shares.configure(&quotas(1_000), |_| false);
    run(&shares, 5, 5, 12);
    let now_us = START + Millis(2_000);
    let share = || {
        let decision = shares.admit(now_us + Micros(1), "app", Some(&partner("large")), 1.0).decision;
        let ShareDecision::OverShare(over) = decision else { panic!("{decision:?}") };
        over.share_per_s
    };
    let equal = share();
    shares.configure(&quotas(3_000), |_| false);
    let larger = share();
    assert!((larger / equal - 1.5).abs() < 0.05, "{equal} {larger}");
    let removed = shares.configure(&table(&[("small", None)]), |_| false);
    assert_eq!(removed.into_keys().collect::<Vec<_>>(), [OrganisationKey::of(&partner("small"))]);
    assert_eq!(shares.name(OrganisationKey::of(&partner("large"))), None);
}

/// Without organisations requests must be admitted as before, however long the queues are, and nothing is reported.
#[test]
fn nothing_changes_without_organisations() {
    let shares = SharedShares::default();
    shares.configure(&table(&[]), |_| false);
    assert_eq!(run(&shares, 2, 100, 24), ([Vec::new(), Vec::new()], 0));
    assert!(shares.reports(START + Millis(2_000)).is_empty());
    let congested = self::shares();
    run(&congested, 2, 100, 24);
    congested.configure(&table(&[]), |_| false);
    assert!(congested.reports(START + Millis(2_000)).is_empty());
    assert_eq!(congested.congested(START + Millis(2_000)), 0);
}

/// A service with uneven servers has no organisations: in an overload its queues must not fill, and the excess must be
/// refused at once. Other services are served as before.
#[test]
fn a_limited_service_without_organisations_refuses_its_excess() {
    let refused = |limited: &'static str| {
        let shares = SharedShares::default();
        shares.configure(&table(&[]), |service| service == limited);
        let is_refused = |at_ms: u64| {
            let now_us = START + Millis(at_ms);
            let draw = (at_ms * 37 % 100) as f64 / 100.0;
            let decision = shares.admit(now_us, "app", None, draw).decision;
            if at_ms.is_multiple_of(5) {
                let _ = shares.record_attempt(now_us, "app", Ok(()));
                let _ = shares.record_load(now_us, "app", 12, 6);
            }
            decision != ShareDecision::Admit
        };
        (0..2_000).filter(|&at_ms| is_refused(at_ms)).count()
    };
    assert!(refused("app") > 1_000, "{}", refused("app"));
    assert_eq!(refused("other"), 0);
}

/// While servers queue, the organisation that sends 500 of 510 requests a second is refused, and the other one is not.
/// While they do not, nobody is.
#[test]
fn only_an_organisation_beyond_its_share_of_a_congested_service_is_refused() {
    let ([large, small], _) = run(&shares(), 2, 100, 12);
    assert!(large.len() > 600, "{}", large.len());
    assert!(small.is_empty(), "{small:?}");
    let last = large.last().unwrap();
    assert!(last.share_per_s < last.demand_per_s && last.retry_after_ms >= Millis(200), "{last:?}");
    let ([large, small], messages) = run(&shares(), 2, 100, 0);
    assert_eq!((large.len(), small.len(), messages), (0, 0, 0));
}

/// The others need to learn of the demand when congestion begins, but hosts with 0.12 cores cannot send a message for
/// each request: one at its beginning, and five a second.
#[test]
fn messages_are_due_at_the_beginning_and_every_200_ms() {
    let (_, messages) = run(&shares(), 2, 100, 12);
    assert!((8..=11).contains(&messages), "{messages}");
}

/// The beginning of congestion is stated at once, also just after another message: until the others know of it, they
/// admit everything.
#[test]
fn a_message_is_due_when_congestion_begins() {
    let shares = shares();
    run(&shares, 20, 20, 0);
    let now_us = START + Millis(2_000);
    shares.reports(now_us);
    let due = (0..100).find(|&at_ms| shares.record_load(now_us + Millis(at_ms), "app", 60, 6));
    assert!(due.is_some(), "no message within 100 ms");
}

/// What counts as capacity: a request that a server has had, with whatever result. If only answers counted, one server
/// that hangs would make the capacity of the others look smaller with each request that it takes. A request that no
/// server has had tells nothing.
#[rstest]
#[case::answered(Ok(()), [1, 0])]
#[case::timeout(Err(FailureCause::Timeout), [1, 0])]
#[case::broken(Err(FailureCause::Broken), [1, 0])]
#[case::refused(Err(FailureCause::Refused), [1, 0])]
#[case::no_room(Err(FailureCause::NoRoom), [0, 1])]
#[case::not_sent(Err(FailureCause::NotSent), [0, 0])]
#[case::leaving(Err(FailureCause::Leaving), [0, 0])]
#[case::gone(Err(FailureCause::Gone), [0, 0])]
fn attempts_count_by_what_the_server_did(
    #[case] ended: Result<(), FailureCause>,
    #[case] expected: [u32; 2],
) {
    let shares = shares();
    let _ = shares.admit(START, "app", Some(&partner("small")), 0.0);
    let _ = shares.record_attempt(START, "app", ended);
    let [(_, report)] = &*shares.reports(START) else { panic!("one service") };
    assert_eq!([report.answered, report.refused_full].map(|rate| u32::from(rate > 0.0)), expected);
}

/// Another daemon must not be able to fill the memory of this one with services that the route table lacks.
#[test]
fn reports_of_unlisted_services_are_ignored() {
    let shares = shares();
    let report = RateReport { other_demand: 5.0, answered: 50.0, ..RateReport::default() };
    let host: HostId = "entry-2".parse().unwrap();
    shares.receive(START, &host, vec![("app".to_owned(), report.clone()), ("x".to_owned(), report)]);
    let services: Vec<String> = shares.usage(START).into_iter().map(|usage| usage.service).collect();
    assert_eq!(services, ["app"]);
}
