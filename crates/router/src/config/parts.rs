//! Inputs, outputs and events of the configuration service.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ed25519_dalek::VerifyingKey;
use hibiscusvale_core::config::{CheckpointKey, ConfigState, LogView, PublisherKeys, SeenCheckpoint};
use hibiscusvale_core::ids::{HostId, Offset, PartnerId};
use hibiscusvale_core::membership::MembersView;
use hibiscusvale_core::spread::{SpreadEvent, StateHash};
use tokio::sync::{mpsc, watch};

use crate::external::{Log, LogFailure};
use crate::logging;
use crate::metrics::{Label, Metrics};
use crate::settings::{ConfigSettings, Settings};

/// Dependencies of the configuration service.
#[derive(Debug)]
pub struct ConfigParts {
    /// Settings of the service.
    pub settings: ConfigSettings,
    /// Host of this daemon.
    pub host: HostId,
    /// Verifying keys of the partners.
    pub keys: PublisherKeys,
    /// Key that authenticates checkpoints among daemons.
    pub checkpoint_key: CheckpointKey,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// Membership view.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Inbox of the spreading service. If `None`, the daemon always reads the log itself.
    pub spread: Option<mpsc::Sender<SpreadEvent>>,
    /// Log output.
    pub logging: logging::Log,
    /// Metrics.
    pub metrics: Metrics,
}

/// What the configuration service publishes.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    /// Configuration in force.
    pub state: Arc<ArcSwap<ConfigState>>,
    /// Progress relative to the log and to peers.
    pub status: Arc<ArcSwap<ConfigStatus>>,
    /// First offset that is not yet applied; notifies on each change.
    pub version: watch::Receiver<Offset>,
    /// Whether the configuration is known and has been up to date once. Part of readiness.
    pub is_ready: watch::Receiver<bool>,
}

/// Progress of the configuration service relative to the log and to peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigStatus {
    /// First offset that is not yet applied.
    pub next_offset: Offset,
    /// Truncated hash of the configuration in force.
    pub state: StateHash,
    /// State of the log as last read by this daemon.
    pub log_view: LogView,
    /// Whether this daemon reads the log itself.
    pub is_reader: bool,
    /// Failure of the last log read; `None` if it succeeded.
    pub log_failure: Option<LogFailure>,
    /// Newest checkpoint seen in the log.
    pub checkpoint: Option<SeenCheckpoint>,
}

/// Events of the configuration service, for counters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// A change was applied.
    Accepted,
    /// A record was rejected.
    Rejected,
    /// A peer's state was adopted.
    StateAdopted,
    /// A state with an invalid seal or encoding was received from a peer.
    StateForged,
    /// A log read failed.
    ReadFailed,
    /// A checkpoint was written.
    CheckpointWritten,
    /// A checkpoint write failed or its outcome is unknown.
    CheckpointFailed,
    /// The inbox of the spreading service was full, and a message was dropped.
    SpreadBusy,
}

impl Label for ConfigEvent {
    fn label(self) -> &'static str {
        match self {
            Self::Accepted => "config-accepted",
            Self::Rejected => "config-rejected",
            Self::StateAdopted => "config-state-adopted",
            Self::StateForged => "config-state-forged",
            Self::ReadFailed => "config-read-failed",
            Self::CheckpointWritten => "config-checkpoint-written",
            Self::CheckpointFailed => "config-checkpoint-failed",
            Self::SpreadBusy => "config-spread-busy",
        }
    }
}

/// A partner's `publish_key` in the settings is not a valid Ed25519 public key.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("publish_key of partner {partner} is not a valid Ed25519 public key")]
pub struct PublishKeyError {
    /// The partner whose key is invalid.
    pub partner: PartnerId,
}

/// Reads the verifying keys of the partners from the settings.
///
/// # Errors
///
/// [`PublishKeyError`] for the first invalid key.
pub fn publisher_keys(settings: &Settings) -> Result<PublisherKeys, PublishKeyError> {
    let keys = settings.partners.iter().map(|(partner, known)| {
        let key = VerifyingKey::from_bytes(known.publish_key.bytes())
            .map_err(|_| PublishKeyError { partner: partner.clone() })?;
        Ok((partner.clone(), key))
    });
    keys.collect()
}
