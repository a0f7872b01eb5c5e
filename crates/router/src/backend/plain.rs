//! Calls to plain services: the caller's request as it came, and what the answer proves.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::{IdempotencyKey, RequestId};
use hibiscusvale_core::units::Millis;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};

use super::http::{BackendHttp, CallFailure, Trust, read_body, uri};

/// Answers up to this size are read whole before the caller's answer starts, so that its outcome header is
/// true. A larger one is passed on as it comes.
const WHOLE_ANSWER_BYTES: usize = 256 << 10;

/// Header by which a draining instance says that it has not run the request.
const LEAVING_HEADER: &str = "x-leaving";

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [header::HeaderName; 6] = [
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
    /// The request's id, passed on.
    pub request_id: RequestId,
    /// Set for a request that may not be repeated, and passed on.
    pub key: Option<IdempotencyKey>,
    /// Method as sent.
    pub method: Method,
    /// Path and query as sent.
    pub path: String,
    /// Headers as sent.
    pub headers: HeaderMap,
    /// Body as sent.
    pub body: Bytes,
    /// How long to wait for the answer.
    pub timeout_ms: Millis,
    /// Which connection it may take. A request that cannot be sent twice gets one of its own: an idle
    /// connection may have gone silent.
    pub trust: Trust,
}

/// An answer of a plain service.
#[derive(Debug)]
pub enum PlainReply {
    /// Read to its end.
    Whole {
        /// Status.
        status: StatusCode,
        /// Headers without those of the connection.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// Too large to hold: passed on as it comes.
    Streamed {
        /// Status.
        status: StatusCode,
        /// Headers without those of the connection.
        headers: HeaderMap,
        /// Body.
        body: Incoming,
    },
}

/// Why a call to a plain service gave no answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum PlainFailure {
    /// Proof that the request did not run: no connection.
    #[error("not sent")]
    NotSent,
    /// Proof that the request did not run: the instance is leaving and says so.
    #[error("instance is leaving")]
    Leaving,
    /// Sent, and no answer: it may have run.
    #[error("no answer: {0}")]
    Unknown(CallFailure),
}

/// The edge towards plain services.
pub trait PlainEdge: Debug + Send + Sync + 'static {
    /// Sends one request. It is sent at most once.
    fn call(&self, to: SocketAddr, call: PlainCall) -> BoxFuture<'_, Result<PlainReply, PlainFailure>>;
}

/// [`PlainEdge`] by HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlain {
    http: BackendHttp,
}

impl HttpPlain {
    /// Makes the edge.
    pub fn new(http: BackendHttp) -> Self {
        Self { http }
    }
}

impl PlainEdge for HttpPlain {
    fn call(&self, to: SocketAddr, call: PlainCall) -> BoxFuture<'_, Result<PlainReply, PlainFailure>> {
        Box::pin(async move {
            let timeout = Duration::from(call.timeout_ms);
            let trust = call.trust;
            let request = request_of(to, call).map_err(|_| PlainFailure::NotSent)?;
            let response = self.http.send(trust, request, timeout).await.map_err(failure_of)?;
            let (mut parts, body) = response.into_parts();
            if parts.status == StatusCode::SERVICE_UNAVAILABLE && parts.headers.contains_key(LEAVING_HEADER) {
                return Err(PlainFailure::Leaving);
            }
            strip_connection_headers(&mut parts.headers);
            if body.size_hint().exact().is_none_or(|size| size > WHOLE_ANSWER_BYTES as u64) {
                return Ok(PlainReply::Streamed { status: parts.status, headers: parts.headers, body });
            }
            let body = read_body(body, WHOLE_ANSWER_BYTES, timeout).await.map_err(PlainFailure::Unknown)?;
            Ok(PlainReply::Whole { status: parts.status, headers: parts.headers, body })
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
    strip_connection_headers(&mut headers);
    // The router's own credentials and lengths: the token is the partner's secret, the length is counted anew.
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

/// Removes the headers that belong to one connection, those that `Connection` names among them.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
