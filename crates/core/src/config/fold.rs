//! Folds the configuration stream into a state.
//!
//! The state at an offset depends only on the records before it. Records may therefore arrive from the log or
//! from peers, in any order and more than once, and a checkpoint may replace expired records. Two daemons at
//! the same offset hold the same state.

use std::collections::BTreeMap;
use std::sync::Arc;

use ed25519_dalek::VerifyingKey;

use crate::config::apply::{Rejection, apply_change};
use crate::config::checkpoint::{CheckpointError, CheckpointKey, SealedCheckpoint};
use crate::config::fold_types::{AdoptError, Adopted, FoldOutcome, LogBounds, LogView, SeenCheckpoint};
use crate::config::record::{MAX_RECORD_BYTES, Record};
use crate::config::reject::RejectReason;
use crate::config::state::ConfigState;
use crate::ids::{Offset, PartnerId};

/// Public keys that verify partners' changes. They come from the settings and must be the same on all
/// daemons: deploy a new partner's key to every daemon before the partner publishes.
pub type PublisherKeys = BTreeMap<PartnerId, VerifyingKey>;

/// Maximum number of records buffered while earlier ones are missing: three hours at the highest expected
/// daily load.
const MAX_PENDING_RECORDS: usize = 8_192;

/// Maximum bytes of records buffered while earlier ones are missing: a quarter of the control plane's memory
/// budget.
const MAX_PENDING_BYTES: usize = 8 << 20;

/// A record buffered until all earlier ones have arrived.
#[derive(Clone, Debug)]
enum PendingRecord {
    Full(Arc<[u8]>),
    Elided,
}

impl PendingRecord {
    fn bytes(&self) -> usize {
        match self {
            Self::Full(bytes) => bytes.len(),
            Self::Elided => 0,
        }
    }
}

/// One daemon's fold of the configuration stream.
#[derive(Clone, Debug)]
pub struct ConfigFold {
    keys: PublisherKeys,
    checkpoint_key: CheckpointKey,
    state: Arc<ConfigState>,
    pending: BTreeMap<Offset, PendingRecord>,
    pending_bytes: usize,
    dropped_to: Offset,
    genesis_allowed: bool,
    bounds: Option<LogBounds>,
    checkpoint: Option<SeenCheckpoint>,
}

impl ConfigFold {
    /// Creates an empty fold.
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

    /// Allows the state to start from offset 0. Until then, records from offset 0 are only buffered: if the
    /// platform lost the log and recreated it, a new daemon would take the few new records for the complete
    /// configuration and drop existing classes. The daemon calls this after asking its peers for their state.
    pub fn allow_genesis(&mut self) -> FoldOutcome {
        self.genesis_allowed = true;
        let mut outcome = FoldOutcome::default();
        self.drain(&mut outcome);
        outcome
    }

    /// The offset to read next. Earlier records are already folded or buffered, or were dropped from the
    /// buffer and have to be covered by a checkpoint.
    pub fn read_offset(&self) -> Offset {
        let start_offset = self.bounds.map_or(Offset(0), |bounds| bounds.start_offset);
        let mut next_offset = self.state.next_offset.max(start_offset).max(self.dropped_to);
        for &offset in self.pending.range(next_offset..).map(|(offset, _)| offset) {
            if offset != next_offset {
                break;
            }
            next_offset = next_offset.next();
        }
        next_offset
    }

    /// Records the bounds that the log last reported.
    pub fn observe_log(&mut self, bounds: LogBounds) {
        self.bounds = Some(bounds);
    }

    /// Compares the log with the state in force.
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

    /// Folds a record. Records that are already folded are ignored; records after a gap are buffered until
    /// the gap is filled or a checkpoint covers it.
    pub fn ingest(&mut self, offset: Offset, bytes: &[u8]) -> FoldOutcome {
        let mut outcome = FoldOutcome::default();
        if self.is_new(offset) {
            if offset > self.state.next_offset {
                self.adopt_checkpoint(bytes, &mut outcome);
            }
            self.buffer(offset, PendingRecord::Full(Arc::from(bytes)));
            self.drain(&mut outcome);
        }
        outcome
    }

    /// Folds a record that a peer relayed without its content because it is larger than [`MAX_RECORD_BYTES`].
    /// Such a record only advances the offset.
    pub fn ingest_elided(&mut self, offset: Offset) -> FoldOutcome {
        let mut outcome = FoldOutcome::default();
        if self.is_new(offset) {
            self.buffer(offset, PendingRecord::Elided);
            self.drain(&mut outcome);
        }
        outcome
    }

    fn is_new(&self, offset: Offset) -> bool {
        offset >= self.state.next_offset && !self.pending.contains_key(&offset)
    }

    /// Adopts a peer's state if it is newer.
    ///
    /// # Errors
    ///
    /// Returns [`AdoptError`] if the checkpoint is not authentic or cannot be decoded.
    pub fn adopt(&mut self, checkpoint: &SealedCheckpoint) -> Result<Adopted, AdoptError> {
        // A lagging peer or an old checkpoint that is read again must not revert a state that requests were
        // already served from.
        if checkpoint.next_offset <= self.state.next_offset {
            return Ok(Adopted::NotNewer);
        }
        let state = checkpoint.open(&self.checkpoint_key)?;
        self.state = Arc::new(state);
        self.drop_folded();
        self.drain(&mut FoldOutcome::default());
        Ok(Adopted::Newer)
    }

    /// Returns the state in force as a checkpoint for peers and the log.
    pub fn seal(&self) -> SealedCheckpoint {
        SealedCheckpoint::seal(&self.state, &self.checkpoint_key)
    }

    /// Adopts a checkpoint that lies after a gap, which makes the missing records before it unnecessary.
    fn adopt_checkpoint(&mut self, bytes: &[u8], outcome: &mut FoldOutcome) {
        if let Ok(Record::Checkpoint(checkpoint)) = Record::decode(bytes)
            && self.adopt(&checkpoint) == Ok(Adopted::Newer)
        {
            outcome.advanced = true;
        }
    }

    fn buffer(&mut self, offset: Offset, record: PendingRecord) {
        if offset < self.state.next_offset {
            return;
        }
        self.pending_bytes += record.bytes();
        self.pending.insert(offset, record);
        // Drops the oldest records first: a later checkpoint covers them. Dropping only affects how late a
        // checkpoint can still close the gap.
        while self.pending.len() > MAX_PENDING_RECORDS || self.pending_bytes > MAX_PENDING_BYTES {
            let Some((dropped, record)) = self.pending.pop_first() else {
                break;
            };
            self.pending_bytes -= record.bytes();
            self.dropped_to = dropped.next();
        }
    }

    fn drop_folded(&mut self) {
        let kept = self.pending.split_off(&self.state.next_offset);
        self.pending = kept;
        self.dropped_to = Offset(0);
        self.pending_bytes = self.pending.values().map(PendingRecord::bytes).sum();
    }

    fn drain(&mut self, outcome: &mut FoldOutcome) {
        if !self.state.is_known() && !self.genesis_allowed {
            return;
        }
        while let Some(entry) = self.pending.first_entry() {
            if *entry.key() != self.state.next_offset {
                break;
            }
            let (offset, record) = entry.remove_entry();
            self.pending_bytes -= record.bytes();
            outcome.advanced = true;
            Arc::make_mut(&mut self.state).next_offset = offset.next();
            if let PendingRecord::Full(bytes) = record {
                self.apply(offset, &bytes, outcome);
            }
        }
    }

    fn apply(&mut self, offset: Offset, bytes: &[u8], outcome: &mut FoldOutcome) {
        let state = Arc::make_mut(&mut self.state);
        let rejection = match Record::decode(bytes) {
            Ok(Record::Checkpoint(checkpoint)) => {
                if checkpoint.open(&self.checkpoint_key) != Err(CheckpointError::Forged) {
                    self.checkpoint = Some(SeenCheckpoint { offset, next_offset: checkpoint.next_offset });
                    return;
                }
                Rejection::unattributed(offset, RejectReason::ForgedCheckpoint)
            }
            _ if bytes.len() > MAX_RECORD_BYTES => Rejection::unattributed(offset, RejectReason::TooLarge),
            Ok(Record::Change(change)) => {
                let Some(rejection) = apply_change(state, &self.keys, offset, &change) else {
                    outcome.accepted += 1;
                    return;
                };
                rejection
            }
            Err(_) => Rejection::unattributed(offset, RejectReason::Malformed),
        };
        outcome.rejected.push(rejection.record);
        // A record that is relayed without its content must produce the same state here as on daemons that
        // only receive the relayed form.
        if let Some(unattributed) = rejection.unattributed
            && bytes.len() <= MAX_RECORD_BYTES
        {
            state.push_unattributed(unattributed);
        }
    }
}
