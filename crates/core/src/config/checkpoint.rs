//! Checkpoints: the whole state at an offset, sealed by a daemon.
//!
//! The log is shared with the partners, and a checkpoint speaks for all of them, so only daemons may make one:
//! it carries a code over its bytes with a key that only daemons have.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::state::ConfigState;
use crate::ids::Offset;

/// Keeps the key apart from the other uses of the daemons' shared key.
const KEY_CONTEXT: &str = "hibiscusvale 2026 configuration checkpoint";

const MAC_BYTES: usize = blake3::OUT_LEN;

/// Key that daemons seal checkpoints with.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct CheckpointKey([u8; blake3::KEY_LEN]);

/// A state at an offset, with proof that a daemon made it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SealedCheckpoint {
    /// The records before this offset are folded in; the one at it and later ones still count.
    pub next_offset: Offset,
    state: Vec<u8>,
    mac: [u8; MAC_BYTES],
}

/// A checkpoint that must not be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CheckpointError {
    /// Not made by a daemon of this system.
    #[error("checkpoint is not sealed with the daemons' key")]
    Forged,
    /// Made by a daemon, but of a release that encodes otherwise.
    #[error("checkpoint could not be read")]
    Encoding,
}

impl CheckpointKey {
    /// Derives the key from the key that daemons share.
    pub fn derive(shared_key: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key))
    }
}

impl fmt::Debug for CheckpointKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CheckpointKey(..)")
    }
}

impl SealedCheckpoint {
    /// Seals `state`.
    pub fn seal(state: &ConfigState, key: &CheckpointKey) -> Self {
        let encoded = postcard::to_allocvec(state).unwrap_or_default();
        Self {
            next_offset: state.next_offset(),
            mac: mac(state.next_offset(), &encoded, key),
            state: encoded,
        }
    }

    /// Opens the checkpoint.
    ///
    /// # Errors
    ///
    /// [`CheckpointError`] when it was not sealed with `key` or does not hold a state at its offset.
    pub fn open(&self, key: &CheckpointKey) -> Result<ConfigState, CheckpointError> {
        let expected = blake3::Hash::from_bytes(mac(self.next_offset, &self.state, key));
        // Comparing hashes of the library takes the same time wherever they differ.
        if expected != blake3::Hash::from_bytes(self.mac) {
            return Err(CheckpointError::Forged);
        }
        let state: ConfigState = postcard::from_bytes(&self.state).map_err(|_| CheckpointError::Encoding)?;
        if state.next_offset() != self.next_offset {
            return Err(CheckpointError::Encoding);
        }
        Ok(state)
    }

    /// Bytes of the encoded state.
    pub fn state_bytes(&self) -> usize {
        self.state.len()
    }
}

fn mac(next_offset: Offset, encoded: &[u8], key: &CheckpointKey) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(&next_offset.0.to_le_bytes());
    hasher.update(encoded);
    *hasher.finalize().as_bytes()
}
