//! Forwards requests to other daemons while this one reaches no server of their service.
//!
//! A daemon that has lost its links to the servers still gets callers: the platform's balancer does not see such
//! a cut, and open connections stay where they are. A request that has not been sent to any server goes to a
//! daemon that reaches the service; that daemon runs it like one of its own callers, and the answer passes
//! through unchanged. A forwarded request is never forwarded again.
//!
//! Forwarded requests arrive at the port for other daemons, which callers do not reach; the header that marks
//! them has no meaning at the callers' port.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusvale_core::ids::{HostId, PartnerId, RequestId, ServiceId, SoftwareVersion};
use hibiscusvale_core::outcome::Repeatability;
use hibiscusvale_core::quarantine::Fingerprint;
use hibiscusvale_core::relay::engines::VersionBinding;
use hibiscusvale_core::relay::stream_versions::StreamKey;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::Millis;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming as DaemonBody;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::interfaces::EventId;
use super::reach::Helper;
use super::refusal::{Reason, Refusal};
use super::state::{Incoming, RelayState};
use super::stop;
use super::stream::AnswerVersion;
use super::trace::Step;
use super::{callers, hop, state_transfer};
use crate::backend::{ConnectionReuse, ServerBody, strip_hop_by_hop_headers, uri};
use crate::callers::AnswerBody;
use crate::link_meter::{LinkPeer, MeteredStream};
use crate::metrics::Label as _;

/// Header of a forwarded request: a [`ForwardedHead`] as JSON.
const FORWARDED_HEADER: HeaderName = HeaderName::from_static("x-relay-forwarded");

/// Header of a forwarded request that is bound to a software version: a [`ForwardedHead`] as JSON. A daemon that does not
/// know bindings refuses the request instead of running it at any version.
const FORWARDED_BOUND_HEADER: HeaderName = HeaderName::from_static("x-relay-forwarded-bound");

/// Header of the answer to a forwarded request: the software version to which the stream is bound, as JSON.
const VERSION_HEADER: HeaderName = HeaderName::from_static("x-relay-version");

/// Header of the answer to a forwarded request: a [`ForwardedEnd`] as JSON.
const END_HEADER: HeaderName = HeaderName::from_static("x-relay-end");

/// Maximum number of daemons that a request is forwarded to, one after the other.
const HELPERS_MAX: usize = 3;

/// Time for the way back, which the other daemon does not get.
const WAY_MS: Millis = Millis(10);

/// Idle time after which a connection of another daemon is closed. It exceeds the time for which daemons keep
/// one for reuse.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What the daemon that a caller sent its request to knows about it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedHead {
    /// Host of that daemon.
    pub from: HostId,
    /// The request's id at all daemons.
    pub request_id: RequestId,
    /// Identifies repetitions of the request.
    pub fingerprint: Fingerprint,
    /// Organisation of the caller, whose quota is charged already.
    pub partner: Option<PartnerId>,
    /// Priority, with that of the organisation applied.
    pub priority: u8,
    /// Time left for the answer.
    pub left_ms: Millis,
    /// How long the caller has waited in earlier attempts.
    pub waited_ms: Millis,
    /// The last event that the caller has, when a stream is resumed.
    pub after_event: Option<u64>,
    /// Destination service. A stream that is resumed keeps its own, whatever the split of its route draws.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// The stream that it begins or resumes; `None` if it may not be resumed.
    #[serde(default)]
    pub stream: Option<StreamKey>,
    /// Software versions at which it may run.
    #[serde(default)]
    pub binding: VersionBinding,
}

/// How a forwarded request ended at the other daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum ForwardedEnd {
    /// A server answered.
    Answered,
    /// The daemon refused it.
    Refused {
        reason: String,
        retry_after_ms: Option<Millis>,
        /// Whether it made attempts at servers before.
        #[serde(default = "is_attempted_by_default")]
        is_attempted: bool,
    },
    /// The daemon is stopping, and the request has not run.
    Stopping,
}

/// A daemon of a build that does not tell may have made attempts.
fn is_attempted_by_default() -> bool {
    true
}

/// The refusal of a forwarded request, for the daemon that forwarded it.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedRefusal {
    /// The refusal.
    pub refusal: Refusal,
    /// Whether attempts at servers were made before.
    pub is_attempted: bool,
}

/// Result of forwarding a request.
#[derive(Debug)]
pub enum Forwarded {
    /// The answer, with headers for the caller, and the software version of its engine; `None` if that is not known.
    Answered(Box<Response<ServerBody>>, Option<SoftwareVersion>),
    /// The refusal for the caller.
    Refused(Refusal),
    /// No other daemon took it, and it has not run.
    NotTaken,
}

/// Forwards a request to daemons that reach its service until one takes it. `tried` lists the daemons that are not
/// asked any more; a stream is resumed after `after_event`.
pub async fn forward(
    incoming: &Incoming,
    after_event: Option<EventId>,
    binding: &VersionBinding,
    tried: &mut Vec<HostId>,
) -> Forwarded {
    let is_repeatable = incoming.route.kind.repeatability() == Repeatability::Repeatable;
    let mut may_have_run = false;
    let mut refused: Option<Refusal> = None;
    let state = &incoming.state;
    // A stream that has begun goes on.
    let has_begun = after_event != incoming.call.after_event;
    let mut too_late = pin!(stop::too_late(state, incoming.run_class()));
    tokio::select! {
        biased;
        refusal = &mut too_late, if !has_begun => return Forwarded::Refused(refusal),
        () = state.reach.wait_for_helper(state, incoming.service.as_str(), incoming.left()) => {}
    }
    incoming.record_helpers(state.reach.helper_counts(incoming.service.as_str()));
    for _ in 0..HELPERS_MAX {
        if !has_begun && let Some(refusal) = too_late.as_mut().now_or_never() {
            return Forwarded::Refused(refusal.unless_run(may_have_run));
        }
        let Some(helper) = state.reach.helper(state, incoming.service.as_str(), tried) else {
            break;
        };
        tried.push(helper.host.clone());
        let (mut response, end) = match send(incoming, &helper, after_event, binding, is_repeatable).await {
            Ok(answered) => answered,
            Err(cause) => {
                incoming.record_step(Step::ForwardFailed(cause), &helper.host);
                may_have_run |= cause.may_have_run();
                if may_have_run && !is_repeatable {
                    break;
                }
                continue;
            }
        };
        match end {
            ForwardedEnd::Answered => {
                incoming.record_step(Step::Forwarded, &helper.host);
                let version = response.headers_mut().remove(&VERSION_HEADER);
                let version = version.and_then(|version| serde_json::from_slice(version.as_bytes()).ok());
                return Forwarded::Answered(Box::new(response), version);
            }
            ForwardedEnd::Refused { reason, retry_after_ms, is_attempted } => {
                let reason = Reason::from_label(&reason).unwrap_or(Reason::NoAnswer);
                incoming.record_step(Step::ForwardRefused(reason), &helper.host);
                let refusal = Refusal { reason, retry_after_ms };
                may_have_run |= !refusal.is_not_run();
                // A first attempt elsewhere is not charged to a retry budget.
                let is_unpaid = is_attempted && !matches!(reason, Reason::NoServer | Reason::NoTable);
                if is_unpaid || !reason.is_of_one_daemon() {
                    return Forwarded::Refused(refusal.unless_run(may_have_run));
                }
                // The caller may come back when the first of them can take it.
                let is_sooner =
                    refused.is_none_or(|known: Refusal| refusal.retry_after_ms < known.retry_after_ms);
                if !matches!(reason, Reason::NoServer | Reason::NoTable) && is_sooner {
                    refused = Some(refusal);
                }
            }
            ForwardedEnd::Stopping => {
                incoming.record_step(Step::ForwardFailed(FailureCause::Leaving), &helper.host);
            }
        }
    }
    match refused {
        _ if may_have_run => Forwarded::Refused(Refusal::new(Reason::NoAnswer)),
        Some(refusal) => Forwarded::Refused(refusal),
        None => Forwarded::NotTaken,
    }
}

async fn send(
    incoming: &Incoming,
    helper: &Helper,
    after_event: Option<EventId>,
    binding: &VersionBinding,
    is_repeatable: bool,
) -> Result<(Response<ServerBody>, ForwardedEnd), FailureCause> {
    let request = request_of(incoming, helper, after_event, binding).ok_or(FailureCause::NotSent)?;
    // An idle connection may have gone silent.
    let reuse = if is_repeatable { ConnectionReuse::Pooled } else { ConnectionReuse::Fresh };
    let http = &incoming.state.http;
    let mut response = http.send(reuse, request, incoming.left()).await.map_err(hop::failure_cause)?;
    let headers = response.headers_mut();
    let end = headers.remove(&END_HEADER).and_then(|end| serde_json::from_slice(end.as_bytes()).ok());
    strip_hop_by_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::DATE);
    incoming.record_framing(response.body().framing());
    Ok((response, end.ok_or(FailureCause::Broken)?))
}

fn request_of(
    incoming: &Incoming,
    helper: &Helper,
    after_event: Option<EventId>,
    binding: &VersionBinding,
) -> Option<Request<Full<Bytes>>> {
    let head = ForwardedHead {
        from: incoming.state.peers.host().clone(),
        request_id: incoming.request_id,
        fingerprint: incoming.fingerprints.request,
        partner: incoming.partner.clone(),
        priority: incoming.route.priority,
        left_ms: incoming.left_ms().saturating_sub(WAY_MS),
        waited_ms: incoming.waited_ms,
        after_event: after_event.map(|event| event.0),
        service: Some(incoming.service.clone()),
        stream: incoming.stream,
        binding: binding.clone(),
    };
    let mut request = Request::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    *request.uri_mut() = uri(helper.address, &incoming.path).ok()?;
    let mut headers = incoming.headers.clone();
    strip_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    // Replaces what a caller may have set itself.
    remove_mark(&mut headers);
    let mark = match binding {
        VersionBinding::Any => FORWARDED_HEADER,
        VersionBinding::Only(_) => FORWARDED_BOUND_HEADER,
    };
    headers.insert(mark, json(&head)?);
    *request.headers_mut() = headers;
    Some(request)
}

fn json<Value>(value: &Value) -> Option<HeaderValue>
where
    Value: Serialize,
{
    HeaderValue::try_from(serde_json::to_string(value).ok()?).ok()
}

/// Serves the other daemons for as long as this one runs: requests for state, and forwarded requests.
pub async fn serve(state: Arc<RelayState>, listener: std::net::TcpListener) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return state.log.fault("other daemons are not served", &error),
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        // A delayed segment would delay an event; without the option they are only slower.
        let _ = stream.set_nodelay(true);
        let (state, meter) = (Arc::clone(&state), Arc::clone(&state.meter));
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let state = Arc::clone(&state);
                async move { Ok::<_, Infallible>(respond(&state, request).await) }
            });
            let stream = MeteredStream::new(stream, LinkPeer::Daemons, meter);
            // A daemon whose connection fails asks again or asks another one.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn respond(state: &Arc<RelayState>, mut request: Request<DaemonBody>) -> Response<AnswerBody> {
    let headers = request.headers_mut();
    let bound = headers.remove(&FORWARDED_BOUND_HEADER);
    let Some(head) = headers.remove(&FORWARDED_HEADER).or(bound) else {
        return state_transfer::respond(state, &request).map(boxed);
    };
    let Ok(head) = serde_json::from_slice::<ForwardedHead>(head.as_bytes()) else {
        let mut response = Response::new(boxed(Full::default()));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let (mut response, end) = if state.stopping.load(Ordering::Relaxed) {
        (Response::new(boxed(Full::default())), ForwardedEnd::Stopping)
    } else {
        match callers::relay_forwarded(state, request, head).await {
            Ok(response) => (response, ForwardedEnd::Answered),
            Err(ForwardedRefusal { refusal, is_attempted }) => {
                let Refusal { reason, retry_after_ms } = refusal;
                let end = if reason == Reason::Stopping && !is_attempted {
                    ForwardedEnd::Stopping
                } else {
                    ForwardedEnd::Refused { reason: reason.label().to_owned(), retry_after_ms, is_attempted }
                };
                let mut response = Response::new(boxed(Full::default()));
                if refusal.leaves_body_unread() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                (response, end)
            }
        }
    };
    if let Some(end) = json(&end) {
        response.headers_mut().insert(END_HEADER, end);
    }
    if let Some(AnswerVersion(version)) = response.extensions_mut().remove()
        && let Some(version) = json(&version)
    {
        response.headers_mut().insert(VERSION_HEADER, version);
    }
    response
}

fn boxed(body: Full<Bytes>) -> AnswerBody {
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Removes the headers that mark a forwarded request, which a caller may have set.
pub fn remove_mark(headers: &mut HeaderMap) {
    headers.remove(&FORWARDED_HEADER);
    headers.remove(&FORWARDED_BOUND_HEADER);
}
