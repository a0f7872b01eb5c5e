//! Settings of a daemon that relays by a table of routes.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

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
        let ratio_percent = (bounds.retry_ratio * 100.0).clamp(-1.0, f64::from(u32::MAX));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped, and negative is caught"
        )]
        let ratio_percent = if ratio_percent < 0.0 { u64::MAX } else { ratio_percent as u64 };
        let mut problems = Vec::new();
        for (key, value, range) in [
            ("bounds.grace_ms", bounds.grace_ms.0, GRACE_MS),
            ("bounds.retry_ratio", ratio_percent, RETRY_RATIO_PERCENT),
            ("bounds.retry_slack", bounds.retry_slack, RETRY_SLACK),
            ("capacity.descriptors", capacity.descriptors as u64, DESCRIPTORS),
        ] {
            check_number(text, key, value, range, &mut problems);
        }
        problems
    }
}

/// Below, no answer could end after the balancer has looked elsewhere; above, a host could not be taken out of use.
const GRACE_MS: RangeInclusive<u64> = 1_000..=600_000;

/// A ratio, in percent; more than ten further tries for each request are no retries any more.
const RETRY_RATIO_PERCENT: RangeInclusive<u64> = 0..=1_000;

/// Further tries beyond the ratio, of all daemons.
const RETRY_SLACK: RangeInclusive<u64> = 0..=100_000;

/// With fewer, callers and servers could not be connected at the same time.
const DESCRIPTORS: RangeInclusive<u64> = 256..=1_000_000;

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
}

/// What the installation allows.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Time between SIGTERM and SIGKILL.
    pub grace_ms: Millis,
    /// Further tries that all daemons together may make for each request of a service.
    pub retry_ratio: f64,
    /// Further tries that all daemons together may make beyond that, in a window of some seconds.
    pub retry_slack: u64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self { grace_ms: Millis(8_000), retry_ratio: 0.1, retry_slack: 20 }
    }
}

/// What the host gives to the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacitySettings {
    /// Descriptors. A quarter is kept for connections to servers, the store and other daemons.
    pub descriptors: usize,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self { descriptors: 4_096 }
    }
}
