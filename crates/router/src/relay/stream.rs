//! Execution of a request to a model: one engine prefills the prompt, another decodes the answer, which is
//! streamed to the caller event by event.

use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::{BackendServerId, HostId, Lifetime, SoftwareVersion};
use hibiscusvale_core::outcome::Repeatability;
use hibiscusvale_core::relay::engines::{Demand, EngineAction, EngineEvent, EngineRefusal, VersionBinding};
use hibiscusvale_core::relay::silence::SilentEngine;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::shares::OrganisationKey;
use hibiscusvale_core::units::{Millis, Tokens};
use http::Response;
use http_body_util::{BodyExt, Full};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::crashes::{self, Attempt};
use super::engine_pools::{EnginePools, OpenRequest};
use super::forward::{self, Forwarded};
use super::forwarding;
use super::hop::{self, BufferedReply, Reply};
use super::interfaces::{EventId, Generation, Hop, PrefillResult, Reservation, Task};
use super::leaving_checks;
use super::reach;
use super::refusal::{Reason, Refusal};
use super::state::{Incoming, RelayState};
use super::statements::{self, CallKind};
use super::stop::{self, STOPPING_RETRY_MS};
use super::trace::Step;
use crate::backend::{ConnectionReuse, Probe, ServerBody, probe};
use crate::callers::{AnswerBody, BodyBroken};
use crate::directory::BackendServer;

/// Maximum queueing time as a multiple of the first-event target. Callers leave after four times the target,
/// and one is left for the steps still to come.
const QUEUE_WAIT_FACTOR: u64 = 3;

/// Charge against an engine's limit for a request with a reservation: the reservation and the request itself
/// both reach the engine.
const RESERVED_REQUESTS: u64 = 2;

/// Interval at which the origin of a stream is recorded again while it sends events; records are kept for a few times as
/// long.
const RECORD_INTERVAL: Duration = Duration::from_secs(20);

/// Timeout of the report that confirms the run of an engine; callers wait for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of reports that are asked for while none arrives.
const REPORTS_MAX: u32 = 3;

/// Pause between them.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of the call that releases a reservation.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a request; the caller gets the stream or a refusal.
///
/// # Errors
///
/// The refusal.
pub async fn relay(
    state: &Arc<RelayState>,
    incoming: &Arc<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let generation = incoming.call.generation.as_ref().ok_or(Refusal::new(Reason::BadRequest))?;
    let demand = demand_of(incoming, generation);
    let mut request = StreamedRequest {
        state: Arc::clone(state),
        incoming: Arc::clone(incoming),
        demand,
        open: None,
        helpers: Vec::new(),
        began: None,
        prefilled: None,
        reservation: None,
        decode_attempt: None,
        answering: None,
        version: incoming.binding.clone().into(),
        run_check: None,
        recorded: None,
        outcome_unknown: false,
        last_event: incoming.call.after_event,
        failed: None,
    };
    let answered = tokio::select! {
        biased;
        answered = tokio::time::timeout_at(incoming.deadline, request.run_until_answered()) => Some(answered),
        () = state.stop.answers_due() => None,
    };
    let Some(answered) = answered else {
        return Err(request.refusal_at_end_of_stop());
    };
    let answer = match answered {
        Ok(Ok(answer)) => answer,
        Ok(Err(refusal)) => {
            return request.failed.take().map(|reply| reply.into_response(&*state.wire)).ok_or(refusal);
        }
        Err(_elapsed) => return Err(Refusal::new(Reason::NoAnswerInTime)),
    };
    let (parts, body) = answer.into_parts();
    if !parts.status.is_success() {
        let buffered = hop::buffer(incoming, body, incoming.left()).await;
        let body = buffered.map_err(|_| Refusal::new(Reason::NoAnswer))?;
        let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
        return Ok(Response::from_parts(parts, body));
    }
    // The daemon that forwarded the request learns the version from the head of the answer, before any event.
    let version = if incoming.forwarded_by.is_some() { request.bind_to_answer() } else { None };
    let mut response = forwarding::streamed(parts.status, parts.headers, request, body);
    if let Some(version) = version {
        response.extensions_mut().insert(AnswerVersion(version));
    }
    Ok(response)
}

/// Extension of the answer to a forwarded request: the software version to which it is bound.
#[derive(Clone, Debug)]
pub struct AnswerVersion(pub SoftwareVersion);

fn demand_of(incoming: &Incoming, generation: &Generation) -> Demand {
    Demand {
        request_id: incoming.request_id,
        prompt_tokens: generation.prompt_tokens,
        answer_tokens_max: generation.answer_tokens_max,
        answer_tokens_hint: generation.answer_tokens_hint,
        repeatability: incoming.route.kind.repeatability(),
        attempts_max: incoming.route.attempts_max,
        target_ms: incoming.route.target_ms,
        waited_ms: incoming.waited_ms,
        gap_target_ms: incoming.route.gap_target_ms,
        max_wait_ms: Millis(incoming.route.target_ms.0 * QUEUE_WAIT_FACTOR).min(incoming.left_ms()),
        priority: incoming.route.priority,
        binding: incoming.binding.clone(),
        organisation: incoming.partner.as_ref().map(OrganisationKey::of),
    }
}

async fn next_step(open: &mut Option<OpenRequest>) -> Option<EngineAction> {
    open.as_mut()?.step().await
}

/// A prefilled prompt and the address of its engine.
struct PrefilledPrompt {
    at: SocketAddr,
    prompt: PrefillResult,
}

/// A reservation at an engine; released when dropped unused.
struct HeldReservation {
    server: BackendServerId,
    at: SocketAddr,
    name: Reservation,
    state: Arc<RelayState>,
}

impl HeldReservation {
    fn into_name(self) -> Reservation {
        let this = ManuallyDrop::new(self);
        this.name.clone()
    }
}

impl Drop for HeldReservation {
    fn drop(&mut self) {
        let (state, server, at) = (Arc::clone(&self.state), self.server.clone(), self.at);
        let call = (CallKind::Cleanup, state.wire.release_reservation(&self.name));
        tokio::spawn(async move {
            // A reservation that is not released expires after the time that was requested for it.
            let _ = hop::call(&state, &server, at, call, RELEASE_TIMEOUT).await;
        });
    }
}

/// Software version of the engine that answers.
struct AnsweringVersion {
    version: SoftwareVersion,
    /// Run of the engine that the version belongs to, as listed when the request was sent; `None` where an engine never
    /// starts again under its id.
    lifetime: Option<Lifetime>,
}

/// Software version at which a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
enum StreamVersion {
    /// The caller has no event.
    NotBegun,
    /// The version that sent the first event.
    Known(SoftwareVersion),
    /// An engine sent events, and it is not known which software it ran.
    Unknown,
}

impl From<VersionBinding> for StreamVersion {
    fn from(binding: VersionBinding) -> Self {
        match binding {
            VersionBinding::Any => Self::NotBegun,
            VersionBinding::Only(version) => Self::Known(version),
        }
    }
}

/// Which run of an engine answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunCheck {
    /// The listed one.
    Listed,
    /// Another one, or it is not known which.
    Other,
}

/// Asks an engine for its run. One that reports none is taken to be the listed one.
async fn reported_run(
    state: &RelayState,
    server: &BackendServerId,
    at: SocketAddr,
    listed: Lifetime,
    timeout: Duration,
) -> Result<RunCheck, FailureCause> {
    let call = (CallKind::Report, state.wire.report(server));
    let body = hop::call(state, server, at, call, timeout).await?;
    let report = leaving_checks::parse_report(state, server, &body).ok_or(FailureCause::Broken)?;
    let is_listed = report.lifetime.is_none_or(|lifetime| lifetime == listed);
    Ok(if is_listed { RunCheck::Listed } else { RunCheck::Other })
}

/// Checks after the first event of a stream that the listed run of the engine has begun it. The list lags behind an engine
/// that starts again, and may never show a run that crashes at once.
async fn check_first_run(incoming: Arc<Incoming>, attempt: Attempt, listed: Lifetime) -> RunCheck {
    for _ in 0..REPORTS_MAX {
        let (server, at) = (attempt.server(), attempt.address());
        if let Ok(run) = reported_run(&incoming.state, server, at, listed, REPORT_TIMEOUT).await {
            if run == RunCheck::Other {
                incoming.record_origin(None);
            }
            return run;
        }
        tokio::time::sleep(REPORT_PAUSE).await;
    }
    incoming.record_origin(None);
    RunCheck::Other
}

/// A request on its way through the engines.
pub(super) struct StreamedRequest {
    state: Arc<RelayState>,
    pub(super) incoming: Arc<Incoming>,
    demand: Demand,
    /// The request in this daemon's pool; `None` until it is passed to the pool.
    open: Option<OpenRequest>,
    /// Daemons to which it was forwarded.
    helpers: Vec<HostId>,
    /// When the first attempt at an engine or at another daemon began.
    began: Option<Instant>,
    prefilled: Option<PrefilledPrompt>,
    reservation: Option<HeldReservation>,
    /// The attempt whose answer is being streamed.
    decode_attempt: Option<Attempt>,
    /// Software version of the engine whose answer is being streamed; `None` if it is not known.
    answering: Option<AnsweringVersion>,
    /// Software version at which the stream began.
    version: StreamVersion,
    /// Check that the engine which began the stream was the listed run; `None` where an engine never starts again under its
    /// id, and after the check was used.
    run_check: Option<JoinHandle<RunCheck>>,
    /// When that was last recorded, and how often a service had come to have several versions by then.
    recorded: Option<(Instant, u64)>,
    /// Whether an engine may have run the request.
    outcome_unknown: bool,
    /// The last event that the caller has received.
    pub(super) last_event: Option<EventId>,
    /// The answer of a failed engine; the caller gets it if no other attempt succeeds.
    failed: Option<BufferedReply>,
}

impl StreamedRequest {
    /// Runs the request until an engine answers this daemon or another one; returns the answer with headers for
    /// the caller.
    async fn run_until_answered(&mut self) -> Result<Response<ServerBody>, Refusal> {
        if self.incoming.is_server_lost() {
            let refusal = reach::nobody_reaches_servers().unless_run(self.outcome_unknown);
            return self.forward().await.unwrap_or(Err(refusal));
        }
        match self.run_at_engines().await {
            Err(refusal) if refusal.is_not_run() && self.incoming.is_server_doubtful() => {
                self.forward().await.unwrap_or(Err(refusal))
            }
            answered => {
                let reply = answered?;
                let (status, headers) = (reply.status, self.state.wire.answer_headers(&reply.headers));
                let mut answer = Response::new(reply.into_body());
                *answer.status_mut() = status;
                *answer.headers_mut() = headers;
                Ok(answer)
            }
        }
    }

    /// Forwards the request to another daemon; `None` if none took it, and it has not run.
    async fn forward(&mut self) -> Option<Result<Response<ServerBody>, Refusal>> {
        // The pool of the other daemon places it; this one must not hold a place for it.
        self.open = None;
        self.began.get_or_insert_with(Instant::now);
        let binding = match &self.version {
            StreamVersion::NotBegun => VersionBinding::Any,
            StreamVersion::Known(version) => VersionBinding::Only(version.clone()),
            StreamVersion::Unknown => return None,
        };
        match forward::forward(&self.incoming, self.last_event, &binding, &mut self.helpers).await {
            Forwarded::Answered(response, version) => {
                self.decode_attempt = None;
                self.answering = version.map(|version| AnsweringVersion { version, lifetime: None });
                Some(Ok(*response))
            }
            Forwarded::Refused(refusal) => Some(Err(refusal.unless_run(self.outcome_unknown))),
            Forwarded::NotTaken => None,
        }
    }

    /// Whether no run has begun at engines, or it has failed before its first event.
    fn is_at_rest(&self) -> bool {
        let has_no_event = self.last_event == self.incoming.call.after_event;
        has_no_event && self.reservation.is_none() && self.prefilled.is_none()
    }

    /// Passes an event to this daemon's pool, if the request is there.
    pub(super) fn feed(&self, event: EngineEvent) {
        if let Some(open) = &self.open {
            open.feed(event);
        }
    }

    /// Like [`Self::feed`], without a message to the other daemons.
    pub(super) fn feed_without_message(&self, event: EngineEvent) {
        if let Some(open) = &self.open {
            open.feed_without_message(event);
        }
    }

    /// Executes the pool's actions until an engine answers.
    async fn run_at_engines(&mut self) -> Result<Reply, Refusal> {
        let request_id = self.incoming.request_id;
        if self.open.is_none() {
            let service = self.incoming.service.as_str();
            let open = EnginePools::arrive(&self.state, service, self.demand.clone());
            self.open = Some(open.ok_or(Refusal::new(Reason::NoServer))?);
        }
        let state = Arc::clone(&self.state);
        let incoming = Arc::clone(&self.incoming);
        let mut refused = pin!(state.quarantine.refused(&state, &incoming.call.id, &incoming.fingerprints));
        let mut too_late = pin!(stop::too_late(&state, incoming.run_class()));
        loop {
            let step = tokio::select! {
                biased;
                refusal = &mut refused => {
                    return Err(refusal.unless_run(self.outcome_unknown));
                }
                // A run that has begun was expected to end in time.
                refusal = &mut too_late, if self.is_at_rest() => {
                    return Err(refusal.unless_run(self.outcome_unknown));
                }
                step = next_step(&mut self.open) => step,
            };
            let Some(action) = step else { break };
            self.began.get_or_insert_with(Instant::now);
            match action {
                EngineAction::Reserve { decode_engine, tokens, keep_ms, timeout_ms, .. } => {
                    let event = match self.reserve(&decode_engine, tokens, keep_ms, timeout_ms).await {
                        Ok(reservation) => {
                            self.reservation = Some(reservation);
                            EngineEvent::Reserved { request_id }
                        }
                        Err(cause) => {
                            self.incoming.record_step(Step::ReserveFailed(cause), &decode_engine);
                            EngineEvent::ReserveFailed { request_id, cause }
                        }
                    };
                    self.feed(event);
                }
                EngineAction::Prefill { prefill_engine, timeout_ms, .. } => {
                    let event = match self.prefill(&prefill_engine, timeout_ms).await {
                        Ok(prefilled) => {
                            self.incoming.record_step(Step::Prefilled, &prefill_engine);
                            self.prefilled = Some(prefilled);
                            EngineEvent::Prefilled { request_id }
                        }
                        Err(cause) => {
                            self.incoming.record_step(Step::PrefillFailed(cause), &prefill_engine);
                            self.reservation = None;
                            EngineEvent::PrefillFailed { request_id, cause }
                        }
                    };
                    self.feed(event);
                }
                EngineAction::Decode { decode_engine, prefill_engine, version, .. } => {
                    self.check_stop()?;
                    let source = prefill_engine.and_then(|_| self.prefilled.take());
                    match self.decode(&decode_engine, source, version).await {
                        Ok(reply) => {
                            self.incoming.record_step(Step::Decoding, &decode_engine);
                            return Ok(reply);
                        }
                        Err(cause) => {
                            self.outcome_unknown |= cause.may_have_run();
                            self.incoming.record_step(Step::DecodeFailed(cause), &decode_engine);
                            self.feed(EngineEvent::DecodeFailed { request_id, cause });
                        }
                    }
                }
                // No time can be given after which engines of that version are back.
                EngineAction::Refuse { reason: EngineRefusal::VersionGone, .. } => {
                    return Err(Refusal::new(Reason::VersionGone));
                }
                EngineAction::Refuse { reason, retry_after_ms, .. } => {
                    return Err(Refusal::retry_after(reason.into(), retry_after_ms));
                }
                EngineAction::Unknown { .. } => break,
                EngineAction::Borrow(_) | EngineAction::Wake { .. } => {}
            }
        }
        Err(Refusal::new(Reason::NoAnswer))
    }

    async fn reserve(
        &self,
        writer: &BackendServerId,
        tokens: Tokens,
        keep_ms: Millis,
        timeout_ms: Millis,
    ) -> Result<HeldReservation, FailureCause> {
        let Self { state, incoming, .. } = self;
        let at = state.directory.address_of(writer).ok_or(FailureCause::NotSent)?;
        statements::admit(state, writer, RESERVED_REQUESTS).await?;
        incoming.record_sent("hold", writer);
        let call = (CallKind::Work, state.wire.reserve(writer, tokens, keep_ms));
        let body = hop::call(state, writer, at, call, Duration::from(timeout_ms)).await?;
        let name = state.wire.parse_reservation(&body).ok_or(FailureCause::Refused)?;
        Ok(HeldReservation { server: writer.clone(), at, name, state: Arc::clone(state) })
    }

    async fn prefill(
        &self,
        reader: &BackendServerId,
        timeout_ms: Millis,
    ) -> Result<PrefilledPrompt, FailureCause> {
        let Self { state, incoming, .. } = self;
        let at = state.directory.address_of(reader).ok_or(FailureCause::NotSent)?;
        statements::admit(state, reader, 1).await?;
        let hop = incoming.hop(reader, Task::Prefill);
        let timeout = incoming.left().min(Duration::from(timeout_ms));
        // A repeated prefill is harmless, so any connection will do.
        let attempt = Attempt::new(reader, at);
        let buffered = async {
            let reply = hop::send_prefill(&state.http, &*state.wire, incoming, at, &hop, timeout).await?;
            reply.into_buffered(incoming, timeout).await
        };
        let buffered = buffered.await;
        if let Err(cause) = &buffered {
            crashes::check_for_crash(incoming, &attempt, *cause).await;
        }
        let buffered = buffered?;
        let prompt = state.wire.parse_prefill(&buffered.body).ok_or(FailureCause::Broken)?;
        Ok(PrefilledPrompt { at, prompt })
    }

    async fn decode(
        &mut self,
        writer: &BackendServerId,
        source: Option<PrefilledPrompt>,
        version: SoftwareVersion,
    ) -> Result<Reply, FailureCause> {
        let listing = self.state.directory.listing();
        let listed = listing.servers.get(writer).filter(|listed| listed.version == version);
        // An engine that has another version by now was chosen by an older list.
        let listed = listed.ok_or(FailureCause::NotSent)?;
        let at = listed.address;
        self.answering = Some(AnsweringVersion { version, lifetime: listed.lifetime });
        if self.reservation.is_none() {
            statements::admit(&self.state, writer, 1).await?;
        } else if let Err(held) = statements::check(&self.state, writer, CallKind::Work) {
            // The request goes to another engine, which makes a reservation of its own.
            self.reservation = None;
            return Err(held);
        }
        // Once sent with the request the reservation is consumed, whatever the result.
        let reservation = self.reservation.take().map(HeldReservation::into_name);
        let attempt = Attempt::new(writer, at);
        self.decode_attempt = Some(attempt.clone());
        let Self { state, incoming, .. } = &*self;
        let task = match source {
            Some(PrefilledPrompt { at, prompt }) => Task::Decode { source: at, handle: prompt.handle },
            None => Task::Run,
        };
        let hop = Hop {
            reservation: reservation.as_ref(),
            after_event: self.last_event,
            ..incoming.hop(writer, task)
        };
        let reuse = if self.is_repeatable() { ConnectionReuse::Pooled } else { ConnectionReuse::Fresh };
        let reply = hop::send(&state.http, &*state.wire, incoming, at, &hop, reuse, incoming.left()).await;
        if let Err(cause) = &reply {
            crashes::check_for_crash(incoming, &attempt, *cause).await;
        }
        let reply = reply?;
        if let (StreamVersion::Known(_), Some(lifetime)) = (&self.version, listed.lifetime) {
            self.confirm_run(writer, at, lifetime).await?;
        }
        if self.version == StreamVersion::NotBegun
            && self.incoming.stream.is_some()
            && reply.status.is_success()
            && let Some(answering) = &self.answering
        {
            state.stream_versions.save_first(state, &incoming.service, &answering.version).await;
        }
        if reply.status.is_server_error() && self.is_repeatable() {
            self.failed = Some(reply.into_buffered(incoming, incoming.left()).await?);
            return Err(FailureCause::Refused);
        }
        Ok(reply)
    }

    /// Confirms that the engine that has begun to answer a bound request is the listed run and not a later one, which may
    /// have other software. The connection of the answer is older than the report, and no run comes back.
    async fn confirm_run(
        &self,
        writer: &BackendServerId,
        at: SocketAddr,
        listed: Lifetime,
    ) -> Result<(), FailureCause> {
        let timeout = REPORT_TIMEOUT.min(self.incoming.left());
        match reported_run(&self.state, writer, at, listed, timeout).await? {
            RunCheck::Listed => Ok(()),
            RunCheck::Other => Err(FailureCause::Broken),
        }
    }

    /// Checks that a stream that no engine decodes yet can end before the process does: its prefill may have taken longer
    /// than usual.
    fn check_stop(&self) -> Result<(), Refusal> {
        let has_begun = self.decode_attempt.is_some() || self.last_event != self.incoming.call.after_event;
        let spent = self.began.map(|began| began.elapsed()).unwrap_or_default();
        if has_begun {
            return Ok(());
        }
        stop::check_rest(&self.state, self.incoming.run_class(), spent)
            .map_err(|refusal| refusal.unless_run(self.outcome_unknown))
    }

    /// Refusal of a request that no engine has answered when the last answers of a stop are due.
    fn refusal_at_end_of_stop(&self) -> Refusal {
        if self.outcome_unknown || self.decode_attempt.is_some() || !self.helpers.is_empty() {
            return Refusal::new(Reason::StopOver);
        }
        Refusal::retry_after(Reason::Stopping, STOPPING_RETRY_MS)
    }

    /// Whether another daemon passes the answer on.
    pub(super) fn is_forwarded(&self) -> bool {
        self.decode_attempt.is_none()
    }

    /// Asks the decode engine, which has fallen silent, for its state.
    pub(super) async fn silent_engine(&self) -> SilentEngine {
        let Some(attempt) = &self.decode_attempt else {
            return SilentEngine::Unreachable;
        };
        let (state, server, at) = (&self.state, attempt.server(), attempt.address());
        let call = (CallKind::Report, state.wire.report(server));
        let report = hop::call(state, server, at, call, REPORT_TIMEOUT.min(self.incoming.left())).await;
        if report.as_ref().is_ok_and(|body| self.is_other_run(body)) {
            return SilentEngine::Unreachable;
        }
        let parse = |body: &Bytes| state.wire.parse_reported_run(body, &self.incoming.call.id);
        match report.as_ref().map(parse) {
            Ok(Some(run)) => SilentEngine::Reported(run),
            // Another server has the address.
            Err(FailureCause::Leaving) => SilentEngine::Unreachable,
            Ok(None) | Err(_) if probe(at).await == Probe::Accepts => SilentEngine::NoReport,
            Ok(None) | Err(_) => SilentEngine::Unreachable,
        }
    }

    /// Whether a report comes from a later run of the engine than the one that was sent the request.
    fn is_other_run(&self, report: &[u8]) -> bool {
        let reported = self.state.wire.parse_report(report).and_then(|report| report.lifetime);
        let listed = self.answering.as_ref().and_then(|answering| answering.lifetime);
        listed.zip(reported).is_some_and(|(listed, reported)| listed != reported)
    }

    /// Records what is known of an engine that sends nothing.
    pub(super) fn record_silence(&self, engine: SilentEngine, last_event: u64) {
        if let Some(attempt) = &self.decode_attempt {
            self.incoming.record_step(Step::Silent(engine.label(last_event)), attempt.server());
        }
    }

    /// Records an event of the engine's answer.
    pub(super) fn record_event(&mut self) {
        if let Some(attempt) = &mut self.decode_attempt {
            attempt.record_event(&self.incoming);
        }
    }

    /// Checks the software version of the engine that begins to send events, and binds the stream to it.
    ///
    /// # Errors
    ///
    /// [`FailureCause::Broken`] if the engine may run another version than the one that began the stream; no event of
    /// it may reach the caller.
    pub(super) fn begin_events(&mut self) -> Result<(), FailureCause> {
        let answering = self.answering_version().cloned();
        let label = answering.as_ref().map_or("unknown", SoftwareVersion::as_str);
        match (&self.version, &answering) {
            (StreamVersion::NotBegun, _) => {}
            (StreamVersion::Known(began), Some(version)) if began == version => {}
            (StreamVersion::Known(_) | StreamVersion::Unknown, _) => return Err(FailureCause::Broken),
        }
        self.incoming.record_version(label);
        self.record_origin(answering.as_ref());
        if self.version == StreamVersion::NotBegun {
            self.start_run_check();
        }
        self.version = answering.map_or(StreamVersion::Unknown, StreamVersion::Known);
        Ok(())
    }

    fn start_run_check(&mut self) {
        let lifetime = self.answering.as_ref().and_then(|answering| answering.lifetime);
        if let (Some(lifetime), Some(attempt)) = (lifetime, &self.decode_attempt) {
            let check = check_first_run(Arc::clone(&self.incoming), attempt.clone(), lifetime);
            self.run_check = Some(tokio::spawn(check));
        }
    }

    /// Checks that the engine that sends events still runs as the list showed it when they began. The list may lag: an
    /// engine that had started again before is noticed only now, and its stream can go on nowhere else.
    pub(super) fn check_version(&mut self) {
        let StreamVersion::Known(version) = &self.version else {
            return;
        };
        if self.answering_version().is_none() {
            self.version = StreamVersion::Unknown;
            self.record_origin(None);
        } else if self.is_record_due() {
            let version = version.clone();
            self.record_origin(Some(&version));
        }
    }

    fn is_record_due(&self) -> bool {
        let releases = self.state.stream_versions.releases();
        self.recorded
            .is_none_or(|(recorded, known)| recorded.elapsed() >= RECORD_INTERVAL || known != releases)
    }

    fn record_origin(&mut self, version: Option<&SoftwareVersion>) {
        self.recorded = Some((Instant::now(), self.state.stream_versions.releases()));
        self.incoming.record_origin(version);
    }

    /// Software version of the engine that answers, if it has not started again since the request was sent.
    fn answering_version(&self) -> Option<&SoftwareVersion> {
        let answering = self.answering.as_ref()?;
        let Some(attempt) = &self.decode_attempt else {
            return Some(&answering.version);
        };
        let listing = self.state.directory.listing();
        // An engine that has left the list may still complete its answers.
        let is_same = |listed: &Arc<BackendServer>| listed.lifetime == answering.lifetime;
        let is_unchanged = listing.servers.get(attempt.server()).is_none_or(is_same);
        is_unchanged.then_some(&answering.version)
    }

    /// Binds the stream to the version of the engine that answers, although no event has arrived.
    fn bind_to_answer(&mut self) -> Option<SoftwareVersion> {
        let version = self.answering_version()?.clone();
        if self.version == StreamVersion::NotBegun {
            self.version = StreamVersion::Known(version.clone());
            self.feed_without_message(EngineEvent::Bound { request_id: self.incoming.request_id });
        }
        Some(version)
    }

    /// Whether the caller has received any event, including those of earlier attempts.
    pub(super) fn has_events(&self) -> bool {
        self.last_event.is_some()
    }

    /// Records the end of the engine's answer.
    pub(super) fn record_end(&self) {
        // A run that begins behind an event is shorter than others.
        if let (Some(began), None) = (self.began, self.incoming.call.after_event) {
            self.state.stop.record_run(self.incoming.run_class(), began.elapsed());
        }
        if let Some(attempt) = &self.decode_attempt {
            attempt.record_end(&self.incoming);
        }
    }

    pub(super) fn finished_event(&self) -> EngineEvent {
        let request_id = self.incoming.request_id;
        let begun = self.incoming.call.after_event.unwrap_or_default().0;
        let events = self.last_event.unwrap_or_default().0.saturating_sub(begun);
        EngineEvent::Finished { request_id, events }
    }

    pub(super) fn is_repeatable(&self) -> bool {
        self.incoming.route.kind.repeatability() == Repeatability::Repeatable
    }

    /// Records that the engine's answer broke off.
    pub(super) async fn record_break(&mut self, cause: FailureCause) {
        self.outcome_unknown = true;
        if let Some(attempt) = &self.decode_attempt {
            crashes::check_for_crash(&self.incoming, attempt, cause).await;
        }
    }

    /// Resumes the stream at another engine after the last event.
    pub(super) async fn resume(&mut self, cause: FailureCause) -> Result<ServerBody, BodyBroken> {
        if let Some(check) = self.run_check.take() {
            let checked = tokio::time::timeout(REPORT_TIMEOUT, check).await;
            if !matches!(checked, Ok(Ok(RunCheck::Listed))) {
                self.version = StreamVersion::Unknown;
            }
        }
        if self.version == StreamVersion::Unknown {
            return Err(BodyBroken);
        }
        let request_id = self.incoming.request_id;
        self.feed(EngineEvent::DecodeFailed { request_id, cause });
        let deadline = self.incoming.deadline;
        let answer = match tokio::time::timeout_at(deadline, self.run_until_answered()).await {
            Ok(Ok(answer)) if answer.status().is_success() => answer,
            Ok(_) | Err(_) => return Err(BodyBroken),
        };
        Ok(answer.into_body())
    }
}
