//! Retry budget of one daemon, with loans between daemons.
//!
//! The budget covers the whole installation: in each window, retries may amount to a fixed ratio of the
//! requests plus a fixed number (`slack`). Daemons cannot agree on its use while a partition separates them,
//! so each one owns a share of the slack and the credit earned by the requests that it accepts itself. With
//! hundreds of daemons a share is worth less than one retry, or little more, while most of the total stays
//! unused. A daemon that needs a retry and cannot pay for it therefore borrows from another daemon. The
//! lender keeps the lent credit reserved until it can no longer be spent, whether or not messages are lost,
//! so no window exceeds the total budget.
//!
//! - A retry paid from the slack reserves its cost for a full window.
//! - Earned credit accumulates to a few retries only, so that a quiet period does not pay for a retry storm.
//! - A loan can be spent within [`LOAN_TTL_MS`] of the request. The lender reserves it for one window longer,
//!   counted from the moment of lending, which is later.
//! - A restarted daemon does not know what its previous incarnation spent or lent, so its share of the slack
//!   stays reserved until all of that has expired.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::ids::HostId;
use crate::units::{Credit, Millis, MonoTime};

/// Cost of one retry; credit counts in thousandths of a retry.
pub const RETRY_COST: Credit = Credit(1_000);

/// Time within which a loan can be spent, from the request for it. The retry itself starts within
/// milliseconds.
pub const LOAN_TTL_MS: Millis = Millis(1_000);

/// Longest time that a request waits for a loan. Allows several lenders in the region to be asked, each of
/// which answers within a few milliseconds, and is short compared with the latency target of a page.
pub const LOAN_TIMEOUT_MS: Millis = Millis(60);

/// Time without an answer after which the next lender is asked: several round trips within a region.
pub const LENDER_TIMEOUT_MS: Millis = Millis(12);

/// Upper limit of accumulated credit that requests earned: two retries.
const SAVINGS_MAX: Credit = Credit(2 * RETRY_COST.0);

/// Budget of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryBudgetSettings {
    /// Credit that each accepted request earns.
    pub credit_per_request: Credit,
    /// This daemon's share of the slack: credit that may be spent in each window beyond the earned credit.
    pub slack_share: Credit,
    /// Length of the window.
    pub window_ms: Millis,
}

impl Default for SharedRetryBudgetSettings {
    fn default() -> Self {
        Self {
            credit_per_request: Credit(200),
            slack_share: Credit(8 * RETRY_COST.0),
            window_ms: Millis(10_000),
        }
    }
}

/// Credit with an expiry time.
#[derive(Clone, Copy, Debug)]
struct ExpiringCredit {
    expires_us: MonoTime,
    credit: Credit,
}

/// Request to another daemon for a loan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Daemon that is asked.
    pub lender: HostId,
    /// Sequence number among the loan requests of this daemon; the answer repeats it.
    pub number: u64,
    /// Credit that is missing.
    pub credit: Credit,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    lender: HostId,
    sent_us: MonoTime,
}

/// Retry budget of one daemon for one service. Times count from the start of the daemon.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    settings: SharedRetryBudgetSettings,
    /// Accumulated credit that requests earned.
    savings: Credit,
    /// Spent without cover: a retry that was free at first was charged afterwards.
    debt: Credit,
    /// Slack that is spent or lent, until it can be used again.
    reserved: Vec<ExpiringCredit>,
    /// Credit borrowed from other daemons.
    loans: Vec<ExpiringCredit>,
    /// Credit that each other daemon last reported as lendable.
    lenders: HashMap<HostId, Credit>,
    pending: Vec<PendingRequest>,
    requests_sent: u64,
    /// Differs between daemons, so that they choose different lenders.
    seed: u64,
}

impl SharedRetryBudget {
    /// Creates a budget without earned credit, and with the whole slack reserved for one window and the
    /// lifetime of a loan.
    pub fn new(settings: SharedRetryBudgetSettings, seed: u64) -> Self {
        Self {
            settings,
            savings: Credit::ZERO,
            debt: Credit::ZERO,
            reserved: Vec::new(),
            loans: Vec::new(),
            lenders: HashMap::new(),
            pending: Vec::new(),
            requests_sent: 0,
            seed,
        }
    }

    /// Replaces the settings; reserved slack stays reserved.
    pub fn configure(&mut self, settings: SharedRetryBudgetSettings) {
        self.settings = settings;
        self.savings = self.savings.min(self.savings_max());
    }

    /// Adds the credit that one accepted request earns; debt is repaid first.
    pub fn deposit(&mut self) {
        let Self { settings, debt, .. } = self;
        let repaid = settings.credit_per_request.min(*debt);
        *debt -= repaid;
        self.savings = (self.savings + settings.credit_per_request - repaid).min(self.savings_max());
    }

    /// Whether the balance covers `retries` more retries after the debt is repaid. False for zero retries if
    /// the debt exceeds the credit.
    pub fn can_afford(&self, now_us: MonoTime, retries: u64) -> bool {
        self.gross_balance(now_us) >= self.debt + Credit(retries * RETRY_COST.0)
    }

    /// Charges one retry if the balance covers it, and returns whether it did.
    pub fn try_withdraw(&mut self, now_us: MonoTime) -> bool {
        let is_affordable = self.can_afford(now_us, 1);
        if is_affordable {
            self.charge(now_us);
        }
        is_affordable
    }

    /// Charges one retry that was already made. A shortfall becomes debt, repaid from the credit that
    /// requests earn.
    pub fn charge(&mut self, now_us: MonoTime) {
        self.drop_expired(now_us);
        let mut unpaid = RETRY_COST;
        for loan in &mut self.loans {
            unpaid -= draw(&mut loan.credit, unpaid);
        }
        unpaid -= draw(&mut self.savings, unpaid);
        let from_slack = unpaid.min(self.free_slack(now_us));
        self.reserve_slack(now_us + self.settings.window_ms, from_slack);
        self.debt += unpaid - from_slack;
    }

    /// Credit that this daemon could lend at `now_us`.
    pub fn lendable(&self, now_us: MonoTime) -> Credit {
        self.free_slack(now_us).min(self.balance(now_us))
    }

    /// Lends up to `requested` credit to another daemon and returns the amount lent, which may be zero.
    pub fn lend(&mut self, now_us: MonoTime, requested: Credit) -> Credit {
        self.drop_expired(now_us);
        let lent = requested.min(self.lendable(now_us));
        self.reserve_slack(now_us + self.settings.window_ms + LOAN_TTL_MS, lent);
        lent
    }

    /// Records the credit that another daemon reports as lendable.
    pub fn update_lender(&mut self, host: &HostId, lendable: Credit) {
        match self.lenders.get_mut(host) {
            Some(known) => *known = lendable,
            None if lendable > Credit::ZERO => {
                self.lenders.insert(host.clone(), lendable);
            }
            None => {}
        }
    }

    /// Returns the loan request to send for the credit that `retries` retries lack. `None` if nothing is
    /// missing, if a request sent within the last [`LENDER_TIMEOUT_MS`] is unanswered, or if no other daemon
    /// has credit to lend.
    pub fn request_loan(&mut self, now_us: MonoTime, retries: u64) -> Option<LoanRequest> {
        let missing = (self.debt + Credit(retries * RETRY_COST.0)).saturating_sub(self.gross_balance(now_us));
        if missing == Credit::ZERO
            || self.pending.iter().any(|request| now_us < request.sent_us + LENDER_TIMEOUT_MS)
        {
            return None;
        }
        self.pending.retain(|request| now_us < request.sent_us + LOAN_TTL_MS);
        // A lender that did not answer has failed or is partitioned off; it reports its credit again once it
        // is back.
        for unanswered in &self.pending {
            self.lenders.insert(unanswered.lender.clone(), Credit::ZERO);
        }
        let lender = self.choose_lender()?;
        self.requests_sent += 1;
        self.pending.push(PendingRequest {
            number: self.requests_sent,
            lender: lender.clone(),
            sent_us: now_us,
        });
        Some(LoanRequest { lender, number: self.requests_sent, credit: missing })
    }

    /// Chooses among the daemons that have at least half of the largest lendable credit. When an engine
    /// fails, all daemons need retries at the same time; if all of them asked the daemon with the most
    /// credit, it could serve only the first.
    fn choose_lender(&self) -> Option<HostId> {
        let largest = self.lenders.values().copied().max().filter(|largest| *largest > Credit::ZERO)?;
        let rank = |host: &HostId| {
            let mut hasher = DefaultHasher::new();
            (self.seed, self.requests_sent, host.as_str()).hash(&mut hasher);
            hasher.finish()
        };
        let eligible = self.lenders.iter().filter(|(_, lendable)| lendable.0 * 2 >= largest.0);
        eligible.map(|(host, _)| host).min_by_key(|host| rank(host)).cloned()
    }

    /// Records the answer to a loan request: the credit lent, and what the lender can still lend. Ignores
    /// duplicate answers, and drops a loan that arrives so late that the lender may already have reclaimed
    /// it.
    pub fn receive(&mut self, now_us: MonoTime, number: u64, credit: Credit, lendable: Credit) {
        let Some(position) = self.pending.iter().position(|request| request.number == number) else {
            return;
        };
        let PendingRequest { lender, sent_us, .. } = self.pending.swap_remove(position);
        self.lenders.insert(lender, lendable);
        let until_us = sent_us + LOAN_TTL_MS;
        if now_us < until_us {
            self.loans.push(ExpiringCredit { expires_us: until_us, credit });
        }
    }

    /// Whether a loan is pending or another daemon has credit to lend.
    pub fn may_borrow(&self) -> bool {
        !self.pending.is_empty() || self.lenders.values().any(|lendable| *lendable > Credit::ZERO)
    }

    /// Credit available after the debt.
    pub fn balance(&self, now_us: MonoTime) -> Credit {
        self.gross_balance(now_us).saturating_sub(self.debt)
    }

    /// Credit before the debt is deducted.
    fn gross_balance(&self, now_us: MonoTime) -> Credit {
        let loans = self.loans.iter().filter(|loan| now_us < loan.expires_us);
        let lent = loans.fold(Credit::ZERO, |sum, loan| sum + loan.credit);
        lent + self.savings + self.free_slack(now_us)
    }

    /// Slack that is neither spent nor lent; zero until everything from before a restart has expired.
    fn free_slack(&self, now_us: MonoTime) -> Credit {
        let Self { settings, reserved, .. } = self;
        if now_us < MonoTime::default() + settings.window_ms + LOAN_TTL_MS {
            return Credit::ZERO;
        }
        let reserved = reserved.iter().filter(|reserved| now_us < reserved.expires_us);
        self.slack().saturating_sub(reserved.fold(Credit::ZERO, |sum, reserved| sum + reserved.credit))
    }

    fn reserve_slack(&mut self, until_us: MonoTime, credit: Credit) {
        if credit > Credit::ZERO {
            self.reserved.push(ExpiringCredit { expires_us: until_us, credit });
        }
    }

    /// Upper limit of earned credit, at most half of the slack share. The slack is reduced by the same
    /// amount, so a window spends at most the share plus what was earned within the window.
    fn savings_max(&self) -> Credit {
        SAVINGS_MAX.min(Credit(self.settings.slack_share.0 / 2))
    }

    fn slack(&self) -> Credit {
        self.settings.slack_share - self.savings_max()
    }

    fn drop_expired(&mut self, now_us: MonoTime) {
        self.reserved.retain(|reserved| now_us < reserved.expires_us);
        self.loans.retain(|loan| now_us < loan.expires_us && loan.credit > Credit::ZERO);
    }
}

/// Deducts up to `wanted` and returns the amount deducted.
fn draw(from: &mut Credit, wanted: Credit) -> Credit {
    let taken = wanted.min(*from);
    *from -= taken;
    taken
}
