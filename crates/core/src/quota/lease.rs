//! Credit that a daemon leased from a quota and has not spent.

use crate::units::{Credit, Millis, MonoTime};

/// Lifetime of leased credit. It is short compared with the quota window, since a daemon may spend credit up
/// to this long after the quota was charged for it, and long enough that a busy daemon requests credit only a
/// few times per second.
pub const LEASE_TTL_MS: Millis = Millis(400);

#[derive(Clone, Copy, Debug)]
struct Lease {
    credit: Credit,
    expires_us: MonoTime,
}

/// Credit that one daemon leased from the quota of one organisation.
#[derive(Clone, Debug, Default)]
pub struct LeasedCredit {
    /// Ordered from oldest to newest.
    leases: Vec<Lease>,
    /// Credit spent since `period_start_us`.
    spent: Credit,
    spent_in_previous: Credit,
    period_start_us: MonoTime,
    /// Last denial: requests that cost at least this credit are denied until the expiry time.
    denied: Option<Lease>,
}

impl LeasedCredit {
    /// Adds credit requested at `requested_us`; it expires [`LEASE_TTL_MS`] later.
    pub fn add(&mut self, requested_us: MonoTime, credit: Credit) {
        if credit > Credit::ZERO {
            self.leases.push(Lease { credit, expires_us: requested_us + LEASE_TTL_MS });
        }
    }

    /// Spends `credit` and returns true if the valid leases cover it; otherwise changes nothing.
    pub fn spend(&mut self, now_us: MonoTime, credit: Credit) -> bool {
        let valid = self.leases.iter().filter(|lease| now_us < lease.expires_us);
        if valid.fold(Credit::ZERO, |sum, lease| sum + lease.credit) < credit {
            return false;
        }
        let mut remaining = credit;
        for lease in self.leases.iter_mut().filter(|lease| now_us < lease.expires_us) {
            let taken = remaining.min(lease.credit);
            lease.credit -= taken;
            remaining -= taken;
        }
        self.leases.retain(|lease| lease.credit > Credit::ZERO);
        self.roll_period(now_us);
        self.spent += credit;
        true
    }

    /// Removes expired leases and returns their unspent credit, which is refunded to the ledger.
    pub fn take_expired(&mut self, now_us: MonoTime) -> Credit {
        let expired = self.leases.iter().filter(|lease| now_us >= lease.expires_us);
        let credit = expired.fold(Credit::ZERO, |sum, lease| sum + lease.credit);
        self.leases.retain(|lease| now_us < lease.expires_us);
        credit
    }

    /// Credit that this daemon is expected to spend within the lifetime of a lease: the larger of the amounts
    /// spent in the current and the previous period.
    pub fn expected_spend(&mut self, now_us: MonoTime) -> Credit {
        self.roll_period(now_us);
        self.spent.max(self.spent_in_previous)
    }

    /// Records that the quota cannot cover `credit` for the next `wait_ms`.
    pub fn record_denial(&mut self, now_us: MonoTime, credit: Credit, wait_ms: Millis) {
        self.denied = Some(Lease { credit, expires_us: now_us + wait_ms });
    }

    /// Remaining time for which a request of this cost is known to be denied. `None` if it may be granted.
    /// Under overload, this spares the primary one credit request for each request that it would deny.
    pub fn denied_ms(&self, now_us: MonoTime, credit: Credit) -> Option<Millis> {
        let denied = self.denied.filter(|denied| now_us < denied.expires_us && credit >= denied.credit)?;
        Some(denied.expires_us.since(now_us).to_millis_ceil())
    }

    fn roll_period(&mut self, now_us: MonoTime) {
        let elapsed_ms = now_us.since(self.period_start_us).to_millis_ceil();
        if elapsed_ms < LEASE_TTL_MS {
            return;
        }
        let is_adjacent = elapsed_ms.0 < 2 * LEASE_TTL_MS.0;
        self.spent_in_previous = if is_adjacent { self.spent } else { Credit::ZERO };
        self.spent = Credit::ZERO;
        self.period_start_us = now_us;
    }
}
