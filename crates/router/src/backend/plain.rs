//! Client for plain services: sends callers' requests as they came, and classifies what the answer proves.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::{IdempotencyKey, RequestId};
use hibiscusvale_core::units::Millis;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::Body as _;

use super::body::ServerBody;
use super::http::{BackendHttp, CallFailure, ConnectionReuse, read_body, uri};

/// Answers up to this size are read completely before the answer to the caller starts, so that its outcome
/// header is correct. Larger ones are streamed.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 << 10;

/// Response header by which a draining instance states that it has not run the request.
const LEAVING_HEADER: &str = "x-leaving";

/// Hop-by-hop headers, which are not passed on (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// One request for a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Id of the request, passed on in a header.
    pub request_id: RequestId,
    /// Set for a request that must not be repeated, and passed on in a header.
    pub key: Option<IdempotencyKey>,
    /// Method as sent by the caller.
    pub method: Method,
    /// Path and query as sent by the caller.
    pub path: String,
    /// Headers as sent by the caller.
    pub headers: HeaderMap,
    /// Body as sent by the caller.
    pub body: Bytes,
    /// Time-out of the call.
    pub timeout_ms: Millis,
    /// Which connection the call may use. A request that must not be sent twice gets a new one, because an
    /// idle connection may have gone silent.
    pub reuse: ConnectionReuse,
}

/// An answer of a plain service.
#[derive(Debug)]
pub enum PlainReply {
    /// The complete answer.
    Buffered {
        /// Status of the answer.
        status: StatusCode,
        /// Headers without the hop-by-hop ones.
        headers: HeaderMap,
        /// The complete body.
        body: Bytes,
    },
    /// An answer too large to buffer, or of unknown size.
    Streamed {
        /// Status of the answer.
        status: StatusCode,
        /// Headers without the hop-by-hop ones.
        headers: HeaderMap,
        /// The body, which has not been read.
        body: ServerBody,
    },
}

/// Why a call to a plain service gave no answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum PlainFailure {
    /// Proves that the request did not run: no connection was established.
    #[error("not sent")]
    NotSent,
    /// Proves that the request did not run: the instance states that it is leaving.
    #[error("instance is leaving")]
    Leaving,
    /// The request was sent and no answer arrived: it may have run.
    #[error("no answer: {0}")]
    Unknown(CallFailure),
}

/// Client for plain services.
pub trait PlainClient: Debug + Send + Sync + 'static {
    /// Sends one request, at most once.
    fn call(&self, to: SocketAddr, call: PlainCall) -> BoxFuture<'_, Result<PlainReply, PlainFailure>>;
}

/// [`PlainClient`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlainClient {
    http: BackendHttp,
}

impl HttpPlainClient {
    /// Creates a client that sends over `http`.
    pub fn new(http: BackendHttp) -> Self {
        Self { http }
    }
}

impl PlainClient for HttpPlainClient {
    fn call(&self, to: SocketAddr, call: PlainCall) -> BoxFuture<'_, Result<PlainReply, PlainFailure>> {
        Box::pin(async move {
            let timeout = Duration::from(call.timeout_ms);
            let reuse = call.reuse;
            let request = request_of(to, call).map_err(|_| PlainFailure::NotSent)?;
            let response = self.http.send(reuse, request, timeout).await.map_err(failure_of)?;
            let (mut parts, body) = response.into_parts();
            if parts.status == StatusCode::SERVICE_UNAVAILABLE && parts.headers.contains_key(LEAVING_HEADER) {
                return Err(PlainFailure::Leaving);
            }
            strip_hop_by_hop_headers(&mut parts.headers);
            if body.size_hint().exact().is_none_or(|size| size > MAX_BUFFERED_ANSWER_BYTES as u64) {
                return Ok(PlainReply::Streamed { status: parts.status, headers: parts.headers, body });
            }
            let body =
                read_body(body, MAX_BUFFERED_ANSWER_BYTES, timeout).await.map_err(PlainFailure::Unknown)?;
            Ok(PlainReply::Buffered { status: parts.status, headers: parts.headers, body })
        })
    }
}

fn failure_of(failure: CallFailure) -> PlainFailure {
    match failure {
        CallFailure::NotSent => PlainFailure::NotSent,
        other @ (CallFailure::Broken | CallFailure::Malformed | CallFailure::Timeout) => {
            PlainFailure::Unknown(other)
        }
    }
}

fn request_of(to: SocketAddr, call: PlainCall) -> Result<Request<Full<Bytes>>, CallFailure> {
    let mut headers = call.headers;
    strip_hop_by_hop_headers(&mut headers);
    // These headers are the router's own: the token is the partner's secret, and the length is recomputed.
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::HOST);
    let id = call.request_id.to_string().parse().map_err(|_| CallFailure::Malformed)?;
    headers.insert("x-request-id", id);
    if let Some(key) = call.key {
        headers.insert("idempotency-key", key.as_str().parse().map_err(|_| CallFailure::Malformed)?);
    }
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = uri(to, &call.path)?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
