//! Wire format of messages between daemons.
//!
//! A frame consists of a version byte, a byte that tells whether the receiver is named, the postcard encoding, and
//! a keyed BLAKE3 authentication code truncated to 16 bytes. The name of the receiver is covered by the code but
//! not sent, so that a recorded frame cannot be replayed to another daemon.

use std::fmt;
use std::str::FromStr;

use hibiscusvale_core::ids::{HostId, Incarnation};
use serde::{Deserialize, Serialize};

use super::PeerBody;
use crate::settings::MacKey;

/// Version of the frame format. Frames of unknown versions are dropped.
const FRAME_VERSION: u8 = 1;
const MAC_BYTES: usize = 16;
const KEY_BYTES: usize = 32;
/// Encoding of an absent optional field.
const ABSENT: u8 = 0;
/// Maximum number of optional fields added at the end of a message since the first version of the frame format.
/// Receivers ignore what follows the fields that they know.
const ADDED_FIELDS_MAX: usize = 1;
const RECEIVER_UNNAMED: u8 = 0;
const RECEIVER_NAMED: u8 = 1;

/// Maximum frame size. No legitimate message comes close to it; a larger frame is an error or an attack and must
/// not cost memory.
pub const MAX_FRAME_BYTES: usize = 64 << 10;

/// Key of the message authentication code.
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

/// Error parsing a [`PeerKey`]. Does not include the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("peer key is not 64 hex digits")]
pub struct ParsePeerKeyError;

impl FromStr for PeerKey {
    type Err = ParsePeerKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text).map(|hash| Self(hash.into())).map_err(|_| ParsePeerKeyError)
    }
}

/// Content of a frame.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) enum Payload {
    /// A message to a service.
    Body(PeerBody),
    /// Checks whether the connection still works.
    Probe,
    /// Response to a probe.
    ProbeReply,
}

/// A frame as encoded on the wire.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub(crate) struct Frame {
    pub(crate) from: HostId,
    pub(crate) incarnation: Incarnation,
    /// Increases with each frame of the incarnation.
    pub(crate) sequence: u64,
    pub(crate) payload: Payload,
}

/// Reason for dropping a frame.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("frame exceeds {MAX_FRAME_BYTES} bytes")]
    TooLong,
    /// The frame cannot be decoded.
    #[error("frame cannot be decoded")]
    Malformed,
    /// The frame version is unknown.
    #[error("frame has an unknown version")]
    Version,
    /// The authentication code is wrong: a different key, a different receiver, or corruption.
    #[error("frame has a wrong authentication code")]
    Forged,
}

fn auth_code(key: &PeerKey, covered: &[u8], receiver: Option<&HostId>) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(covered);
    if let Some(host) = receiver {
        hasher.update(host.as_str().as_bytes());
    }
    let mut code = [0; MAC_BYTES];
    hasher.finalize_xof().fill(&mut code);
    code
}

/// Encodes a frame for `receiver`; `None` if the name of the receiver is not yet known.
pub(crate) fn encode(frame: &Frame, key: &PeerKey, receiver: Option<&HostId>) -> Result<Vec<u8>, FrameError> {
    let receiver_flag = if receiver.is_some() { RECEIVER_NAMED } else { RECEIVER_UNNAMED };
    let prefix = vec![FRAME_VERSION, receiver_flag];
    let mut bytes = postcard::to_extend(frame, prefix).map_err(|_| FrameError::Malformed)?;
    let code = auth_code(key, &bytes, receiver);
    bytes.extend_from_slice(&code);
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    Ok(bytes)
}

/// Decodes a frame received by host `own`. Apart from the version, nothing is interpreted before the
/// authentication code has been verified.
pub(crate) fn decode(bytes: &[u8], key: &PeerKey, own: &HostId) -> Result<Frame, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    let split = bytes.len().checked_sub(MAC_BYTES).ok_or(FrameError::Malformed)?;
    let (covered, presented) = bytes.split_at(split);
    let [version, receiver_flag, encoded @ ..] = covered else {
        return Err(FrameError::Malformed);
    };
    if *version != FRAME_VERSION {
        return Err(FrameError::Version);
    }
    let receiver = (*receiver_flag == RECEIVER_NAMED).then_some(own);
    let expected = auth_code(key, covered, receiver);
    // Constant-time comparison.
    let difference = expected.iter().zip(presented).fold(0, |difference, (a, b)| difference | (a ^ b));
    if difference != 0 {
        return Err(FrameError::Forged);
    }
    match postcard::from_bytes(encoded) {
        // An earlier version does not send the optional fields that were added at the end of a message.
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            let padded = [encoded, &[ABSENT; ADDED_FIELDS_MAX]].concat();
            postcard::from_bytes(&padded).map_err(|_| FrameError::Malformed)
        }
        decoded => decoded.map_err(|_| FrameError::Malformed),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/codec.rs"]
mod tests;
