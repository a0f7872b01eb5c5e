//! How a message between daemons looks on the wire.
//!
//! A frame is a version byte, a byte that tells whether the receiver is named, the postcard encoding, and a
//! keyed BLAKE3 code cut to 16 bytes. The receiver's name is part of what the code covers without being sent,
//! so that a recorded frame is worth nothing to another daemon.

use std::fmt;
use std::str::FromStr;

use hibiscusvale_core::ids::{HostId, Incarnation};
use serde::{Deserialize, Serialize};

use super::PeerBody;
use crate::settings::MacKey;

/// Version of the frame. A daemon drops frames of versions that it does not know.
const FRAME_VERSION: u8 = 1;
const MAC_BYTES: usize = 16;
const KEY_BYTES: usize = 32;
const TO_ANYONE: u8 = 0;
const TO_HOST: u8 = 1;

/// Largest frame. Nothing that daemons say to each other comes near it; a frame above it is a mistake or an
/// attack and must not cost memory.
pub const MAX_FRAME_BYTES: usize = 64 << 10;

/// The key of the message authentication code.
#[derive(Clone)]
pub struct PeerKey([u8; KEY_BYTES]);

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

impl From<MacKey> for PeerKey {
    fn from(key: MacKey) -> Self {
        Self(*key.bytes())
    }
}

/// A key that could not be read. It does not show the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("peer key is not 64 hex digits")]
pub struct ParsePeerKeyError;

impl FromStr for PeerKey {
    type Err = ParsePeerKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text).map(|hash| Self(hash.into())).map_err(|_| ParsePeerKeyError)
    }
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) enum Payload {
    /// A message to a service.
    Body(PeerBody),
    /// Asks whether the connection still works.
    Probe,
    /// Answers a probe.
    ProbeReply,
}

/// A frame as sent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) struct Frame {
    pub(crate) from: HostId,
    pub(crate) incarnation: Incarnation,
    /// Raised with each frame of this life.
    pub(crate) sequence: u64,
    pub(crate) payload: Payload,
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// It is longer than [`MAX_FRAME_BYTES`].
    #[error("frame is too long")]
    TooLong,
    /// It does not decode.
    #[error("frame is malformed")]
    Malformed,
    /// Its version is not known.
    #[error("frame has an unknown version")]
    Version,
    /// Its authentication code is wrong: another key, another receiver, or damage.
    #[error("frame is not authentic")]
    Forged,
}

fn code(key: &PeerKey, covered: &[u8], receiver: Option<&HostId>) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(covered);
    if let Some(host) = receiver {
        hasher.update(host.as_str().as_bytes());
    }
    let mut code = [0; MAC_BYTES];
    hasher.finalize_xof().fill(&mut code);
    code
}

/// Encodes a frame for `receiver`, or for whoever takes it where the receiver's name is not known yet.
pub(crate) fn encode(frame: &Frame, key: &PeerKey, receiver: Option<&HostId>) -> Result<Vec<u8>, FrameError> {
    let addressed = if receiver.is_some() { TO_HOST } else { TO_ANYONE };
    let prefix = vec![FRAME_VERSION, addressed];
    let mut bytes = postcard::to_extend(frame, prefix).map_err(|_| FrameError::Malformed)?;
    let code = code(key, &bytes, receiver);
    bytes.extend_from_slice(&code);
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    Ok(bytes)
}

/// Decodes a frame that `own` received. Nothing of it is looked at before the code is checked, except for
/// the version.
pub(crate) fn decode(bytes: &[u8], key: &PeerKey, own: &HostId) -> Result<Frame, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    let split = bytes.len().checked_sub(MAC_BYTES).ok_or(FrameError::Malformed)?;
    let (covered, presented) = bytes.split_at(split);
    let [version, addressed, encoded @ ..] = covered else {
        return Err(FrameError::Malformed);
    };
    if *version != FRAME_VERSION {
        return Err(FrameError::Version);
    }
    let receiver = (*addressed == TO_HOST).then_some(own);
    let expected = code(key, covered, receiver);
    // The comparison takes the same time wherever the codes differ.
    let difference = expected.iter().zip(presented).fold(0, |difference, (a, b)| difference | (a ^ b));
    if difference != 0 {
        return Err(FrameError::Forged);
    }
    postcard::from_bytes(encoded).map_err(|_| FrameError::Malformed)
}
