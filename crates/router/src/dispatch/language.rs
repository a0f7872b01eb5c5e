//! One request for a model: carries out the scheduler's steps, from prefill to the last token.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::claim::StoredAnswer;
use hibiscusvale_core::ids::{AttemptId, BackendServerId};
use hibiscusvale_core::sched::{Action, Arrival, Attempt, Event, FailureCause, WorkStage};
use hibiscusvale_core::units::{BytesPerSecond, Millis, MonoTime, Tokens};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::observe::Observed;
use super::once::{Gate, Permit};
use super::{AnswerPart, Dispatcher, LanguageTarget, prefix};
use crate::backend::{
    CallFailure, DecodeCall, EngineFailure, ImportCall, Imported, PrefillCall, Prefilled, StreamPart,
    TokenStream, Trust,
};
use crate::callers::{LanguageRequest, Outcome, Refusal, RefusalReason};
use crate::clock;

/// Wait for an engine's answer to a prefill or import on a pooled connection before it is asked again on a new
/// one as well. A connection that was forgotten in between stays silent; the engine joins the second call to
/// the same work, so asking again costs one round trip. Below the scheduler's shortest patience, which would
/// do the whole work again elsewhere.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(250);

/// The longest that any call may take. The scheduler's own timeouts, which know the work, come first; this
/// bound only keeps a lost task from living for ever.
const CALL_LIMIT_MS: Millis = Millis(120_000);

/// Time between two notes to the scheduler of how far an answer has come.
const PROGRESS_PERIOD_MS: Millis = Millis(250);

/// What the task of a request waits for.
enum Next {
    Step(Action),
    Done(Event),
    /// The request has ended.
    Ended(Ended),
    /// The caller has left.
    Left,
}

/// How a request ended.
#[derive(Clone, Copy)]
enum Ended {
    /// Its caller has the whole answer.
    Answered,
    /// Its caller was told that there is none, or no more of it.
    Refused(Outcome),
    /// Its caller has left.
    Left,
}

struct Drive {
    dispatcher: Arc<Dispatcher>,
    request: LanguageRequest,
    parts: mpsc::Sender<AnswerPart>,
    observed: Observed,
    /// Fires when the caller takes nothing any more.
    gone: CancellationToken,
    /// Text sent so far.
    generated: String,
    /// Tokens sent so far.
    sent_tokens: u64,
}

/// Runs a request until its answer is whole, it is refused, or its caller has left.
pub async fn drive(
    dispatcher: Arc<Dispatcher>,
    request: LanguageRequest,
    target: LanguageTarget,
    parts: mpsc::Sender<AnswerPart>,
) {
    let observed = dispatcher.observer.language(&request, target, clock::now());
    let gate = dispatcher.gate_language(&request).await;
    let mut drive = Drive {
        dispatcher,
        request,
        parts,
        observed,
        gone: CancellationToken::new(),
        generated: String::new(),
        sent_tokens: 0,
    };
    match gate {
        Ok(Gate::Run(permit)) => {
            let ended = drive.run(target).await;
            drive.settle(permit, ended);
        }
        Ok(Gate::Answered(answer)) => drive.replay(&answer).await,
        Err(refusal) => {
            drive.refuse(refusal).await;
        }
    }
}

/// The scheduler's next step, or the caller's departure.
async fn next_step(
    steps: &mut mpsc::UnboundedReceiver<Action>,
    departure: &mpsc::Sender<AnswerPart>,
    gone: &CancellationToken,
) -> Next {
    tokio::select! {
        biased;
        () = gone.cancelled() => Next::Left,
        () = departure.closed() => Next::Left,
        action = steps.recv() => action.map_or(Next::Left, Next::Step),
    }
}

fn arrival_of(request: &LanguageRequest, target: LanguageTarget) -> Arrival {
    Arrival {
        request_id: request.request_id,
        partner: request.partner.clone(),
        class: request.head.class.clone(),
        model: request.model.clone(),
        prompt_tokens: prefix::estimate_tokens(&request.prompt),
        max_tokens: request.max_tokens,
        blocks: prefix::blocks(&request.prompt),
        first_token_target_ms: target.first_token_ms,
        per_token_target_ms: target.per_token_ms,
    }
}

impl Drive {
    async fn run(&mut self, target: LanguageTarget) -> Ended {
        let hub = Arc::clone(&self.dispatcher.hub);
        let request_id = self.request.request_id;
        let (departure, gone) = (self.parts.clone(), self.gone.clone());
        let mut steps = hub.arrive(arrival_of(&self.request, target));
        let mut next = next_step(&mut steps, &departure, &gone).await;
        while let Next::Step(action) = next {
            next = {
                let mut work = pin!(self.step(action));
                tokio::select! {
                    biased;
                    // A newer step, or the caller's departure, puts an end to the present one.
                    newer = next_step(&mut steps, &departure, &gone) => newer,
                    done = &mut work => done,
                }
            };
            if let Next::Done(event) = next {
                let finished = matches!(event, Event::Finished { .. });
                hub.feed(event);
                next = if finished {
                    Next::Ended(Ended::Answered)
                } else {
                    next_step(&mut steps, &departure, &gone).await
                };
            }
        }
        let ended = match next {
            Next::Ended(ended) => ended,
            Next::Left | Next::Step(_) | Next::Done(_) => Ended::Left,
        };
        // Where the scheduler ended the request itself it finds nothing to end here.
        hub.feed(Event::CallerLeft { request_id });
        hub.close(request_id);
        ended
    }

    /// Notes how the request ended. A language request leaves no trace in the world but its answer, so unless
    /// its caller said that it may not run again its key is free for another try when there is none.
    fn settle(mut self, permit: Permit, ended: Ended) {
        match ended {
            Ended::Answered => {
                self.observed.answered(clock::now(), Tokens(self.sent_tokens));
                let body = std::mem::take(&mut self.generated).into_bytes();
                permit.answered(Some(StoredAnswer { status: 200, headers: Vec::new(), body }));
            }
            Ended::Refused(outcome) if outcome == Outcome::NotRun || !self.at_most_once() => permit.not_run(),
            Ended::Refused(_) => permit.unknown(),
            Ended::Left => {
                self.observed.left(clock::now());
                if self.at_most_once() {
                    permit.unknown();
                } else {
                    permit.not_run();
                }
            }
        }
    }

    fn at_most_once(&self) -> bool {
        self.request.head.marked_repeatable == Some(false)
    }

    /// Gives the answer that an earlier request with the same key got.
    async fn replay(&mut self, answer: &StoredAnswer) {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let tokens = prefix::estimate_tokens(&answer.body);
        self.observed.answered(clock::now(), Tokens::ZERO);
        for part in [AnswerPart::Token { text }, AnswerPart::Done { tokens: tokens.0 }] {
            // A caller who has left needs no answer.
            let _ = self.parts.send(part).await;
        }
    }

    /// Carries out one step.
    async fn step(&mut self, action: Action) -> Next {
        match action {
            Action::StartPrefill { attempt, server, priority, restart_cause, .. } => {
                self.observed.prefill_starts(attempt.0, &server, restart_cause);
                Next::Done(self.prefill(attempt, &server, priority).await)
            }
            Action::Import { attempt, source, server, priority, rate_bytes_per_s, .. } => {
                self.observed.import_starts(&server);
                let route = ImportRoute { source, server, priority, rate_bytes_per_s };
                Next::Done(self.import(attempt, route).await)
            }
            Action::Decode { attempt, server, resume, token_timeout_ms, .. } => {
                self.observed.decode_starts(&server, resume);
                Next::Done(self.decode(attempt, &server, resume, token_timeout_ms).await)
            }
            Action::Refuse { reason, retry_after_ms, .. } => {
                self.refuse(Refusal::not_run(reason.into()).retry_after(retry_after_ms)).await
            }
            // Work had begun, so nobody may say that the request did not run.
            Action::Fail { .. } => {
                self.refuse(Refusal::unknown(RefusalReason::RetriesExhausted).retry_after(RETRY_AFTER_MS))
                    .await
            }
            Action::Send(_) | Action::Cancel { .. } | Action::Wake { .. } => {
                // The hub carries these out itself.
                std::future::pending().await
            }
        }
    }

    fn attempt_id(&self, attempt: Attempt) -> AttemptId {
        AttemptId { request_id: self.request.request_id, attempt: attempt.0 }
    }

    fn failed(
        &mut self,
        attempt: Attempt,
        stage: WorkStage,
        server: &BackendServerId,
        failure: EngineFailure,
    ) -> Event {
        let cause = cause_of(failure);
        self.observed.step_failed(server, cause);
        if cause == FailureCause::Leaving {
            self.dispatcher.note_leaving(server);
        }
        Event::Failed {
            request_id: self.request.request_id,
            attempt,
            stage,
            cause,
            tokens: Tokens(self.sent_tokens),
        }
    }

    async fn prefill(&mut self, attempt: Attempt, server: &BackendServerId, priority: u8) -> Event {
        let call = PrefillCall {
            attempt_id: self.attempt_id(attempt),
            prompt: self.request.prompt.clone(),
            generated: self.generated.clone(),
            model: self.request.model.clone(),
            priority,
            timeout_ms: CALL_LIMIT_MS,
        };
        match self.ask_prefill(server, call).await {
            Ok(done) => {
                self.observed.prefilled(done.prompt_tokens.saturating_sub(done.cached_tokens));
                Event::PrefillDone {
                    request_id: self.request.request_id,
                    attempt,
                    kv_bytes: done.kv_bytes,
                    cached_tokens: done.cached_tokens,
                    evict_after_ms: done.evict_after_ms,
                }
            }
            Err(failure) => self.failed(attempt, WorkStage::Prefill, server, failure),
        }
    }

    async fn ask_prefill(
        &self,
        server: &BackendServerId,
        call: PrefillCall,
    ) -> Result<Prefilled, EngineFailure> {
        let to = self.dispatcher.directory.address_of(server).ok_or(CallFailure::NotSent)?;
        let engines = &self.dispatcher.engines;
        let first = engines.prefill(to, call.clone(), Trust::Pooled);
        on_second_connection(first, || engines.prefill(to, call, Trust::Fresh)).await
    }

    async fn import(&mut self, attempt: Attempt, route: ImportRoute) -> Event {
        match self.ask_import(attempt, &route).await {
            Ok(_) => Event::Imported { request_id: self.request.request_id, attempt },
            Err(failure) => self.failed(attempt, WorkStage::Import, &route.server, failure),
        }
    }

    async fn ask_import(&self, attempt: Attempt, route: &ImportRoute) -> Result<Imported, EngineFailure> {
        let to = self.dispatcher.directory.address_of(&route.server).ok_or(CallFailure::NotSent)?;
        let call = ImportCall {
            attempt_id: self.attempt_id(attempt),
            model: self.request.model.clone(),
            source: self.dispatcher.directory.address_of(&route.source).ok_or(EngineFailure::Gone)?,
            priority: route.priority,
            rate_bytes_per_s: route.rate_bytes_per_s,
            timeout_ms: CALL_LIMIT_MS,
        };
        let engines = &self.dispatcher.engines;
        let first = engines.import(to, call.clone(), Trust::Pooled);
        on_second_connection(first, || engines.import(to, call, Trust::Fresh)).await
    }

    /// Streams tokens to the caller. After a failure the scheduler has the stream resumed by index, here on a
    /// new connection or elsewhere behind a new prefill: nothing is missing and nothing is sent twice.
    async fn decode(
        &mut self,
        attempt: Attempt,
        server: &BackendServerId,
        resume: bool,
        token_timeout_ms: Millis,
    ) -> Event {
        match self.stream(attempt, server, resume, token_timeout_ms).await {
            Ok(()) => {
                Event::Finished { request_id: self.request.request_id, tokens: Tokens(self.sent_tokens) }
            }
            Err(failure) => self.failed(attempt, WorkStage::Decode, server, failure),
        }
    }

    async fn stream(
        &mut self,
        attempt: Attempt,
        server: &BackendServerId,
        resume: bool,
        token_timeout_ms: Millis,
    ) -> Result<(), EngineFailure> {
        let to = self.dispatcher.directory.address_of(server).ok_or(CallFailure::NotSent)?;
        let call = DecodeCall {
            attempt_id: self.attempt_id(attempt),
            max_tokens: self.request.max_tokens,
            from_index: self.sent_tokens,
        };
        let trust = if resume { Trust::Fresh } else { Trust::Pooled };
        let silence = Duration::from(token_timeout_ms);
        let opened = tokio::time::timeout(silence, self.dispatcher.engines.decode(to, call, trust)).await;
        let mut stream = opened.map_err(|_elapsed| CallFailure::Timeout)??;
        Ok(self.forward(&mut stream, silence).await?)
    }

    async fn forward(&mut self, stream: &mut TokenStream, silence: Duration) -> Result<(), CallFailure> {
        let mut noted_us = clock::now();
        loop {
            match stream.next(silence).await? {
                // A resumed stream may begin before the index asked for.
                StreamPart::Token { index, .. } if index < self.sent_tokens => {}
                StreamPart::Token { index, text } if index == self.sent_tokens => {
                    self.generated.push_str(&text);
                    self.sent_tokens += 1;
                    self.note_progress(&mut noted_us);
                    self.send(AnswerPart::Token { text }).await;
                }
                StreamPart::Done { tokens, .. } if tokens == self.sent_tokens => {
                    self.send(AnswerPart::Done { tokens }).await;
                    return Ok(());
                }
                StreamPart::Token { .. } | StreamPart::Done { .. } => return Err(CallFailure::Malformed),
            }
        }
    }

    fn note_progress(&mut self, noted_us: &mut MonoTime) {
        let now_us = clock::now();
        let request_id = self.request.request_id;
        if self.sent_tokens == 1 {
            self.observed.first_token(now_us);
            self.dispatcher.hub.feed(Event::FirstToken { request_id });
        } else if now_us >= *noted_us + PROGRESS_PERIOD_MS {
            *noted_us = now_us;
            self.dispatcher.hub.feed(Event::Progress { request_id, tokens: Tokens(self.sent_tokens) });
        }
    }

    /// Passes a part on; waits while the caller is slow, and the engine with it. A caller whose connection was
    /// forgotten on the way looks like a slow one for ever and would hold a decode slot as long; after a while
    /// without taking anything it counts as gone.
    async fn send(&self, part: AnswerPart) {
        let patience = Duration::from(self.dispatcher.stall_timeout_ms);
        if tokio::time::timeout(patience, self.parts.send(part)).await != Ok(Ok(())) {
            self.gone.cancel();
            std::future::pending::<()>().await;
        }
    }

    async fn refuse(&mut self, refusal: Refusal) -> Next {
        let refusal = if self.sent_tokens > 0 { Refusal::unknown(refusal.reason) } else { refusal };
        self.observed.refused(clock::now(), refusal);
        self.send(AnswerPart::Refused(refusal)).await;
        Next::Ended(Ended::Refused(refusal.outcome))
    }
}

/// The way of a KV cache.
struct ImportRoute {
    source: BackendServerId,
    server: BackendServerId,
    priority: u8,
    rate_bytes_per_s: BytesPerSecond,
}

/// Told to a caller whose request failed on several servers: by then the scheduler has closed the bad ones.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// Waits for `first`, and when it takes long or its connection breaks also for a second call on a new
/// connection; the first answer counts.
async fn on_second_connection<Reply, First, Second, Make>(
    first: First,
    second: Make,
) -> Result<Reply, EngineFailure>
where
    First: Future<Output = Result<Reply, EngineFailure>>,
    Second: Future<Output = Result<Reply, EngineFailure>>,
    Make: FnOnce() -> Second,
{
    let mut first = pin!(first);
    match tokio::time::timeout(ASK_AGAIN_AFTER, &mut first).await {
        Ok(Err(EngineFailure::Call(CallFailure::Broken))) => second().await,
        Ok(answered) => answered,
        Err(_elapsed) => {
            let mut second = pin!(second());
            tokio::select! {
                answered = &mut first => match answered {
                    Err(EngineFailure::Call(_)) => second.await,
                    answered => answered,
                },
                answered = &mut second => match answered {
                    Err(EngineFailure::Call(_)) => first.await,
                    answered => answered,
                },
            }
        }
    }
}

fn cause_of(failure: EngineFailure) -> FailureCause {
    match failure {
        EngineFailure::Call(CallFailure::NotSent) => FailureCause::NotSent,
        EngineFailure::Call(CallFailure::Timeout) => FailureCause::Timeout,
        EngineFailure::Call(CallFailure::Broken | CallFailure::Malformed) => FailureCause::Broken,
        EngineFailure::NoRoom => FailureCause::NoRoom,
        EngineFailure::Leaving => FailureCause::Leaving,
        EngineFailure::Gone => FailureCause::Gone,
        EngineFailure::NoModel | EngineFailure::Refused(_) => FailureCause::Refused,
    }
}
