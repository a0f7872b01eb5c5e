//! The edge towards model engines: what is asked of them, what they answer, and how a call can fail.

use std::fmt;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{BoxStream, Stream, StreamExt};
use hibiscusvale_core::ids::{AttemptId, HostId, Incarnation, ModelId};
use hibiscusvale_core::order::{Order, OrderOutcome};
use hibiscusvale_core::units::{Bytes as ByteCount, BytesPerSecond, Millis, Tokens};
use serde::{Deserialize, Serialize};

use super::http::{CallFailure, Trust};

/// The daemon's life on whose behalf an engine holds memory.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Owner {
    /// The daemon's host.
    pub host: HostId,
    /// Its life, as text.
    #[serde(with = "incarnation_text")]
    pub incarnation: Incarnation,
}

mod incarnation_text {
    use hibiscusvale_core::ids::Incarnation;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S>(value: &Incarnation, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(value)
    }

    pub fn deserialize<'de, D>(deserializer: D) -> Result<Incarnation, D::Error>
    where
        D: Deserializer<'de>,
    {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// Memory that is to be released.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Held {
    /// The try that holds it.
    pub attempt_id: AttemptId,
    /// The daemon's life on whose behalf, where it is not the present one.
    pub owner: Option<Owner>,
}

impl Held {
    /// Memory held on behalf of the present life.
    pub fn own(attempt_id: AttemptId) -> Self {
        Self { attempt_id, owner: None }
    }
}

/// Reads a prompt and holds its KV cache for export.
#[derive(Clone, Debug)]
pub struct PrefillCall {
    /// The try.
    pub attempt_id: AttemptId,
    /// The prompt.
    pub prompt: Bytes,
    /// What an earlier try has generated behind it.
    pub generated: String,
    /// The model.
    pub model: ModelId,
    /// Smaller goes first.
    pub priority: u8,
    /// How long to wait for the result.
    pub timeout_ms: Millis,
}

/// A prompt that has been read.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Prefilled {
    /// Its length.
    pub prompt_tokens: Tokens,
    /// How much of it came from the prefix cache.
    pub cached_tokens: Tokens,
    /// Size of the KV cache to be transferred.
    pub kv_bytes: ByteCount,
    /// When the engine evicts it unless it is imported.
    pub evict_after_ms: Millis,
}

/// Takes a slot and copies the KV cache from the engine that read the prompt.
#[derive(Clone, Debug)]
pub struct ImportCall {
    /// The try.
    pub attempt_id: AttemptId,
    /// The model.
    pub model: ModelId,
    /// The engine that read the prompt.
    pub source: SocketAddr,
    /// Smaller goes first.
    pub priority: u8,
    /// Share of the link that the transfer may take.
    pub rate_bytes_per_s: BytesPerSecond,
    /// How long to wait for the copy.
    pub timeout_ms: Millis,
}

/// A KV cache that has been copied.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Imported {
    /// Its size.
    pub kv_bytes: ByteCount,
    /// Time that the copy took.
    pub transfer_ms: Millis,
}

/// Starts or resumes a token stream.
#[derive(Clone, Debug)]
pub struct DecodeCall {
    /// The try.
    pub attempt_id: AttemptId,
    /// Where the answer ends at the latest.
    pub max_tokens: Tokens,
    /// First token wanted.
    pub from_index: u64,
}

/// What an engine says of itself; it lags.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineLoad {
    /// Age of the report.
    pub as_of_ms_ago: Millis,
    /// All decode slots.
    #[serde(default)]
    pub slots_total: u32,
    /// Slots taken.
    #[serde(default)]
    pub slots_used: u32,
    /// Prompt tokens waiting to be read.
    #[serde(default)]
    pub prefill_queue_tokens: Tokens,
    /// Models that are loaded.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Memory held, per request.
    #[serde(default)]
    pub held: Vec<HeldRequest>,
}

/// Engine memory held for one request.
#[derive(Clone, Debug, Deserialize)]
pub struct HeldRequest {
    /// The request, as text.
    pub request_id: String,
    /// On whose behalf.
    pub owner: Owner,
    /// How far it has come.
    #[serde(default)]
    pub stage: HeldStage,
}

/// How far a request has come on an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HeldStage {
    /// Its prompt is read or waits for that.
    Prefill,
    /// Its KV cache waits for export.
    Exported,
    /// Its KV cache is being copied.
    Transfer,
    /// It holds a decode slot.
    Decode,
    /// Something else.
    #[default]
    #[serde(other)]
    Other,
}

/// News of an engine's prefix cache; late and with gaps.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct CachePage {
    /// The events, oldest first.
    pub events: Vec<CacheChange>,
    /// Where to go on.
    pub next_seq: u64,
}

/// One event of a prefix cache.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct CacheChange {
    /// Its number; a gap means that events are lost.
    pub seq: u64,
    /// What happened to the block.
    pub kind: CacheChangeKind,
    /// The block, named by the hash of the prompt up to its end.
    #[serde(with = "block_text")]
    pub block: u64,
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChangeKind {
    /// It can be used from now on.
    Stored,
    /// It is gone.
    Evicted,
}

mod block_text {
    use serde::{Deserialize, Deserializer, de::Error};

    pub fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
    where
        D: Deserializer<'de>,
    {
        u64::from_str_radix(&String::deserialize(deserializer)?, 16).map_err(D::Error::custom)
    }
}

/// Why a call to an engine failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum EngineFailure {
    /// The call did not come through.
    #[error(transparent)]
    Call(#[from] CallFailure),
    /// The engine has no room.
    #[error("engine has no room")]
    NoRoom,
    /// The engine is leaving and takes no new work.
    #[error("engine is leaving")]
    Leaving,
    /// The engine no longer holds what the call needs.
    #[error("engine does not hold the request")]
    Gone,
    /// The engine does not serve the model.
    #[error("engine does not serve the model")]
    NoModel,
    /// Any other refusal.
    #[error("engine refused with status {0}")]
    Refused(u16),
}

/// A part of a token stream.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum StreamPart {
    /// The end: all tokens have been sent.
    Done {
        /// Always true.
        done: bool,
        /// Tokens in the whole answer.
        tokens: u64,
    },
    /// One token.
    Token {
        /// Its place in the answer.
        index: u64,
        /// Its text.
        text: String,
    },
}

/// The edge towards model engines.
pub trait EngineEdge: Debug + Send + Sync + 'static {
    /// Reads a prompt. May be asked again for the same request.
    fn prefill(
        &self,
        to: SocketAddr,
        call: PrefillCall,
        trust: Trust,
    ) -> BoxFuture<'_, Result<Prefilled, EngineFailure>>;

    /// Copies a KV cache and takes a slot. May be asked again for the same request.
    fn import(
        &self,
        to: SocketAddr,
        call: ImportCall,
        trust: Trust,
    ) -> BoxFuture<'_, Result<Imported, EngineFailure>>;

    /// Starts or resumes a token stream.
    fn decode(
        &self,
        to: SocketAddr,
        call: DecodeCall,
        trust: Trust,
    ) -> BoxFuture<'_, Result<TokenStream, EngineFailure>>;

    /// Releases what is held for one request; `Ok` is the engine's confirmation.
    fn cancel(&self, to: SocketAddr, held: Held) -> BoxFuture<'_, Result<(), EngineFailure>>;

    /// Releases all that a daemon's life holds; `Ok` is the engine's confirmation.
    fn cancel_owner(&self, to: SocketAddr, owner: Owner) -> BoxFuture<'_, Result<(), EngineFailure>>;

    /// Asks for the load report.
    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>>;

    /// Asks for the events of the prefix cache behind `after`.
    fn cache_events(&self, to: SocketAddr, after: u64) -> BoxFuture<'_, Result<CachePage, EngineFailure>>;

    /// Orders an engine to load a model or to change role; carried out once under the order's id.
    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderOutcome, EngineFailure>>;
}

/// Tokens as the engine sends them. Dropping it ends the call; reading slowly slows the engine down.
pub struct TokenStream {
    parts: BoxStream<'static, Result<StreamPart, CallFailure>>,
}

impl TokenStream {
    /// Wraps the parts of a stream; its end without [`StreamPart::Done`] counts as broken.
    pub fn new<Parts>(parts: Parts) -> Self
    where
        Parts: Stream<Item = Result<StreamPart, CallFailure>> + Send + 'static,
    {
        Self { parts: parts.boxed() }
    }

    /// Waits up to `patience` for the next part.
    ///
    /// # Errors
    ///
    /// [`CallFailure::Timeout`] when nothing came, [`CallFailure::Broken`] when the stream ended without its
    /// closing part, or what the edge met.
    pub async fn next(&mut self, patience: Duration) -> Result<StreamPart, CallFailure> {
        match tokio::time::timeout(patience, self.parts.next()).await {
            Ok(Some(part)) => part,
            Ok(None) => Err(CallFailure::Broken),
            Err(_elapsed) => Err(CallFailure::Timeout),
        }
    }
}

impl Debug for TokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TokenStream").finish_non_exhaustive()
    }
}
