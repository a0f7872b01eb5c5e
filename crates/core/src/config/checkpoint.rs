//! Checkpoints: the full configuration state at an offset, authenticated by a daemon.
//!
//! Partners can append to the same log, and a checkpoint replaces the state of all of them. Each checkpoint
//! therefore carries a MAC under a key that only daemons hold.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::state::ConfigState;
use crate::ids::Offset;

/// Separates this key from other keys derived from the daemons' shared key.
const KEY_CONTEXT: &str = "hibiscusvale 2026 configuration checkpoint";

const MAC_BYTES: usize = blake3::OUT_LEN;

/// Key under which daemons authenticate checkpoints.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct CheckpointKey([u8; blake3::KEY_LEN]);

/// A configuration state at an offset with a MAC that proves it was written by a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SealedCheckpoint {
    /// First offset that is not part of the state.
    pub next_offset: Offset,
    state: Vec<u8>,
    mac: [u8; MAC_BYTES],
}

/// Why a checkpoint was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CheckpointError {
    /// The MAC does not match: the checkpoint was not written by a daemon of this system.
    #[error("checkpoint MAC does not verify under the daemons' key")]
    Forged,
    /// The MAC matches, but the state cannot be decoded, for example after an incompatible release.
    #[error("checkpoint state cannot be decoded")]
    Encoding,
}

impl CheckpointKey {
    /// Derives the key from the secret shared by all daemons.
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
    /// Encodes and authenticates `state`.
    pub fn seal(state: &ConfigState, key: &CheckpointKey) -> Self {
        let encoded = postcard::to_allocvec(state).unwrap_or_default();
        Self {
            next_offset: state.next_offset(),
            mac: mac(state.next_offset(), &encoded, key),
            state: encoded,
        }
    }

    /// Verifies the MAC and decodes the state.
    ///
    /// # Errors
    ///
    /// Returns [`CheckpointError`] if the MAC does not verify under `key` or the content is not a state at
    /// `next_offset`.
    pub fn open(&self, key: &CheckpointKey) -> Result<ConfigState, CheckpointError> {
        let expected = blake3::Hash::from_bytes(mac(self.next_offset, &self.state, key));
        // `blake3::Hash` compares in constant time.
        if expected != blake3::Hash::from_bytes(self.mac) {
            return Err(CheckpointError::Forged);
        }
        let state: ConfigState = postcard::from_bytes(&self.state).map_err(|_| CheckpointError::Encoding)?;
        if state.next_offset() != self.next_offset {
            return Err(CheckpointError::Encoding);
        }
        Ok(state)
    }

    /// Size of the encoded state in bytes.
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
