//! One request for a plain service. Sent again only on proof that it did not run.

use std::sync::Arc;

use bytes::Bytes;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::{FailureCause, PlainAction, PlainArrival, PlainEvent, PlainRefusal};
use hibiscusvale_core::units::{Millis, Tokens};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio_util::task::AbortOnDropHandle;

use super::once::{Gate, Permit};
use super::{Dispatcher, Observed};
use crate::backend::{CallFailure, PlainCall, PlainFailure, PlainReply, Trust};
use crate::callers::{
    AnswerBody, BodyBroken, OUTCOME_HEADER, Outcome, PlainRequest, REQUEST_ID_HEADER, Refusal, RefusalReason,
};
use crate::clock;

/// A call waits this many times its target for an instance; beyond, its caller has better come back.
const PATIENCE_FACTOR: u64 = 4;

/// Instances that one call is sent to at most.
const ATTEMPTS_MAX: u32 = 3;

/// Bounds of that wait: a target of 1 ms must not refuse everything, one of an hour must not hold memory.
const PATIENCE_RANGE_MS: (u64, u64) = (1_000, 30_000);

impl Dispatcher {
    /// Runs a request for a plain service.
    ///
    /// # Errors
    ///
    /// A refusal that says whether the request may have run.
    pub async fn plain(
        self: &Arc<Self>,
        request: PlainRequest,
        response_ms: Millis,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let lost = Refusal::unknown(RefusalReason::NoAnswer);
        let detached = request.runs_at_most_once();
        let task = self.tasks.spawn_on(run(Arc::clone(self), request, response_ms), &self.runtime);
        if detached {
            // A call that may not be repeated runs to its end although its caller has left: the answer is
            // kept for the caller's next try with the same key.
            return task.await.unwrap_or(Err(lost));
        }
        AbortOnDropHandle::new(task).await.unwrap_or(Err(lost))
    }
}

async fn run(
    dispatcher: Arc<Dispatcher>,
    request: PlainRequest,
    response_ms: Millis,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut observed = dispatcher.observer.plain(&request, response_ms, clock::now());
    let result = gated(&dispatcher, &request, response_ms, &mut observed).await;
    match &result {
        Ok(_) => observed.answered(clock::now(), Tokens::ZERO),
        Err(refusal) => observed.refused(clock::now(), *refusal),
    }
    result
}

async fn gated(
    dispatcher: &Dispatcher,
    request: &PlainRequest,
    response_ms: Millis,
    observed: &mut Observed,
) -> Result<Response<AnswerBody>, Refusal> {
    let permit = match dispatcher.gate_plain(request).await? {
        Gate::Run(permit) => permit,
        Gate::Answered(answer) => return Ok(super::once::replay(request.request_id, &answer)),
    };
    let result = call(dispatcher, request, &permit, response_ms, observed).await;
    permit.settle_plain(&result);
    result.map(|reply| response_of(request, reply, dispatcher.key_retention(request)))
}

async fn call(
    dispatcher: &Dispatcher,
    request: &PlainRequest,
    permit: &Permit,
    response_ms: Millis,
    observed: &mut Observed,
) -> Result<PlainReply, Refusal> {
    let arrival = arrival_of(request, response_ms);
    let no_route = Refusal::not_run(RefusalReason::NoRoute);
    let mut open = dispatcher.plain_hub.arrive(&request.service, arrival).ok_or(no_route)?;
    let request_id = request.request_id;
    while let Some(action) = open.step().await {
        match action {
            PlainAction::Dispatch { server, timeout_ms, fresh_connection, .. } => {
                if !permit.may_start(clock::now()) {
                    // The process was paused for so long that the key may be another's by now.
                    return Err(Refusal::not_run(RefusalReason::ClaimsUnavailable));
                }
                observed.tried(&server);
                let trust = if fresh_connection { Trust::Fresh } else { Trust::Pooled };
                match send(dispatcher, &server, call_of(request, timeout_ms, trust)).await {
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

/// One try. An instance that is no longer listed has no address, and nothing is sent to it.
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

fn arrival_of(request: &PlainRequest, response_ms: Millis) -> PlainArrival {
    let (shortest, longest) = PATIENCE_RANGE_MS;
    let patience = response_ms.0.saturating_mul(PATIENCE_FACTOR).clamp(shortest, longest);
    PlainArrival {
        request_id: request.request_id,
        partner: request.partner.clone(),
        repeatable: !request.runs_at_most_once(),
        attempts_max: ATTEMPTS_MAX,
        max_wait_ms: Millis(patience),
    }
}

fn reason_of(reason: PlainRefusal) -> RefusalReason {
    match reason {
        PlainRefusal::WouldWaitTooLong => RefusalReason::TargetUnreachable,
        PlainRefusal::QueueFull => RefusalReason::QueueFull,
        PlainRefusal::NoInstance => RefusalReason::NoBackendServer,
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

fn call_of(request: &PlainRequest, timeout_ms: Millis, trust: Trust) -> PlainCall {
    PlainCall {
        request_id: request.request_id,
        key: request.head.key.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        timeout_ms,
        trust,
    }
}

fn response_of(
    request: &PlainRequest,
    reply: PlainReply,
    retention_ms: Option<Millis>,
) -> Response<AnswerBody> {
    let mut response = match reply {
        PlainReply::Whole { status, headers, body } => whole(request, status, headers, body),
        PlainReply::Streamed { status, headers, body } => {
            finish(request, status, headers, body.map_err(|_| BodyBroken).boxed_unsync())
        }
    };
    if let Some(retention_ms) = retention_ms {
        super::once::put_retention(response.headers_mut(), retention_ms);
    }
    response
}

fn whole(
    request: &PlainRequest,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    finish(request, status, headers, Full::new(body).map_err(|never| match never {}).boxed_unsync())
}

fn finish(
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
