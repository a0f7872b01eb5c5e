//! How many lines requests may write.
//!
//! One line for each request is what explains a failure afterwards, and in a storm of requests it would take the
//! processor from serving them. Beyond the bound lines are left out, counted, and their number is said.

use std::sync::atomic::{AtomicU64, Ordering};

use hibiscusvale_core::units::MonoTime;

/// Lines in a second: fifteen times the load of today on one daemon, and one in a hundred of its processor.
const LINES_PER_S: u64 = 200;

const MICROS_PER_S: u64 = 1_000_000;

/// What becomes of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Line {
    /// It is written, and so many before it were not.
    Write {
        /// Lines that were left out since the last one that was written.
        left_out: u64,
    },
    /// It is left out.
    LeaveOut,
}

/// Counts lines by the second.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

impl LineBudget {
    /// Asks for one line. Two threads may see a new second at once; a few lines more do no harm.
    pub fn take(&self, now_us: MonoTime) -> Line {
        let second = now_us.0 / MICROS_PER_S;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        if self.written.fetch_add(1, Ordering::Relaxed) >= LINES_PER_S {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return Line::LeaveOut;
        }
        Line::Write { left_out: self.left_out.swap(0, Ordering::Relaxed) }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/log_budget.rs"]
mod tests;
