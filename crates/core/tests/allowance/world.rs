//! Daemons that spend, lend and borrow further tries, with what the network and the hosts do to them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hibiscusvale_core::allowance::{ASK_AGAIN_MS, Allowance, AllowanceSettings, Ask, LOAN_WAIT_MS, TRY};
use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::units::{Credit, Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const WINDOW_MS: u64 = 10_000;

/// Pause between two words of a daemon that has no news.
const WORD_MS: u64 = 700;

/// Time after which news are told, among the most daemons.
const NEWS_MS: u64 = 100;

/// Before, no daemon has anything to lend, and its word is of no interest.
const FIRST_WORD_MS: u64 = 10_500;

/// What happens to messages and daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Messages that are lost, in a hundred.
    pub lost: u32,
    /// Messages that come twice, the second time up to seconds late, in a hundred.
    pub doubled: u32,
    /// Messages that come up to seconds late, in a hundred.
    pub late: u32,
    /// From when until when the daemons with even numbers hear nothing of the others.
    pub cut_ms: Option<(u64, u64)>,
    /// When all daemons start again, having forgotten everything.
    pub restart_ms: Option<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Request(usize),
    Try { daemon: usize, until_ms: u64 },
    Tell(usize),
    Told { daemon: usize, from: usize, spare: Credit },
    Question { lender: usize, asker: usize, life: u32, ask: Ask },
    Answer { asker: usize, life: u32, number: u64, credit: Credit, spare: Credit },
    RestartAll,
}

struct Daemon {
    host: HostId,
    allowance: Allowance,
    born_ms: u64,
    life: u32,
    tells_at_ms: u64,
}

impl Daemon {
    fn clock(&self, at_ms: u64) -> MonoTime {
        MonoTime::default() + Millis(at_ms - self.born_ms)
    }
}

pub struct World {
    daemons: Vec<Daemon>,
    settings: AllowanceSettings,
    trouble: Trouble,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
    end_ms: u64,
    /// When further tries were made.
    pub spent_ms: Vec<u64>,
    /// When requests came.
    pub requests_ms: Vec<u64>,
    /// Tries that were wanted and could not be paid for, with what all daemons had unused at that moment.
    pub denied: Vec<(u64, Credit)>,
}

impl World {
    pub fn new(daemons: usize, slack: f64, trouble: Trouble, seed: u64, end_ms: u64) -> Self {
        let part = Credit((slack * TRY.0 as f64 / daemons as f64) as u64);
        let settings = AllowanceSettings { earned: Credit(200), part, window_ms: Millis(WINDOW_MS) };
        let daemon = |number: usize| Daemon {
            host: host(number),
            allowance: Allowance::new(settings, number as u64),
            born_ms: 0,
            life: 0,
            tells_at_ms: 0,
        };
        let mut world = Self {
            daemons: (0..daemons).map(daemon).collect(),
            settings,
            trouble,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            end_ms,
            spent_ms: Vec::new(),
            requests_ms: Vec::new(),
            denied: Vec::new(),
        };
        for number in 0..daemons {
            let at_ms = FIRST_WORD_MS + world.rng.random_range(0..WORD_MS);
            world.tell_at(at_ms, number);
        }
        if let Some(at_ms) = trouble.restart_ms {
            world.at(at_ms, Event::RestartAll);
        }
        world
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        if at_ms < self.end_ms {
            self.queue.push(Reverse((at_ms, self.events.len() as u64)));
            self.events.push(Some(event));
        }
    }

    /// So many requests at random daemons, over the whole time.
    pub fn requests(&mut self, count: u64) {
        for _ in 0..count {
            let (at_ms, daemon) = (self.rng.random_range(0..self.end_ms), self.any_daemon());
            self.at(at_ms, Event::Request(daemon));
        }
    }

    /// So many further tries wanted by random daemons between two moments.
    pub fn tries(&mut self, count: u64, from_ms: u64, to_ms: u64) {
        for _ in 0..count {
            let (at_ms, daemon) = (self.rng.random_range(from_ms..to_ms), self.any_daemon());
            self.at(at_ms, Event::Try { daemon, until_ms: at_ms + LOAN_WAIT_MS.0 });
        }
    }

    fn any_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if let Some(event) = self.events[number as usize].take() {
                self.step(at_ms, event);
            }
        }
    }

    fn step(&mut self, at_ms: u64, event: Event) {
        match event {
            Event::Request(daemon) => {
                self.requests_ms.push(at_ms);
                self.daemons[daemon].allowance.arrived();
            }
            Event::Try { daemon, until_ms } => self.try_again(at_ms, daemon, until_ms),
            Event::Tell(daemon) => self.tell(at_ms, daemon),
            Event::Told { daemon, from, spare } => {
                self.daemons[daemon].allowance.told(&host(from), spare);
            }
            Event::Question { lender, asker, life, ask } => {
                let Daemon { allowance, born_ms, .. } = &mut self.daemons[lender];
                let now_us = MonoTime::default() + Millis(at_ms - *born_ms);
                let credit = allowance.lend(now_us, ask.credit);
                let spare = allowance.spare(now_us);
                let answer = Event::Answer { asker, life, number: ask.number, credit, spare };
                self.send(at_ms, lender, asker, answer);
                self.has_news(at_ms, lender);
            }
            Event::Answer { asker, life, number, credit, spare } => {
                let now_us = self.daemons[asker].clock(at_ms);
                if self.daemons[asker].life == life {
                    self.daemons[asker].allowance.lent(now_us, number, credit, spare);
                }
            }
            Event::RestartAll => {
                for (number, daemon) in self.daemons.iter_mut().enumerate() {
                    daemon.allowance = Allowance::new(self.settings, number as u64);
                    (daemon.born_ms, daemon.life) = (at_ms, daemon.life + 1);
                }
            }
        }
    }

    fn try_again(&mut self, at_ms: u64, daemon: usize, until_ms: u64) {
        let now_us = self.daemons[daemon].clock(at_ms);
        let Daemon { allowance, life, .. } = &mut self.daemons[daemon];
        let life = *life;
        if allowance.withdraw(now_us) {
            self.spent_ms.push(at_ms);
            self.has_news(at_ms, daemon);
            return;
        }
        if let Some(ask) = allowance.ask(now_us, 1) {
            let lender = self.daemons.iter().position(|known| known.host == ask.lender).unwrap();
            self.send(at_ms, daemon, lender, Event::Question { lender, asker: daemon, life, ask });
        }
        if at_ms < until_ms && self.daemons[daemon].allowance.may_borrow() {
            let again_ms = (at_ms + 3).min(until_ms);
            self.at(again_ms.max(at_ms + 1), Event::Try { daemon, until_ms });
            return;
        }
        let unused = self.unused(at_ms);
        self.denied.push((at_ms, unused));
    }

    /// What all daemons together have in no use.
    fn unused(&self, at_ms: u64) -> Credit {
        let spare = |daemon: &Daemon| daemon.allowance.spare(daemon.clock(at_ms));
        self.daemons.iter().fold(Credit::ZERO, |sum, daemon| sum + spare(daemon))
    }

    fn tell_at(&mut self, at_ms: u64, from: usize) {
        self.daemons[from].tells_at_ms = at_ms;
        self.at(at_ms, Event::Tell(from));
    }

    /// What a daemon could lend has changed.
    fn has_news(&mut self, at_ms: u64, from: usize) {
        if (at_ms + NEWS_MS) < self.daemons[from].tells_at_ms {
            self.tell_at(at_ms + NEWS_MS, from);
        }
    }

    fn tell(&mut self, at_ms: u64, from: usize) {
        // Told sooner for news.
        if self.daemons[from].tells_at_ms != at_ms {
            return;
        }
        let daemon = &self.daemons[from];
        let spare = daemon.allowance.spare(daemon.clock(at_ms));
        for daemon in 0..self.daemons.len() {
            if daemon != from {
                self.send(at_ms, from, daemon, Event::Told { daemon, from, spare });
            }
        }
        self.tell_at(at_ms + WORD_MS, from);
    }

    fn send(&mut self, at_ms: u64, from: usize, to: usize, event: Event) {
        let Trouble { lost, doubled, late, cut_ms, .. } = self.trouble;
        let is_cut = cut_ms.is_some_and(|(from_ms, to_ms)| (from_ms..to_ms).contains(&at_ms));
        if (is_cut && from % 2 != to % 2) || self.rng.random_ratio(lost, 100) {
            return;
        }
        let delay_ms = self.rng.random_range(1..4);
        let long_ms = self.rng.random_range(0..3_000);
        if self.rng.random_ratio(doubled, 100) {
            self.at(at_ms + long_ms, event.clone());
        }
        let delay_ms = if self.rng.random_ratio(late, 100) { long_ms } else { delay_ms };
        self.at(at_ms + delay_ms, event);
    }

    /// By how much the tries of any window exceed what requests in it have earned, in thousandths of a try.
    pub fn most_beyond_earned(&mut self) -> i64 {
        self.spent_ms.sort_unstable();
        self.requests_ms.sort_unstable();
        let in_window = |times: &[u64], end_ms: u64| {
            let from = times.partition_point(|&at_ms| at_ms + WINDOW_MS <= end_ms);
            (times.partition_point(|&at_ms| at_ms <= end_ms) - from) as i64
        };
        let beyond = |&end_ms: &u64| {
            in_window(&self.spent_ms, end_ms) * TRY.0 as i64
                - in_window(&self.requests_ms, end_ms) * self.settings.earned.0 as i64
        };
        self.spent_ms.iter().map(beyond).max().unwrap_or_default()
    }

    /// What all parts come to.
    pub fn parts(&self) -> Credit {
        Credit(self.settings.part.0 * self.daemons.len() as u64)
    }
}

fn host(number: usize) -> HostId {
    format!("entry-{number}").parse().unwrap()
}

/// Time after which a daemon that asked in vain asks the next.
pub const QUESTION_MS: u64 = ASK_AGAIN_MS.0;
