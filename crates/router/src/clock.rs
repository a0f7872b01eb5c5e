//! Monotonic clock of the process. Only I/O code and services read it; decision logic takes the time as an argument.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hibiscusvale_core::units::MonoTime;
use rustix::time::{ClockId, clock_gettime};

static START: LazyLock<Duration> = LazyLock::new(boot_time);

/// Time since the first call in this process, in microseconds. Reads `CLOCK_BOOTTIME`, which includes time that the
/// host spent suspended. `CLOCK_MONOTONIC` stops during suspend, so leases and KV caches that expired meanwhile would
/// still look valid.
pub fn now() -> MonoTime {
    MonoTime(u64::try_from(boot_time().saturating_sub(*START).as_micros()).unwrap_or(u64::MAX))
}

fn boot_time() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

/// Wall-clock time in milliseconds since the Unix epoch; for incarnations and display only, never for decisions.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
