//! Runs one request for a plain service. It is repeated only when it is proven that it did not run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::{
    FailureCause, InstanceSettings, PlainAction, PlainArrival, PlainEvent, PlainRefusal,
};
use hibiscusvale_core::units::{Millis, MonoTime, Tokens};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio_util::task::AbortOnDropHandle;

use super::at_most_once::{Admission, Permit};
use super::{Dispatcher, Observed};
use crate::backend::{CallFailure, ConnectionReuse, PlainCall, PlainFailure, PlainReply};
use crate::callers::{
    AnswerBody, BodyBroken, OUTCOME_HEADER, Outcome, PlainRequest, REQUEST_ID_HEADER, Refusal, RefusalReason,
};
use crate::clock;

/// Multiple of its response target that a call waits for an instance. A caller that would wait longer is
/// told to retry later.
const MAX_WAIT_FACTOR: u64 = 4;

/// Upper bound of the instances that one call is sent to.
const MAX_ATTEMPTS: u32 = 3;

/// Range of the wait for an instance, in milliseconds: a target of 1 ms must not cause every request to be
/// refused, and one of an hour must not hold memory for that long.
const MAX_WAIT_RANGE_MS: (u64, u64) = (1_000, 30_000);

impl Dispatcher {
    /// Runs a request for a plain service.
    ///
    /// # Errors
    ///
    /// A refusal that states whether the request may have run.
    pub async fn plain(
        self: &Arc<Self>,
        request: PlainRequest,
        response_ms: Millis,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let lost = Refusal::unknown(RefusalReason::NoAnswer);
        let (request_id, limits) = (request.request_id, Limits::new(clock::now(), &request, response_ms));
        if limits.time_left(clock::now()) == Duration::ZERO {
            let refusal = Refusal::not_run(RefusalReason::TimeLimit);
            self.observer.refused_early(request_id, refusal);
            return Err(refusal);
        }
        let is_named = request.head.key.is_some() || request.head.ticket.is_some();
        let task = run(Arc::clone(self), request, response_ms, limits);
        let task = self.tasks.spawn_on(task, &self.runtime);
        if !limits.is_at_most_once {
            return AbortOnDropHandle::new(task).await.unwrap_or(Err(lost));
        }
        // A call that must not be repeated runs to its end even when its caller has left: the answer is
        // stored for the caller's next attempt with the same key.
        match tokio::time::timeout(limits.time_left(clock::now()), task).await {
            Ok(ended) => ended.unwrap_or(Err(lost)),
            Err(_elapsed) => {
                let refusal =
                    if is_named { STILL_RUNNING } else { Refusal::unknown(RefusalReason::TimeLimit) };
                self.observer.refused_early(request_id, refusal);
                Err(refusal)
            }
        }
    }
}

/// Refusal of a call that runs on, so that the caller's next attempt with the same key or ticket gets its answer.
const STILL_RUNNING: Refusal = Refusal {
    reason: RefusalReason::InProgress,
    outcome: Outcome::Unknown,
    retry_after_ms: Some(Millis(1_000)),
};

/// Bounds on the time from the arrival of a call to its outcome.
#[derive(Clone, Copy, Debug)]
struct Limits {
    is_at_most_once: bool,
    /// Longest wait for an instance.
    max_wait_ms: Millis,
    /// Time at which the outcome has to be sent.
    ends_at_us: MonoTime,
}

impl Limits {
    /// A caller that does not state how long it waits is taken to wait for an instance and for one attempt of the
    /// longest duration; repeated attempts could otherwise take several times as long.
    fn new(now_us: MonoTime, request: &PlainRequest, response_ms: Millis) -> Self {
        let (shortest, longest) = MAX_WAIT_RANGE_MS;
        let wait_ms = Millis(response_ms.0.saturating_mul(MAX_WAIT_FACTOR).clamp(shortest, longest));
        let attempt_ms = InstanceSettings::DEFAULT.timeout_ceiling_ms;
        let time_left_ms = request.head.time_left_ms(now_us).unwrap_or(wait_ms + attempt_ms);
        Self {
            is_at_most_once: request.runs_at_most_once(),
            max_wait_ms: wait_ms.min(time_left_ms),
            ends_at_us: now_us + time_left_ms,
        }
    }

    fn time_left(&self, now_us: MonoTime) -> Duration {
        Duration::from_micros(self.ends_at_us.since(now_us).0)
    }
}

async fn run(
    dispatcher: Arc<Dispatcher>,
    request: PlainRequest,
    response_ms: Millis,
    limits: Limits,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut observed = dispatcher.observer.plain(&request, response_ms, clock::now());
    let result = admit_and_call(&dispatcher, &request, limits, &mut observed).await;
    match &result {
        Ok(_) => observed.answered(clock::now(), Tokens::ZERO),
        Err(refusal) => observed.refused(clock::now(), *refusal),
    }
    result
}

async fn admit_and_call(
    dispatcher: &Dispatcher,
    request: &PlainRequest,
    limits: Limits,
    observed: &mut Observed,
) -> Result<Response<AnswerBody>, Refusal> {
    let permit = match dispatcher.admit_plain(request).await? {
        Admission::Run(permit) => permit,
        Admission::Answered(answer) => return Ok(super::at_most_once::replay(request.request_id, &answer)),
    };
    let result = call_within(dispatcher, request, &permit, limits, observed).await;
    permit.settle_plain(&result);
    result.map(|reply| response_of(request, reply, dispatcher.key_retention(request)))
}

/// Ends a call that may be repeated when its time is over. One that may not be repeated runs on.
async fn call_within(
    dispatcher: &Dispatcher,
    request: &PlainRequest,
    permit: &Permit,
    limits: Limits,
    observed: &mut Observed,
) -> Result<PlainReply, Refusal> {
    if limits.is_at_most_once {
        return call(dispatcher, request, permit, limits, observed).await;
    }
    let time_left = limits.time_left(clock::now());
    match tokio::time::timeout(time_left, call(dispatcher, request, permit, limits, observed)).await {
        Ok(result) => result,
        Err(_elapsed) if observed.has_attempted() => Err(Refusal::unknown(RefusalReason::TimeLimit)),
        Err(_elapsed) => Err(Refusal::not_run(RefusalReason::TimeLimit)),
    }
}

async fn call(
    dispatcher: &Dispatcher,
    request: &PlainRequest,
    permit: &Permit,
    limits: Limits,
    observed: &mut Observed,
) -> Result<PlainReply, Refusal> {
    let arrival = arrival_of(request, limits);
    let no_route = Refusal::not_run(RefusalReason::NoRoute);
    let mut open = dispatcher.plain_schedulers.arrive(&request.service, arrival).ok_or(no_route)?;
    let request_id = request.request_id;
    while let Some(action) = open.step().await {
        match action {
            PlainAction::Dispatch { server, timeout_ms, fresh_connection, .. } => {
                if !permit.may_start(clock::now()) {
                    // The process was suspended for so long that another daemon may hold the claim by now.
                    return Err(Refusal::not_run(RefusalReason::ClaimsUnavailable));
                }
                observed.attempt_starts(&server);
                let reuse = if fresh_connection { ConnectionReuse::Fresh } else { ConnectionReuse::Pooled };
                match send(dispatcher, &server, call_of(request, timeout_ms, reuse)).await {
                    Ok(reply) => {
                        open.feed(PlainEvent::Done { request_id });
                        return Ok(reply);
                    }
                    Err(failure) => {
                        let cause = cause_of(failure);
                        observed.step_failed(&server, cause);
                        open.feed(PlainEvent::Failed { request_id, cause });
                    }
                }
            }
            PlainAction::Refuse { reason, retry_after_ms, .. } => {
                return Err(Refusal::not_run(reason_of(reason)).retry_after(retry_after_ms));
            }
            PlainAction::Unknown { .. } => return Err(Refusal::unknown(RefusalReason::NoAnswer)),
            PlainAction::Borrow(_) | PlainAction::Wake { .. } => {}
        }
    }
    Err(Refusal::unknown(RefusalReason::NoAnswer))
}

/// Makes one attempt. An instance that is no longer listed has no address, so nothing is sent to it.
async fn send(
    dispatcher: &Dispatcher,
    server: &BackendServerId,
    call: PlainCall,
) -> Result<PlainReply, PlainFailure> {
    let address = dispatcher.directory.address_of(server).ok_or(PlainFailure::NotSent)?;
    let result = dispatcher.plain_services.call(address, call).await;
    if let Err(PlainFailure::Leaving) = result {
        dispatcher.note_leaving(server);
    }
    result
}

fn arrival_of(request: &PlainRequest, limits: Limits) -> PlainArrival {
    PlainArrival {
        request_id: request.request_id,
        partner: request.partner.clone(),
        repeatable: !limits.is_at_most_once,
        attempts_max: MAX_ATTEMPTS,
        max_wait_ms: limits.max_wait_ms,
        target_ms: None,
    }
}

fn reason_of(reason: PlainRefusal) -> RefusalReason {
    match reason {
        PlainRefusal::WouldWaitTooLong => RefusalReason::TargetUnreachable,
        PlainRefusal::QueueFull => RefusalReason::QueueFull,
        PlainRefusal::NoInstance | PlainRefusal::Resting => RefusalReason::NoBackendServer,
        PlainRefusal::RetriesExhausted => RefusalReason::RetriesExhausted,
    }
}

fn cause_of(failure: PlainFailure) -> FailureCause {
    match failure {
        PlainFailure::NotSent => FailureCause::NotSent,
        PlainFailure::Leaving => FailureCause::Leaving,
        PlainFailure::Unknown(CallFailure::Timeout) => FailureCause::Timeout,
        PlainFailure::Unknown(_) => FailureCause::Broken,
    }
}

fn call_of(request: &PlainRequest, timeout_ms: Millis, reuse: ConnectionReuse) -> PlainCall {
    PlainCall {
        request_id: request.request_id,
        key: request.head.key.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        timeout_ms,
        reuse,
    }
}

fn response_of(
    request: &PlainRequest,
    reply: PlainReply,
    retention_ms: Option<Millis>,
) -> Response<AnswerBody> {
    let mut response = match reply {
        PlainReply::Buffered { status, headers, body } => buffered_response(request, status, headers, body),
        PlainReply::Streamed { status, headers, body } => {
            build_response(request, status, headers, body.map_err(|_| BodyBroken).boxed_unsync())
        }
    };
    if let Some(retention_ms) = retention_ms {
        super::at_most_once::insert_retention(response.headers_mut(), retention_ms);
    }
    response
}

fn buffered_response(
    request: &PlainRequest,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    build_response(request, status, headers, Full::new(body).map_err(|never| match never {}).boxed_unsync())
}

fn build_response(
    request: &PlainRequest,
    status: StatusCode,
    mut headers: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Answered.as_str()));
    if let Ok(id) = HeaderValue::from_str(&request.request_id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
