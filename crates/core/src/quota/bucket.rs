//! A token bucket.

use crate::units::{Credit, CreditPerSecond, Micros, Millis, MonoTime};

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A token bucket. It begins with what it is given, never with a full burst: a daemon that starts cannot know what was
/// spent before, and an empty bucket never holds more than the one it replaces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    rate: CreditPerSecond,
    burst: Credit,
    /// Below zero after a request that costs more than a burst.
    level: f64,
    filled_us: MonoTime,
}

impl Bucket {
    /// A bucket that holds `level` at `now_us`.
    pub fn new(now_us: MonoTime, rate: CreditPerSecond, burst: Credit, level: Credit) -> Self {
        Self { rate, burst, level: level.min(burst).0 as f64, filled_us: now_us }
    }

    /// Changes the limits from now on.
    pub fn configure(&mut self, now_us: MonoTime, rate: CreditPerSecond, burst: Credit) {
        self.fill(now_us);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst.0 as f64);
    }

    /// Takes `credit` if it is there. What costs more than a burst is let through by a full bucket and owed by it:
    /// it would never be let through otherwise.
    pub fn take(&mut self, now_us: MonoTime, credit: Credit) -> bool {
        self.fill(now_us);
        let is_there = self.level >= credit.min(self.burst).0 as f64;
        if is_there {
            self.level -= credit.0 as f64;
        }
        is_there
    }

    /// Takes back what was not spent.
    pub fn put_back(&mut self, now_us: MonoTime, credit: Credit) {
        self.fill(now_us);
        self.level = (self.level + credit.0 as f64).min(self.burst.0 as f64);
    }

    /// What it holds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturating"
    )]
    pub fn level(&mut self, now_us: MonoTime) -> Credit {
        self.fill(now_us);
        Credit(self.level.max(0.0) as u64)
    }

    /// Time until `credit` can be taken if nobody else takes any. `None` when it never can.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturating"
    )]
    pub fn wait_ms(&mut self, now_us: MonoTime, credit: Credit) -> Option<Millis> {
        self.fill(now_us);
        let missing = credit.min(self.burst).0 as f64 - self.level;
        if missing <= 0.0 {
            return Some(Millis::ZERO);
        }
        let wait_s = (self.rate.0 > 0).then(|| missing / self.rate.0 as f64)?;
        Some(Micros((wait_s * MICROS_PER_SECOND) as u64).to_millis_ceil())
    }

    fn fill(&mut self, now_us: MonoTime) {
        let passed_s = now_us.since(self.filled_us).0 as f64 / MICROS_PER_SECOND;
        self.level = (self.level + passed_s * self.rate.0 as f64).min(self.burst.0 as f64);
        self.filled_us = self.filled_us.max(now_us);
    }
}
