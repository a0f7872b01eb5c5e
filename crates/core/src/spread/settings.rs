//! Settings of dissemination.

use crate::units::Millis;

/// Intervals, timeouts and limits of dissemination. The defaults are derived in `docs/MEMBERSHIP.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpreadSettings {
    /// Interval between ticks; each sends one digest within the data centre.
    pub tick_ms: Millis,
    /// Number of neighbours to which new data is forwarded at once.
    pub fanout: usize,
    /// Number of daemons per data centre that read the configuration stream from the log.
    pub readers: usize,
    /// Number of daemons per data centre that exchange messages with other data centres.
    pub bridges: usize,
    /// Interval between digests of a bridge to other data centres.
    pub bridge_interval_ms: Millis,
    /// Maximum bytes of delivered records retained for peers that lack them.
    pub retained_bytes: usize,
    /// Record size in bytes above which the content is not relayed.
    pub elided_above_bytes: usize,
    /// Maximum bytes of one response or one part of a state.
    pub part_bytes: usize,
    /// Time without a response after which another daemon is asked.
    pub retry_ms: Millis,
    /// Time after which an status observation expires unless it is renewed.
    pub status_ttl_ms: Millis,
    /// Maximum number of status observations kept.
    pub max_statuses: usize,
    /// Maximum number of status observations per message.
    pub statuses_per_message: usize,
    /// Interval between partial loads of a daemon.
    pub partial_load_ms: Millis,
    /// Interval between load summaries of a data centre.
    pub load_ms: Millis,
    /// Age at which a load summary or partial load expires.
    pub load_expires_ms: Millis,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            tick_ms: Millis(400),
            fanout: 2,
            readers: 3,
            bridges: 3,
            bridge_interval_ms: Millis(1_000),
            retained_bytes: 256 << 10,
            elided_above_bytes: 8 << 10,
            part_bytes: 4 << 10,
            retry_ms: Millis(1_000),
            status_ttl_ms: Millis(120_000),
            max_statuses: 4_096,
            statuses_per_message: 16,
            partial_load_ms: Millis(7_500),
            load_ms: Millis(15_000),
            load_expires_ms: Millis(50_000),
        }
    }
}
