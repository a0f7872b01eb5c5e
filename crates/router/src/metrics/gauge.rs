//! Gauges of the daemon.

use std::sync::atomic::{AtomicU64, Ordering};

/// Gauge that a daemon exports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gauge {
    /// Log offset up to which configuration is in force on this daemon.
    ConfigVersion,
    /// Milliseconds since the configuration stream was last read successfully, directly or through a peer.
    ConfigAgeMs,
    /// CPU time of control in millionths of a core. The budget is 28,000.
    ControlCpuPpm,
    /// Memory usage of control in bytes. The budget is 32 MB.
    ControlMemoryBytes,
    /// Bytes sent per second by control. The budget is 4,096.
    ControlSentBytesPerS,
    /// Number of requests in flight.
    RequestsInFlight,
    /// Number of requests queued for capacity.
    RequestsQueued,
    /// Number of daemons known to be live, over all data centres.
    HostsLive,
    /// Number of backend servers that accept work.
    BackendServersLive,
}

impl Gauge {
    /// All gauges.
    pub const ALL: [Self; 9] = [
        Self::ConfigVersion,
        Self::ConfigAgeMs,
        Self::ControlCpuPpm,
        Self::ControlMemoryBytes,
        Self::ControlSentBytesPerS,
        Self::RequestsInFlight,
        Self::RequestsQueued,
        Self::HostsLive,
        Self::BackendServersLive,
    ];

    /// Name of the exported metric.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConfigVersion => "hibiscusvale_config_version",
            Self::ConfigAgeMs => "hibiscusvale_config_age_ms",
            Self::ControlCpuPpm => "hibiscusvale_control_cpu_ppm",
            Self::ControlMemoryBytes => "hibiscusvale_control_memory_bytes",
            Self::ControlSentBytesPerS => "hibiscusvale_control_sent_bytes_per_s",
            Self::RequestsInFlight => "hibiscusvale_requests_in_flight",
            Self::RequestsQueued => "hibiscusvale_requests_queued",
            Self::HostsLive => "hibiscusvale_hosts_live",
            Self::BackendServersLive => "hibiscusvale_backend_servers_live",
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Gauges([AtomicU64; Gauge::ALL.len()]);

impl Gauges {
    pub(super) fn set(&self, gauge: Gauge, value: u64) {
        self.0[gauge as usize].store(value, Ordering::Relaxed);
    }

    pub(super) fn get(&self, gauge: Gauge) -> u64 {
        self.0[gauge as usize].load(Ordering::Relaxed)
    }
}
