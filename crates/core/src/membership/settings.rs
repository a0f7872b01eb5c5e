//! Settings of the membership protocol.

use crate::units::{Micros, Millis};

/// Intervals, timeouts and limits of the membership protocol. The defaults are derived in
/// `docs/MEMBERSHIP.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Interval between ticks; each sends one gossip message within the data centre.
    pub tick_ms: Millis,
    /// Heartbeat age at which a daemon becomes suspect and is pinged.
    pub suspect_after_ms: Millis,
    /// Heartbeat age at which a daemon is declared dead and the live daemons take over its jobs.
    pub dead_after_ms: Millis,
    /// Interval between membership summaries of the local data centre when nothing changes.
    pub summary_interval_ms: Millis,
    /// Age of the newest summary at which a whole data centre counts as unreachable.
    pub unreachable_after_ms: Millis,
    /// Interval between messages to other data centres, sent by each bridge daemon.
    pub bridge_interval_ms: Millis,
    /// Number of bridge daemons per data centre, which exchange messages with other data centres.
    pub bridges: usize,
    /// Interval between attempts to contact a seed, a listed host or a dead daemon.
    pub contact_interval_ms: Millis,
    /// Time after which a dead daemon is removed.
    pub forget_after_ms: Millis,
    /// Time without heartbeats of an incarnation after which a smaller incarnation of the same host is
    /// accepted. Needed when the clock of the host was ahead and has been corrected.
    pub old_incarnation_after_ms: Millis,
    /// Time that a new daemon without live peers waits for them before it takes over jobs.
    pub settle_ms: Millis,
    /// Maximum heartbeats per message, freshest first. Limits message size in large data centres.
    pub heartbeats_per_message: usize,
    /// Maximum member records per message.
    pub records_per_message: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            tick_ms: Millis(400),
            suspect_after_ms: Millis(4_000),
            dead_after_ms: Millis(8_000),
            summary_interval_ms: Millis(5_000),
            unreachable_after_ms: Millis(30_000),
            bridge_interval_ms: Millis(1_000),
            bridges: 3,
            contact_interval_ms: Millis(5_000),
            forget_after_ms: Millis(3_600_000),
            old_incarnation_after_ms: Millis(60_000),
            settle_ms: Millis(3_000),
            heartbeats_per_message: 128,
            records_per_message: 24,
        }
    }
}

impl MembershipSettings {
    /// Interval between two ticks above which this process counts as suspended. Missing heartbeats of other
    /// daemons are then no evidence of their failure.
    pub(crate) fn pause_us(&self) -> Micros {
        Micros::from(Millis(self.tick_ms.0 * 4))
    }
}
