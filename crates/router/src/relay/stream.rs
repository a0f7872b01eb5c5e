//! One request for a model: its prompt read by one engine, its answer written by another and passed on event by
//! event.

use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::outcome::Repeatability;
use hibiscusvale_core::relay::engines::{Demand, EngineAction, EngineEvent};
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::{Millis, Tokens};
use http::Response;
use hyper::body::Incoming as ServerBody;

use super::crashes::{self, Sending};
use super::edge::{EventId, Generation, Hop, PromptRead, Reservation, Task};
use super::engine_hub::{EngineHub, OpenRequest};
use super::hop::{self, Reply, WholeReply};
use super::passing;
use super::probe::{Probe, probe};
use super::refusal::{Reason, Refusal};
use super::state::{Incoming, RelayState};
use super::story::Step;
use crate::backend::Trust;
use crate::callers::{AnswerBody, BodyBroken};

/// Times its target that a caller stays without an event, less one for what is still to come: callers leave after four.
const PATIENCE_FACTOR: u64 = 3;

/// A reservation and the request that it is for: both reach the engine.
const RESERVED_REQUESTS: u64 = 2;

/// Time for giving a reservation back.
const GIVE_BACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a request; its caller gets the stream, or a refusal.
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
    let open =
        EngineHub::arrive(state, incoming.service.as_str(), demand).ok_or(Refusal::new(Reason::NoServer))?;
    let mut run = Run {
        state: Arc::clone(state),
        incoming: Arc::clone(incoming),
        open,
        read: None,
        reserved: None,
        writing: None,
        outcome_unknown: false,
        last: incoming.call.after_event,
        failed: None,
    };
    let reply = match tokio::time::timeout_at(incoming.deadline, run.opened()).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(refusal)) => {
            return run.failed.take().map(|reply| reply.into_response(&*state.wire)).ok_or(refusal);
        }
        Err(_elapsed) => return Err(Refusal::new(Reason::NoAnswerInTime)),
    };
    if !reply.status.is_success() {
        let reply = reply.whole(incoming.left()).await.map_err(|_| Refusal::new(Reason::NoAnswer))?;
        return Ok(reply.into_response(&*state.wire));
    }
    let (status, headers) = (reply.status, state.wire.answer_headers(&reply.headers));
    Ok(passing::streamed(status, headers, run, reply.into_body()))
}

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
        patience_ms: Millis(incoming.route.target_ms.0 * PATIENCE_FACTOR).min(incoming.left_ms()),
        priority: incoming.route.priority,
    }
}

/// Takes requests out of the limit that an engine states; tells the pool where that is used up.
async fn admit(state: &RelayState, engine: &BackendServerId, requests: u64) -> Result<(), FailureCause> {
    state.limits.admit(state, engine, requests).await.map_err(|reached| {
        state.engine_hub.limited(engine, reached);
        FailureCause::Limited
    })
}

/// A prompt that was read, and where.
struct Kept {
    at: SocketAddr,
    prompt: PromptRead,
}

/// What an engine keeps for a request; dropped unused, it is given back.
struct Reserved {
    server: BackendServerId,
    at: SocketAddr,
    name: Reservation,
    state: Arc<RelayState>,
}

impl Reserved {
    fn into_name(self) -> Reservation {
        let this = ManuallyDrop::new(self);
        this.name.clone()
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let (state, server, at) = (Arc::clone(&self.state), self.server.clone(), self.at);
        let call = state.wire.drop_reservation(&self.name);
        tokio::spawn(async move {
            // One that is not given back ends by itself within the time that it was asked for.
            let _ = hop::call(&state, &server, at, call, GIVE_BACK_TIMEOUT).await;
        });
    }
}

/// A request between its engines.
pub(super) struct Run {
    state: Arc<RelayState>,
    pub(super) incoming: Arc<Incoming>,
    pub(super) open: OpenRequest,
    read: Option<Kept>,
    reserved: Option<Reserved>,
    /// The sending of the request whose answer is under way.
    writing: Option<Sending>,
    /// Whether an engine may have run it.
    outcome_unknown: bool,
    /// The last event that the caller has.
    pub(super) last: Option<EventId>,
    /// The answer of an engine that failed, which the caller gets when there is no better one.
    failed: Option<WholeReply>,
}

impl Run {
    /// Follows the pool's steps until an engine answers.
    async fn opened(&mut self) -> Result<Reply, Refusal> {
        let request_id = self.incoming.request_id;
        let state = Arc::clone(&self.state);
        let mut refused = pin!(state.quarantine.refused(self.incoming.fingerprint));
        loop {
            let step = tokio::select! {
                biased;
                refusal = &mut refused => {
                    return Err(refusal.unless_run(self.outcome_unknown));
                }
                step = self.open.step() => step,
            };
            let Some(action) = step else { break };
            match action {
                EngineAction::Reserve { writer, tokens, keep_ms, timeout_ms, .. } => {
                    let event = match self.reserve(&writer, tokens, keep_ms, timeout_ms).await {
                        Ok(reserved) => {
                            self.reserved = Some(reserved);
                            EngineEvent::Reserved { request_id }
                        }
                        Err(cause) => {
                            self.incoming.note(Step::ReserveFailed(cause), &writer);
                            EngineEvent::ReserveFailed { request_id, cause }
                        }
                    };
                    self.open.feed(event);
                }
                EngineAction::Read { reader, timeout_ms, .. } => {
                    let event = match self.read(&reader, timeout_ms).await {
                        Ok(kept) => {
                            self.incoming.note(Step::Read, &reader);
                            self.read = Some(kept);
                            EngineEvent::PromptRead { request_id }
                        }
                        Err(cause) => {
                            self.incoming.note(Step::ReadFailed(cause), &reader);
                            self.reserved = None;
                            EngineEvent::ReadFailed { request_id, cause }
                        }
                    };
                    self.open.feed(event);
                }
                EngineAction::Write { writer, reader, .. } => {
                    let source = reader.and_then(|_| self.read.take());
                    match self.write(&writer, source).await {
                        Ok(reply) => {
                            self.incoming.note(Step::Written, &writer);
                            return Ok(reply);
                        }
                        Err(cause) => {
                            self.outcome_unknown |= cause.may_have_run();
                            self.incoming.note(Step::WriteFailed(cause), &writer);
                            self.open.feed(EngineEvent::WriteFailed { request_id, cause });
                        }
                    }
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
    ) -> Result<Reserved, FailureCause> {
        let Self { state, .. } = self;
        let at = state.directory.address_of(writer).ok_or(FailureCause::NotSent)?;
        admit(state, writer, RESERVED_REQUESTS).await?;
        let call = state.wire.reserve(writer, tokens, keep_ms);
        let body = hop::call(state, writer, at, call, Duration::from(timeout_ms)).await?;
        let name = state.wire.read_reservation(&body).ok_or(FailureCause::Refused)?;
        Ok(Reserved { server: writer.clone(), at, name, state: Arc::clone(state) })
    }

    async fn read(&self, reader: &BackendServerId, timeout_ms: Millis) -> Result<Kept, FailureCause> {
        let Self { state, incoming, .. } = self;
        let at = state.directory.address_of(reader).ok_or(FailureCause::NotSent)?;
        admit(state, reader, 1).await?;
        let hop = incoming.hop(reader, Task::ReadPrompt);
        let timeout = incoming.left().min(Duration::from(timeout_ms));
        // Reading a prompt twice does no harm, so any connection will do.
        let sending = Sending::new(reader, at);
        let whole = async {
            let reply = hop::send_read(&state.http, &*state.wire, incoming, at, &hop, timeout).await?;
            reply.whole(timeout).await
        };
        let whole = whole.await;
        if let Err(cause) = &whole {
            crashes::check(incoming, &sending, *cause).await;
        }
        let whole = whole?;
        let prompt = state.wire.read_prompt(&whole.body).ok_or(FailureCause::Broken)?;
        Ok(Kept { at, prompt })
    }

    async fn write(&mut self, writer: &BackendServerId, source: Option<Kept>) -> Result<Reply, FailureCause> {
        let at = self.state.directory.address_of(writer).ok_or(FailureCause::NotSent)?;
        if self.reserved.is_none() {
            admit(&self.state, writer, 1).await?;
        }
        // Sent with the request it is used up, whatever becomes of that.
        let reserved = self.reserved.take().map(Reserved::into_name);
        let sending = Sending::new(writer, at);
        self.writing = Some(sending.clone());
        let Self { state, incoming, .. } = &*self;
        let task = match source {
            Some(Kept { at, prompt }) => Task::Write { source: at, handle: prompt.handle },
            None => Task::Run,
        };
        let hop =
            Hop { reservation: reserved.as_ref(), after_event: self.last, ..incoming.hop(writer, task) };
        let trust = if self.may_repeat() { Trust::Pooled } else { Trust::Fresh };
        let reply = hop::send(&state.http, &*state.wire, incoming, at, &hop, trust, incoming.left()).await;
        if let Err(cause) = &reply {
            crashes::check(incoming, &sending, *cause).await;
        }
        let reply = reply?;
        if reply.status.is_server_error() && self.may_repeat() {
            self.failed = Some(reply.whole(incoming.left()).await?);
            return Err(FailureCause::Refused);
        }
        Ok(reply)
    }

    /// Whether the engine that writes takes another connection.
    pub(super) async fn engine_lives(&self) -> bool {
        let Some(sending) = &self.writing else {
            return false;
        };
        probe(sending.address()).await == Probe::Accepts
    }

    /// An event of the engine's answer came.
    pub(super) fn note_event(&mut self) {
        if let Some(sending) = &mut self.writing {
            sending.note_event(&self.incoming);
        }
    }

    /// Whether its caller has any event, with those of earlier tries.
    pub(super) fn has_events(&self) -> bool {
        self.last.is_some()
    }

    /// The engine's answer is complete.
    pub(super) fn answered(&self) {
        if let Some(sending) = &self.writing {
            sending.note_end(&self.incoming);
        }
    }

    pub(super) fn finished(&self) -> EngineEvent {
        let request_id = self.incoming.request_id;
        let begun = self.incoming.call.after_event.unwrap_or_default().0;
        let events = self.last.unwrap_or_default().0.saturating_sub(begun);
        EngineEvent::Finished { request_id, events }
    }

    pub(super) fn may_repeat(&self) -> bool {
        self.incoming.route.kind.repeatability() == Repeatability::Repeatable
    }

    /// The engine's answer broke off.
    pub(super) async fn broke_off(&mut self, cause: FailureCause) {
        self.outcome_unknown = true;
        if let Some(sending) = &self.writing {
            crashes::check(&self.incoming, sending, cause).await;
        }
    }

    /// Goes on behind the last event at another engine.
    pub(super) async fn resumed(&mut self, cause: FailureCause) -> Result<ServerBody, BodyBroken> {
        let request_id = self.incoming.request_id;
        self.open.feed(EngineEvent::WriteFailed { request_id, cause });
        let deadline = self.incoming.deadline;
        let reply = match tokio::time::timeout_at(deadline, self.opened()).await {
            Ok(Ok(reply)) if reply.status.is_success() => reply,
            Ok(_) | Err(_) => return Err(BodyBroken),
        };
        Ok(reply.into_body())
    }
}
