//! Folds the records of the configuration stream into a state.
//!
//! The state at an offset depends on the records before it and on nothing else. So records may come from the
//! log or from peers, twice, in any order and in pieces, and a checkpoint may take the place of records that
//! have expired; two daemons at the same offset always hold the same.

use std::collections::BTreeMap;
use std::sync::Arc;

use ed25519_dalek::VerifyingKey;

use crate::config::apply::{Refused, apply_change};
use crate::config::checkpoint::{CheckpointError, CheckpointKey, SealedCheckpoint};
use crate::config::intake::{AdoptError, Adopted, Intake, LogBounds, LogView, SeenCheckpoint};
use crate::config::record::{MAX_RECORD_BYTES, Record};
use crate::config::reject::RejectReason;
use crate::config::state::ConfigState;
use crate::ids::{Offset, PartnerId};

/// Keys that partners sign their changes with. They come from the settings and must be the same on all daemons:
/// give a new partner's key to every daemon before the partner publishes.
pub type PublisherKeys = BTreeMap<PartnerId, VerifyingKey>;

/// Records held at most while earlier ones are missing: three hours of the busiest day to come.
const MAX_PENDING_RECORDS: usize = 8_192;

/// Bytes of records held at most while earlier ones are missing; a quarter of what control may use.
const MAX_PENDING_BYTES: usize = 8 << 20;

/// A record that waits for earlier ones.
#[derive(Clone, Debug)]
enum Held {
    Whole(Arc<[u8]>),
    Elided,
}

impl Held {
    fn bytes(&self) -> usize {
        match self {
            Self::Whole(bytes) => bytes.len(),
            Self::Elided => 0,
        }
    }
}

/// A daemon's fold over the configuration stream.
#[derive(Clone, Debug)]
pub struct ConfigFold {
    keys: PublisherKeys,
    checkpoint_key: CheckpointKey,
    state: Arc<ConfigState>,
    pending: BTreeMap<Offset, Held>,
    pending_bytes: usize,
    dropped_to: Offset,
    genesis_allowed: bool,
    bounds: Option<LogBounds>,
    checkpoint: Option<SeenCheckpoint>,
}

impl ConfigFold {
    /// A fold that knows nothing yet.
    pub fn new(keys: PublisherKeys, checkpoint_key: CheckpointKey) -> Self {
        Self {
            keys,
            checkpoint_key,
            state: Arc::default(),
            pending: BTreeMap::new(),
            pending_bytes: 0,
            dropped_to: Offset(0),
            genesis_allowed: false,
            bounds: None,
            checkpoint: None,
        }
    }

    /// The state in force.
    pub fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// The newest checkpoint seen in the log.
    pub fn checkpoint(&self) -> Option<SeenCheckpoint> {
        self.checkpoint
    }

    /// Allows a state to begin at offset 0. Until then a log that begins there is held back: if the platform
    /// lost the log and started it afresh, a new daemon would take the few records in it for everything, and
    /// callers would find their classes gone. The daemon allows it once its peers were asked for theirs.
    pub fn allow_genesis(&mut self) -> Intake {
        self.genesis_allowed = true;
        let mut intake = Intake::default();
        self.drain(&mut intake);
        intake
    }

    /// The offset to read next. Records before it are of no use here, are held already, or had to be dropped
    /// and are left to the checkpoint that will stand for them.
    pub fn wanted(&self) -> Offset {
        let start_offset = self.bounds.map_or(Offset(0), |bounds| bounds.start_offset);
        let mut wanted = self.state.next_offset.max(start_offset).max(self.dropped_to);
        for &offset in self.pending.range(wanted..).map(|(offset, _)| offset) {
            if offset != wanted {
                break;
            }
            wanted = wanted.next();
        }
        wanted
    }

    /// Notes what the log said of itself.
    pub fn observe_log(&mut self, bounds: LogBounds) {
        self.bounds = Some(bounds);
    }

    /// How the log and the state in force stand to each other.
    pub fn log_view(&self) -> LogView {
        let Some(bounds) = self.bounds else {
            return LogView::Unread;
        };
        let in_force = self.state.next_offset;
        if bounds.next_offset < in_force {
            LogView::Shorter
        } else if bounds.next_offset == in_force && self.state.is_known() {
            LogView::CaughtUp
        } else if bounds.start_offset > in_force {
            LogView::Gap
        } else {
            LogView::Behind
        }
    }

    /// Takes a record in. Records already folded in are ignored, and those ahead of a hole are held until the
    /// hole is filled or a checkpoint bridges it.
    pub fn take(&mut self, offset: Offset, bytes: &[u8]) -> Intake {
        let mut intake = Intake::default();
        if self.is_new(offset) {
            if offset > self.state.next_offset {
                self.bridge(bytes, &mut intake);
            }
            self.hold(offset, Held::Whole(Arc::from(bytes)));
            self.drain(&mut intake);
        }
        intake
    }

    /// Takes in that a record stands at `offset` which a peer did not relay because it is larger than
    /// [`MAX_RECORD_BYTES`]. Such a record changes nothing but the offset.
    pub fn take_elided(&mut self, offset: Offset) -> Intake {
        let mut intake = Intake::default();
        if self.is_new(offset) {
            self.hold(offset, Held::Elided);
            self.drain(&mut intake);
        }
        intake
    }

    fn is_new(&self, offset: Offset) -> bool {
        offset >= self.state.next_offset && !self.pending.contains_key(&offset)
    }

    /// Takes a state that a peer holds, if it is newer.
    ///
    /// # Errors
    ///
    /// [`AdoptError`] when no daemon sealed it.
    pub fn adopt(&mut self, checkpoint: &SealedCheckpoint) -> Result<Adopted, AdoptError> {
        // Only a higher offset is adopted. A peer that lags, or an old checkpoint that is read again, would
        // otherwise take back what callers were already served by.
        if checkpoint.next_offset <= self.state.next_offset {
            return Ok(Adopted::NotNewer);
        }
        let state = checkpoint.open(&self.checkpoint_key)?;
        self.state = Arc::new(state);
        self.forget_folded();
        self.drain(&mut Intake::default());
        Ok(Adopted::Newer)
    }

    /// The state in force, sealed for peers and the log.
    pub fn seal(&self) -> SealedCheckpoint {
        SealedCheckpoint::seal(&self.state, &self.checkpoint_key)
    }

    /// A checkpoint behind a hole takes the place of the records that are missing before it.
    fn bridge(&mut self, bytes: &[u8], intake: &mut Intake) {
        if let Ok(Record::Checkpoint(checkpoint)) = Record::decode(bytes)
            && self.adopt(&checkpoint) == Ok(Adopted::Newer)
        {
            intake.advanced = true;
        }
    }

    fn hold(&mut self, offset: Offset, held: Held) {
        if offset < self.state.next_offset {
            return;
        }
        self.pending_bytes += held.bytes();
        self.pending.insert(offset, held);
        // Which records are dropped decides only how late a checkpoint can still bridge the hole: the oldest
        // are the ones that a later checkpoint stands for.
        while self.pending.len() > MAX_PENDING_RECORDS || self.pending_bytes > MAX_PENDING_BYTES {
            let Some((dropped, held)) = self.pending.pop_first() else {
                break;
            };
            self.pending_bytes -= held.bytes();
            self.dropped_to = dropped.next();
        }
    }

    fn forget_folded(&mut self) {
        let kept = self.pending.split_off(&self.state.next_offset);
        self.pending = kept;
        self.dropped_to = Offset(0);
        self.pending_bytes = self.pending.values().map(Held::bytes).sum();
    }

    fn drain(&mut self, intake: &mut Intake) {
        if !self.state.is_known() && !self.genesis_allowed {
            return;
        }
        while let Some(entry) = self.pending.first_entry() {
            if *entry.key() != self.state.next_offset {
                break;
            }
            let (offset, held) = entry.remove_entry();
            self.pending_bytes -= held.bytes();
            intake.advanced = true;
            Arc::make_mut(&mut self.state).next_offset = offset.next();
            if let Held::Whole(bytes) = held {
                self.apply(offset, &bytes, intake);
            }
        }
    }

    fn apply(&mut self, offset: Offset, bytes: &[u8], intake: &mut Intake) {
        let state = Arc::make_mut(&mut self.state);
        let refused = match Record::decode(bytes) {
            Ok(Record::Checkpoint(checkpoint)) => {
                if checkpoint.open(&self.checkpoint_key) != Err(CheckpointError::Forged) {
                    self.checkpoint = Some(SeenCheckpoint { offset, next_offset: checkpoint.next_offset });
                    return;
                }
                Refused::unattributed(offset, RejectReason::ForgedCheckpoint)
            }
            _ if bytes.len() > MAX_RECORD_BYTES => Refused::unattributed(offset, RejectReason::TooLarge),
            Ok(Record::Change(change)) => {
                let Some(refused) = apply_change(state, &self.keys, offset, &change) else {
                    intake.accepted += 1;
                    return;
                };
                refused
            }
            Err(_) => Refused::unattributed(offset, RejectReason::Malformed),
        };
        intake.rejected.push(refused.record);
        // What is relayed without its content must leave the same state behind as here.
        if let Some(unattributed) = refused.unattributed
            && bytes.len() <= MAX_RECORD_BYTES
        {
            state.note_unattributed(unattributed);
        }
    }
}
