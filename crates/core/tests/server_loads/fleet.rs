//! Fleet of daemons, each with a `PlainScheduler`, in front of servers that serve in order of arrival.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hibiscusvale_core::ids::{Incarnation, RequestId};
use hibiscusvale_core::sched::{
    FailureCause, PlainAction, PlainArrival, PlainEvent, PlainInstance, PlainScheduler, PlainSettings,
    ServerSample,
};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Mean time of a call at a server of speed 1.
const CALL_MS: f64 = 60.0;
pub const TARGET_US: u64 = 300_000;
const LIMIT_MS: u64 = 4_000;
/// Time from a daemon to a server of its data centre.
const WAY_US: u64 = 200;
/// Additional time to a server of another data centre.
const REMOTE_WAY_US: u64 = 1_400;

/// How a server is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// By complete and instant knowledge of all servers.
    Perfect,
    /// By the daemon's own answers only.
    Own,
    /// By the loads that all daemons report.
    Loads,
}

/// One run. Times are in ms.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub daemons: usize,
    /// Data centre and speed of each server.
    pub servers: Vec<(usize, f64)>,
    /// Part of the callers in each data centre at a time.
    pub callers: fn(u64) -> [f64; 4],
    /// Calls per second as part of the capacity.
    pub load: f64,
    /// A server, how many times longer a call takes there, and from when to when.
    pub slow: Option<(usize, f64, u64, u64)>,
    /// Fraction of messages lost.
    pub lost: f64,
    pub choice: Choice,
    /// Whether servers state their load.
    pub states_load: bool,
    /// Whether calls take different times.
    pub varies: bool,
    pub end_ms: u64,
    pub seed: u64,
}

/// Four data centres with two, two, one and one server, in each of the larger ones a slow one.
pub const SERVERS: [(usize, f64); 6] = [(0, 1.2), (0, 0.55), (1, 1.2), (1, 0.55), (2, 1.2), (3, 1.2)];

impl Default for Scenario {
    fn default() -> Self {
        Self {
            daemons: 73,
            servers: SERVERS.to_vec(),
            callers: |_| [0.25; 4],
            load: 0.9,
            slow: None,
            lost: 0.0,
            choice: Choice::Loads,
            states_load: true,
            varies: true,
            end_ms: 20_000,
            seed: 1,
        }
    }
}

impl Scenario {
    pub fn run(self) -> Outcome {
        Fleet::new(self).run()
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub daemon: usize,
    pub at_us: u64,
    pub answered_after_us: Option<u64>,
    pub refused_after_us: Option<u64>,
    pub server: usize,
    pub attempts: u32,
}

pub struct Outcome {
    pub calls: Vec<Call>,
}

impl Outcome {
    pub fn calls(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &Call> {
        let range = from_ms * 1_000..to_ms * 1_000;
        self.calls.iter().filter(move |call| range.contains(&call.at_us))
    }

    /// Fraction of the calls of some daemons that were answered within the target.
    pub fn in_time(&self, from_ms: u64, to_ms: u64, who: impl Fn(usize) -> bool) -> f64 {
        let calls: Vec<&Call> = self.calls(from_ms, to_ms).filter(|call| who(call.daemon)).collect();
        let is_in_time = |call: &&&Call| call.answered_after_us.is_some_and(|after_us| after_us <= TARGET_US);
        calls.iter().filter(is_in_time).count() as f64 / calls.len().max(1) as f64
    }

    /// Fraction of the answered calls that a server of another data centre answered.
    pub fn remote(&self, from_ms: u64, to_ms: u64) -> f64 {
        let calls: Vec<&Call> = self.calls(from_ms, to_ms).collect();
        let is_remote = |call: &&&Call| SERVERS[call.server].0 != call.daemon % 4;
        calls.iter().filter(is_remote).count() as f64 / calls.len().max(1) as f64
    }
}

#[derive(Clone, Debug)]
enum Event {
    Next,
    Feed(usize, PlainEvent),
    Reach { server: usize, call: usize },
    Finish { server: usize, call: usize },
    Answer { server: usize, call: usize, held: u32 },
    Refused { server: usize, call: usize, held: u32 },
    Send(usize),
    Deliver { from: usize, samples: Vec<ServerSample> },
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<usize>,
}

impl Server {
    fn held(&self) -> u32 {
        (self.running + self.queue.len()) as u32
    }
}

struct Fleet {
    scenario: Scenario,
    schedulers: Vec<PlainScheduler>,
    servers: Vec<Server>,
    /// Calls on the way to each server.
    coming: Vec<usize>,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    now_us: u64,
    outcome: Outcome,
}

fn id(call: usize) -> RequestId {
    RequestId { incarnation: Incarnation(1_u64.into()), sequence: call as u64 }
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let mut fleet = Self {
            schedulers: Vec::new(),
            servers: scenario.servers.iter().map(|_| Server::default()).collect(),
            coming: vec![0; scenario.servers.len()],
            rng: StdRng::seed_from_u64(scenario.seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            now_us: 0,
            outcome: Outcome { calls: Vec::new() },
            scenario,
        };
        for daemon in 0..fleet.scenario.daemons {
            let mut scheduler = PlainScheduler::new(PlainSettings::default(), daemon as u64);
            scheduler.use_server_loads(fleet.scenario.choice == Choice::Loads);
            fleet.schedulers.push(scheduler);
            let servers = fleet.scenario.servers.clone();
            let listed = servers.iter().enumerate().map(|(number, (data_centre, _))| PlainInstance {
                server: format!("s{number}").parse().unwrap(),
                capacity: SLOTS as u32,
                leaving: false,
                is_local: *data_centre == daemon % 4,
                lifetime: None,
            });
            fleet.feed(daemon, PlainEvent::Instances(listed.collect()));
            let at_us = fleet.rng.random_range(0..700_000);
            fleet.schedule(at_us, Event::Send(daemon));
        }
        fleet.schedule(0, Event::Next);
        fleet
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        if at_us < self.scenario.end_ms * 1_000 {
            self.queue.push(Reverse((at_us, self.events.len())));
            self.events.push(Some(event));
        }
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at_us, number))) = self.queue.pop() {
            self.now_us = at_us;
            let event = self.events[number].take().expect("each event is handled once");
            self.handle(event);
        }
        self.outcome
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.random::<f64>()).ln()) as u64 + 1
    }

    /// Mean time of a call at a server now.
    fn call_us(&self, server: usize) -> f64 {
        let at_ms = self.now_us / 1_000;
        let slow =
            self.scenario.slow.filter(|&(slow, _, from, to)| slow == server && (from..to).contains(&at_ms));
        slow.map_or(1.0, |(_, times, ..)| times) * CALL_MS * 1_000.0 / self.scenario.servers[server].1
    }

    fn way_us(&self, daemon: usize, server: usize) -> u64 {
        if self.scenario.servers[server].0 == daemon % 4 { WAY_US } else { WAY_US + REMOTE_WAY_US }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Next => self.next(),
            Event::Feed(daemon, event) => self.feed(daemon, event),
            Event::Reach { server, call } => self.reach(server, call),
            Event::Finish { server, call } => self.finish(server, call),
            Event::Answer { server, call, held } => self.answered(server, call, held),
            Event::Refused { server, call, held } => {
                let daemon = self.outcome.calls[call].daemon;
                self.state(daemon, server, held);
                let event = PlainEvent::Failed { request_id: id(call), cause: FailureCause::NoRoom };
                self.feed(daemon, event);
            }
            Event::Send(daemon) => self.send(daemon),
            Event::Deliver { from, samples } => self.deliver(from, &samples),
        }
    }

    fn next(&mut self) {
        let speeds: f64 = self.scenario.servers.iter().map(|(_, speed)| speed).sum();
        let rate = self.scenario.load * speeds * SLOTS as f64 * 1_000.0 / CALL_MS;
        let next_us = self.now_us + self.exponential(1e6 / rate);
        self.schedule(next_us, Event::Next);
        let parts = (self.scenario.callers)(self.now_us / 1_000);
        let mut draw = self.rng.random::<f64>() * parts.iter().sum::<f64>();
        let data_centre = parts.iter().position(|part| {
            draw -= part;
            draw < 0.0
        });
        let data_centre = data_centre.unwrap_or(3);
        let count = (self.scenario.daemons - data_centre).div_ceil(4);
        let daemon = data_centre + 4 * self.rng.random_range(0..count);
        let call = self.outcome.calls.len();
        self.outcome.calls.push(Call {
            daemon,
            at_us: self.now_us,
            answered_after_us: None,
            refused_after_us: None,
            server: 0,
            attempts: 0,
        });
        if self.scenario.choice == Choice::Perfect {
            let expected = |server: usize| {
                let held = self.servers[server].held() as usize + self.coming[server] + 1;
                let way_us = 2 * self.way_us(daemon, server);
                self.call_us(server) * (held as f64 / SLOTS as f64).max(1.0) + way_us as f64
            };
            let servers = 0..self.servers.len();
            let best = servers.min_by(|&one, &other| expected(one).total_cmp(&expected(other)));
            return self.dispatch(best.expect("a server"), call);
        }
        let arrival = PlainArrival {
            request_id: id(call),
            partner: "callers".parse().unwrap(),
            repeatable: true,
            attempts_max: 3,
            max_wait_ms: Millis(LIMIT_MS / 4),
            target_ms: Some(Millis(TARGET_US / 1_000)),
        };
        self.feed(daemon, PlainEvent::Arrive(arrival));
    }

    fn dispatch(&mut self, server: usize, call: usize) {
        self.outcome.calls[call].server = server;
        self.outcome.calls[call].attempts += 1;
        self.coming[server] += 1;
        let at_us = self.now_us + self.way_us(self.outcome.calls[call].daemon, server);
        self.schedule(at_us, Event::Reach { server, call });
    }

    fn feed(&mut self, daemon: usize, event: PlainEvent) {
        let mut actions = Vec::new();
        self.schedulers[daemon].handle(MonoTime(self.now_us), event, &mut actions);
        for action in actions {
            match action {
                PlainAction::Dispatch { request_id, server, .. } => {
                    self.dispatch(server.as_str()[1..].parse().unwrap(), request_id.sequence as usize);
                }
                PlainAction::Refuse { request_id, .. } => {
                    let call = &mut self.outcome.calls[request_id.sequence as usize];
                    call.refused_after_us = Some(self.now_us - call.at_us);
                }
                PlainAction::Wake { at_us } => {
                    self.schedule(at_us.0.max(self.now_us + 1), Event::Feed(daemon, PlainEvent::Tick));
                }
                PlainAction::Unknown { .. } | PlainAction::Borrow(_) => panic!("{action:?}"),
            }
        }
    }

    fn reach(&mut self, server: usize, call: usize) {
        self.coming[server] -= 1;
        if self.servers[server].running < SLOTS {
            return self.begin(server, call);
        }
        if self.servers[server].queue.len() < QUEUE {
            return self.servers[server].queue.push_back(call);
        }
        let held = self.servers[server].held();
        let at_us = self.now_us + self.way_us(self.outcome.calls[call].daemon, server);
        self.schedule(at_us, Event::Refused { server, call, held });
    }

    fn begin(&mut self, server: usize, call: usize) {
        self.servers[server].running += 1;
        let mean_us = self.call_us(server);
        let takes_us = if self.scenario.varies { self.exponential(mean_us) } else { mean_us as u64 };
        self.schedule(self.now_us + takes_us, Event::Finish { server, call });
    }

    fn finish(&mut self, server: usize, call: usize) {
        self.servers[server].running -= 1;
        if let Some(call) = self.servers[server].queue.pop_front() {
            self.begin(server, call);
        }
        let held = self.servers[server].held();
        let at_us = self.now_us + self.way_us(self.outcome.calls[call].daemon, server);
        self.schedule(at_us, Event::Answer { server, call, held });
    }

    fn answered(&mut self, server: usize, call: usize, held: u32) {
        let daemon = self.outcome.calls[call].daemon;
        self.outcome.calls[call].answered_after_us = Some(self.now_us - self.outcome.calls[call].at_us);
        if self.scenario.choice != Choice::Perfect {
            self.state(daemon, server, held);
            self.feed(daemon, PlainEvent::Done { request_id: id(call) });
        }
    }

    /// Passes the load that a server states to a daemon.
    fn state(&mut self, daemon: usize, server: usize, held: u32) {
        if self.scenario.states_load {
            let (server, capacity) = (format!("s{server}").parse().unwrap(), SLOTS as u32);
            self.schedulers[daemon].server_stated_load(MonoTime(self.now_us), &server, held, capacity);
            let age_us = Micros::ZERO;
            self.feed(daemon, PlainEvent::Load { server, in_flight: held, capacity, age_us });
        }
    }

    fn send(&mut self, daemon: usize) {
        let now_us = MonoTime(self.now_us);
        let samples = self.schedulers[daemon].take_server_samples(now_us);
        if !samples.is_empty() {
            self.schedule(self.now_us + 1_000, Event::Deliver { from: daemon, samples });
        }
        let next_us = self.now_us + self.rng.random_range(100_000..700_000);
        self.schedule(next_us, Event::Send(daemon));
    }

    fn deliver(&mut self, from: usize, samples: &[ServerSample]) {
        for to in 0..self.schedulers.len() {
            let is_lost = self.scenario.lost > 0.0 && self.rng.random_bool(self.scenario.lost);
            if to != from && !is_lost {
                self.schedulers[to].receive_server_samples(MonoTime(self.now_us), samples);
            }
        }
    }
}
