//! Settings of a daemon in relay mode, which forwards requests by a route table.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use hibiscusvale_core::quota::QuotaBounds;
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Millis};
use serde::Deserialize;

use crate::settings::check::check_number;
use crate::settings::{HostSettings, ObserveSettings, SettingsError, SettingsProblem, parse_toml, read_text};

/// All settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Identity of the host.
    pub host: HostSettings,
    /// Listen addresses.
    pub listen: RelayListenSettings,
    /// Store of routes and servers.
    pub store: StoreSettings,
    /// How other daemons are found.
    #[serde(default)]
    pub peers: RelayPeerSettings,
    /// Limits of the installation.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Optional behaviour of the scheduler.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Resources of the host.
    #[serde(default)]
    pub capacity: CapacitySettings,
    /// Logging and observation.
    #[serde(default)]
    pub observe: ObserveSettings,
}

impl RelaySettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when the file cannot be read or its content is invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_text(path)?)
    }

    /// Checks settings given as TOML text.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with every problem found.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_toml(text)?;
        let problems = settings.problems(text);
        if problems.is_empty() { Ok(settings) } else { Err(SettingsError::Invalid(problems)) }
    }

    /// Finds values out of range, such as typing errors whose effect would show only in a failure.
    fn problems(&self, text: &str) -> Vec<SettingsProblem> {
        let Self { bounds, capacity, .. } = self;
        let mut problems = Vec::new();
        for (key, value, range) in [
            ("bounds.grace_s", bounds.grace_s, GRACE_S),
            ("bounds.retry_ratio", bounds.retry_ratio, RETRY_RATIO),
            ("bounds.retry_slack", bounds.retry_slack, RETRY_SLACK),
            ("bounds.retry_window_s", bounds.retry_window_s, RETRY_WINDOW_S),
            ("bounds.quota_window_s", bounds.quota_window_s, QUOTA_WINDOW_S),
            ("bounds.quota_overshoot", bounds.quota_overshoot, QUOTA_OVERSHOOT),
            ("bounds.quota_slack", bounds.quota_slack, QUOTA_SLACK),
            ("capacity.descriptors", capacity.descriptors, DESCRIPTORS),
        ] {
            check_number(text, key, value, range, &mut problems);
        }
        if let Some(link_mbps) = capacity.link_mbps {
            check_number(text, "capacity.link_mbps", link_mbps, LINK_MBPS, &mut problems);
        }
        if let Some(memory_mb) = capacity.memory_mb {
            check_number(text, "capacity.memory_mb", memory_mb, MEMORY_MB, &mut problems);
        }
        problems
    }
}

/// Time over which reads of the register are spread, in ms per retry of the shared slack.
const SPREAD_MS_PER_RETRY: f64 = 1.5;

/// Maximum of that time: callers wait for starting daemons.
const SPREAD_MS_MAX: f64 = 3_000.0;

/// Below 1 s, no answer could finish after the balancer has switched to other hosts; above 600 s, a host
/// could not be taken out of service.
const GRACE_S: RangeInclusive<f64> = 1.0..=600.0;

/// More than ten retries per request would no longer be retries.
const RETRY_RATIO: RangeInclusive<f64> = 0.0..=10.0;

/// Retries beyond the ratio, of all daemons together.
const RETRY_SLACK: RangeInclusive<f64> = 0.0..=100_000.0;

/// Below 1 s, reports of spent credit would arrive too late; above 3,600 s, a daemon would have to remember
/// retries for hours.
const RETRY_WINDOW_S: RangeInclusive<f64> = 1.0..=3_600.0;

/// Below 1 s, a quota would have to be enforced more precisely than daemons can agree on it.
const QUOTA_WINDOW_S: RangeInclusive<f64> = 1.0..=3_600.0;

/// An overshoot above the quota itself would no longer be a limit.
const QUOTA_OVERSHOOT: RangeInclusive<f64> = 0.0..=1.0;

/// Requests or tokens beyond the overshoot, of all daemons together.
const QUOTA_SLACK: RangeInclusive<f64> = 0.0..=1e12;

/// With fewer than 256, callers and servers could not be connected at the same time.
const DESCRIPTORS: RangeInclusive<f64> = 256.0..=1_000_000.0;

/// Below 1 Mbit/s, the messages between daemons alone would take longer than their timeout.
const LINK_MBPS: RangeInclusive<f64> = 1.0..=1_000_000.0;

/// With less than 4 MB, the part for answers would not hold the largest one that is buffered.
const MEMORY_MB: RangeInclusive<f64> = 4.0..=1_000_000.0;

/// Listen addresses of a daemon in relay mode.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayListenSettings {
    /// For callers, behind the load balancer.
    pub callers: SocketAddr,
    /// For the load balancer's readiness probe.
    pub readiness: SocketAddr,
    /// For other daemons, over UDP and TCP.
    pub peers: SocketAddr,
    /// For operators and metrics scraping; `None` disables it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Where routes and servers are read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

/// How other daemons are found when the store does not answer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayPeerSettings {
    /// Addresses of some hosts with daemons, which may no longer exist. The port is ignored: daemons listen
    /// on the same port everywhere.
    pub seeds: Vec<SocketAddr>,
    /// Whether all daemons of the installation start for the first time.
    pub first_start: bool,
}

/// Limits of the installation. All are fractional, so that they can be scaled with the installation.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Retries that all daemons together may make per request of a service.
    pub retry_ratio: f64,
    /// Retries that all daemons together may make beyond the ratio in each window.
    pub retry_slack: f64,
    /// Length of the retry window, in seconds.
    pub retry_window_s: f64,
    /// Length of the window in which quotas are counted, in seconds.
    pub quota_window_s: f64,
    /// Fraction of a quota that may be sent beyond it in a window.
    pub quota_overshoot: f64,
    /// Requests or tokens that may be sent beyond the overshoot in a window.
    pub quota_slack: f64,
}

impl BoundSettings {
    /// Precision with which quotas have to be enforced.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
    pub fn quota(&self) -> QuotaBounds {
        QuotaBounds {
            window_ms: Millis((self.quota_window_s * 1_000.0) as u64),
            overshoot: self.quota_overshoot,
            slack: self.quota_slack,
        }
    }

    /// Time over which daemons that start together spread their reads of the register. They do not know the
    /// number of daemons yet, so the shared retry slack serves as a measure of the size of the installation.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
    pub fn joining_spread(&self) -> Millis {
        Millis((self.retry_slack * SPREAD_MS_PER_RETRY).min(SPREAD_MS_MAX) as u64)
    }

    /// Time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Length of the window in which retries are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_slack: 20.0,
            retry_window_s: 10.0,
            quota_window_s: 8.0,
            quota_overshoot: 0.0,
            quota_slack: 0.0,
        }
    }
}

/// Optional behaviour of the scheduler.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulingSettings {
    /// For which services the speeds of single engines are measured, reported to other daemons and used for
    /// placement. As long as measured speeds differ by less than a quarter, it changes nothing.
    pub engine_speeds: UnevenServers,
    /// For which plain services daemons report the loads of servers to each other and choose servers by them. In
    /// virtual time with 73 daemons and one slow server no more calls were in time than without it.
    pub server_loads: UnevenServers,
    /// For which plain services without organisations daemons refuse at once what the servers cannot answer, instead of
    /// filling their queues. Services with organisations have shares in any case.
    pub overload_limit: UnevenServers,
}

/// Services whose servers are treated as uneven.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UnevenServers {
    /// None.
    #[default]
    Off,
    /// Those with a server that states how long work takes on its shared host.
    Stated,
    /// All.
    Always,
}

impl UnevenServers {
    /// Whether a service is treated so; `is_stated` tells whether one of its servers has stated the time of work.
    pub fn applies(self, is_stated: bool) -> bool {
        match self {
            Self::Off => false,
            Self::Stated => is_stated,
            Self::Always => true,
        }
    }
}

/// Resources of the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacitySettings {
    /// Limit of file descriptors; a fraction is rounded down.
    pub descriptors: f64,
    /// Bandwidth of the host's network link in Mbit/s; `None` if it is not known.
    pub link_mbps: Option<f64>,
    /// Memory of the host in MB, of which a part may be held in bodies and answers; without it there is no limit.
    pub memory_mb: Option<f64>,
}

/// Fraction of the file descriptors available to callers. The rest is for connections to servers, the store
/// and other daemons.
const CALLERS_FRACTION: f64 = 0.75;

/// Part of the link that the messages to other daemons may take. The rest is for requests and answers, each of which
/// passes the link twice.
const MESSAGES_FRACTION: f64 = 0.25;

/// Part of the memory that bodies and answers may take together. The daemon itself takes 8 to 28 MB, and the buffers of
/// a few hundred connections about as much.
const HELD_FRACTION: f64 = 0.25;

/// Bytes in a MB.
const BYTES_PER_MB: f64 = 1e6;

/// Bytes per second in a Mbit/s.
const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;

/// Bandwidth that messages count on where the link's is not known.
const ASSUMED_LINK_MBPS: f64 = 1_000.0;

fn link_part(link_mbps: f64, part: f64) -> BytesPerSecond {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
    let rate = (link_mbps * BYTES_PER_S_PER_MBPS * part) as u64;
    BytesPerSecond(rate)
}

impl CapacitySettings {
    /// Rate of the host's link in each direction; `None` if it is not known.
    pub fn link_rate(&self) -> Option<BytesPerSecond> {
        self.link_mbps.map(|link_mbps| link_part(link_mbps, 1.0))
    }

    /// Maximum rate of messages to other daemons.
    pub fn message_rate(&self) -> BytesPerSecond {
        link_part(self.link_mbps.unwrap_or(ASSUMED_LINK_MBPS), MESSAGES_FRACTION)
    }

    /// Maximum size of all bodies and answers that are held; `None` if there is no limit.
    pub fn held_bytes_max(&self) -> Option<Bytes> {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
        let bytes = |memory_mb: f64| (memory_mb * BYTES_PER_MB * HELD_FRACTION) as u64;
        self.memory_mb.map(bytes).map(Bytes)
    }

    /// Maximum number of open caller connections.
    pub fn caller_connections(&self) -> usize {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
        let connections = (self.descriptors * CALLERS_FRACTION) as usize;
        connections
    }
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self { descriptors: 4_096.0, link_mbps: None, memory_mb: None }
    }
}
