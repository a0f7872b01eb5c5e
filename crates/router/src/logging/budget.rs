//! Rate limit for log lines of requests.
//!
//! One line per request helps to explain failures afterwards, but under heavy load logging would take CPU time from
//! serving requests. Lines above the limit are dropped, and their number is logged.

use std::sync::atomic::{AtomicU64, Ordering};

use hibiscusvale_core::units::MonoTime;

/// Maximum lines per second: fifteen times the present load of one daemon, at about one hundredth of its CPU time.
const LINES_PER_S: u64 = 200;

const MICROS_PER_S: u64 = 1_000_000;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineDecision {
    /// The line is written.
    Write {
        /// Number of lines dropped since the last written one.
        left_out: u64,
    },
    /// The line is dropped.
    Drop,
}

/// Counts lines per second.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

impl LineBudget {
    /// Requests permission for one line. Two threads may both detect a new second, which admits a few extra lines.
    pub fn take(&self, now_us: MonoTime) -> LineDecision {
        let second = now_us.0 / MICROS_PER_S;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        if self.written.fetch_add(1, Ordering::Relaxed) >= LINES_PER_S {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return LineDecision::Drop;
        }
        LineDecision::Write { left_out: self.left_out.swap(0, Ordering::Relaxed) }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/log_budget.rs"]
mod tests;
