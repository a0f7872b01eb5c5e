//! Settings of spreading.

use crate::units::Millis;

/// How configuration, signs and load travel. The defaults are worked out in `docs/MEMBERSHIP.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpreadSettings {
    /// Time between two ticks; each sends one digest inside the data centre.
    pub tick_ms: Millis,
    /// Neighbours to which news is passed on at once.
    pub fanout: usize,
    /// Daemons of each data centre that read the configuration stream from the log.
    pub readers: usize,
    /// Daemons of each data centre that speak to other data centres.
    pub bridges: usize,
    /// Time between two digests of a bridge to another data centre.
    pub bridge_ms: Millis,
    /// Bytes of records kept for those who lack them.
    pub kept_bytes: usize,
    /// Record size above which the record is not passed on.
    pub elided_above_bytes: usize,
    /// Bytes of one answer or one part of a state.
    pub part_bytes: usize,
    /// Time without an answer after which somebody else is asked.
    pub retry_ms: Millis,
    /// Time after which a sign is forgotten unless it is seen again.
    pub sign_ms: Millis,
    /// Signs kept at most.
    pub signs: usize,
    /// Signs in one message at most.
    pub signs_per_message: usize,
    /// Time between two partial loads of a daemon.
    pub partial_load_ms: Millis,
    /// Time between two load summaries of a data centre.
    pub load_ms: Millis,
    /// Age at which a load says nothing any more.
    pub load_expires_ms: Millis,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            tick_ms: Millis(400),
            fanout: 2,
            readers: 3,
            bridges: 3,
            bridge_ms: Millis(1_000),
            kept_bytes: 256 << 10,
            elided_above_bytes: 8 << 10,
            part_bytes: 4 << 10,
            retry_ms: Millis(1_000),
            sign_ms: Millis(120_000),
            signs: 4_096,
            signs_per_message: 16,
            partial_load_ms: Millis(7_500),
            load_ms: Millis(15_000),
            load_expires_ms: Millis(50_000),
        }
    }
}
