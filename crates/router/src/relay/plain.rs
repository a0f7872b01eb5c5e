//! Execution of a request to a plain service.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::{BackendServerId, PartnerId, RequestId};
use hibiscusvale_core::outcome::Repeatability;
use hibiscusvale_core::relay::engines::VersionBinding;
use hibiscusvale_core::sched::{
    FailureCause, PlainAction, PlainArrival, PlainEvent, PlainRefusal, StatusUpdate,
};
use hibiscusvale_core::units::Millis;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio::time::Instant;

use super::crashes::{self, Attempt};
use super::forward::{self, Forwarded};
use super::hop::{self, BufferedReply, Reply};
use super::interfaces::Task;
use super::reach;
use super::refusal::{Reason, Refusal};
use super::shares::ShareAttempt;
use super::state::{Incoming, RelayState};
use super::statements;
use super::stop;
use super::trace::Step;
use crate::backend::ConnectionReuse;
use crate::callers::AnswerBody;

/// Divisor of a request's remaining time: the quotient is the maximum queueing time, the rest is left for the
/// answer.
const QUEUE_WAIT_DIVISOR: u64 = 4;

/// Runs a request; the caller gets the server's answer or a refusal.
///
/// # Errors
///
/// The refusal.
pub async fn relay(
    state: &Arc<RelayState>,
    incoming: &Arc<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    // Before the way to a server is chosen: a request over its share is not forwarded to another daemon either.
    state.admit_to_share(incoming)?;
    if incoming.is_server_lost() {
        let answered = relay_through_daemon(incoming).await;
        return answered.unwrap_or_else(|| Err(reach::nobody_reaches_servers()));
    }
    match relay_to_server(state, incoming).await {
        Err(refusal) if refusal.is_not_run() && incoming.is_server_doubtful() => {
            relay_through_daemon(incoming).await.unwrap_or(Err(refusal))
        }
        answered => answered,
    }
}

/// Forwards a request to another daemon; `None` if none took it, and it has not run.
async fn relay_through_daemon(incoming: &Incoming) -> Option<Result<Response<AnswerBody>, Refusal>> {
    let began = Instant::now();
    let response =
        match forward::forward(incoming, incoming.call.after_event, &VersionBinding::Any, &mut Vec::new())
            .await
        {
            Forwarded::Answered(response, _) => *response,
            Forwarded::Refused(refusal) => return Some(Err(refusal)),
            Forwarded::NotTaken => return None,
        };
    let (parts, body) = response.into_parts();
    let buffered = hop::buffer(incoming, body, incoming.left()).await;
    let body = buffered.map(|body| Full::new(body).map_err(|never| match never {}).boxed_unsync());
    if body.is_ok() && parts.status.is_success() {
        incoming.state.stop.record_run(incoming.run_class(), began.elapsed());
    }
    let answered = body.map(|body| Response::from_parts(parts, body));
    Some(answered.map_err(|_| Refusal::new(Reason::NoAnswer)))
}

async fn relay_to_server(
    state: &Arc<RelayState>,
    incoming: &Arc<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let arrival = arrival_of(incoming);
    let mut open = state
        .plain_schedulers
        .arrive(incoming.service.as_str(), arrival)
        .ok_or(Refusal::new(Reason::NoServer))?;
    let request_id = incoming.request_id;
    // The answer of a failed server; the caller gets it if no other attempt succeeds.
    let mut failed: Option<BufferedReply> = None;
    let mut may_have_run = false;
    let mut refused = pin!(state.quarantine.refused(state, &incoming.call.id, &incoming.fingerprints));
    let mut too_late = pin!(stop::too_late(state, incoming.run_class()));
    loop {
        let step = tokio::select! {
            biased;
            refusal = &mut refused => {
                return Err(refusal.unless_run(may_have_run));
            }
            refusal = &mut too_late => {
                let failed = failed.map(|reply| reply.into_response(&*state.wire));
                return failed.ok_or(refusal.unless_run(may_have_run));
            }
            step = open.step() => step,
        };
        let Some(action) = step else { break };
        match action {
            PlainAction::Dispatch { server, timeout_ms, fresh_connection, .. } => {
                let reuse = if fresh_connection { ConnectionReuse::Fresh } else { ConnectionReuse::Pooled };
                let attempt = ShareAttempt::new(state, incoming.service.as_str());
                let began = Instant::now();
                let result = run_attempt(state, incoming, server.clone(), timeout_ms, reuse).await;
                attempt.end(result.as_ref().map(|_| ()).map_err(|cause| *cause));
                match &result {
                    Ok(_) => incoming.record_step(Step::Answered, &server),
                    Err(cause) => {
                        may_have_run |= cause.may_have_run();
                        incoming.record_step(Step::Failed(*cause), &server);
                    }
                }
                match result {
                    Ok(Answer::Unread(reply, attempt)) => {
                        // The server is free: it has answered, and this daemon alone delays the answer.
                        open.feed(end_of(request_id, reply.status));
                        return answer_late(state, incoming, *reply, &attempt).await;
                    }
                    Ok(Answer::Buffered(reply))
                        if reply.status.is_server_error() && is_repeatable(incoming) =>
                    {
                        may_have_run = true;
                        failed = Some(reply);
                        open.feed(PlainEvent::Failed { request_id, cause: FailureCause::Refused });
                    }
                    Ok(Answer::Buffered(reply)) => {
                        if reply.status.is_success() {
                            crashes::record_survival(incoming);
                            state.stop.record_run(incoming.run_class(), began.elapsed());
                        }
                        open.feed(end_of(request_id, reply.status));
                        return Ok(reply.into_response(&*state.wire));
                    }
                    Err(cause) => open.feed(PlainEvent::Failed { request_id, cause }),
                }
            }
            PlainAction::Refuse { reason, retry_after_ms, .. } => {
                // A daemon limits its requests at each server. Where daemons are fewer than slots, requests queue
                // here, and servers have no reason to refuse any.
                if matches!(reason, PlainRefusal::WouldWaitTooLong | PlainRefusal::QueueFull) {
                    state.record_share_attempt(incoming.service.as_str(), Err(FailureCause::NoRoom));
                }
                return Err(Refusal::retry_after(reason.into(), retry_after_ms));
            }
            PlainAction::Unknown { .. } => break,
            PlainAction::Borrow(_) | PlainAction::Wake { .. } => {}
        }
    }
    failed.map(|reply| reply.into_response(&*state.wire)).ok_or(Refusal::new(Reason::NoAnswer))
}

/// Delivers an answer once there is memory for it. Its request has run and is not sent again.
async fn answer_late(
    state: &RelayState,
    incoming: &Incoming,
    reply: Reply,
    attempt: &Attempt,
) -> Result<Response<AnswerBody>, Refusal> {
    match reply.into_buffered(incoming, incoming.left()).await {
        Ok(reply) => {
            if reply.status.is_success() {
                crashes::record_survival(incoming);
            }
            Ok(reply.into_response(&*state.wire))
        }
        Err(cause) => {
            crashes::check_for_crash(incoming, attempt, cause).await;
            Err(Refusal::new(Reason::NoAnswer))
        }
    }
}

/// Event for an answer that the caller gets. Errors may be fast and tell nothing of the server's speed.
fn end_of(request_id: RequestId, status: StatusCode) -> PlainEvent {
    if status.is_success() {
        PlainEvent::Done { request_id }
    } else {
        PlainEvent::DoneWithError { request_id }
    }
}

fn is_repeatable(incoming: &Incoming) -> bool {
    incoming.route.kind.repeatability() == Repeatability::Repeatable
}

fn arrival_of(incoming: &Incoming) -> PlainArrival {
    PlainArrival {
        request_id: incoming.request_id,
        partner: shared_partner(),
        repeatable: is_repeatable(incoming),
        attempts_max: incoming.route.attempts_max,
        max_wait_ms: Millis(incoming.left_ms().0 / QUEUE_WAIT_DIVISOR),
        target_ms: Some(incoming.route.target_ms),
    }
}

/// All callers share queues and budgets: plain services are not scheduled by partner.
fn shared_partner() -> PartnerId {
    "callers".parse().expect("the literal is a valid partner id")
}

/// The answer of a server.
enum Answer {
    Buffered(BufferedReply),
    /// There is no memory for it yet. Nothing is read from the server.
    Unread(Box<Reply>, Attempt),
}

/// Makes one attempt. A request that must not be repeated runs to its end even if its caller leaves: if it
/// were aborted, its outcome would be unknown.
async fn run_attempt(
    state: &Arc<RelayState>,
    incoming: &Arc<Incoming>,
    server: BackendServerId,
    timeout_ms: Millis,
    reuse: ConnectionReuse,
) -> Result<Answer, FailureCause> {
    let left = incoming.left();
    if is_repeatable(incoming) {
        return exchange(state, incoming, &server, reuse, left.min(Duration::from(timeout_ms))).await;
    }
    let (state, incoming) = (Arc::clone(state), Arc::clone(incoming));
    let task = tokio::spawn(async move { exchange(&state, &incoming, &server, reuse, left).await });
    task.await.unwrap_or(Err(FailureCause::Broken))
}

async fn exchange(
    state: &RelayState,
    incoming: &Arc<Incoming>,
    server: &BackendServerId,
    reuse: ConnectionReuse,
    timeout: Duration,
) -> Result<Answer, FailureCause> {
    let to = state.directory.address_of(server).ok_or(FailureCause::NotSent)?;
    statements::admit(state, server, 1).await?;
    let hop = incoming.hop(server, Task::Run);
    let attempt = Attempt::new(server, to);
    let reply = hop::send(&state.http, &*state.wire, incoming, to, &hop, reuse, timeout).await;
    let reply = match reply {
        Ok(reply) => reply,
        Err(cause) => {
            crashes::check_for_crash(incoming, &attempt, cause).await;
            if cause == FailureCause::Leaving {
                state.plain_schedulers.update_status(server, StatusUpdate::Leaving);
            }
            return Err(cause);
        }
    };
    if let Some(load) = reply.head.load {
        state.plain_schedulers.load(server, load.running.saturating_add(load.waiting), load.slots);
        state.record_share_load(incoming.service.as_str(), load);
    }
    let Some(memory) = reply.try_hold(incoming) else {
        return Ok(Answer::Unread(Box::new(reply), attempt));
    };
    let buffered = reply.into_buffered_in(memory, timeout).await;
    if let Err(cause) = &buffered {
        crashes::check_for_crash(incoming, &attempt, *cause).await;
    }
    buffered.map(Answer::Buffered)
}
