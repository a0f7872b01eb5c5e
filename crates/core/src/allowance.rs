//! This daemon's part of the further tries that all daemons may make together.
//!
//! The allowance is one for the installation: in each window of some seconds a part of the requests, and some tries beyond
//! that (`slack`). Daemons that cannot reach each other cannot agree on its use, so each owns a part of the slack, and what
//! the requests that it took itself earn. Among hundreds of daemons a part is less than one try, or little more, while
//! the allowance of all is mostly unused. So parts are lent: a daemon that has to try again and cannot pay asks one that
//! has some left. What is lent is out of use at its owner until nobody can spend it any more, whatever becomes of the
//! messages; so no window of all daemons together is ever overspent.
//!
//! - A try paid out of the slack takes its part out of use for a whole window.
//! - What was earned is saved up to some tries only: a calm minute must not pay for a storm.
//! - A loan may be spent for [`LOAN_LIFE_MS`] after it was asked for. Its owner takes it back a whole window after that,
//!   counted from when it was lent, which is later.
//! - A daemon that starts knows nothing of what its earlier life spent or lent, so its part of the slack is out of use
//!   until that has run out.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::ids::HostId;
use crate::units::{Credit, Millis, MonoTime};

/// One further try.
pub const TRY: Credit = Credit(1_000);

/// For how long a loan may be spent after it was asked for. The try that it was asked for begins within milliseconds.
pub const LOAN_LIFE_MS: Millis = Millis(1_000);

/// For how long a request waits for a loan: some questions to other daemons of the region, each of which takes a few
/// milliseconds, and short beside the target of a page.
pub const LOAN_WAIT_MS: Millis = Millis(60);

/// Time after which another daemon is asked: several round trips in a region.
pub const ASK_AGAIN_MS: Millis = Millis(12);

/// Most that is saved up of what requests earned, in tries.
const SAVED_MAX: Credit = Credit(2 * TRY.0);

/// How much one daemon may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// What each request that it takes earns.
    pub earned: Credit,
    /// Its part of what all daemons may spend in a window beyond that.
    pub part: Credit,
    /// Length of the window.
    pub window_ms: Millis,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self { earned: Credit(200), part: Credit(8 * TRY.0), window_ms: Millis(10_000) }
    }
}

/// Something that is in use until some time.
#[derive(Clone, Copy, Debug)]
struct Until {
    at_us: MonoTime,
    credit: Credit,
}

/// A question for a loan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Whom to ask.
    pub lender: HostId,
    /// Its number among this daemon's questions; the answer names it.
    pub number: u64,
    /// What is missing.
    pub credit: Credit,
}

#[derive(Clone, Debug)]
struct Asked {
    number: u64,
    lender: HostId,
    at_us: MonoTime,
}

/// What one daemon may spend on further tries of one service. Its clock begins with its life.
#[derive(Clone, Debug)]
pub struct Allowance {
    settings: AllowanceSettings,
    /// Saved up of what requests earned.
    saved: Credit,
    /// Spent without having it: something that was free by itself came to count.
    debt: Credit,
    /// Parts of the slack that are out of use.
    taken: Vec<Until>,
    /// What others have lent.
    loans: Vec<Until>,
    /// What the other daemons said that they could lend.
    lenders: HashMap<HostId, Credit>,
    asked: Vec<Asked>,
    questions: u64,
    /// Differs between daemons, so that they ask different ones.
    seed: u64,
}

impl Allowance {
    /// Nothing is saved up yet, and the slack is out of use for a window.
    pub fn new(settings: AllowanceSettings, seed: u64) -> Self {
        Self {
            settings,
            saved: Credit::ZERO,
            debt: Credit::ZERO,
            taken: Vec::new(),
            loans: Vec::new(),
            lenders: HashMap::new(),
            asked: Vec::new(),
            questions: 0,
            seed,
        }
    }

    /// Changes the limits; what is out of use stays so.
    pub fn configure(&mut self, settings: AllowanceSettings) {
        self.settings = settings;
        self.saved = self.saved.min(self.saved_max());
    }

    /// A request arrived.
    pub fn arrived(&mut self) {
        let Self { settings, debt, .. } = self;
        let paid_back = settings.earned.min(*debt);
        *debt -= paid_back;
        self.saved = (self.saved + settings.earned - paid_back).min(self.saved_max());
    }

    /// Whether so many further tries could be paid for, with what is owed. With more owed than there is, not even none.
    pub fn has(&self, now_us: MonoTime, tries: u64) -> bool {
        self.all(now_us) >= self.debt + Credit(tries * TRY.0)
    }

    /// Pays for one further try; false when that cannot be paid for.
    pub fn withdraw(&mut self, now_us: MonoTime) -> bool {
        let can_pay = self.has(now_us, 1);
        if can_pay {
            self.charge(now_us);
        }
        can_pay
    }

    /// Pays for one try that was made already. What is missing is owed, and paid back out of what requests earn.
    pub fn charge(&mut self, now_us: MonoTime) {
        self.pass(now_us);
        let mut price = TRY;
        for loan in &mut self.loans {
            price -= take(&mut loan.credit, price);
        }
        price -= take(&mut self.saved, price);
        let from_slack = price.min(self.free(now_us));
        self.take_out(now_us + self.settings.window_ms, from_slack);
        self.debt += price - from_slack;
    }

    /// What could be lent to others now.
    pub fn spare(&self, now_us: MonoTime) -> Credit {
        self.free(now_us).min(self.balance(now_us))
    }

    /// Lends to another daemon as much of what it `wants` as there is.
    pub fn lend(&mut self, now_us: MonoTime, wants: Credit) -> Credit {
        self.pass(now_us);
        let lent = wants.min(self.spare(now_us));
        self.take_out(now_us + self.settings.window_ms + LOAN_LIFE_MS, lent);
        lent
    }

    /// Another daemon said what it could lend.
    pub fn told(&mut self, host: &HostId, spare: Credit) {
        match self.lenders.get_mut(host) {
            Some(known) => *known = spare,
            None if spare > Credit::ZERO => {
                self.lenders.insert(host.clone(), spare);
            }
            None => {}
        }
    }

    /// Whom to ask for what is missing for so many tries. `None` while an answer is awaited, or when nobody has any left.
    pub fn ask(&mut self, now_us: MonoTime, tries: u64) -> Option<Ask> {
        let missing = (self.debt + Credit(tries * TRY.0)).saturating_sub(self.all(now_us));
        if missing == Credit::ZERO || self.asked.iter().any(|asked| now_us < asked.at_us + ASK_AGAIN_MS) {
            return None;
        }
        self.asked.retain(|asked| now_us < asked.at_us + LOAN_LIFE_MS);
        // One that did not answer is gone, or cut off; it says itself when it is back.
        for silent in &self.asked {
            self.lenders.insert(silent.lender.clone(), Credit::ZERO);
        }
        let lender = self.choose_lender()?;
        self.questions += 1;
        self.asked.push(Asked { number: self.questions, lender: lender.clone(), at_us: now_us });
        Some(Ask { lender, number: self.questions, credit: missing })
    }

    /// One of those that have most.
    ///
    /// Load: an engine dies, and all daemons have to try again at the same moment. Harm prevented: all of them ask the one
    /// that had most, which can help the first only.
    fn choose_lender(&self) -> Option<HostId> {
        let most = self.lenders.values().copied().max().filter(|most| *most > Credit::ZERO)?;
        let rank = |host: &HostId| {
            let mut hasher = DefaultHasher::new();
            (self.seed, self.questions, host.as_str()).hash(&mut hasher);
            hasher.finish()
        };
        let rich = self.lenders.iter().filter(|(_, spare)| spare.0 * 2 >= most.0);
        rich.map(|(host, _)| host).min_by_key(|host| rank(host)).cloned()
    }

    /// The answer to a question came: what was lent, and what its owner has left. An answer that comes twice, or so late
    /// that its owner may have taken the loan back, changes nothing.
    pub fn lent(&mut self, now_us: MonoTime, number: u64, credit: Credit, spare: Credit) {
        let Some(position) = self.asked.iter().position(|asked| asked.number == number) else {
            return;
        };
        let Asked { lender, at_us, .. } = self.asked.swap_remove(position);
        self.lenders.insert(lender, spare);
        let until_us = at_us + LOAN_LIFE_MS;
        if now_us < until_us {
            self.loans.push(Until { at_us: until_us, credit });
        }
    }

    /// Whether a loan may still come for what is missing.
    pub fn may_borrow(&self) -> bool {
        !self.asked.is_empty() || self.lenders.values().any(|spare| *spare > Credit::ZERO)
    }

    /// What it can spend.
    pub fn balance(&self, now_us: MonoTime) -> Credit {
        self.all(now_us).saturating_sub(self.debt)
    }

    /// What it has, without what it owes.
    fn all(&self, now_us: MonoTime) -> Credit {
        let loans = self.loans.iter().filter(|loan| now_us < loan.at_us);
        let lent = loans.fold(Credit::ZERO, |sum, loan| sum + loan.credit);
        lent + self.saved + self.free(now_us)
    }

    /// The part of the slack that is in no use.
    fn free(&self, now_us: MonoTime) -> Credit {
        let Self { settings, taken, .. } = self;
        if now_us < MonoTime::default() + settings.window_ms + LOAN_LIFE_MS {
            return Credit::ZERO;
        }
        let taken = taken.iter().filter(|taken| now_us < taken.at_us);
        self.slack().saturating_sub(taken.fold(Credit::ZERO, |sum, taken| sum + taken.credit))
    }

    fn take_out(&mut self, until_us: MonoTime, credit: Credit) {
        if credit > Credit::ZERO {
            self.taken.push(Until { at_us: until_us, credit });
        }
    }

    /// Half of the part at most is kept for what requests earn: in a window no more is spent than was earned in it and what
    /// was saved before.
    fn saved_max(&self) -> Credit {
        SAVED_MAX.min(Credit(self.settings.part.0 / 2))
    }

    fn slack(&self) -> Credit {
        self.settings.part - self.saved_max()
    }

    /// Forgets what has run out.
    fn pass(&mut self, now_us: MonoTime) {
        self.taken.retain(|taken| now_us < taken.at_us);
        self.loans.retain(|loan| now_us < loan.at_us && loan.credit > Credit::ZERO);
    }
}

/// Takes as much of `wanted` as there is.
fn take(from: &mut Credit, wanted: Credit) -> Credit {
    let taken = wanted.min(*from);
    *from -= taken;
    taken
}
