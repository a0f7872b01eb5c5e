//! Client interface to model engines: calls, replies and failures.

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

use super::http::{CallFailure, ConnectionReuse};

/// The daemon incarnation for which an engine holds memory.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Owner {
    /// The daemon's host.
    pub host: HostId,
    /// The daemon's incarnation, as text on the wire.
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

/// Engine memory that is to be released.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HeldMemory {
    /// The attempt that holds the memory.
    pub attempt_id: AttemptId,
    /// The daemon incarnation that holds it; `None` for the current one.
    pub owner: Option<Owner>,
}

impl HeldMemory {
    /// Memory held for the current incarnation.
    pub fn own(attempt_id: AttemptId) -> Self {
        Self { attempt_id, owner: None }
    }
}

/// Prefills a prompt and holds its KV cache for export.
#[derive(Clone, Debug)]
pub struct PrefillCall {
    /// Identifies the attempt.
    pub attempt_id: AttemptId,
    /// The prompt as the engine reads it.
    pub prompt: Bytes,
    /// Text that an earlier attempt generated after the prompt.
    pub generated: String,
    /// The requested model.
    pub model: ModelId,
    /// Lower values are served first.
    pub priority: u8,
    /// Time-out of the call.
    pub timeout_ms: Millis,
}

/// Result of a prefill.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Prefilled {
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt that came from the prefix cache.
    pub cached_tokens: Tokens,
    /// Size of the KV cache to be transferred.
    pub kv_bytes: ByteCount,
    /// Time after which the engine evicts the KV cache unless it is imported.
    pub evict_after_ms: Millis,
}

/// Takes a decode slot and copies the KV cache from the engine that prefilled the prompt.
#[derive(Clone, Debug)]
pub struct ImportCall {
    /// Identifies the attempt.
    pub attempt_id: AttemptId,
    /// The requested model.
    pub model: ModelId,
    /// The engine that prefilled the prompt.
    pub source: SocketAddr,
    /// Lower values are served first.
    pub priority: u8,
    /// Bandwidth that the transfer may use.
    pub rate_bytes_per_s: BytesPerSecond,
    /// Time-out of the call.
    pub timeout_ms: Millis,
}

/// Result of a KV cache transfer.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Imported {
    /// Size of the KV cache.
    pub kv_bytes: ByteCount,
    /// Duration of the transfer.
    pub transfer_ms: Millis,
}

/// Starts or resumes a token stream.
#[derive(Clone, Debug)]
pub struct DecodeCall {
    /// Identifies the attempt.
    pub attempt_id: AttemptId,
    /// Upper bound of the answer's length.
    pub max_tokens: Tokens,
    /// Index of the first token to send.
    pub from_index: u64,
}

/// An engine's load report; it lags behind the engine's state.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineLoad {
    /// Age of the report.
    pub as_of_ms_ago: Millis,
    /// Number of decode slots.
    #[serde(default)]
    pub slots_total: u32,
    /// Number of occupied decode slots.
    #[serde(default)]
    pub slots_used: u32,
    /// Prompt tokens queued for prefill.
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
    /// The attempt's id, as text.
    pub request_id: String,
    /// The daemon incarnation that holds it.
    pub owner: Owner,
    /// Stage of the request on the engine; [`HeldStage::Other`] when absent.
    #[serde(default)]
    pub stage: HeldStage,
}

/// Stage of a request on an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HeldStage {
    /// The prompt is queued or being prefilled.
    Prefill,
    /// The KV cache waits for export.
    Exported,
    /// The KV cache is being transferred.
    Transfer,
    /// The request holds a decode slot.
    Decode,
    /// A stage that this daemon does not know.
    #[default]
    #[serde(other)]
    Other,
}

/// Page of events of an engine's prefix cache. Events arrive late, and some are lost.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct CachePage {
    /// The events, oldest first.
    pub events: Vec<CacheChange>,
    /// Sequence number from which to read the next page.
    pub next_seq: u64,
}

/// One event of a prefix cache.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct CacheChange {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// What happened to the block.
    pub kind: CacheChangeKind,
    /// The block, identified by the hash of the prompt up to its end.
    #[serde(with = "block_text")]
    pub block: u64,
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChangeKind {
    /// The block was stored and can be used.
    Stored,
    /// The block was evicted.
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
    /// The HTTP call failed.
    #[error(transparent)]
    Call(#[from] CallFailure),
    /// The engine has no room.
    #[error("engine has no room")]
    NoRoom,
    /// The engine is leaving and accepts no new work.
    #[error("engine is leaving")]
    Leaving,
    /// The engine no longer holds what the call needs.
    #[error("engine does not hold the request")]
    Gone,
    /// The engine does not serve the model.
    #[error("engine does not serve the model")]
    NoModel,
    /// Any other refusal, with its HTTP status.
    #[error("engine refused with status {0}")]
    Refused(u16),
}

/// A part of a token stream.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum StreamPart {
    /// End of the stream: all tokens have been sent.
    Done {
        /// Always true.
        done: bool,
        /// Number of tokens in the complete answer.
        tokens: u64,
    },
    /// One token.
    Token {
        /// Position in the answer, from zero.
        index: u64,
        /// Text of the token.
        text: String,
    },
}

/// Client for model engines.
pub trait EngineClient: Debug + Send + Sync + 'static {
    /// Prefills a prompt. May be repeated for the same request.
    fn prefill(
        &self,
        to: SocketAddr,
        call: PrefillCall,
        reuse: ConnectionReuse,
    ) -> BoxFuture<'_, Result<Prefilled, EngineFailure>>;

    /// Copies a KV cache and takes a slot. May be repeated for the same request.
    fn import(
        &self,
        to: SocketAddr,
        call: ImportCall,
        reuse: ConnectionReuse,
    ) -> BoxFuture<'_, Result<Imported, EngineFailure>>;

    /// Starts or resumes a token stream.
    fn decode(
        &self,
        to: SocketAddr,
        call: DecodeCall,
        reuse: ConnectionReuse,
    ) -> BoxFuture<'_, Result<TokenStream, EngineFailure>>;

    /// Releases what is held for one request; `Ok` means that the engine has confirmed it.
    fn cancel(&self, to: SocketAddr, held: HeldMemory) -> BoxFuture<'_, Result<(), EngineFailure>>;

    /// Releases everything that a daemon incarnation holds; `Ok` means that the engine has confirmed it.
    fn cancel_owner(&self, to: SocketAddr, owner: Owner) -> BoxFuture<'_, Result<(), EngineFailure>>;

    /// Fetches the load report.
    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>>;

    /// Fetches the events of the prefix cache after sequence number `after`.
    fn cache_events(&self, to: SocketAddr, after: u64) -> BoxFuture<'_, Result<CachePage, EngineFailure>>;

    /// Orders an engine to load or unload a model or to change its role. The engine carries out an order at
    /// most once, by its id.
    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderOutcome, EngineFailure>>;
}

/// Token stream of an engine. Dropping it ends the call; reading slowly slows the engine down.
pub struct TokenStream {
    parts: BoxStream<'static, Result<StreamPart, CallFailure>>,
}

impl TokenStream {
    /// Wraps the parts of a stream; an end without [`StreamPart::Done`] counts as broken.
    pub fn new<Parts>(parts: Parts) -> Self
    where
        Parts: Stream<Item = Result<StreamPart, CallFailure>> + Send + 'static,
    {
        Self { parts: parts.boxed() }
    }

    /// Waits up to `timeout` for the next part.
    ///
    /// # Errors
    ///
    /// [`CallFailure::Timeout`] when no part arrived, [`CallFailure::Broken`] when the stream ended without
    /// [`StreamPart::Done`], or the failure that the stream itself reported.
    pub async fn next(&mut self, timeout: Duration) -> Result<StreamPart, CallFailure> {
        match tokio::time::timeout(timeout, self.parts.next()).await {
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
