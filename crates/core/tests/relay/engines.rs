//! The pool of engines, step by step.

use hibiscusvale_core::allowance::{AllowanceSettings, TRY};
use hibiscusvale_core::ids::RequestId;
use hibiscusvale_core::outcome::Repeatability;
use hibiscusvale_core::relay::engines::{
    Demand, EngineAction, EngineEvent, EnginePoolSettings, EngineRefusal, Growth, Holding, Holdings,
    ListedEngine, Role,
};
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::{Millis, Tokens};
use rstest::rstest;

use crate::simulation::{Bench, demand, listed, request_id, server, settings};

const ENGINES: [(&str, Role); 4] =
    [("r-1", Role::Prefill), ("r-2", Role::Prefill), ("w-1", Role::Decode), ("w-2", Role::Decode)];

fn writer_of(actions: &[EngineAction]) -> String {
    match actions {
        [EngineAction::Reserve { writer, .. } | EngineAction::Write { writer, .. }] => writer.to_string(),
        other => panic!("no writer in {other:?}"),
    }
}

fn at_most_once(sequence: u64) -> Demand {
    Demand { repeatability: Repeatability::AtMostOnce, attempts_max: 1, ..demand(sequence, 4_000, 4_000) }
}

/// Brings a request to the point where an engine writes its answer.
fn begin(bench: &mut Bench, demand: Demand) -> String {
    let sequence = demand.request_id.sequence;
    let writer = writer_of(&bench.arrive(demand));
    assert!(matches!(bench.reserved(sequence)[..], [EngineAction::Read { .. }]));
    assert_eq!(writer_of(&bench.prompt_read(sequence)), writer);
    writer
}

#[test]
fn room_is_reserved_before_the_prompt_is_read() {
    let mut bench = Bench::new(settings(), &ENGINES);
    let arrived = bench.arrive(demand(1, 5_000, 6_000));
    let [EngineAction::Reserve { tokens, keep_ms, .. }] = &*arrived else {
        panic!("{arrived:?}");
    };
    assert!((Tokens(5_500)..Tokens(7_000)).contains(tokens), "{tokens} for the prompt and the first events");
    assert_eq!(*keep_ms, Millis(2_000));
    let reserved = bench.reserved(1);
    assert!(matches!(reserved[..], [EngineAction::Read { .. }]), "{reserved:?}");
    let read = bench.prompt_read(1);
    let [EngineAction::Write { reader: Some(reader), .. }] = &*read else {
        panic!("{read:?}");
    };
    assert!(reader.as_str().starts_with("r-"));
}

#[test]
fn the_writer_with_most_memory_left_is_taken() {
    let mut bench = Bench::new(settings(), &ENGINES);
    let first = begin(&mut bench, demand(1, 9_000, 9_000));
    let second = writer_of(&bench.arrive(demand(2, 1_000, 1_000)));
    assert_ne!(first, second);
    let third = writer_of(&bench.arrive(demand(3, 1_000, 1_000)));
    assert_eq!(second, third);
}

/// What a daemon tells of a writer that it has filled.
fn full(writer: &str) -> Holding {
    let growth = Growth { now: Tokens(10_000), end: Tokens(10_900), answer: Tokens(5_000), grows: true };
    Holding { server: server(writer), growths: vec![growth; 7], reading: Tokens::ZERO, running: 7 }
}

/// Another daemon has filled a writer; this one has sent nothing there and would take it for empty.
#[test]
fn what_other_daemons_have_counts() {
    let mut bench = Bench::new(settings(), &ENGINES);
    let holding = full("w-1");
    let holdings = Holdings { engines: vec![holding], ..Holdings::default() };
    bench.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), holdings });
    for sequence in 1..5 {
        assert_eq!(writer_of(&bench.arrive(demand(sequence, 4_000, 4_000))), "w-2");
    }
}

/// The other daemon is gone, and what it had is gone with it: its engines noticed its connections close.
#[test]
fn what_a_silent_daemon_had_counts_no_more() {
    let mut bench = Bench::new(settings(), &[("w-1", Role::Decode)]);
    let host = "entry-2".parse().unwrap();
    let holding = full("w-1");
    let holdings = Holdings { engines: vec![holding], ..Holdings::default() };
    bench.feed(EngineEvent::Peer { host, holdings });
    assert!(bench.arrive(demand(1, 4_000, 4_000)).iter().all(|action| !is_reserve(action)));
    let host = "entry-2".parse().unwrap();
    let freed = bench.feed(EngineEvent::Peer { host, holdings: Holdings::default() });
    assert!(freed.iter().any(is_reserve), "{freed:?}");
}

/// Engines of two data centres, where daemons of the other one are not heard: sent to the emptiest engine anywhere, requests
/// of both would meet at engines that neither knows to be full.
#[test]
fn engines_of_the_own_data_centre_go_first_and_others_when_they_are_full() {
    let mut bench = Bench::new(EnginePoolSettings { near_first: true, ..settings() }, &[]);
    let far = |name: &str, role: Role| ListedEngine { near: false, ..listed(name, role) };
    let engines = vec![
        far("far-r", Role::Prefill),
        far("far-w", Role::Decode),
        listed("near-r", Role::Prefill),
        listed("near-w", Role::Decode),
    ];
    bench.feed(EngineEvent::Engines(engines));
    for sequence in 1..5 {
        assert_eq!(writer_of(&bench.arrive(demand(sequence, 4_000, 4_000))), "near-w");
        let read = bench.reserved(sequence);
        assert!(matches!(&*read, [EngineAction::Read { reader, .. }] if reader.as_str() == "near-r"));
    }
    let holdings = Holdings { engines: vec![full("near-w")], ..Holdings::default() };
    bench.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), holdings });
    assert_eq!(writer_of(&bench.arrive(demand(5, 4_000, 4_000))), "far-w");
}

fn is_reserve(action: &EngineAction) -> bool {
    matches!(action, EngineAction::Reserve { .. })
}

/// The engine that was to keep room refuses: another daemon was quicker. The caller loses one round trip, and nothing
/// of the retry budget, for nothing was sent that could run.
#[test]
fn a_refused_reservation_is_asked_for_elsewhere() {
    let mut bench = Bench::new(settings(), &ENGINES);
    let first = writer_of(&bench.arrive(demand(1, 4_000, 4_000)));
    let refused = EngineEvent::ReserveFailed { request_id: request_id(1), cause: FailureCause::NoRoom };
    let second = writer_of(&bench.feed(refused));
    assert_ne!(first, second);
    assert_eq!(bench.pool.counters().retries, 0);
}

/// The connection breaks after the request was written, and the request must not run twice. The caller is told that
/// nobody knows; a second engine never sees it.
#[test]
fn what_may_have_run_once_is_not_sent_again() {
    let mut bench = Bench::new(settings(), &ENGINES);
    begin(&mut bench, at_most_once(1));
    let failed = bench.write_failed(1, FailureCause::Broken);
    assert_eq!(failed, [EngineAction::Unknown { request_id: request_id(1) }]);
}

/// The engine says that it has not run the request. With one attempt allowed the caller is refused, and the refusal
/// is true.
#[rstest]
#[case(FailureCause::NoRoom)]
#[case(FailureCause::Leaving)]
fn a_request_that_did_not_run_is_refused_truthfully(#[case] cause: FailureCause) {
    let mut bench = Bench::new(settings(), &ENGINES);
    begin(&mut bench, at_most_once(1));
    let failed = bench.write_failed(1, cause);
    assert!(
        matches!(failed[..], [EngineAction::Refuse { reason: EngineRefusal::RetriesSpent, .. }]),
        "{failed:?}"
    );
}

/// No connection to the engine comes about. The request has reached nobody, so it counts as sent to nobody, and another
/// engine may have it although it may be sent to one only.
#[test]
fn a_request_that_reached_nobody_goes_to_another_engine() {
    let mut bench = Bench::new(settings(), &ENGINES);
    for sequence in 100..110 {
        bench.arrive(demand(sequence, 10, 10));
        bench.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let first = begin(&mut bench, at_most_once(1));
    let second = writer_of(&bench.write_failed(1, FailureCause::NotSent));
    assert_ne!(first, second);
    // The KV cache is still kept, so the prompt is not read again.
    assert_eq!(writer_of(&bench.reserved(1)), second);
    assert!(matches!(bench.write_failed(1, FailureCause::Broken)[..], [EngineAction::Unknown { .. }]));
}

/// A writer crashes in the middle of an answer that may be resumed: another writer goes on, and the one that failed
/// gets nothing of this request again.
#[test]
fn a_broken_stream_goes_on_at_another_writer() {
    let mut bench = Bench::new(settings(), &ENGINES);
    for sequence in 100..120 {
        bench.arrive(demand(sequence, 10, 10));
        bench.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let first = begin(&mut bench, demand(1, 4_000, 4_000));
    bench.feed(EngineEvent::Started { request_id: request_id(1) });
    let again = bench.write_failed(1, FailureCause::Broken);
    assert_ne!(writer_of(&again), first);
}

/// Servers fail in numbers and each broken request wants another try. Beyond the budget they are not tried again: the
/// engines that are left would be overrun.
#[test]
fn further_tries_end_with_the_budget() {
    let mut bench = Bench::new(settings(), &ENGINES);
    for sequence in 0..30 {
        // All within the first window, in which only what requests earn may be spent.
        bench.after(100);
        begin(&mut bench, demand(sequence, 100, 100));
        bench.feed(EngineEvent::Started { request_id: request_id(sequence) });
        let failed = bench.write_failed(sequence, FailureCause::Refused);
        if let [EngineAction::Reserve { .. }] = failed[..] {
            bench.reserved(sequence);
            bench.prompt_read(sequence);
        }
        bench.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let retries = bench.pool.counters().retries;
    assert!(retries <= 30 * 20 / 100 + 1, "{retries} further tries");
    let is_unknown = |action: &&EngineAction| matches!(action, EngineAction::Unknown { .. });
    let unknown = bench.actions.iter().filter(is_unknown).count();
    assert!(unknown >= 20, "{unknown} were not tried again");
}

/// A link is cut for some seconds and every writer fails until all are set aside. Nobody is sent there then; if callers
/// were refused for that alone, no request would ever show that the writers are back, and the daemon would refuse
/// everybody for good.
#[test]
fn writers_that_were_all_set_aside_are_tried_again() {
    let mut bench = Bench::new(settings(), &ENGINES);
    for sequence in 0..40 {
        bench.arrive(at_most_once(sequence));
        let failed =
            EngineEvent::ReserveFailed { request_id: request_id(sequence), cause: FailureCause::Timeout };
        for _ in 0..4 {
            bench.feed(failed.clone());
        }
        bench.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let refused = bench.arrive(demand(100, 4_000, 4_000));
    let [EngineAction::Refuse { retry_after_ms, .. }] = refused[..] else {
        panic!("all are set aside: {refused:?}");
    };
    assert!(retry_after_ms <= Millis(5_000), "come back after {retry_after_ms}");
    bench.after(31_000);
    let tried = bench.arrive(demand(101, 4_000, 4_000));
    assert!(matches!(tried[..], [EngineAction::Reserve { .. }]), "{tried:?}");
}

/// Nothing reads prompts any more: writers read them themselves rather than refuse everybody.
#[test]
fn writers_read_when_no_reader_is_left() {
    let mut bench = Bench::new(settings(), &[("w-1", Role::Decode)]);
    bench.arrive(demand(1, 4_000, 4_000));
    let reserved = bench.reserved(1);
    assert!(matches!(reserved[..], [EngineAction::Write { reader: None, .. }]), "{reserved:?}");
}

#[test]
fn with_no_writer_the_caller_is_told_at_once() {
    let mut bench = Bench::new(settings(), &[("r-1", Role::Prefill)]);
    let refused = bench.arrive(demand(1, 4_000, 4_000));
    assert!(
        matches!(refused[..], [EngineAction::Refuse { reason: EngineRefusal::NoEngine, .. }]),
        "{refused:?}"
    );
}

/// A draining writer still serves what it has; a new request there would be cut when it goes.
#[test]
fn a_leaving_writer_gets_nothing_new() {
    let mut bench = Bench::new(settings(), &ENGINES);
    let mut leaving = listed("w-1", Role::Decode);
    leaving.leaving = true;
    bench.feed(EngineEvent::Engines(vec![
        listed("r-1", Role::Prefill),
        leaving,
        listed("w-2", Role::Decode),
    ]));
    for sequence in 1..4 {
        assert_eq!(writer_of(&bench.arrive(demand(sequence, 1_000, 1_000))), "w-2");
    }
}

/// Callers leave at every stage. Whatever was counted for them is free again, or the pool would fill up with nobody.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn a_caller_who_leaves_frees_what_was_reserved(#[case] steps: u32) {
    let mut bench = Bench::new(settings(), &ENGINES);
    bench.arrive(demand(1, 4_000, 4_000));
    if steps >= 1 {
        bench.reserved(1);
    }
    if steps >= 2 {
        bench.prompt_read(1);
    }
    bench.feed(EngineEvent::CallerLeft { request_id: request_id(1) });
    let left = bench.pool.holdings(bench.now_us);
    assert_eq!((left.waiting, left.engines), (Tokens::ZERO, Vec::new()));
}

/// Refused callers come back; all at the same moment they would make the next burst.
#[test]
fn refused_callers_are_spread_over_time() {
    let mut bench = Bench::new(settings(), &[("w-1", Role::Decode)]);
    let mut waits = Vec::new();
    for sequence in 0..40 {
        for action in bench.arrive(demand(sequence, 9_000, 9_000)) {
            if let EngineAction::Refuse { retry_after_ms, .. } = action {
                waits.push(retry_after_ms.0);
            }
        }
    }
    let (least, most) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
    assert!(waits.len() > 20 && most - least > 1_000, "{waits:?}");
}

/// All readers are full and refuse. Each refusal counts against the budget that all daemons share, the first one of a
/// request as well; with it spent, writers read the prompts themselves and nobody is refused for it.
#[test]
fn refused_reads_are_paid_for() {
    let retries = AllowanceSettings { part: TRY, ..AllowanceSettings::default() };
    let mut bench = Bench::new(EnginePoolSettings { retries, ..settings() }, &ENGINES);
    let mut refusals = 0;
    for sequence in 0..100 {
        bench.after(2_000);
        bench.arrive(demand(sequence, 100, 100));
        let mut actions = bench.reserved(sequence);
        while let [EngineAction::Read { .. }] = actions[..] {
            refusals += 1;
            bench.after(200);
            let cause = FailureCause::NoRoom;
            actions = bench.feed(EngineEvent::ReadFailed { request_id: request_id(sequence), cause });
            if let [EngineAction::Reserve { .. }] = actions[..] {
                actions = bench.reserved(sequence);
            }
        }
        assert!(matches!(actions[..], [EngineAction::Write { reader: None, .. }]), "{actions:?}");
        bench.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let windows = bench.now_us.0.div_ceil(10_000_000);
    assert!(refusals <= 100 * 20 / 100 + windows, "{refusals} refused reads in {windows} windows");
}

/// Seven writers and four readers, with enough requests seen to judge the split.
fn judged(readers: usize, writers: usize) -> Bench {
    let names: Vec<(String, Role)> = (0..readers)
        .map(|number| (format!("r-{number}"), Role::Prefill))
        .chain((0..writers).map(|number| (format!("w-{number}"), Role::Decode)))
        .collect();
    let engines: Vec<(&str, Role)> = names.iter().map(|(name, role)| (name.as_str(), *role)).collect();
    let mut bench = Bench::new(settings(), &engines);
    for sequence in 0..20 {
        bench.arrive(demand(sequence, 5_000, 6_000));
        bench.reserved(sequence);
        bench.after(95).prompt_read(sequence);
        bench.feed(EngineEvent::Started { request_id: request_id(sequence) });
        bench.progress(sequence, 1);
        bench.after(3_200).progress(sequence, 64);
        bench.feed(EngineEvent::Finished { request_id: request_id(sequence), events: 70 });
    }
    bench
}

/// A third of the engines read and are mostly idle, while bursts are refused for want of writers.
#[test]
fn idle_readers_become_writers_one_at_a_time() {
    let mut bench = judged(4, 7);
    assert_eq!(bench.pool.next_shift(bench.now_us), None, "it may be a restart that shows late");
    bench.after(2_500);
    let mut shifted = Vec::new();
    for _ in 0..6 {
        if let Some(shift) = bench.pool.next_shift(bench.now_us) {
            assert_eq!(shift.role, Role::Decode);
            bench.pool.shifted(bench.now_us, &shift);
            shifted.push(shift.server);
        }
        bench.after(1_000);
    }
    assert_eq!(shifted.len(), 2, "two readers are enough for eleven engines: {shifted:?}");
}

/// One of many daemons gives the orders, and has seen two requests itself. The others tell it what theirs were like;
/// alone it would judge the split only when callers have been refused for many seconds.
#[test]
fn the_split_is_judged_by_the_requests_of_all_daemons() {
    let told = judged(4, 7);
    let holdings = told.pool.holdings(told.now_us);
    let engines: Vec<(String, Role)> = (0..4)
        .map(|number| (format!("r-{number}"), Role::Prefill))
        .chain((0..7).map(|number| (format!("w-{number}"), Role::Decode)))
        .collect();
    let engines: Vec<(&str, Role)> = engines.iter().map(|(name, role)| (name.as_str(), *role)).collect();
    let mut bench = Bench::new(settings(), &engines);
    begin(&mut bench, demand(1, 5_000, 6_000));
    bench.pool.next_shift(bench.now_us);
    bench.after(2_500);
    assert_eq!(bench.pool.next_shift(bench.now_us), None, "one prompt says nothing");
    let tell = |holdings| EngineEvent::Peer { host: "entry-2".parse().unwrap(), holdings };
    bench.feed(tell(holdings));
    bench.pool.next_shift(bench.now_us);
    bench.after(2_500);
    assert!(bench.pool.next_shift(bench.now_us).is_some());
    bench.feed(tell(Holdings::default()));
    assert!(bench.pool.next_shift(bench.now_us).is_some(), "a message that says nothing new of it");
    bench.feed(tell(Holdings::of_nobody()));
    assert_eq!(bench.pool.next_shift(bench.now_us), None, "the daemon is gone");
}

/// Readers were lost for good. The writers that are left would read every long prompt themselves, and their answers
/// would pause.
#[test]
fn a_writer_becomes_a_reader_when_readers_are_gone() {
    let mut bench = judged(2, 9);
    bench.after(2_500);
    assert_eq!(bench.pool.next_shift(bench.now_us), None);
    let left = (0..9).map(|number| listed(&format!("w-{number}"), Role::Decode)).collect();
    bench.feed(EngineEvent::Engines(left));
    bench.pool.next_shift(bench.now_us);
    bench.after(2_500);
    let shift = bench.pool.next_shift(bench.now_us).unwrap();
    assert_eq!(shift.role, Role::Prefill);
}

/// The order's answer was lost. Whether it is carried out shows only later; until then the engine gets no work and no
/// second order.
#[test]
fn an_engine_that_changes_gets_neither_work_nor_orders() {
    let mut bench = judged(4, 7);
    bench.pool.next_shift(bench.now_us);
    bench.after(2_500);
    let first = bench.pool.next_shift(bench.now_us).unwrap();
    bench.pool.shifted(bench.now_us, &first);
    assert_ne!(bench.pool.next_shift(bench.now_us).unwrap().server, first.server);
    for sequence in 100..130 {
        for action in bench.arrive(demand(sequence, 500, 500)) {
            assert!(!format!("{action:?}").contains(first.server.as_str()), "{action:?}");
        }
        for action in bench.reserved(sequence) {
            assert!(!format!("{action:?}").contains(first.server.as_str()), "{action:?}");
        }
        bench.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    let told = bench.pool.holdings(bench.now_us).changing;
    assert!(told.iter().any(|(server, _, _)| *server == first.server), "the other daemons are told");
}

/// Two readers with `count` long prompts to read, of 180 ms each.
fn with_busy_readers(count: u64) -> Bench {
    let mut bench = Bench::new(settings(), &ENGINES);
    for sequence in 0..count {
        bench.arrive(demand(sequence, 9_000, 500));
        bench.reserved(sequence);
    }
    bench
}

/// Readers are busy for longer than a target. A short prompt goes to a writer at once, and a long one waits: read by a
/// writer it would make all answers there pause for too long.
#[test]
fn writers_read_short_prompts_only() {
    let mut bench = with_busy_readers(10);
    bench.arrive(demand(20, 2_000, 500));
    assert!(matches!(bench.reserved(20)[..], [EngineAction::Write { reader: None, .. }]));
    bench.arrive(demand(21, 9_000, 500));
    let long = bench.reserved(21);
    assert!(matches!(long[..], [EngineAction::Read { .. }]), "{long:?}");
}

/// Readers are busy, but a prompt that waits for them is still in time. Read by a writer it would hold up all its answers,
/// and callers who come later would be refused for the memory that these keep meanwhile.
#[test]
fn what_is_in_time_at_a_reader_disturbs_no_writer() {
    let mut bench = with_busy_readers(4);
    bench.arrive(demand(20, 2_000, 500));
    let reserved = bench.reserved(20);
    assert!(matches!(reserved[..], [EngineAction::Read { .. }]), "{reserved:?}");
}

/// An engine reads a prompt in pieces, one between two steps of its answers, so that no answer stands still for as long as
/// the reading takes. As long as that isn't known only short prompts are read by writers, and callers with longer ones are
/// late whenever readers are busy.
#[test]
fn writers_read_longer_prompts_once_their_answers_were_seen_to_go_on() {
    let in_haste = |sequence, prompt| Demand { waited_ms: Millis(300), ..demand(sequence, prompt, 500) };
    let mut bench = with_busy_readers(11);
    bench.after(180);
    for running in 0..4 {
        bench.prompt_read(running);
        bench.feed(EngineEvent::Started { request_id: request_id(running) });
    }
    for round in 1..17 {
        let sequence = 20 + round;
        (0..4).for_each(|running| bench.progress(running, 2 * round));
        bench.arrive(in_haste(sequence, 2_000));
        bench.reserved(sequence);
        bench.after(80).feed(EngineEvent::Started { request_id: request_id(sequence) });
        (0..4).for_each(|running| bench.progress(running, 2 * round + 1));
        bench.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    bench.arrive(in_haste(40, 6_000));
    let reserved = bench.reserved(40);
    assert!(matches!(reserved[..], [EngineAction::Write { reader: None, .. }]), "{reserved:?}");
}

/// Six requests wait while the only writer is full. When it comes free the first of them have waited so long that
/// their answers would be late once they are read; placed in their order, they would make those behind them late too.
#[test]
fn who_cannot_be_in_time_any_more_yields_to_who_can() {
    let mut bench = Bench::new(settings(), &[("r-1", Role::Prefill), ("w-1", Role::Decode)]);
    let mut placed = Vec::new();
    for sequence in 0..12 {
        if bench.arrive(demand(sequence, 9_000, 500)).iter().any(is_reserve) {
            placed.push(sequence);
        }
    }
    bench.after(650);
    bench.arrive(demand(20, 9_000, 500));
    let left = bench.feed(EngineEvent::CallerLeft { request_id: request_id(placed[0]) });
    let [EngineAction::Reserve { request_id: first, .. }] = left[..] else {
        panic!("{left:?}");
    };
    assert_eq!(first, request_id(20));
}

/// A burst keeps the only writer full. A request that cannot be in time any more waits behind those that can be, and
/// gets no place before the burst is over; its caller is told so at once instead of when its patience ends.
#[test]
fn who_is_late_is_told_at_once_while_others_can_be_in_time() {
    let mut bench = Bench::new(settings(), &[("r-1", Role::Prefill), ("w-1", Role::Decode)]);
    let mut waiting = Vec::new();
    for sequence in 0..12 {
        if bench.arrive(demand(sequence, 9_000, 500)).is_empty() {
            waiting.push(request_id(sequence));
        }
    }
    assert!(!waiting.is_empty());
    bench.after(650);
    let arrived = bench.arrive(demand(20, 9_000, 500));
    let refused: Vec<RequestId> = arrived
        .iter()
        .filter_map(|action| match action {
            EngineAction::Refuse { request_id, .. } => Some(*request_id),
            _ => None,
        })
        .collect();
    assert_eq!(refused, waiting);
}

/// An engine writes a tenth of what is guessed at the start. Until answers end, seconds later, its requests would be taken
/// for ten times larger than they are, and callers refused at a writer that is half empty.
#[test]
fn the_pace_of_answers_is_known_from_their_first_events() {
    let mut bench = Bench::new(settings(), &ENGINES);
    begin(&mut bench, demand(1, 5_000, 6_000));
    bench.feed(EngineEvent::Started { request_id: request_id(1) });
    for events in [1, 2, 4, 8] {
        bench.progress(1, events);
        bench.after(500 * events);
    }
    let told = bench.pool.holdings(bench.now_us);
    let growth = told.engines[0].growths[0];
    // 86 tokens each half second: 8 events at the last word, and as many more since.
    assert_eq!(growth.now, Tokens(5_000 + 16 * 86));
}

/// An engine turns five times slower in the middle of a day. Answers that it writes keep their memory for as much longer;
/// reckoned by the old pace, writers are taken for empty that are not.
#[test]
fn a_pace_that_changes_is_followed_within_seconds() {
    let mut bench = Bench::new(settings(), &ENGINES);
    for sequence in 0..80 {
        let event_ms = if sequence < 40 { 50 } else { 250 };
        begin(&mut bench, demand(sequence, 5_000, 6_000));
        bench.feed(EngineEvent::Started { request_id: request_id(sequence) });
        bench.progress(sequence, 1);
        bench.after(3 * event_ms).progress(sequence, 4);
        bench.feed(EngineEvent::Finished { request_id: request_id(sequence), events: 4 });
    }
    begin(&mut bench, demand(100, 5_000, 6_000));
    bench.feed(EngineEvent::Started { request_id: request_id(100) });
    bench.progress(100, 1);
    bench.after(2_500);
    let grown = bench.pool.holdings(bench.now_us).engines[0].growths[0].now;
    let slow = 5_000 + 86 + 10 * 86;
    assert!(grown.0.abs_diff(slow) < slow / 20, "{grown} of some {slow}");
}
