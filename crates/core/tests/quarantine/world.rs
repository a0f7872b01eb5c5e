//! Daemons that send requests to servers, some of which crash the servers, with what the network and the hosts do.

use hibiscusvale_core::ids::{BackendServerId, Incarnation};
use hibiscusvale_core::quarantine::{
    CallerIdentity, Fingerprint, Gossip, Quarantine, QuarantineSettings, ReportPage, RequestIdentity,
};
use hibiscusvale_core::units::{Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time within which daemons in touch have to know.
pub const CONTACT_MS: u64 = 3_000;

/// Pause between two messages of a daemon without news.
const REPEAT_MS: u64 = 700;

/// Pause between two messages for each daemon that gets them.
const PAUSE_PER_DAEMON_US: u64 = 250;

/// A crashing request is at its server for so long before.
const BEGINS_MS: u64 = 60;

/// How long others are at their servers.
const RUNS_MS: std::ops::Range<u64> = 200..6_000;

/// A run that is so old has shown that it does no harm.
const SURVIVED_MS: u64 = 1_000;

/// How long a crashed server is away.
const DOWN_MS: u64 = 2_500;

/// Servers that one request may be sent to in turn.
const ATTEMPTS: u32 = 2;

/// What happens to servers, messages and daemons.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Messages that are lost, in a hundred.
    pub lost: u32,
    /// From when until when every third daemon is cut off from the others.
    pub cut_ms: Option<(u64, u64)>,
    /// When every second daemon starts again.
    pub restart_ms: Option<u64>,
    /// Pause between two servers that are killed for another reason.
    pub kill_each_ms: Option<u64>,
    /// Different requests that crash servers.
    pub crashing: usize,
    /// Pause between two times that one of them comes.
    pub comes_each_ms: u64,
    /// From when on they come.
    pub from_ms: u64,
}

/// One request that crashes servers, and nothing else.
pub const CALM: Trouble = Trouble {
    lost: 0,
    cut_ms: None,
    restart_ms: None,
    kill_each_ms: None,
    crashing: 1,
    comes_each_ms: 400,
    from_ms: 1_000,
};

struct Daemon {
    quarantine: Quarantine,
    born_ms: u64,
    tells_at_ms: u64,
    cut_until_ms: u64,
}

impl Daemon {
    fn clock(&self, at_ms: u64) -> MonoTime {
        MonoTime::default() + Millis(at_ms - self.born_ms)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Crashing(usize),
    Innocent(u64),
    /// One that many callers send.
    Popular,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    kind: Kind,
    daemon: usize,
    server: usize,
    begun_ms: u64,
    ends_ms: u64,
    attempts: u32,
    told: bool,
}

/// What one of the crashing requests did.
#[derive(Clone, Debug, Default)]
pub struct Harm {
    /// When servers crashed under it.
    pub crashed_ms: Vec<u64>,
    /// When daemons in touch sent it to a server.
    pub sent_ms: Vec<u64>,
}

impl Harm {
    /// How often it was sent later than daemons have to know that it crashed three.
    pub fn sent_late(&self) -> usize {
        let Some(third_ms) = self.crashed_ms.get(2) else {
            return 0;
        };
        self.sent_ms.iter().filter(|at_ms| **at_ms > third_ms + CONTACT_MS).count()
    }
}

enum Datagram {
    Gossip(Gossip),
    Ask(Option<Fingerprint>),
    Page(ReportPage),
}

pub struct World {
    trouble: Trouble,
    rng: StdRng,
    daemons: Vec<Daemon>,
    /// Until when each server is away.
    away_ms: Vec<u64>,
    runs: Vec<Run>,
    letters: Vec<(u64, usize, usize, Datagram)>,
    lives: u64,
    innocents: u64,
    pub harms: Vec<Harm>,
    pub innocent_sent: usize,
    pub innocent_refused: usize,
    /// Bytes of all messages between daemons that this machine adds.
    pub bytes: usize,
}

fn fingerprint(kind: Kind) -> Fingerprint {
    let path = match kind {
        Kind::Crashing(number) => format!("/crash/{number}"),
        Kind::Innocent(number) => format!("/other/{number}"),
        Kind::Popular => "/popular".to_owned(),
    };
    Fingerprint::of(&RequestIdentity {
        caller: CallerIdentity::Anonymous,
        method: "POST",
        host: "h",
        path: &path,
        body: b"",
    })
}

fn server_id(number: usize) -> BackendServerId {
    format!("i-{number}").parse().unwrap()
}

impl World {
    pub fn new(daemons: usize, servers: usize, trouble: Trouble, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let daemon = |number: usize| Daemon {
            quarantine: Quarantine::new(
                QuarantineSettings::default(),
                Incarnation::new(number as u64 + 1, rng.random::<u32>().into()),
            ),
            born_ms: 0,
            tells_at_ms: rng.random_range(0..REPEAT_MS),
            cut_until_ms: 0,
        };
        let daemons: Vec<Daemon> = (0..daemons).map(daemon).collect();
        Self {
            lives: daemons.len() as u64 + 1,
            daemons,
            trouble,
            rng,
            away_ms: vec![0; servers],
            runs: Vec::new(),
            letters: Vec::new(),
            innocents: 0,
            harms: vec![Harm::default(); trouble.crashing],
            innocent_sent: 0,
            innocent_refused: 0,
            bytes: 0,
        }
    }

    pub fn play(&mut self, end_ms: u64) {
        for at_ms in 0..end_ms {
            self.trouble_at(at_ms);
            self.deliver(at_ms);
            self.tell(at_ms);
            self.arrive(at_ms);
            self.run(at_ms);
        }
    }

    fn trouble_at(&mut self, at_ms: u64) {
        if self.trouble.restart_ms == Some(at_ms) {
            for number in (0..self.daemons.len()).step_by(2) {
                self.lives += 1;
                let incarnation = Incarnation::new(self.lives, self.rng.random::<u32>().into());
                let quarantine = Quarantine::new(QuarantineSettings::default(), incarnation);
                let daemon = &mut self.daemons[number];
                *daemon = Daemon { quarantine, born_ms: at_ms, tells_at_ms: at_ms, cut_until_ms: at_ms };
                self.runs.retain(|run| run.daemon != number);
            }
        }
        if let Some((from_ms, until_ms)) = self.trouble.cut_ms
            && at_ms == from_ms
        {
            for daemon in self.daemons.iter_mut().step_by(3) {
                daemon.cut_until_ms = until_ms;
            }
        }
        let kills = self.trouble.kill_each_ms.is_some_and(|each_ms| at_ms % each_ms == each_ms - 1);
        if kills {
            let server = self.rng.random_range(0..self.away_ms.len());
            self.crash(at_ms, server);
        }
    }

    fn is_cut(&self, at_ms: u64, number: usize) -> bool {
        at_ms < self.daemons[number].cut_until_ms
    }

    /// Whether nothing disturbed a daemon for the time that the bound states.
    fn is_in_touch(&self, at_ms: u64, number: usize) -> bool {
        let daemon = &self.daemons[number];
        let disturbed_ms = daemon.cut_until_ms.max(daemon.born_ms);
        disturbed_ms == 0 || at_ms >= disturbed_ms + CONTACT_MS
    }

    fn send(&mut self, at_ms: u64, from: usize, to: usize, datagram: Datagram) {
        let is_parted = self.is_cut(at_ms, from) != self.is_cut(at_ms, to);
        if is_parted || self.rng.random_ratio(self.trouble.lost, 100) {
            return;
        }
        let late_ms = self.rng.random_range(1..6);
        self.letters.push((at_ms + late_ms, from, to, datagram));
    }

    fn deliver(&mut self, at_ms: u64) {
        let (due, later) =
            std::mem::take(&mut self.letters).into_iter().partition(|(when, ..)| *when <= at_ms);
        self.letters = later;
        let due: Vec<(u64, usize, usize, Datagram)> = due;
        for (_, from, to, datagram) in due {
            let now_us = self.daemons[to].clock(at_ms);
            let quarantine = &mut self.daemons[to].quarantine;
            let received = match datagram {
                Datagram::Gossip(gossip) => quarantine.receive(now_us, gossip),
                Datagram::Page(page) => quarantine.receive_page(now_us, page),
                Datagram::Ask(after) => {
                    let page = quarantine.page(now_us, after);
                    self.bytes += postcard::to_stdvec(&page).unwrap().len();
                    self.send(at_ms, to, from, Datagram::Page(page));
                    continue;
                }
            };
            if let Some(after) = received.ask {
                self.send(at_ms, to, from, Datagram::Ask(after));
            }
        }
    }

    fn tell(&mut self, at_ms: u64) {
        for number in 0..self.daemons.len() {
            if at_ms < self.daemons[number].tells_at_ms {
                continue;
            }
            let now_us = self.daemons[number].clock(at_ms);
            self.daemons[number].tells_at_ms = at_ms + REPEAT_MS;
            self.daemons[number].quarantine.expire(now_us);
            let gossip = self.daemons[number].quarantine.gossip(now_us);
            let size = postcard::to_stdvec(&gossip).unwrap().len();
            for to in (0..self.daemons.len()).filter(|to| *to != number) {
                self.bytes += size;
                self.send(at_ms, number, to, Datagram::Gossip(gossip.clone()));
            }
        }
    }

    /// Has a daemon send what it has just seen, no sooner than its pause allows.
    fn touch(&mut self, at_ms: u64, number: usize) {
        let pause_ms = 3 + self.daemons.len() as u64 * PAUSE_PER_DAEMON_US / 1_000;
        let daemon = &mut self.daemons[number];
        daemon.tells_at_ms = daemon.tells_at_ms.min(at_ms + pause_ms);
    }

    fn arrive(&mut self, at_ms: u64) {
        if at_ms >= self.trouble.from_ms {
            for number in 0..self.trouble.crashing {
                if (at_ms + 37 * number as u64).is_multiple_of(self.trouble.comes_each_ms) {
                    self.begin(at_ms, Kind::Crashing(number));
                }
            }
        }
        // Two innocent requests a second for each server, and a popular one.
        let rate = self.away_ms.len() as f64 * 2.0 / 1_000.0;
        if self.rng.random_bool(rate.min(1.0)) {
            self.innocents += 1;
            self.begin(at_ms, Kind::Innocent(self.innocents));
        }
        if at_ms.is_multiple_of(100) {
            self.begin(at_ms, Kind::Popular);
        }
    }

    fn begin(&mut self, at_ms: u64, kind: Kind) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        self.place(at_ms, kind, daemon, 1);
    }

    fn place(&mut self, at_ms: u64, kind: Kind, daemon: usize, attempts: u32) {
        let is_refused = self.daemons[daemon].quarantine.is_quarantined(fingerprint(kind));
        if !matches!(kind, Kind::Crashing(_)) {
            self.innocent_sent += 1;
            self.innocent_refused += usize::from(is_refused);
        }
        let up: Vec<usize> =
            (0..self.away_ms.len()).filter(|server| self.away_ms[*server] <= at_ms).collect();
        if is_refused || up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        let lasts_ms = match kind {
            Kind::Crashing(_) => BEGINS_MS,
            Kind::Innocent(_) => self.rng.random_range(RUNS_MS),
            Kind::Popular => 80,
        };
        if let Kind::Crashing(number) = kind
            && self.is_in_touch(at_ms, daemon)
        {
            self.harms[number].sent_ms.push(at_ms);
        }
        self.runs.push(Run {
            kind,
            daemon,
            server,
            begun_ms: at_ms,
            ends_ms: at_ms + lasts_ms,
            attempts,
            told: false,
        });
    }

    fn run(&mut self, at_ms: u64) {
        let ended: Vec<Run> = self.runs.iter().filter(|run| run.ends_ms == at_ms).copied().collect();
        for run in &ended {
            if let Kind::Crashing(number) = run.kind
                && self.away_ms[run.server] <= at_ms
            {
                self.harms[number].crashed_ms.push(at_ms);
                self.crash(at_ms, run.server);
            }
        }
        self.runs.retain(|run| run.ends_ms != at_ms || matches!(run.kind, Kind::Crashing(_)));
        for run in ended.iter().filter(|run| !matches!(run.kind, Kind::Crashing(_))) {
            if self.away_ms[run.server] <= at_ms {
                self.survived(at_ms, run);
            }
        }
        let old: Vec<usize> = (0..self.runs.len())
            .filter(|at| !self.runs[*at].told && at_ms - self.runs[*at].begun_ms >= SURVIVED_MS)
            .collect();
        for at in old {
            self.runs[at].told = true;
            let run = self.runs[at];
            self.survived(at_ms, &run);
        }
    }

    fn survived(&mut self, at_ms: u64, run: &Run) {
        let now_us = self.daemons[run.daemon].clock(at_ms);
        self.daemons[run.daemon].quarantine.survived(now_us, fingerprint(run.kind));
        self.touch(at_ms, run.daemon);
    }

    /// A server ends, and all that ran there breaks.
    fn crash(&mut self, at_ms: u64, server: usize) {
        self.away_ms[server] = at_ms + DOWN_MS;
        let (broken, left): (Vec<Run>, Vec<Run>) = self.runs.drain(..).partition(|run| run.server == server);
        self.runs = left;
        for run in broken {
            let in_flight_ms = at_ms - run.begun_ms;
            if in_flight_ms < SURVIVED_MS {
                let now_us = self.daemons[run.daemon].clock(at_ms);
                self.daemons[run.daemon].quarantine.crashed(
                    now_us,
                    fingerprint(run.kind),
                    server_id(server),
                    Millis(in_flight_ms),
                );
                self.touch(at_ms, run.daemon);
            }
            if run.attempts < ATTEMPTS {
                self.place(at_ms, run.kind, run.daemon, run.attempts + 1);
            }
        }
    }
}
