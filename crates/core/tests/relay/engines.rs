//! Single decisions of the engine pool.

use hibiscusvale_core::ids::RequestId;
use hibiscusvale_core::outcome::Repeatability;
use hibiscusvale_core::relay::engines::{
    Demand, EngineAction, EngineEvent, EnginePoolSettings, EngineRefusal, EngineUsage, Growth, ListedEngine,
    PoolUsage, Role,
};
use hibiscusvale_core::retry_budget::{RETRY_COST, SharedRetryBudgetSettings};
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::{Millis, Tokens};
use rstest::rstest;

use crate::simulation::{Harness, demand, listed, request_id, server, settings};

const ENGINES: [(&str, Role); 4] =
    [("r-1", Role::Prefill), ("r-2", Role::Prefill), ("w-1", Role::Decode), ("w-2", Role::Decode)];

fn decode_engine_of(actions: &[EngineAction]) -> String {
    match actions {
        [EngineAction::Reserve { decode_engine, .. } | EngineAction::Decode { decode_engine, .. }] => {
            decode_engine.to_string()
        }
        other => panic!("no decode engine in {other:?}"),
    }
}

fn at_most_once(sequence: u64) -> Demand {
    Demand { repeatability: Repeatability::AtMostOnce, attempts_max: 1, ..demand(sequence, 4_000, 4_000) }
}

/// Brings a request to the decode stage; returns its decode engine.
fn begin(harness: &mut Harness, demand: Demand) -> String {
    let sequence = demand.request_id.sequence;
    let decode_engine = decode_engine_of(&harness.arrive(demand));
    assert!(matches!(harness.reserved(sequence)[..], [EngineAction::Prefill { .. }]));
    assert_eq!(decode_engine_of(&harness.prefilled(sequence)), decode_engine);
    decode_engine
}

#[test]
fn memory_is_reserved_before_prefill() {
    let mut harness = Harness::new(settings(), &ENGINES);
    let arrived = harness.arrive(demand(1, 5_000, 6_000));
    let [EngineAction::Reserve { tokens, keep_ms, .. }] = &*arrived else {
        panic!("{arrived:?}");
    };
    assert!((Tokens(5_500)..Tokens(7_000)).contains(tokens), "{tokens} for the prompt and the first events");
    assert_eq!(*keep_ms, Millis(2_000));
    let reserved = harness.reserved(1);
    assert!(matches!(reserved[..], [EngineAction::Prefill { .. }]), "{reserved:?}");
    let prefilled = harness.prefilled(1);
    let [EngineAction::Decode { prefill_engine: Some(prefill_engine), .. }] = &*prefilled else {
        panic!("{prefilled:?}");
    };
    assert!(prefill_engine.as_str().starts_with("r-"));
}

#[test]
fn the_decode_engine_with_most_free_memory_is_chosen() {
    let mut harness = Harness::new(settings(), &ENGINES);
    let first = begin(&mut harness, demand(1, 9_000, 9_000));
    let second = decode_engine_of(&harness.arrive(demand(2, 1_000, 1_000)));
    assert_ne!(first, second);
    let third = decode_engine_of(&harness.arrive(demand(3, 1_000, 1_000)));
    assert_eq!(second, third);
}

/// Usage reported by a daemon that has filled a decode engine.
pub fn full(decode_engine: &str) -> EngineUsage {
    let growth = Growth { now: Tokens(10_000), end: Tokens(10_900), answer: Tokens(5_000), is_growing: true };
    EngineUsage {
        server: server(decode_engine),
        growths: vec![growth; 7],
        prefill_tokens: Tokens::ZERO,
        running: 7,
    }
}

/// Another daemon has filled a decode engine; this one has sent nothing there and would count it as empty.
#[test]
fn usage_of_other_daemons_counts() {
    let mut harness = Harness::new(settings(), &ENGINES);
    let engine_usage = full("w-1");
    let usage = PoolUsage { engines: vec![engine_usage], ..PoolUsage::default() };
    harness.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), usage });
    for sequence in 1..5 {
        assert_eq!(decode_engine_of(&harness.arrive(demand(sequence, 4_000, 4_000))), "w-2");
    }
}

/// Usage of a daemon that is gone must be cleared: its engines have noticed that its connections closed.
#[test]
fn usage_of_a_gone_daemon_is_cleared() {
    let mut harness = Harness::new(settings(), &[("w-1", Role::Decode)]);
    let host = "entry-2".parse().unwrap();
    let engine_usage = full("w-1");
    let usage = PoolUsage { engines: vec![engine_usage], ..PoolUsage::default() };
    harness.feed(EngineEvent::Peer { host, usage });
    assert!(harness.arrive(demand(1, 4_000, 4_000)).iter().all(|action| !is_reserve(action)));
    let host = "entry-2".parse().unwrap();
    let freed = harness.feed(EngineEvent::Peer { host, usage: PoolUsage::default() });
    assert!(freed.iter().any(is_reserve), "{freed:?}");
}

/// Engines of two data centres whose daemons do not hear of each other: if both chose the emptiest engine
/// anywhere, their requests would meet at engines that neither knows to be full.
#[test]
fn local_engines_are_preferred_until_they_are_full() {
    let mut harness = Harness::new(EnginePoolSettings { prefer_local: true, ..settings() }, &[]);
    let far = |name: &str, role: Role| ListedEngine { is_local: false, ..listed(name, role) };
    let engines = vec![
        far("far-r", Role::Prefill),
        far("far-w", Role::Decode),
        listed("near-r", Role::Prefill),
        listed("near-w", Role::Decode),
    ];
    harness.feed(EngineEvent::Engines(engines));
    for sequence in 1..5 {
        assert_eq!(decode_engine_of(&harness.arrive(demand(sequence, 4_000, 4_000))), "near-w");
        let reserved = harness.reserved(sequence);
        assert!(
            matches!(&*reserved, [EngineAction::Prefill { prefill_engine, .. }] if prefill_engine.as_str() == "near-r")
        );
    }
    let usage = PoolUsage { engines: vec![full("near-w")], ..PoolUsage::default() };
    harness.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), usage });
    assert_eq!(decode_engine_of(&harness.arrive(demand(5, 4_000, 4_000))), "far-w");
}

fn is_reserve(action: &EngineAction) -> bool {
    matches!(action, EngineAction::Reserve { .. })
}

/// A reservation is refused because another daemon was quicker. The caller loses one round trip, and nothing
/// of the retry budget, since nothing was sent that could run.
#[test]
fn a_refused_reservation_is_retried_on_another_engine() {
    let mut harness = Harness::new(settings(), &ENGINES);
    let first = decode_engine_of(&harness.arrive(demand(1, 4_000, 4_000)));
    let refused = EngineEvent::ReserveFailed { request_id: request_id(1), cause: FailureCause::NoRoom };
    let second = decode_engine_of(&harness.feed(refused));
    assert_ne!(first, second);
    assert_eq!(harness.pool.counters().retries, 0);
}

/// The connection breaks after a request was sent that must not run twice. The caller is told that the
/// outcome is unknown, and no second engine gets the request.
#[test]
fn an_at_most_once_request_that_may_have_run_is_not_resent() {
    let mut harness = Harness::new(settings(), &ENGINES);
    begin(&mut harness, at_most_once(1));
    let failed = harness.decode_failed(1, FailureCause::Broken);
    assert_eq!(failed, [EngineAction::Unknown { request_id: request_id(1) }]);
}

/// The engine states that it did not run the request. With one attempt allowed, the caller is told so by a
/// refusal.
#[rstest]
#[case(FailureCause::NoRoom)]
#[case(FailureCause::Leaving)]
fn a_request_that_did_not_run_is_refused(#[case] cause: FailureCause) {
    let mut harness = Harness::new(settings(), &ENGINES);
    begin(&mut harness, at_most_once(1));
    let failed = harness.decode_failed(1, cause);
    assert!(
        matches!(failed[..], [EngineAction::Refuse { reason: EngineRefusal::RetriesExhausted, .. }]),
        "{failed:?}"
    );
}

/// No connection to the engine comes about. The request reached no engine, so another one may get it although
/// only one attempt is allowed.
#[test]
fn a_request_that_reached_no_engine_goes_to_another() {
    let mut harness = Harness::new(settings(), &ENGINES);
    for sequence in 100..110 {
        harness.arrive(demand(sequence, 10, 10));
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let first = begin(&mut harness, at_most_once(1));
    let second = decode_engine_of(&harness.decode_failed(1, FailureCause::NotSent));
    assert_ne!(first, second);
    // The KV cache is still held, so the prompt is not prefilled again.
    assert_eq!(decode_engine_of(&harness.reserved(1)), second);
    assert!(matches!(harness.decode_failed(1, FailureCause::Broken)[..], [EngineAction::Unknown { .. }]));
}

/// A decode engine crashes during an answer that may be resumed: another one continues, and the failed one
/// gets nothing of this request again.
#[test]
fn an_interrupted_stream_resumes_on_another_decode_engine() {
    let mut harness = Harness::new(settings(), &ENGINES);
    for sequence in 100..120 {
        harness.arrive(demand(sequence, 10, 10));
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let first = begin(&mut harness, demand(1, 4_000, 4_000));
    harness.feed(EngineEvent::Started { request_id: request_id(1) });
    let again = harness.decode_failed(1, FailureCause::Broken);
    assert_ne!(decode_engine_of(&again), first);
}

/// Servers fail in numbers and each interrupted request wants a retry. Beyond the budget there are no
/// retries, since they would overload the remaining engines.
#[test]
fn retries_are_limited_by_the_budget() {
    let mut harness = Harness::new(settings(), &ENGINES);
    for sequence in 0..30 {
        // All within the first window, in which only credit earned by requests may be spent.
        harness.after(100);
        begin(&mut harness, demand(sequence, 100, 100));
        harness.feed(EngineEvent::Started { request_id: request_id(sequence) });
        let failed = harness.decode_failed(sequence, FailureCause::Refused);
        if let [EngineAction::Reserve { .. }] = failed[..] {
            harness.reserved(sequence);
            harness.prefilled(sequence);
        }
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let retries = harness.pool.counters().retries;
    assert!(retries <= 30 * 20 / 100 + 1, "{retries} retries");
    let is_unknown = |action: &&EngineAction| matches!(action, EngineAction::Unknown { .. });
    let unknown = harness.actions.iter().filter(is_unknown).count();
    assert!(unknown >= 20, "{unknown} were not retried");
}

/// A link is cut for some seconds and every decode engine fails until all are set aside. If callers were
/// refused for that alone, no request would ever find out that the engines are back, and the daemon would
/// refuse everything for good.
#[test]
fn decode_engines_that_were_all_set_aside_are_tried_again() {
    let mut harness = Harness::new(settings(), &ENGINES);
    for sequence in 0..40 {
        harness.arrive(at_most_once(sequence));
        let failed =
            EngineEvent::ReserveFailed { request_id: request_id(sequence), cause: FailureCause::Timeout };
        for _ in 0..4 {
            harness.feed(failed.clone());
        }
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let refused = harness.arrive(demand(100, 4_000, 4_000));
    let [EngineAction::Refuse { retry_after_ms, .. }] = refused[..] else {
        panic!("all are set aside: {refused:?}");
    };
    assert!(retry_after_ms <= Millis(5_000), "retry after {retry_after_ms}");
    harness.after(31_000);
    let tried = harness.arrive(demand(101, 4_000, 4_000));
    assert!(matches!(tried[..], [EngineAction::Reserve { .. }]), "{tried:?}");
}

/// Without prefill engines, decode engines prefill prompts themselves rather than refuse every request.
#[test]
fn decode_engines_prefill_when_no_prefill_engine_is_left() {
    let mut harness = Harness::new(settings(), &[("w-1", Role::Decode)]);
    harness.arrive(demand(1, 4_000, 4_000));
    let reserved = harness.reserved(1);
    assert!(matches!(reserved[..], [EngineAction::Decode { prefill_engine: None, .. }]), "{reserved:?}");
}

#[test]
fn without_decode_engines_requests_are_refused_at_once() {
    let mut harness = Harness::new(settings(), &[("r-1", Role::Prefill)]);
    let refused = harness.arrive(demand(1, 4_000, 4_000));
    assert!(
        matches!(refused[..], [EngineAction::Refuse { reason: EngineRefusal::NoEngine, .. }]),
        "{refused:?}"
    );
}

/// A draining decode engine still serves its requests; a new one there would be cut off when it goes.
#[test]
fn a_leaving_decode_engine_gets_no_new_requests() {
    let mut harness = Harness::new(settings(), &ENGINES);
    let mut leaving = listed("w-1", Role::Decode);
    leaving.leaving = true;
    harness.feed(EngineEvent::Engines(vec![
        listed("r-1", Role::Prefill),
        leaving,
        listed("w-2", Role::Decode),
    ]));
    for sequence in 1..4 {
        assert_eq!(decode_engine_of(&harness.arrive(demand(sequence, 1_000, 1_000))), "w-2");
    }
}

/// Callers leave at every stage. Whatever was reserved for them must be released, or the pool would fill up.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn reservations_are_released_when_the_caller_leaves(#[case] steps: u32) {
    let mut harness = Harness::new(settings(), &ENGINES);
    harness.arrive(demand(1, 4_000, 4_000));
    if steps >= 1 {
        harness.reserved(1);
    }
    if steps >= 2 {
        harness.prefilled(1);
    }
    harness.feed(EngineEvent::CallerLeft { request_id: request_id(1) });
    let left = harness.pool.usage(harness.now_us);
    assert_eq!((left.waiting, left.engines), (Tokens::ZERO, Vec::new()));
}

/// Refused callers that all come back at the same moment would cause the next burst.
#[test]
fn retry_delays_are_spread() {
    let mut harness = Harness::new(settings(), &[("w-1", Role::Decode)]);
    let mut waits = Vec::new();
    for sequence in 0..40 {
        for action in harness.arrive(demand(sequence, 9_000, 9_000)) {
            if let EngineAction::Refuse { retry_after_ms, .. } = action {
                waits.push(retry_after_ms.0);
            }
        }
    }
    let (least, most) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
    assert!(waits.len() > 20 && most - least > 1_000, "{waits:?}");
}

/// All prefill engines are full and refuse. Each refusal counts against the retry budget shared by all
/// daemons, even the first one of a request; once it is used up, decode engines prefill prompts themselves
/// and no request is refused.
#[test]
fn refused_prefills_are_charged_to_the_budget() {
    let retries =
        SharedRetryBudgetSettings { slack_share: RETRY_COST, ..SharedRetryBudgetSettings::default() };
    let mut harness = Harness::new(EnginePoolSettings { retries, ..settings() }, &ENGINES);
    let mut refusals = 0;
    for sequence in 0..100 {
        harness.after(2_000);
        harness.arrive(demand(sequence, 100, 100));
        let mut actions = harness.reserved(sequence);
        while let [EngineAction::Prefill { .. }] = actions[..] {
            refusals += 1;
            harness.after(200);
            let cause = FailureCause::NoRoom;
            actions = harness.feed(EngineEvent::PrefillFailed { request_id: request_id(sequence), cause });
            if let [EngineAction::Reserve { .. }] = actions[..] {
                actions = harness.reserved(sequence);
            }
        }
        assert!(matches!(actions[..], [EngineAction::Decode { prefill_engine: None, .. }]), "{actions:?}");
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let windows = harness.now_us.0.div_ceil(10_000_000);
    assert!(refusals <= 100 * 20 / 100 + windows, "{refusals} refused prefills in {windows} windows");
}

/// A pool with these engines that has observed enough requests to judge the split.
fn with_observed_load(prefill_engines: usize, decode_engines: usize) -> Harness {
    let names: Vec<(String, Role)> = (0..prefill_engines)
        .map(|number| (format!("r-{number}"), Role::Prefill))
        .chain((0..decode_engines).map(|number| (format!("w-{number}"), Role::Decode)))
        .collect();
    let engines: Vec<(&str, Role)> = names.iter().map(|(name, role)| (name.as_str(), *role)).collect();
    let mut harness = Harness::new(settings(), &engines);
    observe_load(&mut harness);
    harness
}

/// Runs enough requests to judge the split.
pub fn observe_load(harness: &mut Harness) {
    for sequence in 0..20 {
        harness.arrive(demand(sequence, 5_000, 6_000));
        harness.reserved(sequence);
        harness.after(95).prefilled(sequence);
        harness.feed(EngineEvent::Started { request_id: request_id(sequence) });
        harness.progress(sequence, 1);
        harness.after(3_200).progress(sequence, 64);
        harness.feed(EngineEvent::Finished { request_id: request_id(sequence), events: 70 });
    }
}

/// A third of the engines are prefill engines and mostly idle, while bursts are refused for lack of decode
/// engines.
#[test]
fn idle_prefill_engines_become_decode_engines_one_at_a_time() {
    let mut harness = with_observed_load(4, 7);
    assert_eq!(
        harness.pool.next_role_change(harness.now_us),
        None,
        "it may be a restart that the list shows late"
    );
    harness.after(2_500);
    let mut changed = Vec::new();
    for _ in 0..6 {
        if let Some(change) = harness.pool.next_role_change(harness.now_us) {
            assert_eq!(change.role, Role::Decode);
            harness.pool.role_change_ordered(harness.now_us, &change);
            changed.push(change.server);
        }
        harness.after(1_000);
    }
    assert_eq!(changed.len(), 2, "two prefill engines are enough for eleven engines: {changed:?}");
}

/// The daemon that gives the orders has seen two requests itself. Without the statistics of the others it
/// would judge the split only after callers have been refused for many seconds.
#[test]
fn the_split_is_judged_by_the_requests_of_all_daemons() {
    let observed = with_observed_load(4, 7);
    let usage = observed.pool.usage(observed.now_us);
    let engines: Vec<(String, Role)> = (0..4)
        .map(|number| (format!("r-{number}"), Role::Prefill))
        .chain((0..7).map(|number| (format!("w-{number}"), Role::Decode)))
        .collect();
    let engines: Vec<(&str, Role)> = engines.iter().map(|(name, role)| (name.as_str(), *role)).collect();
    let mut harness = Harness::new(settings(), &engines);
    begin(&mut harness, demand(1, 5_000, 6_000));
    harness.pool.next_role_change(harness.now_us);
    harness.after(2_500);
    assert_eq!(harness.pool.next_role_change(harness.now_us), None, "one prompt is not enough");
    let from_peer = |usage| EngineEvent::Peer { host: "entry-2".parse().unwrap(), usage };
    harness.feed(from_peer(usage));
    harness.pool.next_role_change(harness.now_us);
    harness.after(2_500);
    assert!(harness.pool.next_role_change(harness.now_us).is_some());
    harness.feed(from_peer(PoolUsage::default()));
    assert!(
        harness.pool.next_role_change(harness.now_us).is_some(),
        "a message without statistics changes nothing"
    );
    harness.feed(from_peer(PoolUsage::cleared()));
    assert_eq!(harness.pool.next_role_change(harness.now_us), None, "the daemon is gone");
}

/// Prefill engines were lost for good. The remaining decode engines would prefill every long prompt
/// themselves, and their answers would pause.
#[test]
fn a_decode_engine_becomes_a_prefill_engine_when_those_are_gone() {
    let mut harness = with_observed_load(2, 9);
    harness.after(2_500);
    assert_eq!(harness.pool.next_role_change(harness.now_us), None);
    let left = (0..9).map(|number| listed(&format!("w-{number}"), Role::Decode)).collect();
    harness.feed(EngineEvent::Engines(left));
    harness.pool.next_role_change(harness.now_us);
    harness.after(2_500);
    let change = harness.pool.next_role_change(harness.now_us).unwrap();
    assert_eq!(change.role, Role::Prefill);
}

/// The answer to the order was lost. Whether the order is carried out shows only later; until then the engine
/// must get neither requests nor a second order.
#[test]
fn an_engine_changing_its_role_gets_neither_requests_nor_orders() {
    let mut harness = with_observed_load(4, 7);
    harness.pool.next_role_change(harness.now_us);
    harness.after(2_500);
    let first = harness.pool.next_role_change(harness.now_us).unwrap();
    harness.pool.role_change_ordered(harness.now_us, &first);
    assert_ne!(harness.pool.next_role_change(harness.now_us).unwrap().server, first.server);
    for sequence in 100..130 {
        for action in harness.arrive(demand(sequence, 500, 500)) {
            assert!(!format!("{action:?}").contains(first.server.as_str()), "{action:?}");
        }
        for action in harness.reserved(sequence) {
            assert!(!format!("{action:?}").contains(first.server.as_str()), "{action:?}");
        }
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let reported = harness.pool.usage(harness.now_us).role_changes;
    assert!(reported.iter().any(|(server, _, _)| *server == first.server), "the other daemons are informed");
}

/// Two prefill engines with `count` long prompts of 180 ms each.
fn with_busy_prefill_engines(count: u64) -> Harness {
    let mut harness = Harness::new(settings(), &ENGINES);
    for sequence in 0..count {
        harness.arrive(demand(sequence, 9_000, 500));
        harness.reserved(sequence);
    }
    harness
}

/// Prefill engines have a backlog of more than a target. A short prompt goes to a decode engine at once, and
/// a long one waits: prefilled by a decode engine it would pause all answers there for too long.
#[test]
fn decode_engines_prefill_only_short_prompts() {
    let mut harness = with_busy_prefill_engines(10);
    harness.arrive(demand(20, 2_000, 500));
    assert!(matches!(harness.reserved(20)[..], [EngineAction::Decode { prefill_engine: None, .. }]));
    harness.arrive(demand(21, 9_000, 500));
    let long = harness.reserved(21);
    assert!(matches!(long[..], [EngineAction::Prefill { .. }]), "{long:?}");
}

/// Prefill engines have a backlog, but a prompt that waits for them is still in time. A decode engine that
/// prefilled it would delay all its answers, and later callers would be refused for the memory that these
/// hold meanwhile.
#[test]
fn prompts_in_time_at_a_prefill_engine_stay_there() {
    let mut harness = with_busy_prefill_engines(4);
    harness.arrive(demand(20, 2_000, 500));
    let reserved = harness.reserved(20);
    assert!(matches!(reserved[..], [EngineAction::Prefill { .. }]), "{reserved:?}");
}

/// An engine prefills a prompt in chunks between the steps of its answers, so that no answer stalls for the
/// whole prefill. Until that has been observed decode engines prefill only short prompts, and callers with
/// longer ones are late whenever prefill engines have a backlog.
#[test]
fn decode_engines_prefill_longer_prompts_once_stalls_are_known_to_be_short() {
    let urgent = |sequence, prompt| Demand { waited_ms: Millis(300), ..demand(sequence, prompt, 500) };
    let mut harness = with_busy_prefill_engines(11);
    harness.after(180);
    for running in 0..4 {
        harness.prefilled(running);
        harness.feed(EngineEvent::Started { request_id: request_id(running) });
    }
    for round in 1..17 {
        let sequence = 20 + round;
        (0..4).for_each(|running| harness.progress(running, 2 * round));
        harness.arrive(urgent(sequence, 2_000));
        harness.reserved(sequence);
        harness.after(80).feed(EngineEvent::Started { request_id: request_id(sequence) });
        (0..4).for_each(|running| harness.progress(running, 2 * round + 1));
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    harness.arrive(urgent(40, 6_000));
    let reserved = harness.reserved(40);
    assert!(matches!(reserved[..], [EngineAction::Decode { prefill_engine: None, .. }]), "{reserved:?}");
}

/// Six requests wait while the only decode engine is full. When it becomes free, the first of them have
/// waited so long that their answers would be late after the prefill; placed in order of arrival, they would
/// make those behind them late too.
#[test]
fn late_requests_yield_to_those_that_can_be_in_time() {
    let mut harness = Harness::new(settings(), &[("r-1", Role::Prefill), ("w-1", Role::Decode)]);
    let mut placed = Vec::new();
    for sequence in 0..12 {
        if harness.arrive(demand(sequence, 9_000, 500)).iter().any(is_reserve) {
            placed.push(sequence);
        }
    }
    harness.after(650);
    harness.arrive(demand(20, 9_000, 500));
    let left = harness.feed(EngineEvent::CallerLeft { request_id: request_id(placed[0]) });
    let [EngineAction::Reserve { request_id: first, .. }] = left[..] else {
        panic!("{left:?}");
    };
    assert_eq!(first, request_id(20));
}

/// A burst keeps the only decode engine full. A request that can no longer be in time waits behind those that
/// can, and gets no slot before the burst is over; its caller must be told at once instead of at the end of
/// its maximum wait.
#[test]
fn late_requests_are_refused_at_once_while_others_can_be_in_time() {
    let mut harness = Harness::new(settings(), &[("r-1", Role::Prefill), ("w-1", Role::Decode)]);
    let mut waiting = Vec::new();
    for sequence in 0..12 {
        if harness.arrive(demand(sequence, 9_000, 500)).is_empty() {
            waiting.push(request_id(sequence));
        }
    }
    assert!(!waiting.is_empty());
    harness.after(650);
    let arrived = harness.arrive(demand(20, 9_000, 500));
    let refused: Vec<RequestId> = arrived
        .iter()
        .filter_map(|action| match action {
            EngineAction::Refuse { request_id, .. } => Some(*request_id),
            _ => None,
        })
        .collect();
    assert_eq!(refused, waiting);
}

/// An engine decodes at a tenth of the initial rate. Until answers end, seconds later, its requests would
/// count as ten times larger than they are, and callers would be refused at a half-empty engine.
#[test]
fn the_decode_rate_is_known_from_the_first_events() {
    let mut harness = Harness::new(settings(), &ENGINES);
    begin(&mut harness, demand(1, 5_000, 6_000));
    harness.feed(EngineEvent::Started { request_id: request_id(1) });
    for events in [1, 2, 4, 8] {
        harness.progress(1, events);
        harness.after(500 * events);
    }
    let reported = harness.pool.usage(harness.now_us);
    let growth = reported.engines[0].growths[0];
    // 86 tokens per half second: 8 events at the last report, and as many more since.
    assert_eq!(growth.now, Tokens(5_000 + 16 * 86));
}

/// An engine becomes five times slower during operation. Its answers hold their memory for correspondingly
/// longer; at the old rate, occupied decode engines would count as free.
#[test]
fn a_changed_decode_rate_is_tracked_within_seconds() {
    let mut harness = Harness::new(settings(), &ENGINES);
    for sequence in 0..80 {
        let event_ms = if sequence < 40 { 50 } else { 250 };
        begin(&mut harness, demand(sequence, 5_000, 6_000));
        harness.feed(EngineEvent::Started { request_id: request_id(sequence) });
        harness.progress(sequence, 1);
        harness.after(3 * event_ms).progress(sequence, 4);
        harness.feed(EngineEvent::Finished { request_id: request_id(sequence), events: 4 });
    }
    begin(&mut harness, demand(100, 5_000, 6_000));
    harness.feed(EngineEvent::Started { request_id: request_id(100) });
    harness.progress(100, 1);
    harness.after(2_500);
    let grown = harness.pool.usage(harness.now_us).engines[0].growths[0].now;
    let slow = 5_000 + 86 + 10 * 86;
    assert!(grown.0.abs_diff(slow) < slow / 20, "{grown} tokens, expected about {slow}");
}
