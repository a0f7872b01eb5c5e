//! Engines of several software versions in one pool.

use hibiscusvale_core::relay::engines::{
    Demand, EngineAction, EngineEvent, EngineRefusal, ListedEngine, Role, RoleChange, VersionBinding,
};
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::Millis;

use crate::engines::observe_load;
use crate::simulation::{Harness, demand, listed, request_id, settings};

fn engine(name: &str, role: Role, version: &str) -> ListedEngine {
    ListedEngine { version: version.parse().unwrap(), ..listed(name, role) }
}

/// A prefill engine and two decode engines of each of two versions.
fn engines() -> Vec<ListedEngine> {
    let of = |version: &str| {
        [("r", Role::Prefill), ("w1", Role::Decode), ("w2", Role::Decode)]
            .map(|(name, role)| engine(&format!("{version}-{name}"), role, version))
    };
    [of("v1"), of("v2")].concat()
}

fn harness(engines: Vec<ListedEngine>) -> Harness {
    let mut harness = Harness::new(settings(), &[]);
    harness.feed(EngineEvent::Engines(engines));
    // Earns credit for retries.
    for sequence in 1_000..1_100 {
        harness.arrive(demand(sequence, 10, 10));
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    harness
}

fn bound(sequence: u64, version: &str) -> Demand {
    Demand { binding: VersionBinding::Only(version.parse().unwrap()), ..demand(sequence, 4_000, 4_000) }
}

fn reserved_at(actions: &[EngineAction]) -> String {
    match actions {
        [EngineAction::Reserve { decode_engine, .. }] => decode_engine.to_string(),
        other => panic!("no reservation in {other:?}"),
    }
}

/// Runs a request up to its first event; returns its decode engine.
fn start(harness: &mut Harness, demand: Demand) -> String {
    let sequence = demand.request_id.sequence;
    let decode_engine = reserved_at(&harness.arrive(demand));
    harness.reserved(sequence);
    harness.prefilled(sequence);
    harness.feed(EngineEvent::Started { request_id: request_id(sequence) });
    decode_engine
}

fn version_of(engine: &str) -> &str {
    engine.split('-').next().unwrap()
}

fn refusals(actions: &[EngineAction]) -> Vec<EngineRefusal> {
    let refusals = actions.iter().filter_map(|action| match action {
        EngineAction::Refuse { reason, .. } => Some(*reason),
        _ => None,
    });
    refusals.collect()
}

/// The emptiest engine runs another version than the one that sent the first event.
#[test]
fn interrupted_answer_goes_on_at_its_version() {
    for running in 0..6 {
        let mut harness = harness(engines());
        for sequence in 0..running {
            start(&mut harness, demand(100 + sequence, 4_000, 4_000));
        }
        let first = start(&mut harness, demand(1, 4_000, 4_000));
        let second = reserved_at(&harness.decode_failed(1, FailureCause::Broken));
        assert_ne!(first, second);
        assert_eq!(version_of(&first), version_of(&second));
    }
}

/// An attempt that failed before its first event must not hold the request to its version.
#[test]
fn attempt_without_an_event_binds_no_version() {
    let mut list = engines();
    list.retain(|engine| !engine.server.as_str().starts_with("v1-w2"));
    let mut harness = harness(list);
    let at = loop {
        let sequence = harness.actions.len() as u64;
        let at = reserved_at(&harness.arrive(demand(sequence, 4_000, 4_000)));
        if at == "v1-w1" {
            break sequence;
        }
    };
    harness.reserved(at);
    harness.prefilled(at);
    let next = harness.decode_failed(at, FailureCause::Broken);
    assert_eq!(version_of(&reserved_at(&next)), "v2");
}

/// No engine of its version is left: waiting for one would take the caller's time in vain.
#[test]
fn interrupted_answer_ends_at_once_when_its_version_is_gone() {
    let mut harness = harness(engines());
    let first = start(&mut harness, demand(1, 4_000, 4_000));
    let left =
        engines().into_iter().filter(|engine| version_of(engine.server.as_str()) != version_of(&first));
    harness.feed(EngineEvent::Engines(left.collect()));
    let ended = harness.decode_failed(1, FailureCause::Broken);
    assert_eq!(ended, [EngineAction::Unknown { request_id: request_id(1) }]);
}

/// The version goes while the interrupted answer waits for a place there.
#[test]
fn waiting_answer_ends_when_its_version_goes() {
    let list = vec![engine("v1-w1", Role::Decode, "v1"), engine("v2-w1", Role::Decode, "v2")];
    let mut harness = harness(list.clone());
    harness.arrive(bound(1, "v1"));
    harness.reserved(1);
    harness.feed(EngineEvent::Started { request_id: request_id(1) });
    assert!(harness.decode_failed(1, FailureCause::NoRoom).is_empty(), "its only engine is full");
    let left = list.into_iter().filter(|engine| engine.server.as_str() != "v1-w1").collect();
    let ended = harness.feed(EngineEvent::Engines(left));
    assert!(
        matches!(ended[..], [EngineAction::Refuse { reason: EngineRefusal::VersionGone, .. }]),
        "{ended:?}"
    );
}

#[test]
fn request_bound_to_a_version_that_is_gone_is_refused_at_once() {
    let mut harness = harness(engines());
    assert_eq!(refusals(&harness.arrive(bound(1, "v3"))), [EngineRefusal::VersionGone]);
    assert_eq!(version_of(&reserved_at(&harness.arrive(bound(2, "v2")))), "v2");
}

/// Leaving engines get no requests, so a version of which only they are left is gone.
#[test]
fn version_of_which_only_leaving_engines_are_left_is_gone() {
    let leaving = |engine: ListedEngine| ListedEngine { leaving: engine.version.as_str() == "v1", ..engine };
    let mut harness = harness(engines().into_iter().map(leaving).collect());
    assert_eq!(refusals(&harness.arrive(bound(1, "v1"))), [EngineRefusal::VersionGone]);
}

/// The engines of one version are full. Requests behind the one that waits for them may run at another version.
#[test]
fn request_that_waits_for_its_version_blocks_no_other() {
    let mut harness = harness(engines());
    let mut sequence = 0;
    let waits = loop {
        sequence += 1;
        // More urgent than the others, so that it comes first in the queue.
        let urgent = Demand { priority: 0, ..bound(sequence, "v1") };
        if harness.arrive(urgent).is_empty() {
            break sequence;
        }
        assert!(sequence < 100, "the engines of v1 never fill up");
    };
    let next = harness.arrive(demand(waits + 1, 4_000, 4_000));
    assert_eq!(version_of(&reserved_at(&next)), "v2");
}

/// A KV cache that one version wrote does not fit another one.
#[test]
fn prompt_is_prefilled_at_the_version_of_its_decode_engine() {
    let mut harness = harness(engines());
    for sequence in 0..8 {
        let decode_engine = reserved_at(&harness.arrive(demand(sequence, 4_000, 4_000)));
        let [EngineAction::Prefill { prefill_engine, .. }] = &*harness.reserved(sequence) else {
            panic!("no prefill for {decode_engine}");
        };
        assert_eq!(version_of(prefill_engine.as_str()), version_of(&decode_engine));
    }
}

/// The first decode engine refuses the KV cache, and the next one runs another version.
#[test]
fn kv_cache_of_another_version_is_not_fetched() {
    let list = vec![
        engine("v1-r", Role::Prefill, "v1"),
        engine("v1-w1", Role::Decode, "v1"),
        engine("v2-w1", Role::Decode, "v2"),
    ];
    let mut harness = harness(list);
    let mut at = reserved_at(&harness.arrive(demand(1, 4_000, 4_000)));
    if at == "v2-w1" {
        let again = harness
            .feed(EngineEvent::ReserveFailed { request_id: request_id(1), cause: FailureCause::NoRoom });
        at = reserved_at(&again);
    }
    assert_eq!(at, "v1-w1");
    harness.reserved(1);
    harness.prefilled(1);
    harness.after(200);
    assert_eq!(reserved_at(&harness.decode_failed(1, FailureCause::NoRoom)), "v2-w1");
    let decode = harness.reserved(1);
    assert!(matches!(decode[..], [EngineAction::Decode { prefill_engine: None, .. }]), "{decode:?}");
}

/// An answer that broke off at the last engine of its version cannot go on anywhere else.
#[test]
fn last_engine_of_a_version_is_tried_again() {
    let list = vec![engine("v1-w1", Role::Decode, "v1"), engine("v2-w1", Role::Decode, "v2")];
    let mut harness = harness(list);
    assert_eq!(reserved_at(&harness.arrive(bound(1, "v1"))), "v1-w1");
    harness.reserved(1);
    harness.feed(EngineEvent::Started { request_id: request_id(1) });
    assert_eq!(reserved_at(&harness.decode_failed(1, FailureCause::Broken)), "v1-w1");
}

/// An engine starts again under its id with other software.
#[test]
fn engine_is_chosen_by_its_newest_version() {
    let mut harness = harness(vec![engine("a", Role::Decode, "v1"), engine("b", Role::Decode, "v2")]);
    harness
        .feed(EngineEvent::Engines(vec![engine("a", Role::Decode, "v2"), engine("b", Role::Decode, "v1")]));
    assert_eq!(reserved_at(&harness.arrive(bound(1, "v1"))), "b");
    assert_eq!(reserved_at(&harness.arrive(bound(2, "v2"))), "a");
}

/// Of equally filled engines, those of a version that is being replaced come last.
#[test]
fn new_request_avoids_a_version_of_which_engines_leave() {
    // The first quarter of the empty engines holds two of each version.
    let of = |version: &str, numbers: std::ops::Range<usize>| {
        numbers.map(move |at| engine(&format!("{version}-w{at}"), Role::Decode, version)).collect::<Vec<_>>()
    };
    let mut list = [of("v1", 0..2), of("v2", 0..2), of("v1", 2..8), of("v2", 2..8)].concat();
    list.push(ListedEngine { leaving: true, ..engine("v1-w9", Role::Decode, "v1") });
    let mut harness = harness(list);
    for sequence in 0..8 {
        let at = reserved_at(&harness.arrive(demand(sequence, 4_000, 4_000)));
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
        assert_eq!(version_of(&at), "v2");
    }
}

/// Engines of two versions that have observed enough load, after the time for which a split must have been wrong.
fn first_role_change(list: Vec<ListedEngine>) -> Option<RoleChange> {
    let mut harness = Harness::new(settings(), &[]);
    harness.feed(EngineEvent::Engines(list));
    observe_load(&mut harness);
    harness.pool.next_role_change(harness.now_us);
    harness.after(2_500);
    harness.pool.next_role_change(harness.now_us)
}

fn of(version: &str, role: Role, count: usize) -> impl Iterator<Item = ListedEngine> {
    let name = if role == Role::Prefill { "r" } else { "w" };
    (0..count).map(move |number| engine(&format!("{version}-{name}{number}"), role, version))
}

/// One version has all prefill engines. The split of all engines together is right, but prompts of the other version are
/// prefilled by its decode engines, slowly.
#[test]
fn version_without_prefill_engines_gets_one() {
    let list = of("v1", Role::Prefill, 1).chain(of("v1", Role::Decode, 4)).chain(of("v2", Role::Decode, 6));
    let change = first_role_change(list.collect()).expect("a change of role");
    assert_eq!((version_of(change.server.as_str()), change.role), ("v2", Role::Prefill));
}

/// The only engine of a version is a prefill engine, which serves nobody.
#[test]
fn lone_prefill_engine_of_a_version_decodes() {
    let list = of("v1", Role::Prefill, 1).chain(of("v1", Role::Decode, 5)).chain(of("v2", Role::Prefill, 1));
    let change = first_role_change(list.collect()).expect("a change of role");
    assert_eq!((change.server.as_str(), change.role), ("v2-r0", Role::Decode));
}

/// The engines of a version that is being replaced leave soon; a change of role would not pay.
#[test]
fn version_that_is_being_replaced_changes_no_role() {
    let leaving = ListedEngine { leaving: true, ..engine("v2-w9", Role::Decode, "v2") };
    let list = of("v1", Role::Prefill, 1).chain(of("v1", Role::Decode, 5));
    let list = list.chain(of("v2", Role::Decode, 6)).chain([leaving]);
    assert_eq!(first_role_change(list.collect()), None);
}

/// A caller comes back with its stream while new requests wait. It has waited for longer than a new request may, and was
/// refused although an engine of its version was about to be free. It is served in its turn.
#[test]
fn stream_that_its_caller_resumes_is_not_refused_as_late_behind_new_requests() {
    let mut harness = harness(engines());
    let mut running = Vec::new();
    for sequence in 1..100 {
        let placed = harness.arrive(demand(sequence, 30_000, 4_000));
        if placed.is_empty() {
            break;
        }
        running.push((sequence, reserved_at(&placed)));
    }
    let binding = VersionBinding::Only("v1".parse().unwrap());
    let resumed = Demand { waited_ms: Millis(1_500), binding, ..demand(200, 30_000, 4_000) };
    let refused = refusals(&harness.arrive(resumed));
    assert!(refused.is_empty(), "{refused:?}");
    let at_v1 = running.iter().filter(|(_, engine)| version_of(engine) == "v1");
    let reserved =
        at_v1.flat_map(|(ended, _)| harness.feed(EngineEvent::CallerLeft { request_id: request_id(*ended) }));
    let reserved: Vec<u64> = reserved
        .filter_map(|action| match action {
            EngineAction::Reserve { request_id, .. } => Some(request_id.sequence),
            _ => None,
        })
        .collect();
    assert!(
        reserved.iter().position(|sequence| *sequence == 200).is_some_and(|turn| turn <= 1),
        "{reserved:?}"
    );
}
