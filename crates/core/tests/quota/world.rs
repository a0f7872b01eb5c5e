//! Daemons that spend one organisation's quota, with what the network and the hosts do to them.

use hibiscusvale_core::ids::{HostId, PartnerId};
use hibiscusvale_core::quota::{
    Bucket, Coverage, Grant, LeasedCredit, Ledger, LedgerRole, LedgerSettings, Quota, QuotaBounds, QuotaUnit,
    Suspicion, candidates, outranks, server_limit,
};
use hibiscusvale_core::units::{Credit, CreditPerSecond, Millis, MonoTime, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const WINDOW_MS: u64 = 8_000;
const RATE: u64 = 60_000;
const BURST: u64 = 60_000;
const SLACK: f64 = 120_000.0;
const WORD_MS: u64 = 500;
const SILENCE_MS: u64 = 2_500;
/// A daemon is asked at most so often for one request.
const QUESTIONS: usize = 4;

/// How the quota is kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// One daemon keeps it, the others lease from it.
    Ledger,
    /// Each daemon has the same part.
    EvenParts,
}

/// What happens to daemons and messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Messages that are lost, in a hundred.
    pub lost: u32,
    /// When so many of the daemons, in a hundred, start again.
    pub restart: Option<(u64, u32)>,
    /// From when until when a quarter of the daemons is cut off from the others.
    pub cut_ms: Option<(u64, u64)>,
    /// From when until when the daemon in charge stands still.
    pub freeze_ms: Option<(u64, u64)>,
    /// When the quota becomes so many times smaller.
    pub lower: Option<(u64, u64)>,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// An organisation's requests through a few daemons, one in ten of them for a model.
    Organisation,
    /// Requests to one server through all daemons.
    Server,
}

impl Demand {
    /// Tokens or requests of one request.
    fn draw(self, rng: &mut StdRng) -> u64 {
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
    part: Bucket,
    heard_ms: Vec<Option<u64>>,
    silent: Vec<Suspicion>,
}

pub struct World {
    way: Way,
    demand: Demand,
    played_ms: u64,
    trouble: Trouble,
    partner: PartnerId,
    /// Daemons in the order in which they are asked.
    ranked: Vec<usize>,
    daemons: Vec<Daemon>,
    settings: LedgerSettings,
    rng: StdRng,
    ideal: Bucket,
    /// When how much was spent.
    pub spent: Vec<(u64, Credit)>,
    /// What was asked for within the quota.
    pub within: Credit,
    /// What was refused of it.
    pub refused_within: Credit,
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

impl World {
    pub fn new(way: Way, daemons: usize, trouble: Trouble, seed: u64) -> Self {
        Self::with_settings(way, Demand::Organisation, settings(1), daemons, trouble, seed)
    }

    /// Daemons before a server that states a limit, in thousandths of a request.
    pub fn before_server(daemons: usize, rate: CreditPerSecond, trouble: Trouble, seed: u64) -> Self {
        Self::with_settings(Way::Ledger, Demand::Server, server_limit(rate), daemons, trouble, seed)
    }

    fn with_settings(
        way: Way,
        demand: Demand,
        settings: LedgerSettings,
        daemons: usize,
        trouble: Trouble,
        seed: u64,
    ) -> Self {
        let quota = settings.quota;
        let part = Bucket::new(
            clock(0),
            CreditPerSecond(quota.rate.0 / daemons as u64),
            Credit(quota.burst.0 / daemons as u64),
            Credit(0),
        );
        let daemon = |number: usize| Daemon {
            host: format!("h-{number}").parse().unwrap(),
            leased: LeasedCredit::default(),
            ledger: Ledger::new(settings),
            part,
            heard_ms: vec![Some(0); daemons],
            silent: vec![Suspicion::default(); daemons],
        };
        let partner: PartnerId = "org".parse().unwrap();
        let hosts = (0..daemons).map(|number| format!("h-{number}").parse().unwrap()).collect();
        let number = |host: &HostId| host.as_str()[2..].parse().unwrap();
        Self {
            way,
            demand,
            played_ms: 0,
            trouble,
            ranked: candidates(partner.as_str(), hosts).iter().map(number).collect(),
            partner,
            daemons: (0..daemons).map(daemon).collect(),
            settings,
            rng: StdRng::seed_from_u64(seed),
            ideal: Bucket::new(clock(0), quota.rate, quota.burst, quota.burst),
            spent: Vec::new(),
            within: Credit::ZERO,
            refused_within: Credit::ZERO,
        }
    }

    /// Plays `end_ms`, with requests that come to `load` times the quota, through the daemons that some callers reach.
    pub fn play(&mut self, end_ms: u64, load: impl Fn(u64) -> f64) {
        let callers: Vec<usize> = match self.demand {
            Demand::Organisation => (0..5).map(|_| self.rng.random_range(0..self.daemons.len())).collect(),
            Demand::Server => (0..self.daemons.len()).collect(),
        };
        self.played_ms = end_ms;
        for at_ms in 0..end_ms {
            self.pass(at_ms);
            let rate_per_ms = self.settings.quota.rate.0 as f64 / 1_000_000.0;
            let mut expected = load(at_ms) * rate_per_ms / self.demand.mean();
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    let amount = self.demand.draw(&mut self.rng);
                    let at = callers[self.rng.random_range(0..callers.len())];
                    self.request(at_ms, at, Credit(amount * 1_000));
                }
                expected -= 1.0;
            }
        }
    }

    fn pass(&mut self, at_ms: u64) {
        let Trouble { restart, lower, .. } = self.trouble;
        if let Some((_, percent)) = restart.filter(|(when_ms, _)| *when_ms == at_ms) {
            let count = self.daemons.len() * percent as usize / 100;
            for number in 0..count {
                self.restart(at_ms, number);
            }
        }
        if let Some((_, divisor)) = lower.filter(|(when_ms, _)| *when_ms == at_ms) {
            self.settings = settings(divisor);
            let quota = self.settings.quota;
            self.ideal.configure(clock(at_ms), quota.rate, quota.burst);
            for daemon in &mut self.daemons {
                daemon.ledger.configure(self.settings);
            }
        }
        if at_ms.is_multiple_of(WORD_MS) {
            for from in 0..self.daemons.len() {
                for to in 0..self.daemons.len() {
                    if from != to && self.reaches(at_ms, from, to) {
                        self.hear(at_ms, to, from);
                    }
                }
            }
        }
    }

    fn restart(&mut self, at_ms: u64, number: usize) {
        let daemon = &mut self.daemons[number];
        daemon.leased = LeasedCredit::default();
        daemon.ledger = Ledger::new(self.settings);
        daemon.heard_ms = vec![None; daemon.heard_ms.len()];
        daemon.silent = vec![Suspicion::default(); daemon.silent.len()];
        let quota = self.settings.quota;
        let daemons = self.daemons.len() as u64;
        let (rate, burst) = (CreditPerSecond(quota.rate.0 / daemons), Credit(quota.burst.0 / daemons));
        self.daemons[number].part = Bucket::new(clock(at_ms), rate, burst, Credit(0));
    }

    fn hear(&mut self, at_ms: u64, to: usize, from: usize) {
        let (partner, host) = (self.partner.clone(), self.daemons[from].host.clone());
        let daemon = &mut self.daemons[to];
        let is_new = daemon.heard_ms[from].is_none_or(|heard_ms| at_ms >= heard_ms + SILENCE_MS);
        daemon.heard_ms[from] = Some(at_ms);
        if is_new && outranks(partner.as_str(), &host, &daemon.host) {
            daemon.ledger.step_down();
        }
    }

    fn reaches(&mut self, at_ms: u64, from: usize, to: usize) -> bool {
        let is_during = |span: Option<(u64, u64)>| span.is_some_and(|(a, b)| (a..b).contains(&at_ms));
        let is_far = |number: usize| number.is_multiple_of(4);
        if is_during(self.trouble.cut_ms) && is_far(from) != is_far(to) {
            return false;
        }
        let first = self.ranked[0];
        if is_during(self.trouble.freeze_ms) && (first == to || first == from) {
            return false;
        }
        !self.rng.random_ratio(self.trouble.lost, 100)
    }

    /// The daemons that `at` knows to live, in the order in which they are asked.
    fn live(&self, at_ms: u64, at: usize) -> impl Iterator<Item = usize> + '_ {
        let heard = &self.daemons[at].heard_ms;
        let is_live = move |number: &usize| {
            *number == at || heard[*number].is_some_and(|heard_ms| at_ms < heard_ms + SILENCE_MS)
        };
        self.ranked.iter().copied().filter(is_live)
    }

    fn request(&mut self, at_ms: u64, at: usize, cost: Credit) {
        let is_within = self.ideal.take(clock(at_ms), cost);
        let is_served = match self.way {
            Way::Ledger => self.lease(at_ms, at, cost),
            Way::EvenParts => self.daemons[at].part.take(clock(at_ms), cost),
        };
        if is_within {
            self.within += cost;
        }
        if is_served {
            self.spent.push((at_ms, cost));
        } else if is_within {
            self.refused_within += cost;
        }
    }

    fn lease(&mut self, at_ms: u64, at: usize, cost: Credit) -> bool {
        for _ in 0..QUESTIONS {
            if self.daemons[at].leased.spend(clock(at_ms), cost) {
                return true;
            }
            if self.daemons[at].leased.denied_ms(clock(at_ms), cost).is_some() {
                return false;
            }
            let is_silent = |number: usize| self.daemons[at].silent[number].is_suspected(clock(at_ms));
            let asked = self.live(at_ms, at).find(|number| !is_silent(*number));
            let Some(asked) = asked else {
                return false;
            };
            if asked != at && !(self.reaches(at_ms, at, asked) && self.reaches(at_ms, asked, at)) {
                self.daemons[at].silent[asked].note_timeout(clock(at_ms));
                continue;
            }
            self.daemons[at].silent[asked] = Suspicion::default();
            match self.grant(at_ms, asked, at, cost) {
                Grant::Granted(credit) => self.daemons[at].leased.add(clock(at_ms), credit),
                Grant::Denied { retry_after_ms } => {
                    self.daemons[at].leased.deny(clock(at_ms), cost, retry_after_ms.min(Millis(100)));
                    return false;
                }
            }
        }
        self.daemons[at].leased.spend(clock(at_ms), cost)
    }

    fn grant(&mut self, at_ms: u64, at: usize, asker: usize, cost: Credit) -> Grant {
        let likely = self.daemons[asker].leased.likely(clock(at_ms));
        let is_primary = self.live(at_ms, at).next() == Some(at);
        let role = if is_primary { LedgerRole::Primary } else { LedgerRole::Standby };
        let live = self.live(at_ms, at).count() as u64;
        let coverage = Coverage { live, all: self.daemons.len() as u64 };
        self.daemons[at].ledger.grant(clock(at_ms), role, coverage, cost, likely)
    }

    /// The most that was spent in a window, as a part of what is tolerated there.
    pub fn worst_window(&self, settled_ms: u64) -> f64 {
        let LedgerSettings { quota, bounds } = self.settings;
        let window_ms = bounds.window_ms.0;
        let allowed = quota.rate.0 * window_ms / 1_000 + quota.burst.0 + bounds.tolerance(&quota).0;
        self.most_in_window(settled_ms).0 as f64 / allowed as f64
    }

    /// The most that was spent in a window.
    pub fn most_in_window(&self, settled_ms: u64) -> Credit {
        let window_ms = self.settings.bounds.window_ms.0;
        let (mut worst, mut sum, mut first) = (0, 0, 0);
        let spent: Vec<(u64, Credit)> =
            self.spent.iter().filter(|(at_ms, _)| *at_ms >= settled_ms).copied().collect();
        for &(at_ms, credit) in &spent {
            sum += credit.0;
            while spent[first].0 + window_ms <= at_ms {
                sum -= spent[first].1.0;
                first += 1;
            }
            worst = worst.max(sum);
        }
        Credit(worst)
    }

    /// What was spent, as a part of what could have been.
    pub fn used_part(&self) -> f64 {
        let spent: u64 = self.spent.iter().map(|(_, credit)| credit.0).sum();
        spent as f64 * 1_000.0 / (self.settings.quota.rate.0 * self.played_ms) as f64
    }

    /// What was refused within the quota, as a part of what was asked for within it.
    pub fn refused_part(&self) -> f64 {
        self.refused_within.0 as f64 / self.within.0.max(1) as f64
    }
}
