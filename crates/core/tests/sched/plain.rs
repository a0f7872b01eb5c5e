//! Tests of scheduling among the instances of a plain service, with fakes of four instances.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hibiscusvale_core::ids::{Incarnation, Lifetime, RequestId};
use hibiscusvale_core::retry_budget::SharedRetryBudgetSettings;
use hibiscusvale_core::sched::{
    FailureCause, Hold, HoldReason, PlainAction, PlainArrival, PlainEvent, PlainInstance, PlainRefusal,
    PlainScheduler, PlainSettings,
};
use hibiscusvale_core::units::{Credit, Micros, Millis, MonoTime};
use rstest::rstest;

const CALL_US: u64 = 10_000;
const CAPACITY: u32 = 8;

/// Timeout of a connection attempt.
const CONNECT_US: u64 = 300_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Good,
    Slow,
    Unresponsive,
    Leaving,
    /// Connection attempts fail after a timeout.
    Unreachable,
}

#[derive(Default)]
struct Results {
    answered: BTreeMap<String, u64>,
    in_time: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
    unknown: u64,
    sent: BTreeMap<(String, u64), u64>,
    dispatched: BTreeMap<RequestId, u32>,
}

struct FakeService {
    scheduler: PlainScheduler,
    kinds: Vec<Kind>,
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<PlainEvent>>,
    partner_of: BTreeMap<RequestId, (String, u64)>,
    results: Results,
}

impl FakeService {
    fn new(kinds: &[Kind]) -> Self {
        Self::with_settings(PlainSettings::default(), kinds)
    }

    fn with_settings(settings: PlainSettings, kinds: &[Kind]) -> Self {
        let instances = (0..kinds.len()).map(|number| PlainInstance {
            server: format!("s{number}").parse().unwrap(),
            capacity: CAPACITY,
            leaving: false,
            is_local: true,
            lifetime: None,
        });
        let mut service = Self {
            scheduler: PlainScheduler::new(settings, 3),
            kinds: kinds.to_vec(),
            heap: BinaryHeap::new(),
            events: Vec::new(),
            partner_of: BTreeMap::new(),
            results: Results::default(),
        };
        let instances = PlainEvent::Instances(instances.collect());
        service.schedule(0, instances);
        service
    }

    fn schedule(&mut self, at_us: u64, event: PlainEvent) {
        let number = self.events.len();
        self.heap.push(Reverse((at_us, number as u64, number)));
        self.events.push(Some(event));
    }

    fn calls(
        &mut self,
        partner: &str,
        incarnation: u64,
        from_us: u64,
        until_us: u64,
        gap_us: u64,
        repeatable: bool,
    ) {
        for (sequence, at_us) in (from_us..until_us).step_by(gap_us as usize).enumerate() {
            let request_id =
                RequestId { incarnation: Incarnation(incarnation.into()), sequence: sequence as u64 };
            self.partner_of.insert(request_id, (partner.to_owned(), at_us));
            let (partner, max_wait_ms) = (partner.parse().unwrap(), Millis(100));
            let arrival = PlainArrival {
                request_id,
                partner,
                repeatable,
                attempts_max: 3,
                max_wait_ms,
                target_ms: None,
            };
            self.schedule(at_us, PlainEvent::Arrive(arrival));
        }
    }

    fn run(mut self) -> Results {
        while let Some(Reverse((now_us, _, number))) = self.heap.pop() {
            let event = self.events[number].take().unwrap();
            if let PlainEvent::Done { request_id } = &event {
                let (partner, at_us) = self.partner_of[request_id].clone();
                let in_time = now_us <= at_us + 200_000;
                *self.results.in_time.entry(partner.clone()).or_default() += u64::from(in_time);
                *self.results.answered.entry(partner).or_default() += 1;
            }
            let mut actions = Vec::new();
            self.scheduler.handle(MonoTime(now_us), event, &mut actions);
            actions.into_iter().for_each(|action| self.apply(now_us, action));
        }
        self.results
    }

    fn apply(&mut self, now_us: u64, action: PlainAction) {
        match action {
            PlainAction::Dispatch { request_id, server, timeout_ms, .. } => {
                let number = server.as_str()[1..].parse::<usize>().unwrap();
                let second = now_us / 1_000_000;
                *self.results.sent.entry((server.to_string(), second)).or_default() += 1;
                *self.results.dispatched.entry(request_id).or_default() += 1;
                let timeout_us = Micros::from(timeout_ms).0;
                let fail = |cause| PlainEvent::Failed { request_id, cause };
                match self.kinds[number] {
                    Kind::Good => self.schedule(now_us + CALL_US, PlainEvent::Done { request_id }),
                    Kind::Slow if CALL_US * 10 < timeout_us => {
                        self.schedule(now_us + CALL_US * 10, PlainEvent::Done { request_id });
                    }
                    Kind::Slow | Kind::Unresponsive => {
                        self.schedule(now_us + timeout_us, fail(FailureCause::Timeout))
                    }
                    Kind::Unreachable => self.schedule(now_us + CONNECT_US, fail(FailureCause::NotSent)),
                    Kind::Leaving => self.schedule(now_us + 1_000, fail(FailureCause::Leaving)),
                }
            }
            PlainAction::Refuse { request_id, reason, .. } => {
                assert_ne!(reason, PlainRefusal::NoInstance);
                let partner = self.partner_of[&request_id].0.clone();
                *self.results.refused.entry(partner).or_default() += 1;
            }
            PlainAction::Borrow(loan) => panic!("unexpected loan request: {loan:?}"),
            PlainAction::Unknown { .. } => self.results.unknown += 1,
            PlainAction::Wake { at_us } => {
                if self.heap.len() < 100_000 {
                    self.schedule(at_us.0.max(now_us + 1), PlainEvent::Tick);
                }
            }
        }
    }
}

// One of four instances is ten times slower or unresponsive. After the first two seconds it gets almost no
// calls, and callers get their answers in time.
#[rstest]
#[case::slow(Kind::Slow)]
#[case::unresponsive(Kind::Unresponsive)]
fn slow_or_unresponsive_instance_is_ejected(#[case] kind: Kind) {
    let mut service = FakeService::new(&[kind, Kind::Good, Kind::Good, Kind::Good]);
    service.calls("a", 1, 0, 10_000_000, 2_000, true);
    let results = service.run();
    let queued = (2..10).map(|second| results.sent.get(&("s0".to_owned(), second)).copied().unwrap_or(0));
    assert!(queued.sum::<u64>() <= 8, "the faulty instance still gets calls: {:?}", results.sent);
    assert!(results.in_time["a"] >= 4_875, "{} of 5000 in time", results.in_time["a"]);
}

// A call that must not be repeated is sent to an instance that never answers. It may have run there, so it is
// not sent again and its caller is told that the outcome is unknown.
#[test]
fn call_that_may_have_run_is_not_repeated() {
    let mut service = FakeService::new(&[Kind::Unresponsive, Kind::Good, Kind::Good, Kind::Good]);
    service.calls("a", 1, 0, 2_000_000, 5_000, false);
    let results = service.run();
    assert!(results.unknown > 0);
    assert_eq!(results.unknown + results.answered["a"], 400);
    assert!(results.dispatched.values().all(|&times| times == 1));
}

// A leaving instance rejects a call without running it. The call is sent elsewhere, even if it must not be
// repeated, and the instance gets no more calls.
#[test]
fn leaving_instance_gets_no_more_calls() {
    let mut service = FakeService::new(&[Kind::Leaving, Kind::Good, Kind::Good, Kind::Good]);
    service.calls("a", 1, 0, 2_000_000, 5_000, false);
    let results = service.run();
    assert_eq!(results.answered["a"], 400);
    let to_leaving =
        results.sent.iter().filter(|((server, _), _)| server == "s0").map(|(_, sent)| sent).sum::<u64>();
    assert!(to_leaving <= 2, "{to_leaving} calls to the leaving instance");
}

// One partner sends six times the capacity. The calls of the other must be served as before, and only the
// surging partner is refused.
#[test]
fn only_the_surging_partner_is_refused() {
    let mut service = FakeService::new(&[Kind::Good, Kind::Good, Kind::Good, Kind::Good]);
    service.calls("a", 1, 0, 4_000_000, 2_000, true);
    service.calls("b", 2, 0, 4_000_000, 52, true);
    let results = service.run();
    assert!(results.in_time["a"] >= 1_960, "{} of 2000 in time", results.in_time["a"]);
    assert!(results.refused["b"] > 10_000);
    assert!(
        results.answered["a"] + results.answered["b"] >= 12_000,
        "capacity was left idle: {:?}",
        results.answered
    );
}

// All instances are slow at once: the load is the cause, and ejecting instances would make it worse.
#[test]
fn no_instance_is_ejected_when_all_are_slow() {
    let mut service = FakeService::new(&[Kind::Slow; 4]);
    service.calls("a", 1, 0, 4_000_000, 10_000, true);
    let results = service.run();
    assert_eq!(results.answered["a"], 400);
}

// A network partition leaves one of four instances reachable; connection attempts to the others hang until
// they time out. Calls that may be sent to one instance only can move on if they reached none, and the
// reachable instance has capacity for all. A failed connection attempt costs the servers nothing, so this
// also holds when no retry credit is left.
#[rstest]
#[case::own_budget(None)]
#[case::shared_budget_exhausted(Some(SharedRetryBudgetSettings { credit_per_request: Credit(0), slack_share: Credit(0), ..Default::default() }))]
fn partitioned_daemon_uses_the_reachable_instance(#[case] shared_retries: Option<SharedRetryBudgetSettings>) {
    let kinds = [Kind::Unreachable, Kind::Unreachable, Kind::Good, Kind::Unreachable];
    let mut service =
        FakeService::with_settings(PlainSettings { shared_retries, ..PlainSettings::default() }, &kinds);
    let sent = 6_u64 * 20;
    for sequence in 0..sent {
        let request_id = RequestId { incarnation: Incarnation(7), sequence };
        let at_us = sequence * 50_000;
        service.partner_of.insert(request_id, ("nadifa".to_owned(), at_us));
        let arrival = PlainArrival {
            request_id,
            partner: "nadifa".parse().unwrap(),
            repeatable: sequence % 3 == 0,
            attempts_max: 1,
            max_wait_ms: Millis(800),
            target_ms: None,
        };
        service.schedule(at_us, PlainEvent::Arrive(arrival));
    }
    let results = service.run();
    assert_eq!(results.unknown, 0);
    let answered = results.answered["nadifa"];
    assert!(answered * 100 >= sent * 95, "{answered} of {sent} answered");
    let in_time = results.in_time["nadifa"];
    assert!(in_time * 100 >= sent * 85, "{in_time} of {sent} in time");
}

// No instance is reachable. If calls were held up to their maximum wait, callers would lose the time in which
// another host could serve them. Once that is known they are refused at once, and an occasional call probes
// the instances.
#[test]
fn calls_are_refused_at_once_without_a_reachable_instance() {
    let mut scheduler = PlainScheduler::new(PlainSettings::default(), 3);
    let mut actions = Vec::new();
    let instances = (0..2).map(|number| PlainInstance {
        server: format!("s{number}").parse().unwrap(),
        capacity: CAPACITY,
        leaving: false,
        is_local: true,
        lifetime: None,
    });
    scheduler.handle(MonoTime(0), PlainEvent::Instances(instances.collect()), &mut actions);
    let (mut refused, mut queued) = (0, 0);
    for sequence in 0..40 {
        let now_us = MonoTime(sequence * 20_000);
        let request_id = RequestId { incarnation: Incarnation(7), sequence };
        let arrival = PlainArrival {
            request_id,
            partner: "nadifa".parse().unwrap(),
            repeatable: true,
            attempts_max: 2,
            max_wait_ms: Millis(500),
            target_ms: None,
        };
        actions.clear();
        scheduler.handle(now_us, PlainEvent::Arrive(arrival), &mut actions);
        let is_refused = actions.iter().any(|action| matches!(action, PlainAction::Refuse { .. }));
        refused += u32::from(is_refused);
        queued += u32::from(!is_refused);
        if actions.iter().any(|action| matches!(action, PlainAction::Dispatch { .. })) {
            let cause = FailureCause::NotSent;
            scheduler.handle(now_us, PlainEvent::Failed { request_id, cause }, &mut Vec::new());
            scheduler.handle(now_us, PlainEvent::CallerLeft { request_id }, &mut Vec::new());
        }
    }
    assert!(refused >= 30, "{refused} refused at once, {queued} queued");
}

// All instances ask for a rest at the same moment, one for less than the others. Meanwhile calls are refused at once and told
// the end of the shorter rest; after it a single call probes that instance, and the others follow its answer.
#[test]
fn rested_instance_is_probed_by_one_call() {
    let mut scheduler = PlainScheduler::new(PlainSettings::default(), 3);
    let mut handle = |now_us, event| {
        let mut actions = Vec::new();
        scheduler.handle(MonoTime(now_us), event, &mut actions);
        actions
    };
    let instance = |name: &str| PlainInstance {
        server: name.parse().unwrap(),
        capacity: 8,
        leaving: false,
        is_local: true,
        lifetime: None,
    };
    handle(0, PlainEvent::Instances(vec![instance("s0"), instance("s1")]));
    for (server, until_us) in [("s0", 3_000_000), ("s1", 60_000_000)] {
        let hold = Hold { reason: HoldReason::Resting, until_us: Some(MonoTime(until_us)) };
        handle(1, PlainEvent::Hold { server: server.parse().unwrap(), hold });
    }
    let dispatched = |actions: &[PlainAction]| {
        actions.iter().filter(|action| matches!(action, PlainAction::Dispatch { .. })).count()
    };
    let arrival = |sequence| PlainArrival {
        request_id: RequestId { incarnation: Incarnation(9_u64.into()), sequence },
        partner: "a".parse().unwrap(),
        repeatable: true,
        attempts_max: 3,
        max_wait_ms: Millis(100),
        target_ms: None,
    };
    let refused = handle(2_900_000, PlainEvent::Arrive(arrival(0)));
    assert!(
        matches!(
            refused[..],
            [PlainAction::Refuse { reason: PlainRefusal::Resting, retry_after_ms: Millis(100), .. }]
        ),
        "{refused:?}"
    );
    let at_end: usize =
        (1..5).map(|number| dispatched(&handle(3_000_000, PlainEvent::Arrive(arrival(number))))).sum();
    assert_eq!(at_end, 1, "calls at the end of the rest");
    let done = PlainEvent::Done { request_id: arrival(1).request_id };
    assert_eq!(dispatched(&handle(3_010_000, done)), 3);
}

// Many instances fail together, and their rests end together. A call that probed one of them and got no answer was the
// probe of another one, and failed although a sound instance was free.
#[test]
fn call_that_failed_probes_no_other_instance() {
    for seed in 0..50 {
        let mut scheduler = PlainScheduler::new(PlainSettings::default(), seed);
        let mut handle = |now_us, event| {
            let mut actions = Vec::new();
            scheduler.handle(MonoTime(now_us), event, &mut actions);
            actions
        };
        let instance = |number: usize| PlainInstance {
            server: format!("s{number}").parse().unwrap(),
            capacity: 8,
            leaving: false,
            is_local: true,
            lifetime: None,
        };
        handle(0, PlainEvent::Instances((0..4).map(instance).collect()));
        let arrival = |sequence| PlainArrival {
            request_id: RequestId { incarnation: Incarnation(9_u64.into()), sequence },
            partner: "a".parse().unwrap(),
            repeatable: true,
            attempts_max: 2,
            max_wait_ms: Millis(100),
            target_ms: None,
        };
        // Calls that succeed fill the retry budget.
        for sequence in 0..100 {
            let request_id = arrival(sequence).request_id;
            handle(sequence * 10_000, PlainEvent::Arrive(arrival(sequence)));
            handle(sequence * 10_000 + 5_000, PlainEvent::Done { request_id });
        }
        for number in 1..4 {
            let hold = Hold { reason: HoldReason::Resting, until_us: Some(MonoTime(2_000_000)) };
            handle(1_000_000, PlainEvent::Hold { server: format!("s{number}").parse().unwrap(), hold });
        }
        let request_id = arrival(100).request_id;
        let servers = |actions: Vec<PlainAction>| -> Vec<String> {
            let dispatched = actions.into_iter().filter_map(|action| match action {
                PlainAction::Dispatch { server, .. } => Some(server.to_string()),
                _ => None,
            });
            dispatched.collect()
        };
        let first = servers(handle(2_000_000, PlainEvent::Arrive(arrival(100))));
        assert_eq!(first.len(), 1, "{first:?}");
        if first == ["s0"] {
            continue;
        }
        let cause = FailureCause::Broken;
        handle(2_010_000, PlainEvent::Failed { request_id, cause });
        // The retry follows a short pause.
        let second = servers(handle(2_100_000, PlainEvent::Tick));
        assert_eq!(second, ["s0"], "seed {seed}: after {first:?}");
    }
}

// A process answers slowly, and another one starts under its id. It has no answers of its own yet, and got no calls: at a low load
// the other instance seemed faster for ever.
#[test]
fn instance_that_starts_anew_is_not_judged_by_its_former_answers() {
    let mut scheduler = PlainScheduler::new(PlainSettings::default(), 3);
    let listed = |started: u64| {
        let instance = |name: &str| PlainInstance {
            server: name.parse().unwrap(),
            capacity: CAPACITY,
            leaving: false,
            is_local: true,
            lifetime: Some(Lifetime(started)),
        };
        PlainEvent::Instances(vec![instance("s0"), instance("s1")])
    };
    // One call after the other; returns how many of them s0 got. It answers in 3 ms, s1 in 2 ms.
    let mut play = |from: u64, list: PlainEvent| {
        scheduler.handle(MonoTime(from * 20_000), list, &mut Vec::new());
        let mut at_first = 0;
        for sequence in from..from + 50 {
            let now_us = MonoTime(sequence * 20_000);
            let request_id = RequestId { incarnation: Incarnation(7), sequence };
            let arrival = PlainArrival {
                request_id,
                partner: "nadifa".parse().unwrap(),
                repeatable: true,
                attempts_max: 2,
                max_wait_ms: Millis(500),
                target_ms: None,
            };
            let mut actions = Vec::new();
            scheduler.handle(now_us, PlainEvent::Arrive(arrival), &mut actions);
            let server = actions.iter().find_map(|action| match action {
                PlainAction::Dispatch { server, .. } => Some(server.to_string()),
                _ => None,
            });
            let is_first = server.as_deref() == Some("s0");
            at_first += u32::from(is_first);
            let took_us = if is_first { 3_000 } else { 2_000 };
            let done_us = MonoTime(now_us.0 + took_us);
            scheduler.handle(done_us, PlainEvent::Done { request_id }, &mut Vec::new());
        }
        at_first
    };
    play(1, listed(1));
    assert_eq!(play(51, listed(1)), 0, "the slower one gets no calls");
    assert!(play(101, listed(2)) > 0, "the new process got no calls");
}

// An instance answers while it rests: a call that was under way succeeds. The rest is not shortened.
#[test]
fn success_does_not_end_a_rest() {
    let mut service = FakeService::new(&[Kind::Good, Kind::Good]);
    service.calls("a", 1, 0, 4_000_000, 2_000, true);
    let hold = Hold { reason: HoldReason::Resting, until_us: Some(MonoTime(3_000_000)) };
    service.schedule(1_000_500, PlainEvent::Hold { server: "s0".parse().unwrap(), hold });
    let results = service.run();
    let sent = |second| results.sent.get(&("s0".to_owned(), second)).copied().unwrap_or(0);
    assert!(sent(0) > 50 && sent(3) > 50, "{:?}", results.sent);
    assert!(sent(1) <= 1 && sent(2) == 0, "{:?}", results.sent);
    assert_eq!(results.answered["a"], 2_000);
}
