//! How news reaches all daemons of a fleet, and what that costs each of them.

use std::collections::{HashMap, VecDeque};

use hibiscusvale_core::ids::{DataCentreId, HostId};
use hibiscusvale_core::relay::recipients::{Audience, Reach};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Longest time between two messages of a daemon.
const REPEAT_MS: u64 = 700;

/// Time for a message, and for the question and answer that follow it.
const LATENCY_MS: u64 = 3;
const FETCH_MS: u64 = 20;

/// Answers that a daemon gives in a second to those that ask for what it knows.
const ANSWERS_PER_S: usize = 32;

#[derive(Clone, Debug)]
struct Daemon {
    data_centre: usize,
    audience: Vec<usize>,
    links: Vec<Vec<usize>>,
    version: u64,
    tells_at_ms: u64,
    /// Whom it heard of lately, and when.
    heard_ms: Vec<Option<u64>>,
    called_ms: Vec<Option<u64>>,
    answers: (u64, usize),
    down_until_ms: u64,
    received: usize,
}

#[derive(Clone, Copy, Debug)]
enum Letter {
    Message { version: u64 },
    Fetched { version: u64 },
}

struct Fleet {
    daemons: Vec<Daemon>,
    letters: VecDeque<Vec<(usize, usize, Letter)>>,
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
            let audience = Audience::of(own, at, others);
            let number_of = |host: &HostId| numbers[host];
            Daemon {
                data_centre: number % data_centres,
                audience: audience.members.iter().map(number_of).collect(),
                links: audience.links.values().map(|hosts| hosts.iter().map(number_of).collect()).collect(),
                version: 1,
                tells_at_ms: rng.random_range(0..REPEAT_MS),
                heard_ms: vec![None; daemons],
                called_ms: vec![None; daemons],
                answers: (0, 0),
                down_until_ms: 0,
                received: 0,
            }
        };
        let daemons = (0..daemons).map(daemon).collect();
        Self { daemons, letters: VecDeque::new(), rng, loss, data_centres, cut: None, now_ms: 0 }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let place = |number: usize| self.daemons[number].data_centre;
        self.cut.is_some_and(|(cut, until_ms)| {
            self.now_ms < until_ms && place(from) != place(to) && (place(from) == cut || place(to) == cut)
        })
    }

    fn post(&mut self, from: usize, to: usize, delay_ms: u64, letter: Letter) {
        if self.is_cut(from, to) || self.rng.random_bool(self.loss) {
            return;
        }
        while self.letters.len() <= delay_ms as usize {
            self.letters.push_back(Vec::new());
        }
        self.letters[delay_ms as usize].push((from, to, letter));
    }

    /// Whom a daemon sends its message to, as `Peers::targets` of the relay chooses.
    fn targets(&mut self, from: usize) -> Vec<usize> {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[from];
        let is_heard =
            |daemon: &Daemon, to: &usize| daemon.heard_ms[*to].is_some_and(|at| now_ms < at + 2_500);
        let is_due = |daemon: &Daemon, to: &usize| {
            is_heard(daemon, to) || daemon.called_ms[*to].is_none_or(|at| now_ms >= at + 3_000)
        };
        let mut targets: Vec<usize> =
            daemon.audience.iter().filter(|to| is_due(daemon, to)).copied().collect();
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
            daemon.called_ms[to] = Some(now_ms);
        }
        targets
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        for (from, to, letter) in self.letters.pop_front().unwrap_or_default() {
            if now_ms < self.daemons[to].down_until_ms {
                continue;
            }
            match letter {
                Letter::Message { version } => {
                    let daemon = &mut self.daemons[to];
                    daemon.received += 1;
                    daemon.heard_ms[from] = Some(now_ms);
                    if version > daemon.version {
                        self.fetch(from, to);
                    }
                }
                Letter::Fetched { version } => {
                    let daemon = &mut self.daemons[to];
                    daemon.version = daemon.version.max(version);
                }
            }
        }
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            if now_ms < daemon.tells_at_ms || now_ms < daemon.down_until_ms {
                continue;
            }
            daemon.tells_at_ms = now_ms + REPEAT_MS;
            let version = daemon.version;
            for to in self.targets(number) {
                self.post(number, to, LATENCY_MS, Letter::Message { version });
            }
        }
        self.now_ms += 1;
    }

    /// A daemon asks the one that told it of something newer; one that has answered many already refuses.
    fn fetch(&mut self, teller: usize, asker: usize) {
        let second = self.now_ms / 1_000;
        let daemon = &mut self.daemons[teller];
        if daemon.answers.0 != second {
            daemon.answers = (second, 0);
        }
        if daemon.answers.1 < ANSWERS_PER_S {
            daemon.answers.1 += 1;
            let version = daemon.version;
            self.post(teller, asker, FETCH_MS, Letter::Fetched { version });
        }
    }

    fn play(&mut self, for_ms: u64) {
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
            assert!(self.now_ms < begun_ms + 30_000, "not everywhere after 30 s");
        }
        self.now_ms - begun_ms
    }

    /// Messages a second that the busiest daemon got since the last look.
    fn received_per_s(&mut self, over_ms: u64) -> u64 {
        let most = self.daemons.iter_mut().map(|daemon| std::mem::take(&mut daemon.received)).max();
        most.unwrap_or_default() as u64 * 1_000 / over_ms
    }
}

/// Routes have five seconds to be in force everywhere.
const IN_FORCE_MS: u64 = 5_000;

/// With 986 daemons each got 1,400 messages a second, and twice as many with 2,000: slow hosts spent their share on them, and
/// routes were known too late.
#[rstest]
#[case(986, 6, 320)]
#[case(2_000, 6, 640)]
fn messages_go_by_the_size_of_a_data_centre(
    #[case] daemons: usize,
    #[case] data_centres: usize,
    #[case] per_s: u64,
) {
    let mut fleet = Fleet::new(daemons, data_centres, 0.01, 1);
    fleet.play(2_000);
    fleet.received_per_s(2_000);
    fleet.play(2_000);
    let received = fleet.received_per_s(2_000);
    assert!(received <= per_s, "{received} messages a second at one daemon");
}

/// One daemon alone reaches the store, a tenth of all messages is lost, and the news has to reach everybody in time.
#[rstest]
#[case(9, 3)]
#[case(300, 4)]
#[case(986, 6)]
#[case(2_000, 6)]
fn what_one_daemon_knows_reaches_all_in_time(#[case] daemons: usize, #[case] data_centres: usize) {
    let mut fleet = Fleet::new(daemons, data_centres, 0.1, 2);
    fleet.play(2_000);
    fleet.daemons[0].version = 2;
    let took_ms = fleet.time_to_all(2);
    assert!(took_ms <= IN_FORCE_MS, "{took_ms} ms");
}

/// A data centre was cut off while news came. Its daemons took all others for gone, and nobody but links can tell them.
#[test]
fn a_data_centre_that_was_cut_off_catches_up() {
    let mut fleet = Fleet::new(986, 6, 0.01, 3);
    fleet.play(2_000);
    fleet.cut = Some((0, fleet.now_ms + 6_000));
    fleet.daemons[1].version = 2;
    fleet.play(6_000);
    assert!(fleet.daemons.iter().all(|daemon| (daemon.data_centre == 0) == (daemon.version == 1)));
    let took_ms = fleet.time_to_all(2);
    assert!(took_ms <= IN_FORCE_MS, "{took_ms} ms after the cut");
}

/// Half of all daemons are killed at once, links among them.
#[test]
fn news_gets_round_when_half_of_the_daemons_are_gone() {
    let mut fleet = Fleet::new(986, 6, 0.01, 4);
    fleet.play(2_000);
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

/// An installation with few daemons: each sends to all others, whatever data centre they are in.
#[test]
fn few_daemons_send_to_everyone() {
    let places: Vec<_> = (1..195).map(|number| (host(number), data_centre(number % 4))).collect();
    let others = places.iter().map(|(host, at)| (host, at));
    let audience = Audience::of(&host(0), &data_centre(0), others);
    assert_eq!((audience.reach, audience.members.len()), (Reach::Everyone, 194));
    assert!(audience.links.is_empty());
}
