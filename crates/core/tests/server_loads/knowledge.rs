//! What one daemon knows of servers, and what it ignores.

use hibiscusvale_core::ids::{Incarnation, Lifetime, RequestId};
use hibiscusvale_core::sched::{
    FailureCause, PlainAction, PlainArrival, PlainEvent, PlainInstance, PlainRefusal, PlainScheduler,
    PlainSettings, ServerSample,
};
use hibiscusvale_core::units::{Millis, MonoTime};
use rstest::rstest;

const SLOTS: u32 = 6;

fn instance(number: usize, lifetime: u64) -> PlainInstance {
    PlainInstance {
        server: format!("s{number}").parse().unwrap(),
        capacity: SLOTS,
        leaving: false,
        is_local: true,
        lifetime: Some(Lifetime(lifetime)),
    }
}

fn sample(number: usize, answers: u32, mean_ms: f32, in_flight: u32) -> ServerSample {
    ServerSample {
        server: format!("s{number}").parse().unwrap(),
        answers,
        busy_ms: answers as f32 * mean_ms,
        in_flight,
        slots: SLOTS,
        age_ms: 100,
    }
}

struct Daemon {
    scheduler: PlainScheduler,
    now_us: u64,
    sequence: u64,
}

impl Daemon {
    fn new(servers: usize) -> Self {
        let mut scheduler = PlainScheduler::new(PlainSettings::default(), 1);
        scheduler.use_server_loads(true);
        let mut daemon = Self { scheduler, now_us: 1_000_000, sequence: 0 };
        daemon.handle(PlainEvent::Instances((0..servers).map(|number| instance(number, 1)).collect()));
        daemon
    }

    /// A daemon that knows a fast server `s0` and a slow one `s1`.
    fn with_uneven_servers() -> Self {
        let mut daemon = Self::new(2);
        daemon.receive(&[sample(0, 100, 50.0, 3), sample(1, 100, 100.0, 3)]);
        daemon.pass(300);
        daemon
    }

    fn handle(&mut self, event: PlainEvent) -> Vec<PlainAction> {
        let mut actions = Vec::new();
        self.scheduler.handle(MonoTime(self.now_us), event, &mut actions);
        actions
    }

    fn receive(&mut self, samples: &[ServerSample]) {
        self.scheduler.receive_server_samples(MonoTime(self.now_us), samples);
    }

    fn pass(&mut self, span_ms: u64) {
        self.now_us += span_ms * 1_000;
        self.handle(PlainEvent::Tick);
    }

    fn state(&mut self, server: &str, held: u32) {
        let server = server.parse().unwrap();
        self.scheduler.server_stated_load(MonoTime(self.now_us), &server, held, SLOTS);
    }

    fn call(&mut self) -> (RequestId, Vec<PlainAction>) {
        self.sequence += 1;
        let request_id = RequestId { incarnation: Incarnation(1_u64.into()), sequence: self.sequence };
        let arrival = PlainArrival {
            request_id,
            partner: "callers".parse().unwrap(),
            repeatable: true,
            attempts_max: 3,
            max_wait_ms: Millis(1_000),
            target_ms: Some(Millis(300)),
        };
        (request_id, self.handle(PlainEvent::Arrive(arrival)))
    }

    /// Server to which the next call goes; the call is answered after `took_ms` by the given event.
    fn run_call(&mut self, took_ms: u64, end: fn(RequestId) -> PlainEvent) -> String {
        let (request_id, actions) = self.call();
        let server = actions.iter().find_map(|action| match action {
            PlainAction::Dispatch { server, .. } => Some(server.to_string()),
            _ => None,
        });
        self.now_us += took_ms * 1_000;
        self.handle(end(request_id));
        server.expect("a server")
    }

    fn expected_ms(&self) -> Vec<(String, u64)> {
        let expected = self.scheduler.expected_response_times(MonoTime(self.now_us)).into_iter();
        expected.map(|(server, expected_ms)| (server.to_string(), expected_ms.0)).collect()
    }

    fn samples(&mut self) -> Vec<ServerSample> {
        self.scheduler.take_server_samples(MonoTime(self.now_us))
    }
}

fn done(request_id: RequestId) -> PlainEvent {
    PlainEvent::Done { request_id }
}

/// A single implausible sample would outweigh all others, and all calls would go to, or avoid, one server.
#[rstest]
#[case::not_a_number(ServerSample { busy_ms: f32::NAN, ..sample(0, 10, 1.0, 0) })]
#[case::infinite(ServerSample { busy_ms: f32::INFINITY, ..sample(0, 10, 1.0, 0) })]
#[case::negative(ServerSample { busy_ms: -500.0, ..sample(0, 10, 1.0, 0) })]
#[case::too_many_answers(sample(0, 10_001, 50.0, 0))]
#[case::too_long(sample(0, 1, 600_001.0, 0))]
#[case::time_without_answers(ServerSample { busy_ms: 5_000.0, ..sample(0, 0, 0.0, 0) })]
#[case::absurd_load(sample(0, 1, 50.0, u32::MAX))]
#[case::unknown_server(sample(7, 100, 1.0, 0))]
fn implausible_samples_change_nothing(#[case] forged: ServerSample) {
    let mut daemon = Daemon::with_uneven_servers();
    let before = daemon.expected_ms();
    assert_eq!(before.len(), 2, "{before:?}");
    daemon.receive(&[forged]);
    daemon.pass(0);
    assert_eq!(daemon.expected_ms(), before);
}

/// A daemon without calls must follow the reports of others: its metrics would be missing, and its first calls would be
/// sent by old figures.
#[test]
fn daemon_without_calls_follows_reports() {
    let mut daemon = Daemon::new(2);
    for _ in 0..4 {
        daemon.receive(&[sample(0, 100, 50.0, 3), sample(1, 100, 100.0, 3)]);
        daemon.now_us += 300_000;
    }
    let expected = daemon.expected_ms();
    assert!(matches!(expected[..], [(_, fast), (_, slow)] if fast < slow), "{expected:?}");
}

/// A server that restarts under its id may be on another host; one that left must not be remembered when it returns.
#[rstest]
#[case::restarted(&[2])]
#[case::left_and_back(&[0, 1])]
fn restarted_or_left_server_is_forgotten(#[case] lifetimes: &[u64]) {
    let mut daemon = Daemon::with_uneven_servers();
    for &lifetime in lifetimes {
        let listed = [instance(0, 1)].into_iter().chain((lifetime > 0).then(|| instance(1, lifetime)));
        daemon.handle(PlainEvent::Instances(listed.collect()));
    }
    let expected = daemon.expected_ms();
    assert_eq!(expected.iter().map(|(server, _)| server.as_str()).collect::<Vec<_>>(), ["s0"]);
}

/// A server that fails at once looks like the fastest one and would get all calls.
#[test]
fn error_is_not_reported_as_an_answer() {
    let mut daemon = Daemon::new(1);
    daemon.run_call(1, |request_id| PlainEvent::DoneWithError { request_id });
    assert_eq!(daemon.samples(), []);
    daemon.run_call(60, done);
    let samples = daemon.samples();
    assert_eq!(
        samples.iter().map(|sample| (sample.answers, sample.busy_ms)).collect::<Vec<_>>(),
        [(1, 60.0)]
    );
}

/// A fast server with a queue would be taken for a slow one if its response time counted whole.
#[test]
fn waiting_for_a_slot_does_not_count_as_service_time() {
    let mut daemon = Daemon::new(1);
    let (request_id, _) = daemon.call();
    daemon.now_us += 180_000;
    daemon.state("s0", 17);
    daemon.handle(done(request_id));
    let sample = &daemon.samples()[0];
    assert_eq!((sample.answers, sample.busy_ms, sample.in_flight, sample.slots), (1, 60.0, 17, SLOTS));
}

/// Without the setting nothing is reported, and reports of others are ignored.
#[test]
fn nothing_is_known_without_the_setting() {
    let mut daemon = Daemon::with_uneven_servers();
    daemon.scheduler.use_server_loads(false);
    daemon.receive(&[sample(0, 100, 50.0, 3), sample(1, 100, 100.0, 3)]);
    daemon.pass(300);
    daemon.run_call(60, done);
    assert_eq!((daemon.expected_ms(), daemon.samples()), (Vec::new(), Vec::new()));
}

/// A message has room for some servers only. If always the same ones were reported, nobody would know the others.
#[test]
fn servers_beyond_the_limit_are_reported_next() {
    let mut daemon = Daemon::new(40);
    (0..40).for_each(|number| daemon.state(&format!("s{number}"), 1));
    let (first, second) = (daemon.samples(), daemon.samples());
    assert_eq!((first.len(), second.len()), (32, 8));
    assert!(second.iter().all(|sample| !first.contains(sample)));
    assert_eq!(daemon.samples(), []);
}

/// The fast server gets most calls, but not all: the calls of all daemons would meet there.
#[test]
fn calls_are_spread_by_what_servers_can_take() {
    let mut daemon = Daemon::with_uneven_servers();
    let calls = 400;
    let mut fast = 0;
    for _ in 0..calls {
        fast += usize::from(daemon.run_call(0, |request_id| PlainEvent::CallerLeft { request_id }) == "s0");
    }
    assert!((calls / 2..calls * 19 / 20).contains(&fast), "{fast} of {calls} calls at the fast server");
}

/// Callers of a full service must be told at once, instead of by one server after the other.
#[test]
fn call_is_refused_at_once_while_all_queues_are_known_to_be_full() {
    let mut daemon = Daemon::with_uneven_servers();
    for (server, held) in [("s0", 30), ("s1", 30)] {
        // Both have to have refused a call of this daemon for their limits to be known.
        let mut refused = false;
        while !refused {
            let (request_id, actions) = daemon.call();
            refused = actions.iter().any(
                |action| matches!(action, PlainAction::Dispatch { server: to, .. } if to.as_str() == server),
            );
            if refused {
                daemon.state(server, held);
                daemon.handle(PlainEvent::Failed { request_id, cause: FailureCause::NoRoom });
            }
            daemon.handle(PlainEvent::CallerLeft { request_id });
        }
    }
    let (_, actions) = daemon.call();
    let is_refused = |action: &PlainAction| {
        matches!(action, PlainAction::Refuse { reason: PlainRefusal::WouldWaitTooLong, .. })
    };
    assert!(actions.iter().any(is_refused), "{actions:?}");
    // As soon as one of them states room, calls go there.
    daemon.state("s1", 10);
    assert_eq!(daemon.run_call(60, done), "s1");
}

/// The choice must not change back and forth around the threshold, and operators are told of each change once.
#[test]
fn use_of_loads_ends_some_time_after_the_servers_are_even() {
    let mut daemon = Daemon::with_uneven_servers();
    let change = daemon.scheduler.take_server_load_change().expect("begins");
    assert_eq!((change.is_in_use, change.servers), (true, 2));
    assert!(change.fastest_ms < change.slowest_ms, "{change:?}");
    assert_eq!(daemon.scheduler.take_server_load_change(), None);
    let mut ended_ms = None;
    for at_ms in (0..40_000).step_by(500) {
        daemon.receive(&[sample(0, 20, 60.0, 3), sample(1, 20, 60.0, 3)]);
        daemon.pass(500);
        if let Some(change) = daemon.scheduler.take_server_load_change() {
            assert!(!change.is_in_use && ended_ms.is_none());
            ended_ms = Some(at_ms);
        }
    }
    assert!(ended_ms.is_some_and(|ended_ms| ended_ms >= 10_000), "{ended_ms:?}");
}
