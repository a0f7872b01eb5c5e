//! Credit that a daemon has leased and not used.

use crate::units::{Credit, Millis, MonoTime};

/// For how long leased credit may be used. Short beside the window of a quota, in which it may be used later than it was
/// charged; long enough that a busy daemon asks a few times a second only.
pub const LEASE_LIFE_MS: Millis = Millis(400);

#[derive(Clone, Copy, Debug)]
struct Lease {
    credit: Credit,
    until_us: MonoTime,
}

/// Credit that one daemon has leased from one organisation's quota.
#[derive(Clone, Debug, Default)]
pub struct LeasedCredit {
    /// Oldest first.
    leases: Vec<Lease>,
    /// Spent since `spent_from_us`.
    spent: Credit,
    spent_before: Credit,
    spent_from_us: MonoTime,
    /// Until when the quota is known to be used up for what costs at least so much.
    denied: Option<Lease>,
}

impl LeasedCredit {
    /// Adds credit that was asked for at `asked_us`.
    pub fn add(&mut self, asked_us: MonoTime, credit: Credit) {
        if credit > Credit::ZERO {
            self.leases.push(Lease { credit, until_us: asked_us + LEASE_LIFE_MS });
        }
    }

    /// Spends `credit` if so much was leased.
    pub fn spend(&mut self, now_us: MonoTime, credit: Credit) -> bool {
        let live = self.leases.iter().filter(|lease| now_us < lease.until_us);
        if live.fold(Credit::ZERO, |sum, lease| sum + lease.credit) < credit {
            return false;
        }
        let mut missing = credit;
        for lease in self.leases.iter_mut().filter(|lease| now_us < lease.until_us) {
            let taken = missing.min(lease.credit);
            lease.credit -= taken;
            missing -= taken;
        }
        self.leases.retain(|lease| lease.credit > Credit::ZERO);
        self.roll(now_us);
        self.spent += credit;
        true
    }

    /// Removes what ran out unused; it goes back to where it came from.
    pub fn take_expired(&mut self, now_us: MonoTime) -> Credit {
        let expired = self.leases.iter().filter(|lease| now_us >= lease.until_us);
        let credit = expired.fold(Credit::ZERO, |sum, lease| sum + lease.credit);
        self.leases.retain(|lease| now_us < lease.until_us);
        credit
    }

    /// What this daemon is likely to spend while a lease lives, by what it spent lately.
    pub fn likely(&mut self, now_us: MonoTime) -> Credit {
        self.roll(now_us);
        self.spent.max(self.spent_before)
    }

    /// Notes that the quota has no room for `credit` until so much later.
    pub fn deny(&mut self, now_us: MonoTime, credit: Credit, wait_ms: Millis) {
        self.denied = Some(Lease { credit, until_us: now_us + wait_ms });
    }

    /// How long `credit` is known not to be had. Asking again for each request of a surge would load the primary
    /// without any of them being served.
    pub fn denied_ms(&self, now_us: MonoTime, credit: Credit) -> Option<Millis> {
        let denied = self.denied.filter(|denied| now_us < denied.until_us && credit >= denied.credit)?;
        Some(denied.until_us.since(now_us).to_millis_ceil())
    }

    fn roll(&mut self, now_us: MonoTime) {
        let passed_ms = now_us.since(self.spent_from_us).to_millis_ceil();
        if passed_ms < LEASE_LIFE_MS {
            return;
        }
        let is_next = passed_ms.0 < 2 * LEASE_LIFE_MS.0;
        self.spent_before = if is_next { self.spent } else { Credit::ZERO };
        self.spent = Credit::ZERO;
        self.spent_from_us = now_us;
    }
}
