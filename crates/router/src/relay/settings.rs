//! Settings of a daemon that relays by a table of routes.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use hibiscusvale_core::quota::QuotaBounds;
use hibiscusvale_core::units::Millis;
use serde::Deserialize;

use crate::settings::check::check_number;
use crate::settings::{HostSettings, ObserveSettings, SettingsError, SettingsProblem, parse_toml, read_text};

/// All settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Who this daemon is.
    pub host: HostSettings,
    /// Where it listens.
    pub listen: RelayListenSettings,
    /// Where it learns routes and servers.
    pub store: StoreSettings,
    /// The other daemons.
    #[serde(default)]
    pub peers: RelayPeerSettings,
    /// What the installation allows.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What the host gives.
    #[serde(default)]
    pub capacity: CapacitySettings,
    /// What the daemon tells about itself.
    #[serde(default)]
    pub observe: ObserveSettings,
}

impl RelaySettings {
    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when the file cannot be read or says something that cannot stand.
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

    /// Values out of range: slips of the keyboard whose effect would show only when something fails.
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
        problems
    }
}

/// Milliseconds over which reads of the register are spread, for each further try of all daemons.
const SPREAD_MS_PER_TRY: f64 = 1.5;

/// Longest such time: callers wait for daemons that start.
const SPREAD_MS_MAX: f64 = 3_000.0;

/// Below, no answer could end after the balancer has looked elsewhere; above, a host could not be taken out of use.
const GRACE_S: RangeInclusive<f64> = 1.0..=600.0;

/// More than ten further tries for each request are no retries any more.
const RETRY_RATIO: RangeInclusive<f64> = 0.0..=10.0;

/// Further tries beyond the ratio, of all daemons.
const RETRY_SLACK: RangeInclusive<f64> = 0.0..=100_000.0;

/// Below, word of what was spent would come too late; above, a daemon would have to remember tries for hours.
const RETRY_WINDOW_S: RangeInclusive<f64> = 1.0..=3_600.0;

/// Below, a quota would have to be kept more exactly than daemons can agree.
const QUOTA_WINDOW_S: RangeInclusive<f64> = 1.0..=3_600.0;

/// More than the whole quota beyond the quota is no limit any more.
const QUOTA_OVERSHOOT: RangeInclusive<f64> = 0.0..=1.0;

/// Requests or tokens beyond that, of all daemons.
const QUOTA_SLACK: RangeInclusive<f64> = 0.0..=1e12;

/// With fewer, callers and servers could not be connected at the same time.
const DESCRIPTORS: RangeInclusive<f64> = 256.0..=1_000_000.0;

/// Addresses that a relaying daemon listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayListenSettings {
    /// For callers, behind the balancer.
    pub callers: SocketAddr,
    /// For the balancer's question whether the daemon takes callers.
    pub readiness: SocketAddr,
    /// For other daemons, over UDP.
    pub peers: SocketAddr,
    /// For operators and scraping.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Where routes and servers are learned.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// How to find other daemons where the store does not tell.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayPeerSettings {
    /// Some hosts with daemons; they may be gone by now. The port does not count: daemons listen to each other on the
    /// same port everywhere.
    pub seeds: Vec<SocketAddr>,
    /// Whether all daemons of the installation start for the first time.
    pub first_start: bool,
}

/// What the installation allows. Figures of an installation that was scaled down or up are fractions.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Further tries that all daemons together may make for each request of a service.
    pub retry_ratio: f64,
    /// Further tries that all daemons together may make beyond that, in each window.
    pub retry_slack: f64,
    /// Length of that window, in seconds.
    pub retry_window_s: f64,
    /// Length of the window in which quotas are counted, in seconds.
    pub quota_window_s: f64,
    /// Part of a quota that may be sent beyond it in a window.
    pub quota_overshoot: f64,
    /// Requests or tokens that may be sent beyond that in a window.
    pub quota_slack: f64,
}

impl BoundSettings {
    /// How exactly quotas have to be kept.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
    pub fn quota(&self) -> QuotaBounds {
        QuotaBounds {
            window_ms: Millis((self.quota_window_s * 1_000.0) as u64),
            overshoot: self.quota_overshoot,
            slack: self.quota_slack,
        }
    }

    /// Time over which daemons that start together spread their reads of the register. How many daemons there are is what
    /// they do not know yet; the further tries that all of them may make together tell the size of the installation.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
    pub fn joining_spread(&self) -> Millis {
        Millis((self.retry_slack * SPREAD_MS_PER_TRY).min(SPREAD_MS_MAX) as u64)
    }

    /// Time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Length of the window in which further tries are counted.
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

/// What the host gives to the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacitySettings {
    /// Descriptors; a part of one is of no use and does not count.
    pub descriptors: f64,
}

/// Part of the descriptors that callers may take. The rest is for connections to servers, the store and other daemons.
const CALLERS_SHARE: f64 = 0.75;

impl CapacitySettings {
    /// Connections of callers that may be open at once.
    pub fn caller_connections(&self) -> usize {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
        let connections = (self.descriptors * CALLERS_SHARE) as usize;
        connections
    }
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self { descriptors: 4_096.0 }
    }
}
