//! Resource usage of the control plane on this host (processor time, memory, bytes sent), compared with its
//! budget.

use crate::units::{Bytes, BytesPerSecond, Micros, MonoTime};

/// Share of processor time, in millionths of one core.
#[derive(
    Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct CoreShare(pub u64);

impl std::fmt::Display for CoreShare {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.2} % of a core", self.0 as f64 / 10_000.0)
    }
}

/// Resource budget of the control plane on one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlBudget {
    /// Processor time.
    pub core_share: CoreShare,
    /// Memory of the process that is attributed to control.
    pub memory_bytes: Bytes,
    /// Rate of bytes sent to other daemons for control.
    pub sent_bytes_per_s: BytesPerSecond,
}

impl Default for ControlBudget {
    fn default() -> Self {
        Self {
            core_share: CoreShare(28_000),
            memory_bytes: Bytes(32 << 20),
            sent_bytes_per_s: BytesPerSecond(4_096),
        }
    }
}

/// Totals since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ControlTotals {
    /// Processor time of the control threads.
    pub cpu_us: Micros,
    /// Memory of the process that is attributed to control, at the time of reading.
    pub memory_bytes: Bytes,
    /// Bytes sent to other daemons for control; bytes sent on behalf of requests are counted separately.
    pub sent_bytes: Bytes,
}

/// Current resource usage of the control plane.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ControlUsage {
    /// Average processor time over the window.
    pub core_share: CoreShare,
    /// Memory at the end of the window.
    pub memory_bytes: Bytes,
    /// Average rate of bytes sent over the window.
    pub sent_bytes_per_s: BytesPerSecond,
}

impl ControlUsage {
    /// Whether any resource exceeds `budget`.
    pub fn is_over(&self, budget: &ControlBudget) -> bool {
        self.core_share > budget.core_share
            || self.memory_bytes > budget.memory_bytes
            || self.sent_bytes_per_s > budget.sent_bytes_per_s
    }
}

/// Computes usage rates from totals.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlMeter {
    last: Option<(MonoTime, ControlTotals)>,
    usage: ControlUsage,
}

const MICROS_PER_SECOND: u64 = 1_000_000;

fn per_second(amount: u64, span_us: Micros) -> u64 {
    let scaled = u128::from(amount) * u128::from(MICROS_PER_SECOND) / u128::from(span_us.0.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

impl ControlMeter {
    /// Adds a sample of totals and returns the usage since the previous sample.
    pub fn sample(&mut self, now_us: MonoTime, totals: ControlTotals) -> ControlUsage {
        if let Some((last_us, last)) = self.last {
            let span_us = now_us.since(last_us);
            if span_us == Micros::ZERO {
                return self.usage;
            }
            self.usage = ControlUsage {
                core_share: CoreShare(per_second((totals.cpu_us - last.cpu_us).0, span_us)),
                memory_bytes: totals.memory_bytes,
                sent_bytes_per_s: BytesPerSecond(per_second(
                    (totals.sent_bytes - last.sent_bytes).0,
                    span_us,
                )),
            };
        }
        self.last = Some((now_us, totals));
        self.usage
    }

    /// Usage as of the last sample.
    pub fn usage(&self) -> ControlUsage {
        self.usage
    }
}
