//! One attempt to send a request to a backend server, and what the answer proves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::outcome::Repeatability;
use hibiscusvale_core::sched::{FailureCause, HoldReason};
use hibiscusvale_core::units::Bytes as ByteCount;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body as _;

use super::end_checks::{self, ExpectedRun};
use super::interfaces::{EngineCall, Hop, ReplyHead, Task, Wire};
use super::memory_limit::{HeldBuffer, HeldMemory, NoMemory};
use super::state::{Incoming as IncomingRequest, RelayState};
use super::statements::{self, CallKind, RequestPath};
use crate::backend::{BackendHttp, CallFailure, ConnectionReuse, ServerBody, TrackedReply, read_body, uri};
use crate::callers::AnswerBody;
use crate::clock;

/// Answers up to this size are buffered before the caller's answer starts, so that one that breaks off can be
/// retried or reported as a failure.
const BUFFERED_ANSWER_BYTES_MAX: usize = 256 << 10;

/// Maximum size of the answer to a call of the router itself. The report of an engine with a thousand requests takes some
/// 40 KB.
const ROUTER_ANSWER_BYTES_MAX: usize = 48 << 10;

/// A server's answer with a valid head.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The parsed head.
    pub head: ReplyHead,
    known: TrackedReply,
}

/// A fully buffered answer.
#[derive(Clone, Debug)]
pub struct BufferedReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl BufferedReply {
    /// Converts it into the answer to the caller.
    pub fn into_response(self, wire: &dyn Wire) -> Response<AnswerBody> {
        let body = Full::new(self.body).map_err(|never| match never {}).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = wire.answer_headers(&self.headers);
        response
    }
}

impl Reply {
    /// The body, for an answer that is streamed to the caller.
    pub fn into_body(self) -> ServerBody {
        self.known.response.into_body()
    }

    /// Memory for the whole answer; `None` if there is none now.
    pub fn try_hold(&self, incoming: &IncomingRequest) -> Option<HeldMemory> {
        let mut memory = incoming.state.memory.answer();
        memory.try_grow(buffered_size(self.known.response.body())).ok().map(|()| memory)
    }

    /// Buffers the rest of the answer in `memory`, which holds as much as [`Self::try_hold`] says.
    ///
    /// # Errors
    ///
    /// [`FailureCause`]; the request has run.
    pub async fn into_buffered_in(
        self,
        memory: HeldMemory,
        timeout: Duration,
    ) -> Result<BufferedReply, FailureCause> {
        let Self { status, headers, known, .. } = self;
        let body = read_held(known.response.into_body(), memory, timeout).await?;
        Ok(BufferedReply { status, headers, body })
    }

    /// Buffers the rest of the answer once there is memory for it, as [`buffer`] does.
    ///
    /// # Errors
    ///
    /// [`FailureCause`]; the request has run.
    pub async fn into_buffered(
        self,
        incoming: &IncomingRequest,
        timeout: Duration,
    ) -> Result<BufferedReply, FailureCause> {
        let Self { status, headers, known, .. } = self;
        let body = buffer(incoming, known.response.into_body(), timeout).await?;
        Ok(BufferedReply { status, headers, body })
    }
}

/// Buffers the body of an answer, which is read within `timeout` once there is memory for it.
///
/// Memory is awaited until the deadline of the request, since the request has run. It is taken for the whole answer at
/// once: answers that wait for each other in the middle would all be late.
///
/// # Errors
///
/// [`FailureCause`]; the request has run.
pub async fn buffer(
    incoming: &IncomingRequest,
    body: ServerBody,
    timeout: Duration,
) -> Result<Bytes, FailureCause> {
    let mut memory = incoming.state.memory.answer();
    let waited = tokio::time::timeout_at(incoming.deadline, memory.grow(buffered_size(&body))).await;
    waited.map_err(|_elapsed| FailureCause::Timeout)?;
    read_held(body, memory, timeout).await
}

/// Largest size of the buffered body.
fn buffered_size(body: &ServerBody) -> ByteCount {
    let largest = BUFFERED_ANSWER_BYTES_MAX as u64;
    ByteCount(body.size_hint().exact().unwrap_or(largest).min(largest))
}

async fn read_held(body: ServerBody, memory: HeldMemory, timeout: Duration) -> Result<Bytes, FailureCause> {
    body.bound(BUFFERED_ANSWER_BYTES_MAX);
    let unfinished = body.unfinished();
    let mut body = Limited::new(body, BUFFERED_ANSWER_BYTES_MAX);
    let mut held = HeldBuffer::new(memory);
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| FailureCause::Broken)?;
            if let Ok(data) = frame.into_data() {
                held.try_extend(&data).map_err(|NoMemory| FailureCause::Broken)?;
            }
        }
        Ok(())
    };
    let Ok(read) = tokio::time::timeout(timeout, read).await else {
        unfinished.time_is_over();
        return Err(FailureCause::Timeout);
    };
    read?;
    Ok(held.into_bytes())
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// [`FailureCause`]: `Held`, `NotSent`, `NoRoom` and `Leaving` prove that the request did not run and never will.
pub async fn send(
    http: &BackendHttp,
    wire: &dyn Wire,
    incoming: &Arc<IncomingRequest>,
    to: SocketAddr,
    hop: &Hop<'_>,
    reuse: ConnectionReuse,
    timeout: Duration,
) -> Result<Reply, FailureCause> {
    let reply = exchange(http, wire, incoming, to, hop, reuse, timeout).await?;
    match classify_head(incoming, reply.status, &reply.head) {
        Ok(()) => Ok(reply),
        Err(cause) => {
            if cause == FailureCause::Broken {
                reply.known.prevent_reuse();
            }
            Err(cause)
        }
    }
}

/// Like [`send`] for a prefill, over any connection: that answer is for the router and carries no seal.
///
/// # Errors
///
/// As for [`send`].
pub async fn send_prefill(
    http: &BackendHttp,
    wire: &dyn Wire,
    incoming: &Arc<IncomingRequest>,
    to: SocketAddr,
    hop: &Hop<'_>,
    timeout: Duration,
) -> Result<Reply, FailureCause> {
    let reply = exchange(http, wire, incoming, to, hop, ConnectionReuse::Pooled, timeout).await?;
    match classify_head(incoming, reply.status, &reply.head) {
        Err(cause @ (FailureCause::NoRoom | FailureCause::Leaving)) => Err(cause),
        _ if reply.head.id.as_deref().is_some_and(|id| id != incoming.call.id.as_str()) => {
            reply.known.prevent_reuse();
            Err(FailureCause::Broken)
        }
        _ if reply.status == StatusCode::OK => Ok(reply),
        _ => Err(FailureCause::Refused),
    }
}

async fn exchange(
    http: &BackendHttp,
    wire: &dyn Wire,
    incoming: &Arc<IncomingRequest>,
    to: SocketAddr,
    hop: &Hop<'_>,
    reuse: ConnectionReuse,
    timeout: Duration,
) -> Result<Reply, FailureCause> {
    let state = &incoming.state;
    statements::check(state, hop.server, CallKind::Work)?;
    check_suspension(http, to)?;
    let request = request_of(wire, incoming, to, hop).map_err(|_| FailureCause::NotSent)?;
    incoming.record_sent(RequestPath::of(&hop.task).label(), hop.server);
    let is_repeatable = incoming.route.kind.repeatability() == Repeatability::Repeatable;
    let expected = ExpectedRun::listed(state, hop.server, to, is_repeatable);
    let withdrawn = statements::wait_until_leaving(state, hop.server);
    let known = http.send_tracked(reuse, request, timeout, withdrawn).await.map_err(failure_cause);
    let answered = known.as_ref().map(|_| ()).map_err(|cause| *cause);
    if answered == Err(FailureCause::NotSent) && statements::is_leaving(state, hop.server) {
        return Err(FailureCause::Held(HoldReason::Leaving));
    }
    incoming.state.reach.record(&incoming.state, hop.server, timeout, answered);
    let mut known = known?;
    let status = known.response.status();
    incoming.record_framing(known.response.body().framing());
    // The content of an answer to a prefill shows whether it is complete.
    if hop.task != Task::Prefill {
        check_end(incoming, known.response.body_mut(), expected);
    }
    let headers = std::mem::take(known.response.headers_mut());
    let head = wire.parse_reply(status, &headers);
    incoming.state.statements.record(&incoming.state, hop.server, RequestPath::of(&hop.task), status, &head);
    record_limit(incoming, hop.server, status, &head);
    if let Some(load) = head.load {
        incoming.state.record_server_load(incoming.service.as_str(), hop.server, load);
    }
    Ok(Reply { status, headers, head, known })
}

/// Lets the server confirm the end of the answer if its connection delimits it.
fn check_end(incoming: &Arc<IncomingRequest>, body: &mut ServerBody, run: ExpectedRun) {
    let incoming = Arc::clone(incoming);
    body.check_end_with(async move || {
        let check = end_checks::check(&incoming.state, &run).await;
        incoming.record_end_check(check);
        check
    });
}

/// Sends a call of the router itself to an engine and reads the answer, whatever its status.
///
/// # Errors
///
/// [`FailureCause`]; only `Held` and `NotSent` prove that the call had no effect.
pub async fn send_call(
    state: &RelayState,
    server: &BackendServerId,
    to: SocketAddr,
    (kind, call): (CallKind, EngineCall),
    reuse: ConnectionReuse,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), FailureCause> {
    let reply = send_call_for_head(state, server, to, (kind, call), reuse, timeout).await;
    reply.map(|(status, _, body)| (status, body))
}

/// Like [`send_call`], and also returns the parsed head of the answer.
///
/// # Errors
///
/// As for [`send_call`].
pub async fn send_call_for_head(
    state: &RelayState,
    server: &BackendServerId,
    to: SocketAddr,
    (kind, call): (CallKind, EngineCall),
    reuse: ConnectionReuse,
    timeout: Duration,
) -> Result<(StatusCode, ReplyHead, Bytes), FailureCause> {
    statements::check(state, server, kind)?;
    check_suspension(&state.router_http(), to)?;
    if statements::is_leaving(state, server) {
        let age_us = state.freshness.servers_age_us(clock::now()).unwrap_or_default();
        let version = state.directory.listing().version;
        state.log.call_to_leaving_server(server, kind.label(), version, age_us.to_millis_ceil());
    }
    exchange_call(state, server, to, call, reuse, timeout).await.map_err(failure_cause)
}

async fn exchange_call(
    state: &RelayState,
    server: &BackendServerId,
    to: SocketAddr,
    call: EngineCall,
    reuse: ConnectionReuse,
    timeout: Duration,
) -> Result<(StatusCode, ReplyHead, Bytes), CallFailure> {
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = uri(to, &call.path)?;
    *request.headers_mut() = call.headers;
    let response = state.router_http().send(reuse, request, timeout).await;
    let answered = response.as_ref().map(|_| ()).map_err(|failure| failure_cause(*failure));
    state.reach.record(state, server, timeout, answered);
    let response = response?;
    let status = response.status();
    let head = state.wire.parse_reply(status, response.headers());
    state.statements.record(state, server, RequestPath::Router, status, &head);
    // Only answers to requests can withdraw a limit.
    if let Some(rate) = head.limit {
        state.limits.record_answer(state, server, Some(rate));
    }
    Ok((status, head, read_body(response.into_body(), ROUTER_ANSWER_BYTES_MAX, timeout).await?))
}

/// Sends a call of the router itself to an engine and reads a successful answer.
///
/// # Errors
///
/// [`FailureCause`]; `NoRoom` when the engine refuses for lack of capacity.
pub async fn call(
    state: &RelayState,
    server: &BackendServerId,
    to: SocketAddr,
    call: (CallKind, EngineCall),
    timeout: Duration,
) -> Result<Bytes, FailureCause> {
    let (status, body) = send_call(state, server, to, call, ConnectionReuse::Pooled, timeout).await?;
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(FailureCause::NoRoom),
        StatusCode::MISDIRECTED_REQUEST => Err(FailureCause::Leaving),
        _ => Err(FailureCause::Refused),
    }
}

/// A server whose answer did not end gets nothing for now.
fn check_suspension(http: &BackendHttp, to: SocketAddr) -> Result<(), FailureCause> {
    if http.is_suspended(to) { Err(FailureCause::Held(HoldReason::Resting)) } else { Ok(()) }
}

/// Records the limit that an answer states or withdraws. A failure may come from a proxy in front of the
/// server, and a refusal of the server id from another server; neither withdraws a limit.
fn record_limit(incoming: &IncomingRequest, server: &BackendServerId, status: StatusCode, head: &ReplyHead) {
    let is_its_own = status.is_success() && head.id.as_deref() == Some(incoming.call.id.as_str());
    if is_its_own || (head.limit.is_some() && status != StatusCode::MISDIRECTED_REQUEST) {
        incoming.state.limits.record_answer(&incoming.state, server, head.limit);
    }
}

fn request_of(
    wire: &dyn Wire,
    incoming: &IncomingRequest,
    to: SocketAddr,
    hop: &Hop<'_>,
) -> Result<Request<Full<Bytes>>, CallFailure> {
    let mut request = Request::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    *request.uri_mut() = uri(to, &incoming.path)?;
    *request.headers_mut() = wire.hop_headers(&incoming.headers, &incoming.call, hop);
    Ok(request)
}

/// Classifies the head of an answer.
///
/// Answers may arrive late, twice, or behind bytes of another answer. Each server echoes the id of the
/// request, so an answer with another id belongs to another request and proves nothing about this one. A
/// status that callers take as "has not run" is passed on only when the server states so itself.
fn classify_head(
    incoming: &IncomingRequest,
    status: StatusCode,
    head: &ReplyHead,
) -> Result<(), FailureCause> {
    if head.id.as_deref() != Some(incoming.call.id.as_str()) {
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

/// What a failed call proves about the request.
pub fn failure_cause(failure: CallFailure) -> FailureCause {
    match failure {
        CallFailure::NotSent => FailureCause::NotSent,
        CallFailure::Timeout => FailureCause::Timeout,
        CallFailure::Broken | CallFailure::Malformed => FailureCause::Broken,
    }
}
