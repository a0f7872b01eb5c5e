//! Settings of a daemon, read from TOML and validated before the daemon starts.
//!
//! [`Settings::load`] rejects unknown keys and values out of range and reports the line, the key, the value and the
//! allowed range, so a mistake prevents the start instead of showing up under load.

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

/// All settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of this daemon.
    pub host: HostSettings,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// How to find and authenticate other daemons.
    pub peers: PeerSettings,
    /// Organisations that send requests.
    #[serde(default)]
    pub partners: BTreeMap<PartnerId, PartnerSettings>,
    /// Routes by path prefix to plain services.
    #[serde(default)]
    pub routes: Vec<RouteSettings>,
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Threads that serve traffic.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// Reading of configuration from the log and checkpoints in it.
    #[serde(default)]
    pub config: ConfigSettings,
    /// Timing of role changes and model loads of engines.
    #[serde(default)]
    pub shift: ShiftSettings,
    /// Logging and request history.
    #[serde(default)]
    pub observe: ObserveSettings,
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when the file cannot be read or is invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_text(path)?)
    }

    /// Parses and validates settings from TOML text.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with all problems found.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_toml(text)?;
        let problems = check::find_problems(&settings, text);
        if problems.is_empty() { Ok(settings) } else { Err(SettingsError::Invalid(problems)) }
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// [`SettingsError::Read`] with the I/O error.
pub fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: path.to_owned(), source })
}

/// Parses settings of one type from TOML text without range checks.
///
/// # Errors
///
/// [`SettingsError::Invalid`] with the position of the syntax error.
pub fn parse_toml<Type>(text: &str) -> Result<Type, SettingsError>
where
    Type: DeserializeOwned,
{
    toml::from_str(text).map_err(|error| SettingsError::Invalid(vec![error::syntax(text, &error)]))
}

/// Validates the settings file at `path`, for `hibiscusvaled check FILE`.
///
/// # Errors
///
/// Same as [`Settings::load`].
pub fn check(path: &Path) -> Result<(), SettingsError> {
    Settings::load(path).map(drop)
}

/// Identity of a daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host; unchanged when the host is replaced under the same address.
    pub id: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of the host.
    pub region: RegionId,
}

/// Listen addresses of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers, behind the platform's load balancer.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators and metrics scrapes; must not be reachable by callers.
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

/// Discovery and authentication of other daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Addresses to contact first; further peers are learned from the host list and from peers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Key of the message authentication code, 64 hex digits, the same on all daemons.
    pub key: MacKey,
    /// Time after the start for discovering peers before the daemon assumes that it is the only one.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: Millis,
}

const fn default_settle_ms() -> Millis {
    Millis(3_000)
}

/// Credentials of a partner, which do not come from the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// BLAKE3 hashes of the partner's bearer tokens, 64 hex digits each.
    pub token_hashes: Vec<TokenHash>,
    /// Ed25519 public key that verifies the partner's configuration records, 64 hex digits.
    pub publish_key: PublishKey,
}

/// Route for requests whose path starts with `prefix` to a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Path prefix; starts with `/`.
    pub prefix: String,
    /// Name of the service in the host list.
    pub service: String,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum number of callers' connections; further ones wait to be accepted.
    pub connections: usize,
    /// Maximum size of a request body.
    pub body_bytes: Bytes,
    /// Maximum total size of buffered request bodies; one partner may use half of it at most.
    pub held_body_bytes: Bytes,
    /// Maximum size of a request head.
    pub head_bytes: Bytes,
    /// Timeout for receiving a request head.
    pub head_timeout_ms: Millis,
    /// Timeout for receiving a request body.
    pub body_timeout_ms: Millis,
    /// Time without progress in sending a streamed response after which the caller is considered gone.
    pub stall_timeout_ms: Millis,
    /// Longest time beyond its first-token target for which a request waits for engines when its caller does not
    /// state how long it waits.
    pub late_wait_ms: Millis,
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
            late_wait_ms: Millis(5_000),
        }
    }
}

/// Threads that serve traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Number of threads.
    pub threads: usize,
    /// Time between reporting not ready and closing the listener, so that the load balancer can react.
    pub ready_grace_ms: Millis,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self { threads: 2, ready_grace_ms: Millis(3_000) }
    }
}

/// Reading of configuration from the log and checkpoints in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSettings {
    /// Number of daemons per data centre that read the log directly; the others receive records from peers.
    pub readers: usize,
    /// Longest time that a read waits at the log for new records (long polling).
    pub poll_wait_ms: Millis,
    /// Time that a new daemon waits for a peer's state before it accepts a log that starts at offset 0 as complete.
    pub genesis_wait_ms: Millis,
    /// Interval between checkpoints of the state in the log. Keep it below a quarter of the log's retention period.
    pub checkpoint_interval_ms: Millis,
    /// Additional delay of each further daemon before it writes a checkpoint that the preceding one has not written.
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

/// Timing of role changes and model loads of engines. The planner's other limits are not configurable because they
/// prevent oscillation.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShiftSettings {
    /// Time that an imbalance must persist before the planner reacts.
    pub hold_ms: Millis,
    /// Delay after a shift so that its effect becomes visible.
    pub cooldown_ms: Millis,
}

impl Default for ShiftSettings {
    fn default() -> Self {
        Self { hold_ms: Millis(30_000), cooldown_ms: Millis(120_000) }
    }
}

/// Logging and request history.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObserveSettings {
    /// Minimum severity that is logged.
    pub log_level: LogLevel,
    /// Number of finished requests kept for `hibiscusvale why`.
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
    /// Everything, including the steps of each request.
    Debug,
    /// Finished requests and state changes of the daemon.
    #[default]
    Info,
    /// Conditions that may need an operator's attention.
    Warn,
    /// Conditions that need an operator's attention.
    Error,
}
