//! Simulates daemons as state machines on a virtual clock, connected by messages that can be lost, delayed or
//! blocked.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use hibiscusvale_core::ids::{HostId, Incarnation, Offset};
use hibiscusvale_core::membership::{
    Contact, MemberRecord, MembersView, Membership, MembershipAction, MembershipEvent, MembershipMessage,
    MembershipSettings,
};
use hibiscusvale_core::spread::{
    ConfigRecord, RecordData, Spread, SpreadAction, SpreadEvent, SpreadMessage, SpreadSettings, StateHash,
};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Bytes of message overhead on the wire, without the sender's name: transport header, version, receiver
/// flag, name length, incarnation, sequence, two tags, authentication code.
const ENVELOPE_BYTES: u64 = 8 + 2 + 1 + 10 + 3 + 2 + 16;
/// Interval between reads of the log by a reader.
const LOG_POLL_US: u64 = 100_000;
const FIRST_UNIX_MS: u64 = 1_700_000_000_000;

#[derive(Clone, Debug)]
enum Body {
    Membership(MembershipMessage),
    Spread(SpreadMessage),
}

#[derive(Debug)]
enum SimulatedEvent {
    Tick { process: Incarnation },
    Poll { process: Incarnation },
    Message { from: HostId, incarnation: Incarnation, body: Body },
}

#[derive(Debug)]
struct Scheduled {
    at_us: u64,
    order: u64,
    daemon: usize,
    event: SimulatedEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.order) == (other.at_us, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.order).cmp(&(other.at_us, other.order))
    }
}

/// A simulated daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Membership state machine.
    pub membership: Membership,
    /// Dissemination state machine.
    pub spread: Spread,
    /// Whether the process runs.
    pub is_up: bool,
    /// The daemon processes no event before this time.
    pub paused_until_us: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Whether the daemon can reach the platform's log.
    pub reaches_log: bool,
    /// The configuration in force: the first offset that is not applied, and the hash of the state.
    pub in_force: (Offset, StateHash),
    /// Times at which each offset came into force.
    pub in_force_at_us: Vec<(Offset, u64)>,
    reads_log: bool,
}

/// Decides whether a message from one daemon to another is delivered.
pub type LinkFilter = Box<dyn Fn(&MemberRecord, &MemberRecord) -> bool>;

/// Daemons on a virtual clock.
pub struct Network {
    /// Current time.
    pub now_us: u64,
    /// All daemons, by number.
    pub daemons: Vec<Daemon>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Minimum and maximum message delay.
    pub delay_us: (u64, u64),
    /// Decides which messages are delivered.
    pub link_filter: LinkFilter,
    /// The configuration stream of the platform's log.
    pub log: Vec<Arc<[u8]>>,
    /// Size of an encoded state in bytes.
    pub state_bytes: usize,
    /// Settings of membership.
    pub membership: MembershipSettings,
    /// Settings of dissemination.
    pub spread: SpreadSettings,
    /// Number of messages delivered.
    pub arrived: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    rng: StdRng,
}

/// Name of host `index` in data centre `data_centre`.
pub fn host(data_centre: usize, index: usize) -> HostId {
    format!("dc{data_centre:02}-entry-{index:02}").parse().unwrap()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(10_000 + index).unwrap()))
}

impl Network {
    /// Creates `data_centres` data centres with `hosts` daemons each, none started. Every daemon gets the
    /// same two seeds.
    pub fn new(data_centres: usize, hosts: usize, seed: u64) -> Self {
        let (membership, spread) = (MembershipSettings::default(), SpreadSettings::default());
        Self::with(data_centres, hosts, seed, membership, spread)
    }

    /// Like [`Network::new`], with other settings.
    pub fn with(
        data_centres: usize,
        hosts: usize,
        seed: u64,
        membership: MembershipSettings,
        spread: SpreadSettings,
    ) -> Self {
        let mut net = Self {
            now_us: 0,
            daemons: Vec::new(),
            loss: 0.0,
            delay_us: (500, 5_000),
            link_filter: Box::new(|_, _| true),
            log: Vec::new(),
            state_bytes: 60_000,
            membership,
            spread,
            arrived: 0,
            queue: BinaryHeap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for data_centre in 0..data_centres {
            for index in 0..hosts {
                let number = data_centre * hosts + index;
                let record = MemberRecord {
                    host: host(data_centre, index),
                    incarnation: Incarnation::new(FIRST_UNIX_MS, 1),
                    peer_address: address(number),
                    data_centre: format!("dc{data_centre:02}").parse().unwrap(),
                    region: format!("region-{}", data_centre / 3).parse().unwrap(),
                    leaving: false,
                };
                let daemon = net.make_daemon(record, number);
                net.daemons.push(daemon);
            }
        }
        net
    }

    fn make_daemon(&self, record: MemberRecord, number: usize) -> Daemon {
        let listed: Vec<Contact> = self.contacts();
        let seeds: Vec<Contact> = [0, 1]
            .into_iter()
            .map(|seed| Contact { host: None, peer_address: address(seed), data_centre: None })
            .collect();
        let random = number as u64 ^ record.incarnation.seed();
        let mut membership = Membership::new(self.membership, record.clone(), seeds, random);
        membership.handle(MonoTime(self.now_us), MembershipEvent::Listed(listed), &mut Vec::new());
        Daemon {
            membership,
            spread: Spread::new(self.spread, record.host.clone(), record.data_centre, random),
            is_up: false,
            paused_until_us: 0,
            sent_bytes: 0,
            sent_messages: 0,
            reaches_log: true,
            in_force: (Offset::default(), StateHash::default()),
            in_force_at_us: Vec::new(),
            reads_log: false,
        }
    }

    /// The platform's list of entry hosts.
    fn contacts(&self) -> Vec<Contact> {
        self.daemons
            .iter()
            .map(|daemon| {
                let own = daemon.membership.own();
                Contact {
                    host: Some(own.host.clone()),
                    peer_address: own.peer_address,
                    data_centre: Some(own.data_centre.clone()),
                }
            })
            .collect()
    }

    /// Starts all daemons within one second, each with the platform's host list.
    pub fn start_all(&mut self) {
        let listed = self.contacts();
        for number in 0..self.daemons.len() {
            let event = MembershipEvent::Listed(listed.clone());
            let now_us = MonoTime(self.now_us);
            self.daemons[number].membership.handle(now_us, event, &mut Vec::new());
            self.start(number);
        }
    }

    /// Starts one daemon.
    pub fn start(&mut self, number: usize) {
        self.daemons[number].is_up = true;
        let process = self.daemons[number].membership.own().incarnation;
        let offset_us = self.rng.random_range(0..1_000_000);
        self.schedule(self.now_us + offset_us, number, SimulatedEvent::Tick { process });
        self.schedule(self.now_us + offset_us, number, SimulatedEvent::Poll { process });
    }

    /// Kills one daemon without notice to the others.
    pub fn kill(&mut self, number: usize) {
        self.daemons[number].is_up = false;
    }

    /// Replaces a host by a new incarnation under the same name and address.
    pub fn replace(&mut self, number: usize) {
        let old = self.daemons[number].membership.own().clone();
        let record = MemberRecord {
            incarnation: Incarnation::new(FIRST_UNIX_MS + 1 + self.now_us / 1_000, 1),
            leaving: false,
            ..old
        };
        let sent_bytes = self.daemons[number].sent_bytes;
        self.daemons[number] = Daemon { sent_bytes, ..self.make_daemon(record, number) };
        self.start(number);
    }

    /// Suspends one daemon; messages that arrive meanwhile are queued.
    pub fn pause(&mut self, number: usize, span_ms: Millis) {
        self.daemons[number].paused_until_us = self.now_us + Micros::from(span_ms).0;
    }

    /// Appends a record of random bytes to the log.
    pub fn append(&mut self, bytes: usize) -> Offset {
        let mut data = vec![0; bytes];
        self.rng.fill(data.as_mut_slice());
        self.log.push(data.into());
        Offset(self.log.len() as u64 - 1)
    }

    fn schedule(&mut self, at_us: u64, daemon: usize, event: SimulatedEvent) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Scheduled { at_us, order, daemon, event }));
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, span_ms: Millis) {
        let end_us = self.now_us + Micros::from(span_ms).0;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_us > end_us {
                break;
            }
            let Some(Reverse(scheduled)) = self.queue.pop() else {
                break;
            };
            self.now_us = self.now_us.max(scheduled.at_us);
            self.dispatch(scheduled);
        }
        self.now_us = end_us;
    }

    /// Runs in steps of 100 ms until `is_done`, for at most `limit_ms`. Returns the time taken, or `None` if
    /// the limit passed.
    pub fn run_until<Done>(&mut self, limit_ms: Millis, is_done: Done) -> Option<Millis>
    where
        Done: Fn(&Self) -> bool,
    {
        let start_us = self.now_us;
        while self.now_us - start_us <= Micros::from(limit_ms).0 {
            if is_done(self) {
                return Some(Millis((self.now_us - start_us) / 1_000));
            }
            self.run(Millis(100));
        }
        None
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        let Scheduled { daemon: number, event, .. } = scheduled;
        let daemon = &self.daemons[number];
        if !daemon.is_up {
            return;
        }
        if daemon.paused_until_us > self.now_us {
            let at_us = daemon.paused_until_us;
            self.schedule(at_us, number, event);
            return;
        }
        let process = daemon.membership.own().incarnation;
        match event {
            SimulatedEvent::Tick { process: of } if of == process => {
                self.schedule(
                    self.now_us + Micros::from(self.membership.tick_ms).0,
                    number,
                    SimulatedEvent::Tick { process },
                );
                self.membership_event(number, MembershipEvent::Tick);
                self.spread_event(number, SpreadEvent::Tick);
            }
            SimulatedEvent::Poll { process: of } if of == process => {
                self.schedule(self.now_us + LOG_POLL_US, number, SimulatedEvent::Poll { process });
                self.poll(number);
            }
            SimulatedEvent::Tick { .. } | SimulatedEvent::Poll { .. } => {}
            SimulatedEvent::Message { from, incarnation, body } => {
                self.arrived += 1;
                match body {
                    Body::Membership(message) => {
                        self.membership_event(
                            number,
                            MembershipEvent::Message { from, incarnation, message },
                        );
                    }
                    Body::Spread(message) => {
                        self.spread_event(number, SpreadEvent::Message { from, message });
                    }
                }
            }
        }
    }

    fn poll(&mut self, number: usize) {
        let daemon = &self.daemons[number];
        if !daemon.reads_log || !daemon.reaches_log {
            return;
        }
        let from = usize::try_from(daemon.spread.next_offset().0).unwrap();
        let records: Vec<ConfigRecord> = self
            .log
            .iter()
            .enumerate()
            .skip(from)
            .take(64)
            .map(|(offset, data)| ConfigRecord {
                offset: Offset(offset as u64),
                data: RecordData::Full(Arc::clone(data)),
            })
            .collect();
        if !records.is_empty() {
            self.spread_event(number, SpreadEvent::LogRecords(records));
        }
    }

    /// Passes an event to one daemon's membership.
    pub fn membership_event(&mut self, number: usize, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now_us = MonoTime(self.now_us);
        self.daemons[number].membership.handle(now_us, event, &mut actions);
        for action in actions {
            match action {
                MembershipAction::Send { address, message, .. } => {
                    let to = usize::from(address.port()) - 10_000;
                    self.send(number, to, Body::Membership(message));
                }
                MembershipAction::Publish(_) | MembershipAction::Superseded { .. } => {}
            }
        }
    }

    /// Passes an event to one daemon's dissemination.
    pub fn spread_event(&mut self, number: usize, event: SpreadEvent) {
        let mut actions = Vec::new();
        let now_us = MonoTime(self.now_us);
        let daemon = &mut self.daemons[number];
        daemon.spread.handle(now_us, daemon.membership.view(), event, &mut actions);
        for action in actions {
            match action {
                SpreadAction::Send { to, message } => {
                    let found = self.daemons[number].membership.view().find(&to);
                    if let Some(member) = found {
                        let to = usize::from(member.peer_address.port()) - 10_000;
                        self.send(number, to, Body::Spread(message));
                    }
                }
                SpreadAction::Deliver(records) => self.fold(number, &records),
                SpreadAction::AdoptState { next_offset, data } => {
                    let mut hash = [0; 8];
                    hash.copy_from_slice(&data[..8]);
                    self.set_in_force(number, next_offset, StateHash(hash));
                }
                SpreadAction::ProvideState => {
                    let (next_offset, state) = self.daemons[number].in_force;
                    let mut data = state.0.to_vec();
                    data.resize(self.state_bytes, 0);
                    let data = data.into();
                    self.spread_event(number, SpreadEvent::State { next_offset, data });
                }
                SpreadAction::ReadLog(reads_log) => self.daemons[number].reads_log = reads_log,
                SpreadAction::Publish(_) => {}
            }
        }
    }

    /// Folds records like the configuration service: in order, each once, checkpoints without effect.
    fn fold(&mut self, number: usize, records: &[ConfigRecord]) {
        let (mut next, mut state) = self.daemons[number].in_force;
        for record in records {
            assert_eq!(record.offset, next, "records are delivered without a gap");
            next = record.offset.next();
            if let RecordData::Full(data) = &record.data
                && data.len() <= self.spread.elided_above_bytes
            {
                let mut hasher = blake3::Hasher::new();
                hasher.update(&state.0);
                hasher.update(data);
                state.0.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            }
        }
        self.set_in_force(number, next, state);
    }

    fn set_in_force(&mut self, number: usize, next_offset: Offset, state: StateHash) {
        let now_us = self.now_us;
        let daemon = &mut self.daemons[number];
        assert!(next_offset >= daemon.in_force.0, "configuration never reverts");
        daemon.in_force = (next_offset, state);
        daemon.in_force_at_us.push((next_offset, now_us));
        self.spread_event(number, SpreadEvent::Applied { next_offset, state });
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let own = self.daemons[from].membership.own().clone();
        let bytes = match &body {
            Body::Membership(message) => postcard::to_allocvec(message),
            Body::Spread(message) => postcard::to_allocvec(message),
        };
        let bytes = bytes.unwrap().len() as u64 + ENVELOPE_BYTES + own.host.as_str().len() as u64;
        self.daemons[from].sent_bytes += bytes;
        self.daemons[from].sent_messages += 1;
        let Some(receiver) = self.daemons.get(to) else {
            return;
        };
        if !(self.link_filter)(&own, receiver.membership.own()) || self.rng.random_bool(self.loss) {
            return;
        }
        let delay_us = self.rng.random_range(self.delay_us.0..=self.delay_us.1);
        let event = SimulatedEvent::Message { from: own.host, incarnation: own.incarnation, body };
        self.schedule(self.now_us + delay_us, to, event);
    }

    /// The membership view of one daemon.
    pub fn view(&self, number: usize) -> &MembersView {
        self.daemons[number].membership.view()
    }

    /// Numbers of the running daemons.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.daemons.len()).filter(|number| self.daemons[*number].is_up)
    }

    /// Whether each running daemon's view contains exactly the running daemons, in their current
    /// incarnations.
    pub fn has_converged(&self) -> bool {
        let running: Vec<MemberRecord> =
            self.running().map(|number| self.daemons[number].membership.own().clone()).collect();
        self.running().all(|number| {
            let view = self.view(number);
            view.is_heard
                && view.all().count() == running.len()
                && running.iter().all(|record| view.has_incarnation(&record.host, record.incarnation))
        })
    }

    /// Whether each running daemon has the record at `offset` in force.
    pub fn has_in_force(&self, offset: Offset) -> bool {
        self.running().all(|number| self.daemons[number].in_force.0 > offset)
    }

    /// Sums `count` over all daemons.
    pub fn total<Count>(&self, count: Count) -> u64
    where
        Count: Fn(&Daemon) -> u64,
    {
        self.daemons.iter().map(count).sum()
    }
}
