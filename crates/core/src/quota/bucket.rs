//! Token bucket.

use crate::units::{Credit, CreditPerSecond, Micros, Millis, MonoTime};

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Token bucket with a caller-defined initial level rather than a full burst: a restarted daemon does not
/// know what was spent before, and a bucket that starts empty never holds more than the one it replaces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    rate: CreditPerSecond,
    burst: Credit,
    /// Negative after a request that costs more than the burst.
    level: f64,
    refilled_us: MonoTime,
}

impl Bucket {
    /// Creates a bucket that holds `level`, at most `burst`, at `now_us`.
    pub fn new(now_us: MonoTime, rate: CreditPerSecond, burst: Credit, level: Credit) -> Self {
        Self { rate, burst, level: level.min(burst).0 as f64, refilled_us: now_us }
    }

    /// Replaces rate and burst from `now_us` on; the level is cut to the new burst.
    pub fn configure(&mut self, now_us: MonoTime, rate: CreditPerSecond, burst: Credit) {
        self.refill(now_us);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst.0 as f64);
    }

    /// Takes `credit` if it is available. A full bucket admits a request that costs more than the burst and
    /// goes into debt; such a request would never be admitted otherwise.
    pub fn try_take(&mut self, now_us: MonoTime, credit: Credit) -> bool {
        self.refill(now_us);
        let is_available = self.level >= credit.min(self.burst).0 as f64;
        if is_available {
            self.level -= credit.0 as f64;
        }
        is_available
    }

    /// Returns unspent credit, up to the burst.
    pub fn refund(&mut self, now_us: MonoTime, credit: Credit) {
        self.refill(now_us);
        self.level = (self.level + credit.0 as f64).min(self.burst.0 as f64);
    }

    /// Available credit; zero while the bucket is in debt.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturating"
    )]
    pub fn level(&mut self, now_us: MonoTime) -> Credit {
        self.refill(now_us);
        Credit(self.level.max(0.0) as u64)
    }

    /// Time until `credit` can be taken if nothing else is taken. `None` if it is not available and the rate
    /// is zero.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturating"
    )]
    pub fn wait_ms(&mut self, now_us: MonoTime, credit: Credit) -> Option<Millis> {
        self.refill(now_us);
        let missing = credit.min(self.burst).0 as f64 - self.level;
        if missing <= 0.0 {
            return Some(Millis::ZERO);
        }
        let wait_s = (self.rate.0 > 0).then(|| missing / self.rate.0 as f64)?;
        Some(Micros((wait_s * MICROS_PER_SECOND) as u64).to_millis_ceil())
    }

    fn refill(&mut self, now_us: MonoTime) {
        let elapsed_s = now_us.since(self.refilled_us).0 as f64 / MICROS_PER_SECOND;
        self.level = (self.level + elapsed_s * self.rate.0 as f64).min(self.burst.0 as f64);
        self.refilled_us = self.refilled_us.max(now_us);
    }
}
