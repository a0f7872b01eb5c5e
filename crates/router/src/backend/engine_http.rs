//! Calls to model engines by HTTP. The shapes are stated in `docs/INTERFACES.md`.

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
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};

use super::engine::{
    CachePage, DecodeCall, EngineEdge, EngineFailure, EngineLoad, Held, ImportCall, Imported, Owner,
    PrefillCall, Prefilled, StreamPart, TokenStream,
};
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
            self.ask(to, "/engine/prefill", &body, trust, call.timeout_ms.into()).await
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
            self.ask(to, "/engine/import", &body, trust, call.timeout_ms.into()).await
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
            Ok(TokenStream::new(parts(incoming)))
        })
    }

    fn cancel(&self, to: SocketAddr, held: Held) -> BoxFuture<'_, Result<(), EngineFailure>> {
        Box::pin(async move {
            let owner = held.owner.as_ref().unwrap_or(&self.owner);
            let body = CancelBody { request_id: held.attempt_id.to_string(), owner };
            // That it answered is the confirmation; how much it released is of no consequence.
            let IgnoredAny = self.ask(to, "/engine/cancel", &body, Trust::Fresh, SHORT_CALL).await?;
            Ok(())
        })
    }

    fn cancel_owner(&self, to: SocketAddr, owner: Owner) -> BoxFuture<'_, Result<(), EngineFailure>> {
        Box::pin(async move {
            let body = CancelOwnerBody { owner: &owner };
            // That it answered is the confirmation; how much it released is of no consequence.
            let IgnoredAny = self.ask(to, "/engine/cancel_owner", &body, Trust::Fresh, SHORT_CALL).await?;
            Ok(())
        })
    }

    fn load(&self, to: SocketAddr) -> BoxFuture<'_, Result<EngineLoad, EngineFailure>> {
        Box::pin(self.read(to, "/engine/load".to_owned()))
    }

    fn cache_events(&self, to: SocketAddr, after: u64) -> BoxFuture<'_, Result<CachePage, EngineFailure>> {
        Box::pin(self.read(to, format!("/engine/cache_events?after={after}")))
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
            match self.post(to, "/engine/order", &body, Trust::Fresh, SHORT_CALL).await {
                Ok(_) => Ok(OrderOutcome::Applied),
                Err(EngineFailure::Refused(CONFLICT)) => Ok(OrderOutcome::Fenced),
                Err(EngineFailure::Gone) => Ok(OrderOutcome::Expired),
                Err(failure) => Err(failure),
            }
        })
    }
}

/// The parts of a stream, one line of JSON each.
fn parts(incoming: Incoming) -> impl Stream<Item = Result<StreamPart, CallFailure>> {
    stream::try_unfold((incoming, BytesMut::new()), |(mut incoming, mut buffer)| async move {
        Ok(next_part(&mut incoming, &mut buffer).await?.map(|part| (part, (incoming, buffer))))
    })
}

async fn next_part(
    incoming: &mut Incoming,
    buffer: &mut BytesMut,
) -> Result<Option<StreamPart>, CallFailure> {
    loop {
        if let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line = buffer.split_to(end + 1);
            return serde_json::from_slice(&line).map(Some).map_err(|_| CallFailure::Malformed);
        }
        if buffer.len() > LINE_LIMIT_BYTES {
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
