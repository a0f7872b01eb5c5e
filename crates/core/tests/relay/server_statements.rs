//! How long statements of servers hold.

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::relay::engines::{EngineAction, EngineEvent, EngineRefusal, PoolUsage, Role};
use hibiscusvale_core::relay::server_statements::{ListedAvailability, ServerStatements};
use hibiscusvale_core::sched::{FailureCause, Hold, HoldReason};
use hibiscusvale_core::units::{Millis, MonoTime};
use rstest::rstest;

use crate::engines::full;
use crate::simulation::{Harness, demand, server, settings};

const LEAVING: ListedAvailability = ListedAvailability { is_leaving: true };
const READY: ListedAvailability = ListedAvailability { is_leaving: false };

/// A server that stated that it is leaving while the list showed it as `listed`.
fn leaving(listed: ListedAvailability) -> (ServerStatements, BackendServerId) {
    let mut statements = ServerStatements::default();
    let server = server("i-1");
    assert!(statements.leaving(MonoTime(1_000), &server, listed).is_some());
    (statements, server)
}

fn adopt(statements: &mut ServerStatements, listed: Option<ListedAvailability>) -> bool {
    !statements.adopt(|_| listed).is_empty()
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
        assert_eq!(statements.hold(&server).map(|hold| hold.reason), Some(HoldReason::Leaving));
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
    assert_eq!(statements.hold(&server), None);
}

/// Thousands of servers come and go; the statements of those that are gone must not accumulate.
#[test]
fn statements_of_gone_servers_are_bounded() {
    let mut statements = ServerStatements::default();
    for number in 0..5_000 {
        let server = server(&format!("i-{number}"));
        statements.leaving(MonoTime(number), &server, READY);
    }
    statements.adopt(|server| (server.as_str() == "i-0").then_some(READY));
    assert_eq!(statements.leaving_count(), 1_025);
    assert!(statements.hold(&server("i-0")).is_some() && statements.hold(&server("i-4999")).is_some());
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
