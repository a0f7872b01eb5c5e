//! Simulation of daemons that spend one organisation's quota or one server's limit, under network and host
//! faults.

use hibiscusvale_core::ids::{HostId, PartnerId};
use hibiscusvale_core::quota::{
    Bucket, Coverage, Grant, LeasedCredit, Ledger, LedgerRole, LedgerSettings, Quota, QuotaBounds, QuotaUnit,
    Suspicion, candidates, outranks, server_limit_settings,
};
use hibiscusvale_core::units::{Credit, CreditPerSecond, Millis, MonoTime, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const WINDOW_MS: u64 = 8_000;
const RATE: u64 = 60_000;
const BURST: u64 = 60_000;
const SLACK: f64 = 120_000.0;
const HEARTBEAT_INTERVAL_MS: u64 = 500;
const LIVENESS_TIMEOUT_MS: u64 = 2_500;
/// Maximum number of requests for credit per caller request.
const ATTEMPTS_MAX: usize = 4;

/// Method of enforcing the quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Enforcement {
    /// One daemon holds the ledger, and the others lease credit from it.
    Ledger,
    /// Each daemon has an equal share of the quota.
    EqualShares,
}

/// Faults of daemons and messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Percentage of messages that are lost.
    pub lost: u32,
    /// Time at which daemons restart, and their percentage.
    pub restart: Option<(u64, u32)>,
    /// Start and end of a partition that isolates a quarter of the daemons.
    pub partition_ms: Option<(u64, u64)>,
    /// Start and end of a freeze of the primary.
    pub freeze_ms: Option<(u64, u64)>,
    /// Time at which the quota is reduced, and the divisor.
    pub reduce_quota: Option<(u64, u64)>,
}

/// Kind of load.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// Requests of an organisation through a few daemons, one in ten of them for a model.
    Organisation,
    /// Requests to one server through all daemons.
    Server,
}

impl Demand {
    /// Number of tokens or requests that one request costs.
    fn sample_units(self, rng: &mut StdRng) -> u64 {
        match self {
            Self::Organisation if rng.random_bool(0.1) => 3_300,
            Self::Organisation => 200,
            Self::Server => 1,
        }
    }

    fn mean(self) -> f64 {
        match self {
            Self::Organisation => 0.1 * 3_300.0 + 0.9 * 200.0,
            Self::Server => 1.0,
        }
    }
}

struct Daemon {
    host: HostId,
    leased: LeasedCredit,
    ledger: Ledger,
    share: Bucket,
    last_heard_ms: Vec<Option<u64>>,
    suspicions: Vec<Suspicion>,
}

pub struct Simulation {
    enforcement: Enforcement,
    demand: Demand,
    duration_ms: u64,
    faults: Faults,
    partner: PartnerId,
    /// Daemons in the order in which they are asked for credit.
    ranked: Vec<usize>,
    daemons: Vec<Daemon>,
    settings: LedgerSettings,
    rng: StdRng,
    reference: Bucket,
    /// Time and amount of each expenditure.
    pub spent: Vec<(u64, Credit)>,
    /// Credit requested within the quota.
    pub within_quota: Credit,
    /// Credit refused within the quota.
    pub refused_within_quota: Credit,
}

fn settings(divisor: u64) -> LedgerSettings {
    let unit = QuotaUnit::Tokens { plain: Tokens(200) };
    let quota =
        Quota { unit, rate: CreditPerSecond(RATE * 1_000 / divisor), burst: Credit(BURST * 1_000 / divisor) };
    let bounds = QuotaBounds { window_ms: Millis(WINDOW_MS), overshoot: 0.1, slack: SLACK };
    LedgerSettings { quota, bounds }
}

fn clock(at_ms: u64) -> MonoTime {
    MonoTime::default() + Millis(at_ms)
}

impl Simulation {
    pub fn new(enforcement: Enforcement, daemons: usize, faults: Faults, seed: u64) -> Self {
        Self::with_settings(enforcement, Demand::Organisation, settings(1), daemons, faults, seed)
    }

    /// Daemons in front of a server that states a limit, in thousandths of a request per second.
    pub fn for_server(daemons: usize, rate: CreditPerSecond, faults: Faults, seed: u64) -> Self {
        Self::with_settings(
            Enforcement::Ledger,
            Demand::Server,
            server_limit_settings(rate),
            daemons,
            faults,
            seed,
        )
    }

    fn with_settings(
        enforcement: Enforcement,
        demand: Demand,
        settings: LedgerSettings,
        daemons: usize,
        faults: Faults,
        seed: u64,
    ) -> Self {
        let quota = settings.quota;
        let share = Bucket::new(
            clock(0),
            CreditPerSecond(quota.rate.0 / daemons as u64),
            Credit(quota.burst.0 / daemons as u64),
            Credit(0),
        );
        let daemon = |number: usize| Daemon {
            host: format!("h-{number}").parse().unwrap(),
            leased: LeasedCredit::default(),
            ledger: Ledger::new(settings),
            share,
            last_heard_ms: vec![Some(0); daemons],
            suspicions: vec![Suspicion::default(); daemons],
        };
        let partner: PartnerId = "org".parse().unwrap();
        let hosts = (0..daemons).map(|number| format!("h-{number}").parse().unwrap()).collect();
        let number = |host: &HostId| host.as_str()[2..].parse().unwrap();
        Self {
            enforcement,
            demand,
            duration_ms: 0,
            faults,
            ranked: candidates(partner.as_str(), hosts).iter().map(number).collect(),
            partner,
            daemons: (0..daemons).map(daemon).collect(),
            settings,
            rng: StdRng::seed_from_u64(seed),
            reference: Bucket::new(clock(0), quota.rate, quota.burst, quota.burst),
            spent: Vec::new(),
            within_quota: Credit::ZERO,
            refused_within_quota: Credit::ZERO,
        }
    }

    /// Runs for `end_ms` with a load of `load` times the quota. An organisation's callers reach five daemons.
    pub fn run(&mut self, end_ms: u64, load: impl Fn(u64) -> f64) {
        let callers: Vec<usize> = match self.demand {
            Demand::Organisation => (0..5).map(|_| self.rng.random_range(0..self.daemons.len())).collect(),
            Demand::Server => (0..self.daemons.len()).collect(),
        };
        self.duration_ms = end_ms;
        for at_ms in 0..end_ms {
            self.tick(at_ms);
            let rate_per_ms = self.settings.quota.rate.0 as f64 / 1_000_000.0;
            let mut expected = load(at_ms) * rate_per_ms / self.demand.mean();
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    let amount = self.demand.sample_units(&mut self.rng);
                    let at = callers[self.rng.random_range(0..callers.len())];
                    self.request(at_ms, at, Credit(amount * 1_000));
                }
                expected -= 1.0;
            }
        }
    }

    fn tick(&mut self, at_ms: u64) {
        let Faults { restart, reduce_quota, .. } = self.faults;
        if let Some((_, percent)) = restart.filter(|(when_ms, _)| *when_ms == at_ms) {
            let count = self.daemons.len() * percent as usize / 100;
            for number in 0..count {
                self.restart(at_ms, number);
            }
        }
        if let Some((_, divisor)) = reduce_quota.filter(|(when_ms, _)| *when_ms == at_ms) {
            self.settings = settings(divisor);
            let quota = self.settings.quota;
            self.reference.configure(clock(at_ms), quota.rate, quota.burst);
            for daemon in &mut self.daemons {
                daemon.ledger.configure(self.settings);
            }
        }
        if at_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            for from in 0..self.daemons.len() {
                for to in 0..self.daemons.len() {
                    if from != to && self.delivers(at_ms, from, to) {
                        self.receive_heartbeat(at_ms, to, from);
                    }
                }
            }
        }
    }

    fn restart(&mut self, at_ms: u64, number: usize) {
        let daemon = &mut self.daemons[number];
        daemon.leased = LeasedCredit::default();
        daemon.ledger = Ledger::new(self.settings);
        daemon.last_heard_ms = vec![None; daemon.last_heard_ms.len()];
        daemon.suspicions = vec![Suspicion::default(); daemon.suspicions.len()];
        let quota = self.settings.quota;
        let daemons = self.daemons.len() as u64;
        let (rate, burst) = (CreditPerSecond(quota.rate.0 / daemons), Credit(quota.burst.0 / daemons));
        self.daemons[number].share = Bucket::new(clock(at_ms), rate, burst, Credit(0));
    }

    fn receive_heartbeat(&mut self, at_ms: u64, to: usize, from: usize) {
        let (partner, host) = (self.partner.clone(), self.daemons[from].host.clone());
        let daemon = &mut self.daemons[to];
        let is_rejoined = daemon.last_heard_ms[from]
            .is_none_or(|last_heard_ms| at_ms >= last_heard_ms + LIVENESS_TIMEOUT_MS);
        daemon.last_heard_ms[from] = Some(at_ms);
        if is_rejoined && outranks(partner.as_str(), &host, &daemon.host) {
            daemon.ledger.step_down();
        }
    }

    fn delivers(&mut self, at_ms: u64, from: usize, to: usize) -> bool {
        let is_active = |span: Option<(u64, u64)>| span.is_some_and(|(a, b)| (a..b).contains(&at_ms));
        let is_isolated = |number: usize| number.is_multiple_of(4);
        if is_active(self.faults.partition_ms) && is_isolated(from) != is_isolated(to) {
            return false;
        }
        let first = self.ranked[0];
        if is_active(self.faults.freeze_ms) && (first == to || first == from) {
            return false;
        }
        !self.rng.random_ratio(self.faults.lost, 100)
    }

    /// Daemons that `at` considers live, in the order in which they are asked for credit.
    fn live(&self, at_ms: u64, at: usize) -> impl Iterator<Item = usize> + '_ {
        let heard = &self.daemons[at].last_heard_ms;
        let is_live = move |number: &usize| {
            *number == at
                || heard[*number].is_some_and(|last_heard_ms| at_ms < last_heard_ms + LIVENESS_TIMEOUT_MS)
        };
        self.ranked.iter().copied().filter(is_live)
    }

    fn request(&mut self, at_ms: u64, at: usize, cost: Credit) {
        let is_within_quota = self.reference.try_take(clock(at_ms), cost);
        let is_served = match self.enforcement {
            Enforcement::Ledger => self.acquire(at_ms, at, cost),
            Enforcement::EqualShares => self.daemons[at].share.try_take(clock(at_ms), cost),
        };
        if is_within_quota {
            self.within_quota += cost;
        }
        if is_served {
            self.spent.push((at_ms, cost));
        } else if is_within_quota {
            self.refused_within_quota += cost;
        }
    }

    fn acquire(&mut self, at_ms: u64, at: usize, cost: Credit) -> bool {
        for _ in 0..ATTEMPTS_MAX {
            if self.daemons[at].leased.spend(clock(at_ms), cost) {
                return true;
            }
            if self.daemons[at].leased.denied_ms(clock(at_ms), cost).is_some() {
                return false;
            }
            let is_suspected = |number: usize| self.daemons[at].suspicions[number].is_suspected(clock(at_ms));
            let target = self.live(at_ms, at).find(|number| !is_suspected(*number));
            let Some(target) = target else {
                return false;
            };
            if target != at && !(self.delivers(at_ms, at, target) && self.delivers(at_ms, target, at)) {
                self.daemons[at].suspicions[target].record_timeout(clock(at_ms));
                continue;
            }
            self.daemons[at].suspicions[target] = Suspicion::default();
            match self.grant(at_ms, target, at, cost) {
                Grant::Granted(credit) => self.daemons[at].leased.add(clock(at_ms), credit),
                Grant::Denied { retry_after_ms } => {
                    self.daemons[at].leased.record_denial(
                        clock(at_ms),
                        cost,
                        retry_after_ms.min(Millis(100)),
                    );
                    return false;
                }
            }
        }
        self.daemons[at].leased.spend(clock(at_ms), cost)
    }

    fn grant(&mut self, at_ms: u64, at: usize, requester: usize, cost: Credit) -> Grant {
        let likely = self.daemons[requester].leased.expected_spend(clock(at_ms));
        let is_primary = self.live(at_ms, at).next() == Some(at);
        let role = if is_primary { LedgerRole::Primary } else { LedgerRole::Standby };
        let live = self.live(at_ms, at).count() as u64;
        let coverage = Coverage { live, all: self.daemons.len() as u64 };
        self.daemons[at].ledger.grant(clock(at_ms), role, coverage, cost, likely)
    }

    /// Largest amount spent in one window, as a fraction of the amount tolerated.
    pub fn peak_window_ratio(&self, from_ms: u64) -> f64 {
        let LedgerSettings { quota, bounds } = self.settings;
        let window_ms = bounds.window_ms.0;
        let allowed = quota.rate.0 * window_ms / 1_000 + quota.burst.0 + bounds.tolerance(&quota).0;
        self.peak_window(from_ms).0 as f64 / allowed as f64
    }

    /// Largest amount spent in one window.
    pub fn peak_window(&self, from_ms: u64) -> Credit {
        let window_ms = self.settings.bounds.window_ms.0;
        let (mut peak, mut sum, mut first) = (0, 0, 0);
        let spent: Vec<(u64, Credit)> =
            self.spent.iter().filter(|(at_ms, _)| *at_ms >= from_ms).copied().collect();
        for &(at_ms, credit) in &spent {
            sum += credit.0;
            while spent[first].0 + window_ms <= at_ms {
                sum -= spent[first].1.0;
                first += 1;
            }
            peak = peak.max(sum);
        }
        Credit(peak)
    }

    /// Fraction of the available credit that was spent.
    pub fn utilization(&self) -> f64 {
        let spent: u64 = self.spent.iter().map(|(_, credit)| credit.0).sum();
        spent as f64 * 1_000.0 / (self.settings.quota.rate.0 * self.duration_ms) as f64
    }

    /// Fraction of the credit requested within the quota that was refused.
    pub fn refused_fraction(&self) -> f64 {
        self.refused_within_quota.0 as f64 / self.within_quota.0.max(1) as f64
    }
}
