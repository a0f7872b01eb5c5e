//! Settings of a daemon, read from TOML and checked before anything starts.
//!
//! [`Settings::load`] refuses unknown keys and values out of range with the key, the value, what is allowed
//! and the line, so that a mistake stops one start instead of showing up under load.

pub(crate) mod check;
mod error;
mod secret;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use hibiscusvale_core::ids::{DataCentreId, HostId, PartnerId, RegionId};
use hibiscusvale_core::units::{Bytes, Millis};
use serde::Deserialize;
use serde::de::DeserializeOwned;

pub use crate::settings::error::{SettingsError, SettingsProblem};
pub use crate::settings::secret::{MacKey, PublishKey, TokenHash};

/// All settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this daemon is.
    pub host: HostSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// The other daemons.
    pub peers: PeerSettings,
    /// The organisations that send requests.
    #[serde(default)]
    pub partners: BTreeMap<PartnerId, PartnerSettings>,
    /// Path prefixes of plain services.
    #[serde(default)]
    pub routes: Vec<RouteSettings>,
    /// Bounds on what callers send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Traffic threads.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// How configuration is read from the log and kept in it.
    #[serde(default)]
    pub config: ConfigSettings,
    /// When engines change role and load models.
    #[serde(default)]
    pub shift: ShiftSettings,
    /// What the daemon tells about itself.
    #[serde(default)]
    pub observe: ObserveSettings,
}

impl Settings {
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
        let problems = check::problems(&settings, text);
        if problems.is_empty() { Ok(settings) } else { Err(SettingsError::Invalid(problems)) }
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// [`SettingsError::Read`].
pub fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: path.to_owned(), source })
}

/// Reads settings of one type from TOML text.
///
/// # Errors
///
/// [`SettingsError::Invalid`] with the line of what is not understood.
pub fn parse_toml<Type>(text: &str) -> Result<Type, SettingsError>
where
    Type: DeserializeOwned,
{
    toml::from_str(text).map_err(|error| SettingsError::Invalid(vec![error::syntax(text, &error)]))
}

/// Checks the settings file at `path` and does nothing else: `hibiscusvaled check FILE`.
///
/// # Errors
///
/// As [`Settings::load`].
pub fn check(path: &Path) -> Result<(), SettingsError> {
    Settings::load(path).map(drop)
}

/// Who a daemon is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host; stays the same when the host is replaced under the same address.
    pub id: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers, behind the platform's balancer.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators and scraping; not reachable by callers.
    pub operators: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// How to find and trust other daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Addresses to ask first; the host list and the peers themselves give the rest.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Key of the message authentication code, 64 hex digits, the same on all daemons.
    pub key: MacKey,
    /// Time that a daemon gives itself after its start to meet others before it takes itself for the only one.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: Millis,
}

const fn default_settle_ms() -> Millis {
    Millis(3_000)
}

/// What is known of a partner without the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// BLAKE3 hashes of its bearer tokens, 64 hex digits each.
    pub token_hashes: Vec<TokenHash>,
    /// Ed25519 key that its configuration records are signed with, 64 hex digits.
    pub publish_key: PublishKey,
}

/// Sends requests whose path starts with `prefix` to a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Start of the path.
    pub prefix: String,
    /// Name of the service in the host list.
    pub service: String,
}

/// Bounds on what callers send.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Callers' connections at a time; more wait to be accepted.
    pub connections: usize,
    /// Largest request body.
    pub body_bytes: Bytes,
    /// All request bodies held at a time; half of it is for one partner at most.
    pub held_body_bytes: Bytes,
    /// Largest request head.
    pub head_bytes: Bytes,
    /// Time for a request head to arrive.
    pub head_timeout_ms: Millis,
    /// Time for a request body to arrive.
    pub body_timeout_ms: Millis,
    /// Time for which a caller may take nothing of a streamed answer before it counts as gone.
    pub stall_timeout_ms: Millis,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 8_192,
            body_bytes: Bytes(4 << 20),
            held_body_bytes: Bytes(128 << 20),
            head_bytes: Bytes(32 << 10),
            head_timeout_ms: Millis(5_000),
            body_timeout_ms: Millis(15_000),
            stall_timeout_ms: Millis(30_000),
        }
    }
}

/// Threads that carry traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Number of threads.
    pub threads: usize,
    /// Time between readiness failing and the listener closing, for the balancer to notice.
    pub ready_grace_ms: Millis,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self { threads: 2, ready_grace_ms: Millis(3_000) }
    }
}

/// How configuration is read from the log and kept in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSettings {
    /// Daemons in each data centre that read the log themselves; the others get records from peers.
    pub readers: usize,
    /// Longest time that one read waits at the log for news.
    pub poll_wait_ms: Millis,
    /// Time that a new daemon waits for a peer's state before it believes that a log beginning at offset 0 is
    /// all there is.
    pub genesis_wait_ms: Millis,
    /// Time after which the state is written to the log again. Keep it under a quarter of the time for which
    /// the log keeps records.
    pub checkpoint_interval_ms: Millis,
    /// Time that each further daemon waits before it writes the checkpoint that an earlier one should have.
    pub checkpoint_step_ms: Millis,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            readers: 3,
            poll_wait_ms: Millis(2_000),
            genesis_wait_ms: Millis(2_000),
            checkpoint_interval_ms: Millis(600_000),
            checkpoint_step_ms: Millis(2_000),
        }
    }
}

/// When engines change role and load models. The other limits of the planner are not for operators: they keep it
/// from undoing its own work.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShiftSettings {
    /// How long an imbalance must last before anything is done about it.
    pub hold_ms: Millis,
    /// Pause after a shift, for its effect to show.
    pub cooldown_ms: Millis,
}

impl Default for ShiftSettings {
    fn default() -> Self {
        Self { hold_ms: Millis(30_000), cooldown_ms: Millis(120_000) }
    }
}

/// What the daemon tells about itself.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObserveSettings {
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Finished requests that `hibiscusvale why` can still explain.
    pub recent_requests: usize,
}

impl Default for ObserveSettings {
    fn default() -> Self {
        Self { log_level: LogLevel::Info, recent_requests: 4_096 }
    }
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Everything, each request's steps included.
    Debug,
    /// Each finished request, and what changes in the daemon.
    #[default]
    Info,
    /// What an operator may want to look into.
    Warn,
    /// What an operator has to look into.
    Error,
}
