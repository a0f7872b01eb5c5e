//! Simulation of daemons that spend, lend and borrow retry credit under network and host faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::retry_budget::{
    LENDER_TIMEOUT_MS, LOAN_TIMEOUT_MS, LoanRequest, RETRY_COST, SharedRetryBudget, SharedRetryBudgetSettings,
};
use hibiscusvale_core::units::{Credit, Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const WINDOW_MS: u64 = 10_000;

/// Interval between two announcements of a daemon whose credit has not changed.
const ANNOUNCE_INTERVAL_MS: u64 = 700;

/// Delay before a change is announced, as with the largest number of daemons.
const ANNOUNCE_DELAY_MS: u64 = 100;

/// Time of the first announcement; no daemon has credit to lend before.
const FIRST_ANNOUNCE_MS: u64 = 10_500;

/// Faults of messages and daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Percentage of messages that are lost.
    pub lost: u32,
    /// Percentage of messages that are duplicated; the copy is delayed by up to 3 s.
    pub doubled: u32,
    /// Percentage of messages that are delayed by up to 3 s.
    pub delayed: u32,
    /// Start and end of a partition between the even-numbered and the odd-numbered daemons.
    pub partition_ms: Option<(u64, u64)>,
    /// Time at which all daemons restart without their state.
    pub restart_ms: Option<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Request(usize),
    Retry { daemon: usize, deadline_ms: u64 },
    Announce(usize),
    Announced { daemon: usize, from: usize, lendable: Credit },
    LoanRequested { lender: usize, borrower: usize, incarnation: u32, request: LoanRequest },
    LoanReceived { borrower: usize, incarnation: u32, number: u64, credit: Credit, lendable: Credit },
    RestartAll,
}

struct Daemon {
    host: HostId,
    retry_budget: SharedRetryBudget,
    started_ms: u64,
    incarnation: u32,
    next_announce_ms: u64,
}

impl Daemon {
    fn clock(&self, at_ms: u64) -> MonoTime {
        MonoTime::default() + Millis(at_ms - self.started_ms)
    }
}

pub struct Simulation {
    daemons: Vec<Daemon>,
    settings: SharedRetryBudgetSettings,
    faults: Faults,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
    end_ms: u64,
    /// Times at which retries were made.
    pub retries_ms: Vec<u64>,
    /// Times at which requests arrived.
    pub requests_ms: Vec<u64>,
    /// Retries that could not be paid for: time, and credit that all daemons together had unused then.
    pub denied: Vec<(u64, Credit)>,
}

impl Simulation {
    pub fn new(daemons: usize, slack: f64, faults: Faults, seed: u64, end_ms: u64) -> Self {
        let slack_share = Credit((slack * RETRY_COST.0 as f64 / daemons as f64) as u64);
        let settings = SharedRetryBudgetSettings {
            credit_per_request: Credit(200),
            slack_share,
            window_ms: Millis(WINDOW_MS),
        };
        let daemon = |number: usize| Daemon {
            host: host(number),
            retry_budget: SharedRetryBudget::new(settings, number as u64),
            started_ms: 0,
            incarnation: 0,
            next_announce_ms: 0,
        };
        let mut simulation = Self {
            daemons: (0..daemons).map(daemon).collect(),
            settings,
            faults,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            end_ms,
            retries_ms: Vec::new(),
            requests_ms: Vec::new(),
            denied: Vec::new(),
        };
        for number in 0..daemons {
            let at_ms = FIRST_ANNOUNCE_MS + simulation.rng.random_range(0..ANNOUNCE_INTERVAL_MS);
            simulation.schedule_announce(at_ms, number);
        }
        if let Some(at_ms) = faults.restart_ms {
            simulation.schedule(at_ms, Event::RestartAll);
        }
        simulation
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        if at_ms < self.end_ms {
            self.queue.push(Reverse((at_ms, self.events.len() as u64)));
            self.events.push(Some(event));
        }
    }

    /// Schedules `count` requests at random daemons over the whole run.
    pub fn schedule_requests(&mut self, count: u64) {
        for _ in 0..count {
            let (at_ms, daemon) = (self.rng.random_range(0..self.end_ms), self.random_daemon());
            self.schedule(at_ms, Event::Request(daemon));
        }
    }

    /// Schedules `count` retries at random daemons between two times.
    pub fn schedule_retries(&mut self, count: u64, from_ms: u64, to_ms: u64) {
        for _ in 0..count {
            let (at_ms, daemon) = (self.rng.random_range(from_ms..to_ms), self.random_daemon());
            self.schedule(at_ms, Event::Retry { daemon, deadline_ms: at_ms + LOAN_TIMEOUT_MS.0 });
        }
    }

    fn random_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if let Some(event) = self.events[number as usize].take() {
                self.handle(at_ms, event);
            }
        }
    }

    fn handle(&mut self, at_ms: u64, event: Event) {
        match event {
            Event::Request(daemon) => {
                self.requests_ms.push(at_ms);
                self.daemons[daemon].retry_budget.deposit();
            }
            Event::Retry { daemon, deadline_ms } => self.retry(at_ms, daemon, deadline_ms),
            Event::Announce(daemon) => self.announce(at_ms, daemon),
            Event::Announced { daemon, from, lendable } => {
                self.daemons[daemon].retry_budget.update_lender(&host(from), lendable);
            }
            Event::LoanRequested { lender, borrower, incarnation, request } => {
                let Daemon { retry_budget, started_ms, .. } = &mut self.daemons[lender];
                let now_us = MonoTime::default() + Millis(at_ms - *started_ms);
                let credit = retry_budget.lend(now_us, request.credit);
                let lendable = retry_budget.lendable(now_us);
                let answer =
                    Event::LoanReceived { borrower, incarnation, number: request.number, credit, lendable };
                self.send(at_ms, lender, borrower, answer);
                self.announce_soon(at_ms, lender);
            }
            Event::LoanReceived { borrower, incarnation, number, credit, lendable } => {
                let now_us = self.daemons[borrower].clock(at_ms);
                if self.daemons[borrower].incarnation == incarnation {
                    self.daemons[borrower].retry_budget.receive(now_us, number, credit, lendable);
                }
            }
            Event::RestartAll => {
                for (number, daemon) in self.daemons.iter_mut().enumerate() {
                    daemon.retry_budget = SharedRetryBudget::new(self.settings, number as u64);
                    (daemon.started_ms, daemon.incarnation) = (at_ms, daemon.incarnation + 1);
                }
            }
        }
    }

    fn retry(&mut self, at_ms: u64, daemon: usize, deadline_ms: u64) {
        let now_us = self.daemons[daemon].clock(at_ms);
        let Daemon { retry_budget, incarnation, .. } = &mut self.daemons[daemon];
        let incarnation = *incarnation;
        if retry_budget.try_withdraw(now_us) {
            self.retries_ms.push(at_ms);
            self.announce_soon(at_ms, daemon);
            return;
        }
        if let Some(request) = retry_budget.request_loan(now_us, 1) {
            let lender = self.daemons.iter().position(|known| known.host == request.lender).unwrap();
            self.send(
                at_ms,
                daemon,
                lender,
                Event::LoanRequested { lender, borrower: daemon, incarnation, request },
            );
        }
        if at_ms < deadline_ms && self.daemons[daemon].retry_budget.may_borrow() {
            let next_ms = (at_ms + 3).min(deadline_ms);
            self.schedule(next_ms.max(at_ms + 1), Event::Retry { daemon, deadline_ms });
            return;
        }
        let unused = self.unused(at_ms);
        self.denied.push((at_ms, unused));
    }

    /// Credit that all daemons together have unused.
    fn unused(&self, at_ms: u64) -> Credit {
        let lendable = |daemon: &Daemon| daemon.retry_budget.lendable(daemon.clock(at_ms));
        self.daemons.iter().fold(Credit::ZERO, |sum, daemon| sum + lendable(daemon))
    }

    fn schedule_announce(&mut self, at_ms: u64, from: usize) {
        self.daemons[from].next_announce_ms = at_ms;
        self.schedule(at_ms, Event::Announce(from));
    }

    /// Announces a change of the lendable credit ahead of the next regular announcement.
    fn announce_soon(&mut self, at_ms: u64, from: usize) {
        if (at_ms + ANNOUNCE_DELAY_MS) < self.daemons[from].next_announce_ms {
            self.schedule_announce(at_ms + ANNOUNCE_DELAY_MS, from);
        }
    }

    fn announce(&mut self, at_ms: u64, from: usize) {
        // An earlier announcement has replaced this one.
        if self.daemons[from].next_announce_ms != at_ms {
            return;
        }
        let daemon = &self.daemons[from];
        let lendable = daemon.retry_budget.lendable(daemon.clock(at_ms));
        for daemon in 0..self.daemons.len() {
            if daemon != from {
                self.send(at_ms, from, daemon, Event::Announced { daemon, from, lendable });
            }
        }
        self.schedule_announce(at_ms + ANNOUNCE_INTERVAL_MS, from);
    }

    fn send(&mut self, at_ms: u64, from: usize, to: usize, event: Event) {
        let Faults { lost, doubled, delayed, partition_ms, .. } = self.faults;
        let is_partitioned = partition_ms.is_some_and(|(from_ms, to_ms)| (from_ms..to_ms).contains(&at_ms));
        if (is_partitioned && from % 2 != to % 2) || self.rng.random_ratio(lost, 100) {
            return;
        }
        let delay_ms = self.rng.random_range(1..4);
        let long_delay_ms = self.rng.random_range(0..3_000);
        if self.rng.random_ratio(doubled, 100) {
            self.schedule(at_ms + long_delay_ms, event.clone());
        }
        let delay_ms = if self.rng.random_ratio(delayed, 100) { long_delay_ms } else { delay_ms };
        self.schedule(at_ms + delay_ms, event);
    }

    /// Largest amount by which the retries of one window exceed the credit earned in it, in thousandths of a
    /// retry.
    pub fn max_excess(&mut self) -> i64 {
        self.retries_ms.sort_unstable();
        self.requests_ms.sort_unstable();
        let in_window = |times: &[u64], end_ms: u64| {
            let from = times.partition_point(|&at_ms| at_ms + WINDOW_MS <= end_ms);
            (times.partition_point(|&at_ms| at_ms <= end_ms) - from) as i64
        };
        let excess = |&end_ms: &u64| {
            in_window(&self.retries_ms, end_ms) * RETRY_COST.0 as i64
                - in_window(&self.requests_ms, end_ms) * self.settings.credit_per_request.0 as i64
        };
        self.retries_ms.iter().map(excess).max().unwrap_or_default()
    }

    /// Sum of the slack shares of all daemons.
    pub fn total_slack(&self) -> Credit {
        Credit(self.settings.slack_share.0 * self.daemons.len() as u64)
    }
}

fn host(number: usize) -> HostId {
    format!("entry-{number}").parse().unwrap()
}

/// Time without an answer after which the next lender is asked.
pub const REQUEST_TIMEOUT_MS: u64 = LENDER_TIMEOUT_MS.0;
