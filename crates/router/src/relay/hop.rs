//! One sending of a request to a backend server, and what its answer proves.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::FailureCause;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::edge::{EngineCall, Hop, ReplyHead, Wire};
use super::state::{Incoming as Arrived, RelayState};
use crate::backend::{BackendHttp, CallFailure, KnownReply, Trust, read_body, uri};
use crate::callers::AnswerBody;

/// Answers up to this size are read whole before the caller's answer starts, so that one that breaks off can be
/// asked for again, or be told as a failure.
const WHOLE_ANSWER_BYTES: usize = 256 << 10;

/// An answer of a server whose head is in order.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers as they came.
    pub headers: HeaderMap,
    /// What they say.
    pub head: ReplyHead,
    known: KnownReply,
}

/// An answer read to its end.
#[derive(Clone, Debug)]
pub struct WholeReply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers as they came.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl WholeReply {
    /// The answer that gives it to the caller.
    pub fn into_response(self, wire: &dyn Wire) -> Response<AnswerBody> {
        let body = Full::new(self.body).map_err(|never| match never {}).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = wire.answer_headers(&self.headers);
        response
    }
}

impl Reply {
    /// Its body, for an answer that is passed on as it comes.
    pub fn into_body(self) -> Incoming {
        self.known.response.into_body()
    }

    /// Reads it to its end.
    ///
    /// # Errors
    ///
    /// [`FailureCause`]; the request has run.
    pub async fn whole(self, timeout: Duration) -> Result<WholeReply, FailureCause> {
        let Self { status, headers, known, .. } = self;
        let body = read_body(known.response.into_body(), WHOLE_ANSWER_BYTES, timeout).await;
        Ok(WholeReply { status, headers, body: body.map_err(cause_of)? })
    }
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// [`FailureCause`]: `NotSent`, `NoRoom` and `Leaving` prove that the request did not run and never will.
pub async fn send(
    http: &BackendHttp,
    wire: &dyn Wire,
    arrived: &Arrived,
    to: SocketAddr,
    hop: &Hop<'_>,
    trust: Trust,
    timeout: Duration,
) -> Result<Reply, FailureCause> {
    let reply = exchange(http, wire, arrived, to, hop, trust, timeout).await?;
    match judge(arrived, reply.status, &reply.head) {
        Ok(()) => Ok(reply),
        Err(cause) => {
            if cause == FailureCause::Broken {
                reply.known.distrust();
            }
            Err(cause)
        }
    }
}

/// As [`send`] on any connection, for reading a prompt: that answer is for the relay and carries no seal.
///
/// # Errors
///
/// As [`send`].
pub async fn send_read(
    http: &BackendHttp,
    wire: &dyn Wire,
    arrived: &Arrived,
    to: SocketAddr,
    hop: &Hop<'_>,
    timeout: Duration,
) -> Result<Reply, FailureCause> {
    let reply = exchange(http, wire, arrived, to, hop, Trust::Pooled, timeout).await?;
    match judge(arrived, reply.status, &reply.head) {
        Err(cause @ (FailureCause::NoRoom | FailureCause::Leaving)) => Err(cause),
        _ if reply.head.id.as_deref().is_some_and(|id| id != arrived.call.id.as_str()) => {
            reply.known.distrust();
            Err(FailureCause::Broken)
        }
        _ if reply.status == StatusCode::OK => Ok(reply),
        _ => Err(FailureCause::Refused),
    }
}

async fn exchange(
    http: &BackendHttp,
    wire: &dyn Wire,
    arrived: &Arrived,
    to: SocketAddr,
    hop: &Hop<'_>,
    trust: Trust,
    timeout: Duration,
) -> Result<Reply, FailureCause> {
    let request = request_of(wire, arrived, to, hop).map_err(|_| FailureCause::NotSent)?;
    let mut known = http.send_known(trust, request, timeout).await.map_err(cause_of)?;
    let status = known.response.status();
    let headers = std::mem::take(known.response.headers_mut());
    let head = wire.read_reply(status, &headers);
    note_limit(arrived, hop.server, status, &head);
    Ok(Reply { status, headers, head, known })
}

/// Sends a call of the relay's own to an engine and reads the answer, whatever its status.
///
/// # Errors
///
/// [`CallFailure`]; only `NotSent` proves that it had no effect.
pub async fn exchange_call(
    state: &RelayState,
    server: &BackendServerId,
    to: SocketAddr,
    call: EngineCall,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallFailure> {
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = uri(to, &call.path)?;
    *request.headers_mut() = call.headers;
    let response = state.http.send(Trust::Pooled, request, timeout).await?;
    let status = response.status();
    // Only answers to requests withdraw a limit.
    if let Some(rate) = state.wire.read_reply(status, response.headers()).limit {
        state.limits.answered(state, server, Some(rate));
    }
    Ok((status, read_body(response.into_body(), WHOLE_ANSWER_BYTES, timeout).await?))
}

/// Sends a call of the relay's own to an engine and reads the answer.
///
/// # Errors
///
/// [`FailureCause`]; `NoRoom` where the engine refuses.
pub async fn call(
    state: &RelayState,
    server: &BackendServerId,
    to: SocketAddr,
    call: EngineCall,
    timeout: Duration,
) -> Result<Bytes, FailureCause> {
    let (status, body) = exchange_call(state, server, to, call, timeout).await.map_err(cause_of)?;
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(FailureCause::NoRoom),
        StatusCode::MISDIRECTED_REQUEST => Err(FailureCause::Leaving),
        _ => Err(FailureCause::Refused),
    }
}

/// Takes note of the limit that an answer states, or states no more. A failure may come from what is in front of the
/// server, and a refusal for its id from another server: those withdraw nothing.
fn note_limit(arrived: &Arrived, server: &BackendServerId, status: StatusCode, head: &ReplyHead) {
    let is_its_own = status.is_success() && head.id.as_deref() == Some(arrived.call.id.as_str());
    if is_its_own || (head.limit.is_some() && status != StatusCode::MISDIRECTED_REQUEST) {
        arrived.state.limits.answered(&arrived.state, server, head.limit);
    }
}

fn request_of(
    wire: &dyn Wire,
    arrived: &Arrived,
    to: SocketAddr,
    hop: &Hop<'_>,
) -> Result<Request<Full<Bytes>>, CallFailure> {
    let mut request = Request::new(Full::new(arrived.body.clone()));
    *request.method_mut() = arrived.method.clone();
    *request.uri_mut() = uri(to, &arrived.path)?;
    *request.headers_mut() = wire.hop_headers(&arrived.headers, &arrived.call, hop);
    Ok(request)
}

/// What the head of an answer proves.
///
/// Answers come late, twice, or with bytes of another one in front; each server echoes the id of the request, so an
/// answer with another id belongs to another request and nothing is known of this one. A status that callers take
/// as "has not run" counts only when the server says so itself.
fn judge(arrived: &Arrived, status: StatusCode, head: &ReplyHead) -> Result<(), FailureCause> {
    if head.id.as_deref() != Some(arrived.call.id.as_str()) {
        return Err(FailureCause::Broken);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(FailureCause::Leaving);
    }
    if head.not_run {
        return Err(FailureCause::NoRoom);
    }
    if head.encoded || (status.is_success() && !head.sealed) {
        return Err(FailureCause::Broken);
    }
    match status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(FailureCause::Broken)
        }
        status if status.is_informational() || status.is_redirection() => Err(FailureCause::Broken),
        _ => Ok(()),
    }
}

fn cause_of(failure: CallFailure) -> FailureCause {
    match failure {
        CallFailure::NotSent => FailureCause::NotSent,
        CallFailure::Timeout => FailureCause::Timeout,
        CallFailure::Broken | CallFailure::Malformed => FailureCause::Broken,
    }
}
