//! The process's monotonic clock. Only edges and services read it; decisions get the time as an argument.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hibiscusvale_core::units::MonoTime;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time since the process first asked for it, on a clock that never goes back.
pub fn now() -> MonoTime {
    MonoTime(u64::try_from(START.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// Wall-clock milliseconds; for incarnations and for people, never for a decision.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
