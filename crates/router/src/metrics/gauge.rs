//! Values that go up and down.

use std::sync::atomic::{AtomicU64, Ordering};

/// What a daemon shows of its present state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gauge {
    /// Offset up to which configuration is in force here.
    ConfigVersion,
    /// Time since the last successful read of the configuration stream, here or through a peer.
    ConfigAgeMs,
    /// Processor time that control takes, in millionths of a core. The budget is 28,000.
    ControlCpuPpm,
    /// Memory that control takes. The budget is 32 MB.
    ControlMemoryBytes,
    /// Bytes a second sent for control. The budget is 4,096.
    ControlSentBytesPerS,
    /// Requests that are running.
    RequestsInFlight,
    /// Requests that wait for capacity.
    RequestsQueued,
    /// Daemons known to live, in all data centres.
    HostsLive,
    /// Backend servers that take work.
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

    /// Name of the metric.
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
