//! How long statements of servers hold.

use hibiscusvale_core::ids::{BackendServerId, Lifetime};
use hibiscusvale_core::relay::engines::{EngineAction, EngineEvent, EngineRefusal, PoolUsage, Role};
use hibiscusvale_core::relay::server_statements::{ListedAvailability, REST_MAX_MS, ServerStatements};
use hibiscusvale_core::sched::{FailureCause, Hold, HoldReason};
use hibiscusvale_core::units::{Millis, MonoTime};
use rstest::rstest;

use crate::engines::full;
use crate::simulation::{Harness, demand, request_id, server, settings};

const LEAVING: ListedAvailability = ListedAvailability { lifetime: None, is_leaving: true };
const READY: ListedAvailability = ListedAvailability { lifetime: None, is_leaving: false };

/// An hour and a half after the statements.
const NOW: MonoTime = MonoTime(5_400_000_000);

/// A server that stated that it is leaving while the list showed it as `listed`.
fn leaving(listed: ListedAvailability) -> (ServerStatements, BackendServerId) {
    let mut statements = ServerStatements::default();
    let server = server("i-1");
    assert!(statements.leaving(MonoTime(1_000), &server, listed).is_some());
    (statements, server)
}

fn adopt(statements: &mut ServerStatements, listed: Option<ListedAvailability>) -> bool {
    !statements.adopt(NOW, |_| listed).is_empty()
}

/// The store is unavailable, or the list late: it shows the server as ready for hours after its statement.
#[rstest]
#[case::ready(&[Some(READY), Some(READY)])]
#[case::vanished(&[None, Some(READY), None, Some(READY)])]
#[case::leaving(&[Some(READY), Some(LEAVING)])]
#[case::vanished_leaving(&[Some(LEAVING), None])]
fn leaving_holds_until_the_list_takes_it_back(#[case] lists: &[Option<ListedAvailability>]) {
    let (mut statements, server) = leaving(READY);
    for listed in lists {
        assert!(!adopt(&mut statements, *listed));
        assert_eq!(statements.hold(NOW, &server).map(|hold| hold.reason), Some(HoldReason::Leaving));
    }
}

/// The shutdown is called off after the list has shown it.
#[rstest]
#[case::listed_later(READY, &[Some(READY), Some(LEAVING)])]
#[case::listed_before(LEAVING, &[])]
#[case::vanished_between(READY, &[Some(LEAVING), None])]
fn leaving_ends_when_the_list_takes_it_back(
    #[case] at_statement: ListedAvailability,
    #[case] lists: &[Option<ListedAvailability>],
) {
    let (mut statements, server) = leaving(at_statement);
    for listed in lists {
        assert!(!adopt(&mut statements, *listed));
    }
    assert!(adopt(&mut statements, Some(READY)));
    assert_eq!(statements.hold(NOW, &server), None);
}

/// Thousands of servers come and go; the statements of those that are gone must not accumulate.
#[test]
fn statements_of_gone_servers_are_bounded() {
    let mut statements = ServerStatements::default();
    for number in 0..5_000 {
        let server = server(&format!("i-{number}"));
        statements.leaving(MonoTime(number), &server, READY);
    }
    statements.adopt(NOW, |server| (server.as_str() == "i-0").then_some(READY));
    assert_eq!(statements.count(NOW, HoldReason::Leaving), 1_025);
    assert!(
        statements.hold(NOW, &server("i-0")).is_some() && statements.hold(NOW, &server("i-4999")).is_some()
    );
}

fn hold(name: &str) -> EngineEvent {
    EngineEvent::Hold { server: server(name), hold: Hold { reason: HoldReason::Leaving, until_us: None } }
}

/// The only decode engines state that they are leaving while requests wait for room there.
#[test]
fn queued_requests_are_refused_at_once_when_all_decode_engines_leave() {
    let mut harness = Harness::new(settings(), &[("r-1", Role::Prefill), ("w-1", Role::Decode)]);
    let usage = PoolUsage { engines: vec![full("w-1")], ..PoolUsage::default() };
    harness.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), usage });
    assert_eq!(harness.arrive(demand(1, 4_000, 4_000)), []);
    let refused = harness.feed(hold("w-1"));
    assert!(
        matches!(
            &*refused,
            [EngineAction::Refuse { reason: EngineRefusal::NoEngine, request_id, .. }] if request_id.sequence == 1
        ),
        "{refused:?}"
    );
}

/// An engine states that it is leaving while the prompt of a request that is to be decoded there is prefilled. The
/// request goes to another engine and keeps its KV cache; nothing is charged to the retry budget.
#[test]
fn a_placed_request_moves_when_its_decode_engine_leaves() {
    let engines = [("r-1", Role::Prefill), ("w-1", Role::Decode), ("w-2", Role::Decode)];
    let mut harness = Harness::new(settings(), &engines);
    let [EngineAction::Reserve { decode_engine: first, .. }] = &*harness.arrive(demand(1, 4_000, 4_000))
    else {
        panic!("no reservation");
    };
    harness.reserved(1);
    harness.prefilled(1);
    harness.feed(hold(first.as_str()));
    let moved = harness.decode_failed(1, FailureCause::Held(HoldReason::Leaving));
    let [EngineAction::Reserve { decode_engine: second, .. }] = &*moved else {
        panic!("{moved:?}");
    };
    assert_ne!(first, second);
    let reserved = harness.reserved(1);
    assert!(
        matches!(&*reserved, [EngineAction::Decode { prefill_engine: Some(_), .. }]),
        "the prompt is prefilled again: {reserved:?}"
    );
    assert_eq!(harness.pool.counters().retries, 0);
    harness.after(Millis(3_600_000).0);
    let later = harness.arrive(demand(2, 100, 100));
    assert!(matches!(&*later, [EngineAction::Reserve { decode_engine, .. }] if decode_engine == second));
}

/// A stream breaks off after its first event. It must not be handed over to an engine that is leaving.
#[test]
fn an_interrupted_stream_is_not_handed_over_to_a_leaving_engine() {
    let engines = [("w-1", Role::Decode), ("w-2", Role::Decode), ("w-3", Role::Decode)];
    let mut harness = Harness::new(settings(), &engines);
    // Earns the credit for a retry.
    for sequence in 100..120 {
        harness.arrive(demand(sequence, 10, 10));
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let [EngineAction::Reserve { decode_engine: first, .. }] = &*harness.arrive(demand(1, 4_000, 4_000))
    else {
        panic!("no reservation");
    };
    harness.reserved(1);
    harness.feed(EngineEvent::Started { request_id: request_id(1) });
    let others: Vec<&str> =
        engines.iter().map(|(name, _)| *name).filter(|name| *name != first.as_str()).collect();
    harness.feed(hold(others[0]));
    let resumed = harness.decode_failed(1, FailureCause::Broken);
    assert!(
        matches!(&*resumed, [EngineAction::Reserve { decode_engine, .. }] if decode_engine.as_str() == others[1]),
        "{resumed:?}"
    );
}

fn rest_until(name: &str, until_us: u64) -> EngineEvent {
    let hold = Hold { reason: HoldReason::Resting, until_us: Some(MonoTime(until_us)) };
    EngineEvent::Hold { server: server(name), hold }
}

/// Several answers ask for rests of different length; each binds from its own time on.
#[test]
fn the_latest_end_of_all_rests_counts() {
    let mut statements = ServerStatements::default();
    let server = server("i-1");
    let until_us = |hold: Option<Hold>| hold.and_then(|hold| hold.until_us);
    let first = statements.rest(MonoTime(0), &server, READY, Millis(3_000));
    assert_eq!(until_us(first), Some(MonoTime(3_000_000)));
    assert_eq!(statements.rest(MonoTime(500_000), &server, READY, Millis(1_000)), None);
    assert_eq!(statements.rest(MonoTime(500_000), &server, READY, Millis::ZERO), None);
    let longer = statements.rest(MonoTime(1_000_000), &server, READY, Millis(3_000));
    assert_eq!(until_us(longer), Some(MonoTime(4_000_000)));
    assert_eq!(until_us(statements.hold(MonoTime(3_999_999), &server)), Some(MonoTime(4_000_000)));
    assert_eq!(statements.hold(MonoTime(4_000_000), &server), None);
}

/// A server asks for a rest of a hundred years. It must not be out of use for ever.
#[test]
fn a_rest_is_bounded() {
    let mut statements = ServerStatements::default();
    let server = server("i-1");
    statements.rest(MonoTime(1_000_000), &server, READY, Millis(u64::MAX));
    let end_us = MonoTime(1_000_000) + REST_MAX_MS;
    assert!(statements.hold(MonoTime(end_us.0 - 1), &server).is_some());
    assert_eq!(statements.hold(end_us, &server), None);
}

/// All decode engines rest. A request is refused at once with the end of the first rest; after it, one request probes the
/// engine, and its first event lets the others follow.
#[test]
fn a_rested_engine_is_used_fully_after_the_first_event() {
    let mut harness = Harness::new(settings(), &[("w-1", Role::Decode), ("w-2", Role::Decode)]);
    harness.feed(rest_until("w-1", 3_000_000));
    harness.feed(rest_until("w-2", 9_000_000));
    let refused = harness.after(1_000).arrive(demand(1, 100, 100));
    assert!(
        matches!(
            &*refused,
            [EngineAction::Refuse { reason: EngineRefusal::Resting, retry_after_ms: Millis(2_000), .. }]
        ),
        "{refused:?}"
    );
    assert!(matches!(&*harness.after(2_000).arrive(demand(2, 100, 100)), [EngineAction::Reserve { .. }]));
    assert!(
        !harness
            .arrive(demand(3, 100, 100))
            .iter()
            .any(|action| matches!(action, EngineAction::Reserve { .. }))
    );
    harness.reserved(2);
    harness.feed(EngineEvent::Started { request_id: request_id(2) });
    assert!(matches!(&*harness.arrive(demand(4, 100, 100)), [EngineAction::Reserve { .. }, ..]));
}

fn run(lifetime: u64) -> ListedAvailability {
    ListedAvailability { lifetime: Some(Lifetime(lifetime)), is_leaving: false }
}

/// A server starts again under its id. Its statements end with the run that made them, and not by a late list that still
/// shows an earlier run.
#[test]
fn statements_end_with_the_run_that_made_them() {
    let mut statements = ServerStatements::default();
    let server = server("i-1");
    statements.leaving(MonoTime(0), &server, run(7));
    statements.rest(MonoTime(0), &server, run(7), REST_MAX_MS);
    for listed in [run(7), run(6), READY] {
        assert_eq!(statements.adopt(MonoTime(1), |_| Some(listed)), []);
    }
    assert!(statements.hold(MonoTime(1), &server).is_some());
    assert_eq!(statements.adopt(MonoTime(2), |_| Some(run(8))), std::slice::from_ref(&server));
    assert_eq!(statements.hold(MonoTime(2), &server), None);
}
