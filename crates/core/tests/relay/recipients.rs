//! How updates reach all daemons of a fleet, and how many messages that costs each of them.

use std::collections::{HashMap, VecDeque};

use hibiscusvale_core::ids::{DataCentreId, HostId};
use hibiscusvale_core::relay::recipients::{self, BroadcastScope, Recipients};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Interval between two messages of a daemon.
const REPEAT_MS: u64 = 700;

/// Transit time of a message, and time to fetch an announced version.
const LATENCY_MS: u64 = 3;
const FETCH_MS: u64 = 20;

/// Answers that a daemon gives per second to those that fetch from it.
const ANSWERS_PER_S: usize = 32;

#[derive(Clone, Debug)]
struct Daemon {
    data_centre: usize,
    recipients: Vec<usize>,
    links: Vec<Vec<usize>>,
    version: u64,
    next_message_ms: u64,
    /// When each other daemon was last heard from.
    heard_ms: Vec<Option<u64>>,
    contacted_ms: Vec<Option<u64>>,
    answers: (u64, usize),
    down_until_ms: u64,
    received: usize,
}

#[derive(Clone, Copy, Debug)]
enum Packet {
    Message { version: u64 },
    Fetched { version: u64 },
}

struct Fleet {
    daemons: Vec<Daemon>,
    packets: VecDeque<Vec<(usize, usize, Packet)>>,
    rng: StdRng,
    loss: f64,
    data_centres: usize,
    /// Data centre that is cut off, and until when.
    cut: Option<(usize, u64)>,
    now_ms: u64,
}

fn host(number: usize) -> HostId {
    format!("entry-{number}").parse().unwrap()
}

fn data_centre(number: usize) -> DataCentreId {
    format!("dc-{number}").parse().unwrap()
}

impl Fleet {
    fn new(daemons: usize, data_centres: usize, loss: f64, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let numbers: HashMap<HostId, usize> = (0..daemons).map(|number| (host(number), number)).collect();
        let places: Vec<(HostId, DataCentreId)> =
            (0..daemons).map(|number| (host(number), data_centre(number % data_centres))).collect();
        let daemon = |number: usize| {
            let (own, at) = &places[number];
            let others = places.iter().filter(|(host, _)| host != own).map(|(host, at)| (host, at));
            let recipients = Recipients::select(own, at, others);
            let number_of = |host: &HostId| numbers[host];
            Daemon {
                data_centre: number % data_centres,
                recipients: recipients.members.iter().map(number_of).collect(),
                links: recipients.links.values().map(|hosts| hosts.iter().map(number_of).collect()).collect(),
                version: 1,
                next_message_ms: rng.random_range(0..REPEAT_MS),
                heard_ms: vec![None; daemons],
                contacted_ms: vec![None; daemons],
                answers: (0, 0),
                down_until_ms: 0,
                received: 0,
            }
        };
        let daemons = (0..daemons).map(daemon).collect();
        Self { daemons, packets: VecDeque::new(), rng, loss, data_centres, cut: None, now_ms: 0 }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let place = |number: usize| self.daemons[number].data_centre;
        self.cut.is_some_and(|(cut, until_ms)| {
            self.now_ms < until_ms && place(from) != place(to) && (place(from) == cut || place(to) == cut)
        })
    }

    fn send(&mut self, from: usize, to: usize, delay_ms: u64, packet: Packet) {
        if self.is_cut(from, to) || self.rng.random_bool(self.loss) {
            return;
        }
        while self.packets.len() <= delay_ms as usize {
            self.packets.push_back(Vec::new());
        }
        self.packets[delay_ms as usize].push((from, to, packet));
    }

    /// Recipients of the next message, chosen as in `Peers::targets` of the relay.
    fn targets(&mut self, from: usize) -> Vec<usize> {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[from];
        let is_heard =
            |daemon: &Daemon, to: &usize| daemon.heard_ms[*to].is_some_and(|at| now_ms < at + 2_500);
        let is_due = |daemon: &Daemon, to: &usize| {
            is_heard(daemon, to) || daemon.contacted_ms[*to].is_none_or(|at| now_ms >= at + 3_000)
        };
        let mut targets: Vec<usize> =
            daemon.recipients.iter().filter(|to| is_due(daemon, to)).copied().collect();
        let at = daemon.data_centre;
        if !daemon.links.is_empty() {
            let is_remote = |to: &usize| to % self.data_centres != at;
            let remote = (0..daemon.heard_ms.len()).filter(|to| is_remote(to) && is_heard(daemon, to));
            targets.extend(remote);
        }
        for links in &daemon.links {
            if !links.iter().any(|to| is_heard(daemon, to)) {
                targets.extend(links.iter().find(|to| is_due(daemon, to)));
            }
        }
        for &to in &targets {
            daemon.contacted_ms[to] = Some(now_ms);
        }
        targets
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        for (from, to, packet) in self.packets.pop_front().unwrap_or_default() {
            if now_ms < self.daemons[to].down_until_ms {
                continue;
            }
            match packet {
                Packet::Message { version } => {
                    let daemon = &mut self.daemons[to];
                    daemon.received += 1;
                    daemon.heard_ms[from] = Some(now_ms);
                    if version > daemon.version {
                        self.fetch(from, to);
                    }
                }
                Packet::Fetched { version } => {
                    let daemon = &mut self.daemons[to];
                    daemon.version = daemon.version.max(version);
                }
            }
        }
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            if now_ms < daemon.next_message_ms || now_ms < daemon.down_until_ms {
                continue;
            }
            daemon.next_message_ms = now_ms + REPEAT_MS;
            let version = daemon.version;
            for to in self.targets(number) {
                self.send(number, to, LATENCY_MS, Packet::Message { version });
            }
        }
        self.now_ms += 1;
    }

    /// Fetches the newer version from the daemon that announced it, which refuses once it has answered too
    /// many.
    fn fetch(&mut self, announcer: usize, requester: usize) {
        let second = self.now_ms / 1_000;
        let daemon = &mut self.daemons[announcer];
        if daemon.answers.0 != second {
            daemon.answers = (second, 0);
        }
        if daemon.answers.1 < ANSWERS_PER_S {
            daemon.answers.1 += 1;
            let version = daemon.version;
            self.send(announcer, requester, FETCH_MS, Packet::Fetched { version });
        }
    }

    fn advance(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.step();
        }
    }

    /// Time until all daemons that are up know `version`.
    fn time_to_all(&mut self, version: u64) -> u64 {
        let begun_ms = self.now_ms;
        while self
            .daemons
            .iter()
            .any(|daemon| self.now_ms >= daemon.down_until_ms && daemon.version < version)
        {
            self.step();
            assert!(self.now_ms < begun_ms + 30_000, "not known to all after 30 s");
        }
        self.now_ms - begun_ms
    }

    /// Messages per second at the busiest daemon since the previous call.
    fn received_per_s(&mut self, over_ms: u64) -> u64 {
        let most = self.daemons.iter_mut().map(|daemon| std::mem::take(&mut daemon.received)).max();
        most.unwrap_or_default() as u64 * 1_000 / over_ms
    }
}

/// Time within which routes have to be in force everywhere.
const IN_FORCE_MS: u64 = 5_000;

/// With 986 daemons each got 1,400 messages a second, and twice as many with 2,000: slow hosts used up their
/// share of the core on them, and routes came into force too late.
#[rstest]
#[case(986, 6, 320)]
#[case(2_000, 6, 640)]
fn message_rate_depends_on_the_size_of_a_data_centre(
    #[case] daemons: usize,
    #[case] data_centres: usize,
    #[case] per_s: u64,
) {
    let mut fleet = Fleet::new(daemons, data_centres, 0.01, 1);
    fleet.advance(2_000);
    fleet.received_per_s(2_000);
    fleet.advance(2_000);
    let received = fleet.received_per_s(2_000);
    assert!(received <= per_s, "{received} messages a second at one daemon");
}

/// Only one daemon reaches the store and a tenth of all messages is lost; the update still has to reach all
/// daemons in time.
#[rstest]
#[case(9, 3)]
#[case(300, 4)]
#[case(986, 6)]
#[case(2_000, 6)]
fn an_update_of_one_daemon_reaches_all_in_time(#[case] daemons: usize, #[case] data_centres: usize) {
    let mut fleet = Fleet::new(daemons, data_centres, 0.1, 2);
    fleet.advance(2_000);
    fleet.daemons[0].version = 2;
    let took_ms = fleet.time_to_all(2);
    assert!(took_ms <= IN_FORCE_MS, "{took_ms} ms");
}

/// A data centre was cut off during an update. Its daemons counted all others as gone, and only links can
/// bring it the update.
#[test]
fn a_data_centre_that_was_cut_off_catches_up() {
    let mut fleet = Fleet::new(986, 6, 0.01, 3);
    fleet.advance(2_000);
    fleet.cut = Some((0, fleet.now_ms + 6_000));
    fleet.daemons[1].version = 2;
    fleet.advance(6_000);
    assert!(fleet.daemons.iter().all(|daemon| (daemon.data_centre == 0) == (daemon.version == 1)));
    let took_ms = fleet.time_to_all(2);
    assert!(took_ms <= IN_FORCE_MS, "{took_ms} ms after the cut");
}

/// Half of all daemons are killed at once, links among them.
#[test]
fn an_update_spreads_when_half_of_the_daemons_are_gone() {
    let mut fleet = Fleet::new(986, 6, 0.01, 4);
    fleet.advance(2_000);
    let until_ms = fleet.now_ms + 60_000;
    for number in 0..986 {
        if fleet.rng.random_bool(0.5) {
            fleet.daemons[number].down_until_ms = until_ms;
        }
    }
    let first = fleet.daemons.iter().position(|daemon| daemon.down_until_ms == 0).unwrap();
    fleet.daemons[first].version = 2;
    let took_ms = fleet.time_to_all(2);
    assert!(took_ms <= IN_FORCE_MS, "{took_ms} ms");
}

/// In an installation with few daemons each sends to all others, in whatever data centre.
#[test]
fn few_daemons_send_to_all_others() {
    let places: Vec<_> = (1..195).map(|number| (host(number), data_centre(number % 4))).collect();
    let others = places.iter().map(|(host, at)| (host, at));
    let recipients = Recipients::select(&host(0), &data_centre(0), others);
    assert_eq!((recipients.scope, recipients.members.len()), (BroadcastScope::AllDaemons, 194));
    assert!(recipients.links.is_empty());
}

/// Several daemons must not all be of one data centre, which one fault may take.
#[test]
fn first_daemons_are_of_different_data_centres() {
    let own: DataCentreId = "z-1".parse().unwrap();
    let daemons = vec![("a", "z-1"), ("b", "z-1"), ("c", "z-2"), ("d", "z-1"), ("e", "z-3"), ("f", "z-2")];
    let spread = recipients::spread(&own, daemons, |(_, data_centre)| data_centre.parse().unwrap());
    let hosts: Vec<&str> = spread.into_iter().map(|(host, _)| host).collect();
    assert_eq!(hosts, ["a", "c", "e", "b", "f", "d"]);
}
