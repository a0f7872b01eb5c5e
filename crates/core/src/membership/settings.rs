//! Settings of membership.

use crate::units::{Micros, Millis};

/// How often daemons speak and how long silence may last. The defaults are worked out in
/// `docs/MEMBERSHIP.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Time between two ticks; each sends one gossip inside the data centre.
    pub tick_ms: Millis,
    /// Age of the newest heartbeat at which a daemon is suspected and asked directly.
    pub suspect_after_ms: Millis,
    /// Age of the newest heartbeat at which a daemon is taken for dead and its work moves.
    pub dead_after_ms: Millis,
    /// Time between two statements about the own data centre when nothing changes.
    pub statement_ms: Millis,
    /// Age of the newest statement at which a whole data centre is taken for unreachable.
    pub unreachable_after_ms: Millis,
    /// Time between two messages of a bridge to another data centre.
    pub bridge_ms: Millis,
    /// Daemons of each data centre that speak to other data centres.
    pub bridges: usize,
    /// Time between two attempts to reach a daemon that is listed, named as a seed or dead.
    pub contact_ms: Millis,
    /// Time after which a dead daemon is forgotten.
    pub forget_after_ms: Millis,
    /// Silence of a life after which an older life of the same host is believed again: its clock was wrong.
    pub old_life_after_ms: Millis,
    /// Time that a newcomer gives itself to meet others before it takes itself for the only daemon.
    pub settle_ms: Millis,
    /// Heartbeats in one message at most; the freshest go first. Bounds the bytes of a large data centre.
    pub heartbeats_per_message: usize,
    /// Records in one message at most.
    pub records_per_message: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            tick_ms: Millis(400),
            suspect_after_ms: Millis(4_000),
            dead_after_ms: Millis(8_000),
            statement_ms: Millis(5_000),
            unreachable_after_ms: Millis(30_000),
            bridge_ms: Millis(1_000),
            bridges: 3,
            contact_ms: Millis(5_000),
            forget_after_ms: Millis(3_600_000),
            old_life_after_ms: Millis(60_000),
            settle_ms: Millis(3_000),
            heartbeats_per_message: 128,
            records_per_message: 24,
        }
    }
}

impl MembershipSettings {
    /// A gap between two ticks above which this daemon was paused, and silence of others proves nothing.
    pub(crate) fn pause_us(&self) -> Micros {
        Micros::from(Millis(self.tick_ms.0 * 4))
    }
}
