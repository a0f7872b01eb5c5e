//! HTTP client for model engines. The messages are specified in `docs/INTERFACES.md`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use futures_util::stream::{self, Stream};
use hibiscusvale_core::ids::ModelId;
use hibiscusvale_core::order::{Order, OrderKind, OrderOutcome};
use hibiscusvale_core::units::{BytesPerSecond, Millis, Tokens};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};

use super::body::ServerBody;
use super::engine::{
    CachePage, DecodeCall, EngineClient, EngineFailure, EngineLoad, HeldMemory, ImportCall, Imported, Owner,
    PrefillCall, Prefilled, StreamPart, TokenStream,
};
use super::http::{BackendHttp, CallFailure, ConnectionReuse, read_body, uri};

/// Largest reply of an engine that is not a stream. The load report of an engine that holds some hundreds of
/// requests takes a few ten thousand bytes.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Longest line of a token stream.
const MAX_LINE_BYTES: usize = 64 << 10;

/// HTTP status with which an engine refuses an outdated fencing number.
const FENCED_STATUS: u16 = 409;

/// Time-out of calls that an engine answers at once unless it is in trouble, such as a cancellation or a
/// load report.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// [`EngineClient`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngineClient {
    http: BackendHttp,
    owner: Owner,
}

impl HttpEngineClient {
    /// Creates a client that acts for the daemon incarnation `owner`.
    pub fn new(http: BackendHttp, owner: Owner) -> Self {
        Self { http, owner }
    }

    async fn post<Body>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Body,
        reuse: ConnectionReuse,
        timeout: Duration,
    ) -> Result<ServerBody, EngineFailure>
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
        let response = self.http.send(reuse, request, timeout).await?;
        match failure_from_status(response.status()) {
            None => Ok(response.into_body()),
            Some(failure) => Err(failure),
        }
    }

    async fn post_json<Body, Reply>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Body,
        reuse: ConnectionReuse,
        timeout: Duration,
    ) -> Result<Reply, EngineFailure>
    where
        Body: Serialize + Sync,
        Reply: DeserializeOwned,
    {
        let incoming = self.post(to, path, body, reuse, timeout).await?;
        parse(&read_body(incoming, MAX_REPLY_BYTES, SHORT_CALL_TIMEOUT).await?)
    }
}

impl HttpEngineClient {
    async fn get_json<Reply>(&self, to: SocketAddr, path: String) -> Result<Reply, EngineFailure>
    where
        Reply: DeserializeOwned,
    {
        let request = Request::builder()
            .uri(uri(to, &path)?)
            .body(Full::default())
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(ConnectionReuse::Pooled, request, SHORT_CALL_TIMEOUT).await?;
        if let Some(failure) = failure_from_status(response.status()) {
            return Err(failure);
        }
        parse(&read_body(response.into_body(), MAX_REPLY_BYTES, SHORT_CALL_TIMEOUT).await?)
    }
}

fn parse<Reply>(bytes: &[u8]) -> Result<Reply, EngineFailure>
where
    Reply: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|_| CallFailure::Malformed.into())
}

fn failure_from_status(status: StatusCode) -> Option<EngineFailure> {
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

impl EngineClient for HttpEngineClient {
    fn prefill(
        &self,
        to: SocketAddr,
        call: PrefillCall,
        reuse: ConnectionReuse,
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
            self.post_json(to, "/engine/prefill", &body, reuse, call.timeout_ms.into()).await
        })
    }

    fn import(
        &self,
        to: SocketAddr,
        call: ImportCall,
        reuse: ConnectionReuse,
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
            self.post_json(to, "/engine/import", &body, reuse, call.timeout_ms.into()).await
        })
    }

    fn decode(
        &self,
        to: SocketAddr,
        call: DecodeCall,
        reuse: ConnectionReuse,
    ) -> BoxFuture<'_, Result<TokenStream, EngineFailure>> {
        Box::pin(async move {
            let body = DecodeBody {
                request_id: call.attempt_id.to_string(),
                owner: &self.owner,
                max_tokens: call.max_tokens,
                from_index: call.from_index,
            };
            let incoming = self.post(to, "/engine/decode", &body, reuse, SHORT_CALL_TIMEOUT).await?;
            Ok(TokenStream::new(stream_parts(incoming)))
        })
    }

    fn cancel(&self, to: SocketAddr, held: HeldMemory) -> BoxFuture<'_, Result<(), EngineFailure>> {
        Box::pin(async move {
            let owner = held.owner.as_ref().unwrap_or(&self.owner);
            let body = CancelBody { request_id: held.attempt_id.to_string(), owner };
            // Any reply is the confirmation; how much was released does not matter.
            let IgnoredAny = self
                .post_json(to, "/engine/cancel", &body, ConnectionReuse::Fresh, SHORT_CALL_TIMEOUT)
                .await?;
            Ok(())
        })
    }

    fn cancel_owner(&self, to: SocketAddr, owner: Owner) -> BoxFuture<'_, Result<(), EngineFailure>> {
        Box::pin(async move {
            let body = CancelOwnerBody { owner: &owner };
            // Any reply is the confirmation; how much was released does not matter.
            let IgnoredAny = self
                .post_json(to, "/engine/cancel_owner", &body, ConnectionReuse::Fresh, SHORT_CALL_TIMEOUT)
                .await?;
            Ok(())
        })
    }

    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>> {
        Box::pin(self.get_json(to, "/engine/load".to_owned()))
    }

    fn cache_events(&self, to: SocketAddr, after: u64) -> BoxFuture<'_, Result<CachePage, EngineFailure>> {
        Box::pin(self.get_json(to, format!("/engine/cache_events?after={after}")))
    }

    fn order(&self, to: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderOutcome, EngineFailure>> {
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
            match self.post(to, "/engine/order", &body, ConnectionReuse::Fresh, SHORT_CALL_TIMEOUT).await {
                Ok(_) => Ok(OrderOutcome::Applied),
                Err(EngineFailure::Refused(FENCED_STATUS)) => Ok(OrderOutcome::Fenced),
                Err(EngineFailure::Gone) => Ok(OrderOutcome::Expired),
                Err(failure) => Err(failure),
            }
        })
    }
}

/// Splits a stream into parts, one line of JSON each.
fn stream_parts(incoming: ServerBody) -> impl Stream<Item = Result<StreamPart, CallFailure>> {
    stream::try_unfold((incoming, BytesMut::new()), |(mut incoming, mut buffer)| async move {
        Ok(next_part(&mut incoming, &mut buffer).await?.map(|part| (part, (incoming, buffer))))
    })
}

async fn next_part(
    incoming: &mut ServerBody,
    buffer: &mut BytesMut,
) -> Result<Option<StreamPart>, CallFailure> {
    loop {
        if let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line = buffer.split_to(end + 1);
            return serde_json::from_slice(&line).map(Some).map_err(|_| CallFailure::Malformed);
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Err(CallFailure::Malformed);
        }
        let Some(frame) = incoming.frame().await else {
            return Ok(None);
        };
        if let Ok(data) = frame.map_err(|_| CallFailure::Broken)?.into_data() {
            buffer.extend_from_slice(&data);
        }
    }
}
