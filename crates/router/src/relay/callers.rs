//! HTTP server for callers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusvale_core::ids::{RequestId, ServiceId};
use hibiscusvale_core::quarantine::{CallerIdentity, Fingerprint, Fingerprints, RequestIdentity};
use hibiscusvale_core::relay::admission::CLOSED_MAX_MS;
use hibiscusvale_core::relay::engines::VersionBinding;
use hibiscusvale_core::relay::partners::{Partner, UnknownCaller};
use hibiscusvale_core::relay::routes::{Route, RouteKind};
use hibiscusvale_core::relay::stream_versions::StreamKey;
use hibiscusvale_core::units::{Bytes as ByteCount, Credit, Millis};
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Frame, Incoming as CallerBody};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::caller_connection::{self, ConnectionUse};
use super::forward::{self, ForwardedHead, ForwardedRefusal};
use super::interfaces::{Call, CallId, EventId};
use super::memory_limit::{HeldBuffer, HeldMemory, NoMemory};
use super::plain;
use super::quotas::QuotaOwner;
use super::refusal::{Reason, Refusal};
use super::state::{Incoming, RelayState};
use super::stop::{self, RunClass, STOPPING_RETRY_MS};
use super::stream;
use super::stream_versions;
use super::trace::RequestTrace;
use crate::callers::{AnswerBody, CallerStream, ResetFlag};
use crate::clock;
use crate::link_meter::{LinkPeer, MeteredStream};
use crate::metrics::Label;

/// Retry-After while the daemon has no route table; a starting daemon obtains one within a second.
const NO_TABLE_RETRY_MS: Millis = Millis(500);

/// Retry-After while other requests hold the memory; most bodies are held for less than a second.
const NO_MEMORY_RETRY_MS: Millis = Millis(500);

/// Pause after a failed `accept`, usually for lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Smallest read buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Time for which a connection without a request counts as one that is about to send it.
const NEW_CONNECTION_MAX: Duration = Duration::from_secs(1);

/// Deadline of requests whose caller states none.
const DEFAULT_WAIT_MS: Millis = Millis(30_000);

/// Serves callers on at most `connections` concurrent connections until `stop` fires, then lets open
/// connections finish. Callers beyond the limit are refused with their requests unread, so that they try another daemon: a
/// host that runs out of file descriptors could not connect to servers either.
///
/// While the host is a bottleneck, the listener is closed whenever enough requests are open. Connections that are accepted
/// and reset would still bring their requests over its link.
///
/// # Errors
///
/// The I/O error when the socket cannot be used.
pub async fn serve(
    state: Arc<RelayState>,
    socket: std::net::TcpListener,
    connections: usize,
    stop: CancellationToken,
) -> io::Result<()> {
    let address = socket.local_addr()?;
    let mut socket = TcpListener::from_std(socket)?;
    let connections = Connections {
        state,
        closing: CancellationToken::new(),
        open: TaskTracker::new(),
        permits: Arc::new(Semaphore::new(connections)),
    };
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        connections.take_in(stream);
        if !connections.state.admission.admits() {
            connections.take_in_pending(&socket);
            drop(socket);
            socket = tokio::select! {
                reopened = reopen(&connections.state, address) => reopened,
                () = stop.cancelled() => return connections.finish().await,
            };
        }
    }
    drop(socket);
    connections.finish().await
}

/// Connections of callers.
struct Connections {
    state: Arc<RelayState>,
    /// Fires once no further request is taken.
    closing: CancellationToken,
    open: TaskTracker,
    permits: Arc<Semaphore>,
}

impl Connections {
    fn take_in(&self, stream: TcpStream) {
        match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => {
                self.state.metrics.record_caller_connection();
                self.serve(stream, permit);
            }
            Err(_) => refuse_unread(&self.state, stream, "connection-limit"),
        }
    }

    /// Takes in connections that the operating system has accepted already: their requests cross the link in any case.
    /// The others are reset when the listener is closed.
    fn take_in_pending(&self, socket: &TcpListener) {
        while self.state.admission.admits_pending()
            && let Some(Ok((stream, _))) = socket.accept().now_or_never()
        {
            self.take_in(stream);
        }
    }

    fn serve(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let state = Arc::clone(&self.state);
        let limits = state.table.load().limits();
        let head_bytes = usize::try_from(limits.head_bytes.0).unwrap_or(usize::MAX);
        let (reset, usage) = (ResetFlag::default(), ConnectionUse::default());
        let stream = MeteredStream::new(stream, LinkPeer::Callers, Arc::clone(&state.meter));
        let mut stream = CallerStream::new(stream, reset.clone()).with_pending_writes(usage.writes.clone());
        if state.memory.max().is_some() {
            // A caller that takes nothing would hold its answer for good.
            stream = stream.with_write_timeout(Duration::from(limits.idle_timeout_ms));
        }
        // Counts the connection until its first request does.
        let new_connection = Arc::new(Mutex::new(Some(state.admission.enter())));
        let (service_state, service_usage) = (Arc::clone(&state), usage.clone());
        let first_slot = Arc::clone(&new_connection);
        let service = service_fn(move |request: Request<CallerBody>| {
            let (state, reset) = (Arc::clone(&service_state), reset.clone());
            let slot = first_slot.lock().take().unwrap_or_else(|| state.admission.enter());
            let in_use = service_usage.begin();
            let version = request.version();
            async move {
                let response = handle_request(&state, request).await;
                drop(slot);
                Ok::<_, Infallible>(in_use.until_end_of(reset.guard(version, response)))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from(limits.idle_timeout_ms))
            .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let closing = self.closing.clone();
        self.open.spawn(async move {
            let unused = async {
                tokio::time::sleep(NEW_CONNECTION_MAX).await;
                drop(new_connection.lock().take());
                std::future::pending::<()>().await;
            };
            tokio::select! {
                () = caller_connection::serve(state, connection, usage, closing) => {}
                () = unused => {}
            }
            drop(permit);
        });
    }

    async fn finish(self) -> io::Result<()> {
        self.closing.cancel();
        self.open.close();
        self.open.wait().await;
        Ok(())
    }
}

/// Listens again once callers may open more requests.
async fn reopen(state: &RelayState, address: SocketAddr) -> TcpListener {
    let closed_at = Instant::now();
    state.admission.wait_for_room(Duration::from(CLOSED_MAX_MS)).await;
    let socket = loop {
        match bind(address).and_then(TcpListener::from_std) {
            Ok(socket) => break socket,
            Err(error) => {
                state.log.fault("the address for callers could not be bound again", &error);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    };
    let closed_ms = u64::try_from(closed_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    state.admission.record_closed(Millis(closed_ms));
    socket
}

/// Binds the listen address for callers.
///
/// # Errors
///
/// The I/O error of the bind.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = std::net::TcpListener::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Resets a connection without reading from it.
fn refuse_unread(state: &RelayState, stream: TcpStream, reason: &'static str) {
    // Without the option the close is a reset only if bytes have arrived; the caller is refused either way.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
    state.metrics.record_rejected(reason);
}

async fn handle_request(state: &Arc<RelayState>, request: Request<CallerBody>) -> Response<AnswerBody> {
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = match relay(state, request).await {
        Ok(response) => response,
        Err(refusal) => refusal.into_response(&*state.wire),
    };
    // A request may carry both Transfer-Encoding and Content-Length, and a proxy in front may have framed it
    // by the length: what follows on the connection would then be a smuggled request. hyper frames by the
    // encoding and hides the length, so the connection is closed after any chunked body (RFC 9112, section
    // 6.1).
    //
    // While there is a limit, the next request has to come over a new connection, which the listener can refuse.
    let is_limited = state.admission.limit().is_some();
    if is_chunked || is_limited || state.stopping.load(Ordering::Relaxed) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn relay(
    state: &Arc<RelayState>,
    request: Request<CallerBody>,
) -> Result<Response<AnswerBody>, Refusal> {
    let read = read_until_stop(state, read_request(state, request)).await;
    let incoming =
        Arc::new(read.inspect_err(|refusal| state.metrics.record_rejected(refusal.reason.label()))?);
    let answered = run(state, &incoming).await;
    if let Err(refusal) = &answered {
        if let Some(partner) = &incoming.partner
            && refusal.is_not_run()
        {
            state.quotas.refund(state, &QuotaOwner::Partner(partner.clone()), incoming.charged);
        }
        state.caller_waits.lock().record_refusal(clock::now(), &incoming.route.name);
    }
    answered
}

/// Runs a request that another daemon forwards. That daemon has authenticated its caller, charged its quota, and
/// counts its outcome.
///
/// # Errors
///
/// The refusal.
pub async fn relay_forwarded(
    state: &Arc<RelayState>,
    request: Request<CallerBody>,
    head: ForwardedHead,
) -> Result<Response<AnswerBody>, ForwardedRefusal> {
    let read = read_until_stop(state, read_forwarded(state, request, head)).await;
    let incoming = Arc::new(read.map_err(|refusal| ForwardedRefusal { refusal, is_attempted: false })?);
    let answered = run(state, &incoming).await;
    answered.map_err(|refusal| ForwardedRefusal { refusal, is_attempted: incoming.is_attempted() })
}

/// Reads a request, or refuses it when the last answers of a stop are due. It has been sent to no server.
async fn read_until_stop<Read>(state: &RelayState, read: Read) -> Result<Incoming, Refusal>
where
    Read: Future<Output = Result<Incoming, Refusal>>,
{
    tokio::select! {
        biased;
        read = read => read,
        () = state.stop.answers_due() => Err(Refusal::retry_after(Reason::Stopping, STOPPING_RETRY_MS)),
    }
}

async fn run(state: &Arc<RelayState>, incoming: &Arc<Incoming>) -> Result<Response<AnswerBody>, Refusal> {
    let is_stream = incoming.route.kind.is_stream();
    let answered = if is_stream {
        stream::relay(state, incoming).await
    } else {
        let answered = plain::relay(state, incoming);
        tokio::select! {
            biased;
            answered = tokio::time::timeout_at(incoming.deadline, answered) => {
                answered.unwrap_or(Err(Refusal::new(Reason::NoAnswerInTime)))
            }
            () = state.stop.answers_due() => Err(Refusal::new(Reason::StopOver)),
        }
    };
    match &answered {
        Ok(response) if !is_stream || !response.status().is_success() => incoming.set_outcome("answered"),
        Ok(_) => {}
        Err(refusal) => incoming.set_outcome(refusal.reason.label()),
    }
    answered
}

/// Selects the destination of a split route. It depends on the request id, so a retry by the caller may reach
/// another destination.
fn routing_hash(request_id: RequestId) -> u64 {
    request_id.sequence.wrapping_mul(HASH_MULTIPLIER) >> HASH_SHIFT
}

/// Multiplier of Knuth's multiplicative hashing; distributes consecutive sequence numbers evenly.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Only the upper bits of the product are evenly distributed.
const HASH_SHIFT: u32 = 32;

async fn read_request(state: &Arc<RelayState>, request: Request<CallerBody>) -> Result<Incoming, Refusal> {
    let arrived = Instant::now();
    let (mut parts, body) = request.into_parts();
    forward::remove_mark(&mut parts.headers);
    let call = state.wire.parse_call(&parts).map_err(|_| Refusal::new(Reason::BadRequest))?;
    let table = state.table.load_full();
    if !table.is_known() {
        return Err(Refusal::retry_after(Reason::NoTable, NO_TABLE_RETRY_MS));
    }
    let mut route =
        table.find(host_of(&parts), parts.uri.path()).ok_or(Refusal::new(Reason::NoRoute))?.clone();
    let partner = table.partners().authenticate(call.credentials, route.allows_anonymous);
    let partner = partner.map_err(|unknown| unknown_caller(state, unknown))?;
    route.priority = partner.and_then(|partner| partner.priority).unwrap_or(route.priority);
    let credentials = parts.headers.get(header::AUTHORIZATION).cloned();
    if !table.partners().is_empty() {
        // Removed here so that a caller's key can be neither forwarded nor logged.
        parts.headers.remove(header::AUTHORIZATION);
    }
    let request_id = state.next_id();
    let service = route.destination(routing_hash(request_id)).ok_or(Refusal::new(Reason::NoServer))?.clone();
    let deadline = arrived + Duration::from(wait_ms(&call, route.timeout_ms));
    let limit_bytes = table.limits().body_bytes.0;
    let limit_bytes = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let count_refusal = |refusal: &Refusal| {
        let partner = partner.map(|partner| &partner.id);
        state.record_organisation_outcome(service.as_str(), partner, refusal.reason.label());
    };
    let class = RunClass { call: &call.id, service: service.as_str(), route: &route };
    let body = read_body(state, class, body, limit_bytes, deadline).await;
    let body = body.inspect_err(count_refusal)?;
    let fingerprint = fingerprint(&parts, credentials.as_ref(), partner, &body);
    let fingerprints = Fingerprints::new(fingerprint, &call.shared_prompt_parts);
    state.quarantine.admit(state, &call.id, &fingerprints).inspect_err(count_refusal)?;
    let caller = caller_identity(partner, credentials.as_ref());
    let host = host_of(&parts);
    let resolved = resolve_stream(state, &call, &route, service.clone(), caller, host).await;
    let resolved = resolved.inspect_err(count_refusal)?;
    let charged = charge(state, &call, partner).await.inspect_err(count_refusal)?;
    let (service, stream, binding) = resolved;
    let waited_ms = state.caller_waits.lock().estimate(clock::now(), &route.name, call.wait_ms);
    state.open.fetch_add(1, Ordering::Relaxed);
    Ok(Incoming {
        request_id,
        call,
        partner: partner.map(|partner| partner.id.clone()),
        forwarded_by: None,
        charged,
        fingerprints,
        route,
        service,
        stream,
        binding,
        path: path_of(&parts).to_owned(),
        method: parts.method,
        headers: parts.headers,
        body,
        waited_ms,
        arrived,
        deadline,
        trace: Mutex::new(RequestTrace::default()),
        state: Arc::clone(state),
    })
}

async fn read_forwarded(
    state: &Arc<RelayState>,
    request: Request<CallerBody>,
    head: ForwardedHead,
) -> Result<Incoming, Refusal> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let call = state.wire.parse_call(&parts).map_err(|_| Refusal::new(Reason::BadRequest))?;
    let call = Call { wait_ms: Some(head.left_ms), after_event: head.after_event.map(EventId), ..call };
    let table = state.table.load_full();
    if !table.is_known() {
        return Err(Refusal::retry_after(Reason::NoTable, NO_TABLE_RETRY_MS));
    }
    let route = table.find(host_of(&parts), parts.uri.path()).ok_or(Refusal::new(Reason::NoRoute))?.clone();
    let route = Route { priority: head.priority, ..route };
    let named = head.service.filter(|service| route.leads_to(service));
    let service = named.or_else(|| route.destination(routing_hash(head.request_id)).cloned());
    let service = service.ok_or(Refusal::new(Reason::NoServer))?;
    let deadline = arrived + Duration::from(wait_ms(&call, route.timeout_ms));
    let limit_bytes = table.limits().body_bytes.0;
    let limit_bytes = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let class = RunClass { call: &call.id, service: service.as_str(), route: &route };
    let body = read_body(state, class, body, limit_bytes, deadline).await?;
    let fingerprints = Fingerprints::new(head.fingerprint, &call.shared_prompt_parts);
    state.quarantine.admit(state, &call.id, &fingerprints)?;
    state.open.fetch_add(1, Ordering::Relaxed);
    Ok(Incoming {
        request_id: head.request_id,
        call,
        partner: head.partner,
        forwarded_by: Some(head.from),
        charged: Credit::ZERO,
        fingerprints,
        route,
        service,
        stream: head.stream,
        binding: head.binding,
        path: path_of(&parts).to_owned(),
        method: parts.method,
        headers: parts.headers,
        body,
        waited_ms: head.waited_ms,
        arrived,
        deadline,
        trace: Mutex::new(RequestTrace::default()),
        state: Arc::clone(state),
    })
}

fn host_of(parts: &request::Parts) -> &str {
    parts.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
}

fn path_of(parts: &request::Parts) -> &str {
    parts.uri.path_and_query().map_or("/", PathAndQuery::as_str)
}

fn fingerprint(
    parts: &request::Parts,
    credentials: Option<&HeaderValue>,
    partner: Option<&Partner>,
    body: &[u8],
) -> Fingerprint {
    let caller = caller_identity(partner, credentials);
    Fingerprint::of(&RequestIdentity {
        caller,
        method: parts.method.as_str(),
        host: host_of(parts),
        path: path_of(parts),
        body,
    })
}

fn caller_identity<'a>(
    partner: Option<&'a Partner>,
    credentials: Option<&'a HeaderValue>,
) -> CallerIdentity<'a> {
    match (partner, credentials) {
        (Some(partner), _) => CallerIdentity::Partner(&partner.id),
        (None, Some(credentials)) => CallerIdentity::Credentials(credentials.as_bytes()),
        (None, None) => CallerIdentity::Anonymous,
    }
}

/// Service, stream and software versions for a request. A stream that its caller resumes goes on at the service and the
/// version that began it, whatever the split of its route draws.
async fn resolve_stream(
    state: &RelayState,
    call: &Call,
    route: &Route,
    drawn: ServiceId,
    caller: CallerIdentity<'_>,
    host: &str,
) -> Result<(ServiceId, Option<StreamKey>, VersionBinding), Refusal> {
    if route.kind != (RouteKind::Stream { resumable: true }) {
        return Ok((drawn, None, VersionBinding::Any));
    }
    let key = |attempt: &CallId| StreamKey::of(caller, host, attempt.as_str());
    if call.after_event.is_none() {
        return Ok((drawn, Some(key(&call.id)), VersionBinding::Any));
    }
    let named = call.resumes.as_ref().map(key);
    let origin = stream_versions::resolve(state, call, route, named).await?;
    if !route.leads_to(&origin.service) {
        return Err(Refusal::new(Reason::VersionGone));
    }
    Ok((origin.service, named, VersionBinding::Only(origin.version)))
}

/// Charges a request to its organisation's quota and returns the amount charged.
async fn charge(state: &RelayState, call: &Call, partner: Option<&Partner>) -> Result<Credit, Refusal> {
    let limited = partner.and_then(|partner| Some((&partner.id, partner.quota?)));
    let Some((partner, quota)) = limited else {
        return Ok(Credit::ZERO);
    };
    let tokens = call.generation.as_ref().map(|it| it.prompt_tokens + it.answer_tokens_max);
    let credit = quota.cost(tokens);
    let charged = state.quotas.charge(state, &QuotaOwner::Partner(partner.clone()), credit).await;
    if let Err(refusal) = &charged {
        state.log.request_refused_by_quota(&call.id, partner, refusal.reason, credit);
    }
    charged.map(|()| credit)
}

/// Handles a request without a valid key. The key may be newer than this daemon's route table; while the
/// table may be stale the caller is told to retry, since it would not retry after a 401.
fn unknown_caller(state: &RelayState, unknown: UnknownCaller) -> Refusal {
    if state.freshness.table_may_be_stale(clock::now()) {
        return Refusal::retry_after(Reason::NoTable, NO_TABLE_RETRY_MS);
    }
    Refusal::new(unknown.into())
}

fn wait_ms(call: &Call, route_ms: Millis) -> Millis {
    call.wait_ms.unwrap_or(DEFAULT_WAIT_MS).min(route_ms)
}

/// Reads a body of at most `limit_bytes`, which is held in memory from then on. The request is refused once the daemon stops
/// too soon for it.
async fn read_body(
    state: &RelayState,
    class: RunClass<'_>,
    body: CallerBody,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    tokio::select! {
        biased;
        body = collect_body(state.memory.body(), body, limit_bytes, deadline) => body,
        refusal = stop::too_late(state, class) => Err(refusal),
    }
}

async fn collect_body(
    mut memory: HeldMemory,
    body: CallerBody,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    // Refuse by the announced length, before reading any of the body.
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > limit_bytes as u64 {
        return Err(Refusal::new(Reason::BodyTooLarge));
    }
    memory.try_grow(ByteCount(announced_bytes)).map_err(no_memory)?;
    let mut body = Limited::new(body, limit_bytes);
    let mut held = HeldBuffer::new(memory);
    let read = async {
        while let Some(frame) = body.frame().await {
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) => held.try_extend(&data).map_err(no_memory)?,
                Ok(Err(_trailers)) => {}
                Err(error) if error.is::<LengthLimitError>() => {
                    return Err(Refusal::new(Reason::BodyTooLarge));
                }
                Err(_) => return Err(Refusal::new(Reason::BodyIncomplete)),
            }
        }
        Ok(())
    };
    tokio::time::timeout_at(deadline, read)
        .await
        .unwrap_or(Err(Refusal::new(Reason::BodyIncomplete)))
        .map(|()| held.into_bytes())
}

fn no_memory(NoMemory: NoMemory) -> Refusal {
    Refusal::retry_after(Reason::NoMemory, NO_MEMORY_RETRY_MS)
}
