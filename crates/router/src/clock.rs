//! The process's monotonic clock. Only edges and services read it; decisions get the time as an argument.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hibiscusvale_core::units::MonoTime;
use rustix::time::{ClockId, clock_gettime};

static START: LazyLock<Duration> = LazyLock::new(boot_time);

/// Time since the process first asked for it, on a clock that never goes back and that counts the time for which the
/// host was suspended. The usual monotonic clock does not: a lease or a KV cache that ran out meanwhile would look as
/// good as new.
pub fn now() -> MonoTime {
    MonoTime(u64::try_from(boot_time().saturating_sub(*START).as_micros()).unwrap_or(u64::MAX))
}

fn boot_time() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

/// Wall-clock milliseconds; for incarnations and for people, never for a decision.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
