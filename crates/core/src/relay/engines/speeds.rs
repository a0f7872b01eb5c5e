//! Speeds of single engines.

use serde::{Deserialize, Serialize};

use crate::ids::BackendServerId;

/// What one daemon observed of an engine since its previous report.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct SpeedSample {
    /// The engine.
    pub server: BackendServerId,
    /// Prompt tokens that it prefilled as a prefill engine.
    pub prefill_tokens: f32,
    /// Time that this took, in ms.
    pub prefill_ms: f32,
    /// Tokens that it decoded.
    pub decode_tokens: f32,
    /// Time that this took, in ms, summed over its requests.
    pub decode_ms: f32,
}
