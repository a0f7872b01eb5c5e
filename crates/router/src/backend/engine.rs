//! Calls to model engines. The shapes are stated in `docs/INTERFACES.md`.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::{AttemptId, HostId, Incarnation, ModelId};
use hibiscusvale_core::order::{Order, OrderEnd, OrderKind};
use hibiscusvale_core::units::{Bytes as ByteCount, BytesPerSecond, Millis, Tokens};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};

use super::http::{BackendHttp, CallFailure, Trust, read_body, uri};

/// Largest answer of an engine that is not a stream: the load report of an engine that holds some hundreds of
/// requests is a few ten thousand bytes.
const REPLY_LIMIT_BYTES: usize = 1 << 20;

/// Longest line of a token stream.
const LINE_LIMIT_BYTES: usize = 64 << 10;

/// Status with which an engine refuses an old fencing number.
const CONFLICT: u16 = 409;

/// An engine asked to cancel, or for its load, answers at once or is in trouble.
const SHORT_CALL: Duration = Duration::from_millis(1_500);

/// The daemon's life on whose behalf an engine holds memory.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
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

    #[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature is serde's")]
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
        String::deserialize(deserializer)?
            .parse()
            .map_err(D::Error::custom)
    }
}

/// Memory that is to be released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// The try that holds it.
    pub attempt_id: AttemptId,
    /// The daemon's life on whose behalf, where it is not the present one.
    pub owner: Option<Owner>,
}

impl Held {
    /// Memory held on behalf of the present life.
    pub fn own(attempt_id: AttemptId) -> Self {
        Self {
            attempt_id,
            owner: None,
        }
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
    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderEnd, EngineFailure>>;
}

/// [`EngineEdge`] by HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngines {
    http: BackendHttp,
    owner: Owner,
}

impl HttpEngines {
    /// Makes the edge of the daemon life `owner`.
    pub fn new(http: BackendHttp, owner: Owner) -> Self {
        Self { http, owner }
    }

    async fn post<Body>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Body,
        trust: Trust,
        timeout: Duration,
    ) -> Result<Incoming, EngineFailure>
    where
        Body: Serialize + Sync,
    {
        let encoded = serde_json::to_vec(body).map_err(|_| CallFailure::Malformed)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri(to, path)?)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(encoded)))
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(trust, request, timeout).await?;
        match failure_of(response.status()) {
            None => Ok(response.into_body()),
            Some(failure) => Err(failure),
        }
    }

    async fn ask<Body, Reply>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Body,
        trust: Trust,
        timeout: Duration,
    ) -> Result<Reply, EngineFailure>
    where
        Body: Serialize + Sync,
        Reply: DeserializeOwned,
    {
        let incoming = self.post(to, path, body, trust, timeout).await?;
        parse(&read_body(incoming, REPLY_LIMIT_BYTES, SHORT_CALL).await?)
    }
}

impl HttpEngines {
    async fn read<Reply>(&self, to: SocketAddr, path: String) -> Result<Reply, EngineFailure>
    where
        Reply: DeserializeOwned,
    {
        let request = Request::builder()
            .uri(uri(to, &path)?)
            .body(Full::default())
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(Trust::Pooled, request, SHORT_CALL).await?;
        if let Some(failure) = failure_of(response.status()) {
            return Err(failure);
        }
        parse(&read_body(response.into_body(), REPLY_LIMIT_BYTES, SHORT_CALL).await?)
    }
}

fn parse<Reply>(bytes: &[u8]) -> Result<Reply, EngineFailure>
where
    Reply: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|_| CallFailure::Malformed.into())
}

fn failure_of(status: StatusCode) -> Option<EngineFailure> {
    match status {
        StatusCode::OK => None,
        StatusCode::TOO_MANY_REQUESTS => Some(EngineFailure::NoRoom),
        StatusCode::SERVICE_UNAVAILABLE => Some(EngineFailure::Leaving),
        StatusCode::GONE => Some(EngineFailure::Gone),
        StatusCode::NOT_FOUND => Some(EngineFailure::NoModel),
        other => Some(EngineFailure::Refused(other.as_u16())),
    }
}

#[derive(Serialize)]
struct PrefillBody<'a> {
    request_id: String,
    owner: &'a Owner,
    model: &'a ModelId,
    prompt: &'a str,
    generated: &'a str,
    priority: u8,
}

#[derive(Serialize)]
struct ImportBody<'a> {
    request_id: String,
    owner: &'a Owner,
    model: &'a ModelId,
    source: SocketAddr,
    priority: u8,
    rate_bytes_per_s: BytesPerSecond,
}

#[derive(Serialize)]
struct DecodeBody<'a> {
    request_id: String,
    owner: &'a Owner,
    max_tokens: Tokens,
    from_index: u64,
}

#[derive(Serialize)]
struct CancelBody<'a> {
    request_id: String,
    owner: &'a Owner,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    order_id: String,
    fencing: u64,
    expires_in_ms: Millis,
    kind: OrderKindBody<'a>,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum OrderKindBody<'a> {
    Load(&'a ModelId),
    Role(&'static str),
    Unload(&'a ModelId),
}

#[derive(Serialize)]
struct CancelOwnerBody<'a> {
    owner: &'a Owner,
}

impl EngineEdge for HttpEngines {
    fn prefill(
        &self,
        to: SocketAddr,
        call: PrefillCall,
        trust: Trust,
    ) -> BoxFuture<'_, Result<Prefilled, EngineFailure>> {
        Box::pin(async move {
            let prompt = std::str::from_utf8(&call.prompt).map_err(|_| CallFailure::Malformed)?;
            let body = PrefillBody {
                request_id: call.attempt_id.to_string(),
                owner: &self.owner,
                model: &call.model,
                prompt,
                generated: &call.generated,
                priority: call.priority,
            };
            self.ask(to, "/engine/prefill", &body, trust, call.timeout_ms.into())
                .await
        })
    }

    fn import(
        &self,
        to: SocketAddr,
        call: ImportCall,
        trust: Trust,
    ) -> BoxFuture<'_, Result<Imported, EngineFailure>> {
        Box::pin(async move {
            let body = ImportBody {
                request_id: call.attempt_id.to_string(),
                owner: &self.owner,
                model: &call.model,
                source: call.source,
                priority: call.priority,
                rate_bytes_per_s: call.rate_bytes_per_s,
            };
            self.ask(to, "/engine/import", &body, trust, call.timeout_ms.into())
                .await
        })
    }

    fn decode(
        &self,
        to: SocketAddr,
        call: DecodeCall,
        trust: Trust,
    ) -> BoxFuture<'_, Result<TokenStream, EngineFailure>> {
        Box::pin(async move {
            let body = DecodeBody {
                request_id: call.attempt_id.to_string(),
                owner: &self.owner,
                max_tokens: call.max_tokens,
                from_index: call.from_index,
            };
            let incoming = self.post(to, "/engine/decode", &body, trust, SHORT_CALL).await?;
            Ok(TokenStream {
                incoming,
                buffer: BytesMut::new(),
            })
        })
    }

    fn cancel(&self, to: SocketAddr, held: Held) -> BoxFuture<'_, Result<(), EngineFailure>> {
        Box::pin(async move {
            let owner = held.owner.as_ref().unwrap_or(&self.owner);
            let body = CancelBody {
                request_id: held.attempt_id.to_string(),
                owner,
            };
            // That it answered is the confirmation; how much it released is of no consequence.
            let IgnoredAny = self
                .ask(to, "/engine/cancel", &body, Trust::Fresh, SHORT_CALL)
                .await?;
            Ok(())
        })
    }

    fn cancel_owner(&self, to: SocketAddr, owner: Owner) -> BoxFuture<'_, Result<(), EngineFailure>> {
        Box::pin(async move {
            let body = CancelOwnerBody { owner: &owner };
            // That it answered is the confirmation; how much it released is of no consequence.
            let IgnoredAny = self
                .ask(to, "/engine/cancel_owner", &body, Trust::Fresh, SHORT_CALL)
                .await?;
            Ok(())
        })
    }

    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>> {
        Box::pin(self.read(to, "/engine/load".to_owned()))
    }

    fn cache_events(&self, to: SocketAddr, after: u64) -> BoxFuture<'_, Result<CachePage, EngineFailure>> {
        Box::pin(self.read(to, format!("/engine/cache_events?after={after}")))
    }

    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderEnd, EngineFailure>> {
        Box::pin(async move {
            let body = OrderBody {
                order_id: order.id.to_string(),
                fencing: order.fencing.0,
                expires_in_ms: order.expires_in_ms,
                kind: match &order.kind {
                    OrderKind::Load(model) => OrderKindBody::Load(model),
                    OrderKind::Unload(model) => OrderKindBody::Unload(model),
                    OrderKind::BecomePrefill => OrderKindBody::Role("prefill"),
                    OrderKind::BecomeDecode => OrderKindBody::Role("decode"),
                },
            };
            match self
                .post(to, "/engine/order", &body, Trust::Fresh, SHORT_CALL)
                .await
            {
                Ok(_) => Ok(OrderEnd::Applied),
                Err(EngineFailure::Refused(CONFLICT)) => Ok(OrderEnd::Fenced),
                Err(EngineFailure::Gone) => Ok(OrderEnd::Expired),
                Err(failure) => Err(failure),
            }
        })
    }
}

/// Tokens as the engine sends them. Dropping it closes the connection; reading slowly slows the engine down.
#[derive(Debug)]
pub struct TokenStream {
    incoming: Incoming,
    buffer: BytesMut,
}

impl TokenStream {
    /// Waits up to `patience` for the next part.
    ///
    /// # Errors
    ///
    /// [`CallFailure::Timeout`] when nothing came, [`CallFailure::Broken`] when the stream ended without its
    /// closing part, [`CallFailure::Malformed`] when a line is not a part.
    pub async fn next(&mut self, patience: Duration) -> Result<StreamPart, CallFailure> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return serde_json::from_slice(&line).map_err(|_| CallFailure::Malformed);
            }
            if self.buffer.len() > LINE_LIMIT_BYTES {
                return Err(CallFailure::Malformed);
            }
            let frame = match tokio::time::timeout(patience, self.incoming.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) => return Err(CallFailure::Broken),
                Err(_) => return Err(CallFailure::Timeout),
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
