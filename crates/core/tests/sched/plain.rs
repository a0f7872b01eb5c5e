//! Choosing among instances of a plain service, with a small fake of four instances.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hibiscusvale_core::allowance::AllowanceSettings;
use hibiscusvale_core::ids::{Incarnation, RequestId};
use hibiscusvale_core::sched::{
    FailureCause, PlainAction, PlainArrival, PlainEvent, PlainInstance, PlainRefusal, PlainScheduler,
    PlainSettings,
};
use hibiscusvale_core::units::{Credit, Micros, Millis, MonoTime};
use rstest::rstest;

const CALL_US: u64 = 10_000;
const CAPACITY: u32 = 8;

/// Time after which a connection attempt is given up.
const CONNECT_US: u64 = 300_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Good,
    Slow,
    Mute,
    Leaving,
    /// No connection comes about, which shows only after a while.
    Unreachable,
}

#[derive(Default)]
struct Tally {
    answered: BTreeMap<String, u64>,
    in_time: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
    unknown: u64,
    sent: BTreeMap<(String, u64), u64>,
    dispatched: BTreeMap<RequestId, u32>,
}

struct Fake {
    scheduler: PlainScheduler,
    kinds: Vec<Kind>,
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<PlainEvent>>,
    partner_of: BTreeMap<RequestId, (String, u64)>,
    tally: Tally,
}

impl Fake {
    fn new(kinds: &[Kind]) -> Self {
        Self::with_settings(PlainSettings::default(), kinds)
    }

    fn with_settings(settings: PlainSettings, kinds: &[Kind]) -> Self {
        let instances = (0..kinds.len()).map(|number| PlainInstance {
            server: format!("s{number}").parse().unwrap(),
            capacity: CAPACITY,
            leaving: false,
        });
        let mut fake = Self {
            scheduler: PlainScheduler::new(settings, 3),
            kinds: kinds.to_vec(),
            heap: BinaryHeap::new(),
            events: Vec::new(),
            partner_of: BTreeMap::new(),
            tally: Tally::default(),
        };
        let instances = PlainEvent::Instances(instances.collect());
        fake.at(0, instances);
        fake
    }

    fn at(&mut self, at_us: u64, event: PlainEvent) {
        let number = self.events.len();
        self.heap.push(Reverse((at_us, number as u64, number)));
        self.events.push(Some(event));
    }

    fn calls(
        &mut self,
        partner: &str,
        life: u64,
        from_us: u64,
        until_us: u64,
        gap_us: u64,
        repeatable: bool,
    ) {
        for (sequence, at_us) in (from_us..until_us).step_by(gap_us as usize).enumerate() {
            let request_id = RequestId { incarnation: Incarnation(life.into()), sequence: sequence as u64 };
            self.partner_of.insert(request_id, (partner.to_owned(), at_us));
            let (partner, max_wait_ms) = (partner.parse().unwrap(), Millis(100));
            let arrival = PlainArrival { request_id, partner, repeatable, attempts_max: 3, max_wait_ms };
            self.at(at_us, PlainEvent::Arrive(arrival));
        }
    }

    fn run(mut self) -> Tally {
        while let Some(Reverse((now_us, _, number))) = self.heap.pop() {
            let event = self.events[number].take().unwrap();
            if let PlainEvent::Done { request_id } = &event {
                let (partner, at_us) = self.partner_of[request_id].clone();
                let in_time = now_us <= at_us + 200_000;
                *self.tally.in_time.entry(partner.clone()).or_default() += u64::from(in_time);
                *self.tally.answered.entry(partner).or_default() += 1;
            }
            let mut actions = Vec::new();
            self.scheduler.handle(MonoTime(now_us), event, &mut actions);
            actions.into_iter().for_each(|action| self.act(now_us, action));
        }
        self.tally
    }

    fn act(&mut self, now_us: u64, action: PlainAction) {
        match action {
            PlainAction::Dispatch { request_id, server, timeout_ms, .. } => {
                let number = server.as_str()[1..].parse::<usize>().unwrap();
                let second = now_us / 1_000_000;
                *self.tally.sent.entry((server.to_string(), second)).or_default() += 1;
                *self.tally.dispatched.entry(request_id).or_default() += 1;
                let timeout_us = Micros::from(timeout_ms).0;
                let fail = |cause| PlainEvent::Failed { request_id, cause };
                match self.kinds[number] {
                    Kind::Good => self.at(now_us + CALL_US, PlainEvent::Done { request_id }),
                    Kind::Slow if CALL_US * 10 < timeout_us => {
                        self.at(now_us + CALL_US * 10, PlainEvent::Done { request_id });
                    }
                    Kind::Slow | Kind::Mute => self.at(now_us + timeout_us, fail(FailureCause::Timeout)),
                    Kind::Unreachable => self.at(now_us + CONNECT_US, fail(FailureCause::NotSent)),
                    Kind::Leaving => self.at(now_us + 1_000, fail(FailureCause::Leaving)),
                }
            }
            PlainAction::Refuse { request_id, reason, .. } => {
                assert_ne!(reason, PlainRefusal::NoInstance);
                let partner = self.partner_of[&request_id].0.clone();
                *self.tally.refused.entry(partner).or_default() += 1;
            }
            PlainAction::Borrow(ask) => panic!("partners' budgets are not lent: {ask:?}"),
            PlainAction::Unknown { .. } => self.tally.unknown += 1,
            PlainAction::Wake { at_us } => {
                if self.heap.len() < 100_000 {
                    self.at(at_us.0.max(now_us + 1), PlainEvent::Tick);
                }
            }
        }
    }
}

// One of four instances is ten times slower or mute. After the first second it gets next to nothing, and
// callers keep their answers.
#[rstest]
#[case::slow(Kind::Slow)]
#[case::mute(Kind::Mute)]
fn bad_instance_is_set_aside(#[case] kind: Kind) {
    let mut fake = Fake::new(&[kind, Kind::Good, Kind::Good, Kind::Good]);
    fake.calls("a", 1, 0, 10_000_000, 2_000, true);
    let tally = fake.run();
    let later = (2..10).map(|second| tally.sent.get(&("s0".to_owned(), second)).copied().unwrap_or(0));
    assert!(later.sum::<u64>() <= 8, "the bad instance still gets calls: {:?}", tally.sent);
    assert!(tally.in_time["a"] >= 4_875, "{} of 5000 in time", tally.in_time["a"]);
}

// A launch entry is sent to an instance that never answers. It may have run there, so it is not sent
// again: its caller is told that nobody knows.
#[test]
fn call_that_may_have_run_is_not_repeated() {
    let mut fake = Fake::new(&[Kind::Mute, Kind::Good, Kind::Good, Kind::Good]);
    fake.calls("a", 1, 0, 2_000_000, 5_000, false);
    let tally = fake.run();
    assert!(tally.unknown > 0);
    assert_eq!(tally.unknown + tally.answered["a"], 400);
    assert!(tally.dispatched.values().all(|&times| times == 1));
}

// An instance answers that it is leaving and has not run the call. The call goes elsewhere, even one that
// may not be repeated, and the instance gets no more.
#[test]
fn leaving_instance_gets_no_more_calls() {
    let mut fake = Fake::new(&[Kind::Leaving, Kind::Good, Kind::Good, Kind::Good]);
    fake.calls("a", 1, 0, 2_000_000, 5_000, false);
    let tally = fake.run();
    assert_eq!(tally.answered["a"], 400);
    let to_leaving =
        tally.sent.iter().filter(|((server, _), _)| server == "s0").map(|(_, sent)| sent).sum::<u64>();
    assert!(to_leaving <= 2, "{to_leaving} calls");
}

// One partner sends six times what the service can do. The other's calls must go through as before, and
// the surge is refused at the partner that surges.
#[test]
fn surge_is_refused_at_the_partner_that_surges() {
    let mut fake = Fake::new(&[Kind::Good, Kind::Good, Kind::Good, Kind::Good]);
    fake.calls("a", 1, 0, 4_000_000, 2_000, true);
    fake.calls("b", 2, 0, 4_000_000, 52, true);
    let tally = fake.run();
    assert!(tally.in_time["a"] >= 1_960, "{} of 2000 in time", tally.in_time["a"]);
    assert!(tally.refused["b"] > 10_000);
    assert!(tally.answered["a"] + tally.answered["b"] >= 12_000, "capacity left idle: {:?}", tally.answered);
}

// All instances are slow at once: the load is the cause, and taking instances away would make it worse.
#[test]
fn instances_are_kept_when_all_are_slow() {
    let mut fake = Fake::new(&[Kind::Slow; 4]);
    fake.calls("a", 1, 0, 4_000_000, 10_000, true);
    let tally = fake.run();
    assert_eq!(tally.answered["a"], 400);
}

// A data centre is cut off from the others: three of four instances stand on the other side, and connection attempts to
// them hang until they are given up. Bookings may be sent to one instance only; those that reached none may go to the
// one on this side, and that has room for all of them. A connection that did not come about costs no server anything, so
// that holds with no further try left to pay for as well.
#[rstest]
#[case::own_budget(None)]
#[case::nothing_left_of_the_shared_one(Some(AllowanceSettings { earned: Credit(0), part: Credit(0), ..Default::default() }))]
fn a_daemon_that_is_cut_off_uses_the_instance_that_it_reaches(
    #[case] shared_retries: Option<AllowanceSettings>,
) {
    let kinds = [Kind::Unreachable, Kind::Unreachable, Kind::Good, Kind::Unreachable];
    let mut fake = Fake::with_settings(PlainSettings { shared_retries, ..PlainSettings::default() }, &kinds);
    let sent = 6_u64 * 20;
    for sequence in 0..sent {
        let request_id = RequestId { incarnation: Incarnation(7), sequence };
        let at_us = sequence * 50_000;
        fake.partner_of.insert(request_id, ("nadifa".to_owned(), at_us));
        let arrival = PlainArrival {
            request_id,
            partner: "nadifa".parse().unwrap(),
            repeatable: sequence % 3 == 0,
            attempts_max: 1,
            max_wait_ms: Millis(800),
        };
        fake.at(at_us, PlainEvent::Arrive(arrival));
    }
    let tally = fake.run();
    assert_eq!(tally.unknown, 0);
    let answered = tally.answered["nadifa"];
    assert!(answered * 100 >= sent * 95, "{answered} of {sent} answered");
    let in_time = tally.in_time["nadifa"];
    assert!(in_time * 100 >= sent * 85, "{in_time} of {sent} in time");
}

// No instance can be reached at all. Held until their patience is over, callers would lose the time in which another
// host could have served them; so once that is known they are told at once, and a call now and then looks again.
#[test]
fn with_nobody_to_reach_callers_are_told_at_once() {
    let mut scheduler = PlainScheduler::new(PlainSettings::default(), 3);
    let mut actions = Vec::new();
    let instances = (0..2).map(|number| PlainInstance {
        server: format!("s{number}").parse().unwrap(),
        capacity: CAPACITY,
        leaving: false,
    });
    scheduler.handle(MonoTime(0), PlainEvent::Instances(instances.collect()), &mut actions);
    let (mut at_once, mut later) = (0, 0);
    for sequence in 0..40 {
        let now_us = MonoTime(sequence * 20_000);
        let request_id = RequestId { incarnation: Incarnation(7), sequence };
        let arrival = PlainArrival {
            request_id,
            partner: "nadifa".parse().unwrap(),
            repeatable: true,
            attempts_max: 2,
            max_wait_ms: Millis(500),
        };
        actions.clear();
        scheduler.handle(now_us, PlainEvent::Arrive(arrival), &mut actions);
        let is_refused = actions.iter().any(|action| matches!(action, PlainAction::Refuse { .. }));
        at_once += u32::from(is_refused);
        later += u32::from(!is_refused);
        if actions.iter().any(|action| matches!(action, PlainAction::Dispatch { .. })) {
            let cause = FailureCause::NotSent;
            scheduler.handle(now_us, PlainEvent::Failed { request_id, cause }, &mut Vec::new());
            scheduler.handle(now_us, PlainEvent::CallerLeft { request_id }, &mut Vec::new());
        }
    }
    assert!(at_once >= 30, "{at_once} told at once, {later} held");
}
