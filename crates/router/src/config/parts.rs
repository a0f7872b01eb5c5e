//! What the configuration service is made from, and what others see of it.

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

/// What the configuration service of one daemon works with.
#[derive(Debug)]
pub struct ConfigParts {
    /// How it reads and writes.
    pub settings: ConfigSettings,
    /// The daemon's host.
    pub host: HostId,
    /// Keys that partners sign with.
    pub keys: PublisherKeys,
    /// Key that daemons seal checkpoints with.
    pub checkpoint_key: CheckpointKey,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// Who lives.
    pub members: Arc<ArcSwap<MembersView>>,
    /// The spreading service. Without one the daemon reads the log itself, always.
    pub spread: Option<mpsc::Sender<SpreadEvent>>,
    /// Where it logs.
    pub logging: logging::Log,
    /// Where it counts.
    pub metrics: Metrics,
}

/// What others see of the configuration service.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    /// What is in force.
    pub state: Arc<ArcSwap<ConfigState>>,
    /// How the service stands to log and peers.
    pub status: Arc<ArcSwap<ConfigStatus>>,
    /// The first offset that is not in force, for whoever waits for a change.
    pub version: watch::Receiver<Offset>,
    /// Whether configuration is known and was up to date once: part of readiness.
    pub is_ready: watch::Receiver<bool>,
}

/// How the configuration service stands to log and peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigStatus {
    /// The first offset that is not in force.
    pub next_offset: Offset,
    /// Short hash of what is in force.
    pub state: StateHash,
    /// The log, as last read here.
    pub log_view: LogView,
    /// Whether this daemon reads the log itself.
    pub is_reader: bool,
    /// Why the log could not be read last, if it could not.
    pub log_failure: Option<LogFailure>,
    /// The newest checkpoint seen in the log.
    pub checkpoint: Option<SeenCheckpoint>,
}

/// What happens to a daemon's configuration, for counters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// A change came into force.
    Accepted,
    /// A record changed nothing.
    Rejected,
    /// A state of a peer was adopted.
    StateAdopted,
    /// A state that no daemon sealed was offered.
    StateForged,
    /// The log could not be read.
    ReadFailed,
    /// A checkpoint was written.
    CheckpointWritten,
    /// A checkpoint could not be written, or may not have been.
    CheckpointFailed,
    /// The spreading service was too far behind to take something.
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

/// A partner's key in the settings that is not a point on the curve.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("publish_key of partner {partner} is not an Ed25519 key")]
pub struct PublishKeyError {
    /// The partner.
    pub partner: PartnerId,
}

/// The keys that partners sign their changes with.
///
/// # Errors
///
/// [`PublishKeyError`] for the first that is none.
pub fn publisher_keys(settings: &Settings) -> Result<PublisherKeys, PublishKeyError> {
    let keys = settings.partners.iter().map(|(partner, known)| {
        let key = VerifyingKey::from_bytes(known.publish_key.bytes())
            .map_err(|_| PublishKeyError { partner: partner.clone() })?;
        Ok((partner.clone(), key))
    });
    keys.collect()
}
