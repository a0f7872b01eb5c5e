//! Runs one request for a model: carries out the scheduler's actions from prefill to the last token.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::claim::StoredAnswer;
use hibiscusvale_core::ids::{AttemptId, BackendServerId};
use hibiscusvale_core::sched::{Action, Arrival, Attempt, Event, FailureCause, WorkStage};
use hibiscusvale_core::units::{BytesPerSecond, Millis, MonoTime, Tokens};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::at_most_once::{Admission, Permit};
use super::observe::Observed;
use super::{AnswerPart, Dispatcher, LanguageTarget, prefix};
use crate::backend::{
    CallFailure, ConnectionReuse, DecodeCall, EngineFailure, ImportCall, Imported, PrefillCall, Prefilled,
    StreamPart, TokenStream,
};
use crate::callers::{LanguageRequest, Outcome, Refusal};
use crate::clock;

/// Time after which a prefill or import call without an answer is repeated on a new connection, in parallel
/// with the first. A connection whose state was lost by a middlebox stays silent. The engine joins the
/// second call to the same work, so the repetition costs one round trip. Shorter than the scheduler's
/// shortest time-out, which repeats the whole work on another engine.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Upper bound of any call. The scheduler's own time-outs depend on the amount of work and expire first;
/// this one only keeps an orphaned task from living forever.
const CALL_TIMEOUT_MS: Millis = Millis(120_000);

/// Interval at which the scheduler is told how many tokens were sent.
const PROGRESS_PERIOD_MS: Millis = Millis(250);

/// The next event that the task of a request handles.
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
    /// The caller has the complete answer.
    Answered,
    /// The caller was told that there is no answer, or that it ends early.
    Refused(Outcome),
    /// The caller has left.
    Left,
}

struct RequestTask {
    dispatcher: Arc<Dispatcher>,
    request: LanguageRequest,
    parts: mpsc::Sender<AnswerPart>,
    observed: Observed,
    /// Cancelled when the caller has not read any of its answer for the stall time-out.
    stalled: CancellationToken,
    /// Text sent so far.
    generated: String,
    /// Tokens sent so far.
    sent_tokens: u64,
}

/// Runs a request until its answer is complete, it is refused, or its caller has left.
pub async fn run_request(
    dispatcher: Arc<Dispatcher>,
    request: LanguageRequest,
    target: LanguageTarget,
    parts: mpsc::Sender<AnswerPart>,
) {
    let observed = dispatcher.observer.language(&request, target, clock::now());
    let admission = dispatcher.admit_language(&request).await;
    let mut task = RequestTask {
        dispatcher,
        request,
        parts,
        observed,
        stalled: CancellationToken::new(),
        generated: String::new(),
        sent_tokens: 0,
    };
    match admission {
        Ok(Admission::Run(permit)) => {
            let ended = task.run(target).await;
            task.settle(permit, ended);
        }
        Ok(Admission::Answered(answer)) => task.replay(&answer).await,
        Err(refusal) => {
            task.refuse(refusal).await;
        }
    }
}

/// Waits for the scheduler's next action, or until the caller leaves.
async fn next_step(
    steps: &mut mpsc::UnboundedReceiver<Action>,
    disconnect: &mpsc::Sender<AnswerPart>,
    stalled: &CancellationToken,
) -> Next {
    tokio::select! {
        biased;
        () = stalled.cancelled() => Next::Left,
        () = disconnect.closed() => Next::Left,
        action = steps.recv() => action.map_or(Next::Left, Next::Step),
    }
}

fn arrival_of(now_us: MonoTime, request: &LanguageRequest, target: LanguageTarget) -> Arrival {
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
        time_left_ms: request.head.time_left_ms(now_us),
    }
}

impl RequestTask {
    async fn run(&mut self, target: LanguageTarget) -> Ended {
        let language_scheduler = Arc::clone(&self.dispatcher.language_scheduler);
        let request_id = self.request.request_id;
        let (disconnect, stalled) = (self.parts.clone(), self.stalled.clone());
        let mut steps = language_scheduler.arrive(arrival_of(clock::now(), &self.request, target));
        let mut next = next_step(&mut steps, &disconnect, &stalled).await;
        while let Next::Step(action) = next {
            next = {
                let mut work = pin!(self.step(action));
                tokio::select! {
                    biased;
                    // A newer action, or the caller's departure, cancels the current step.
                    newer = next_step(&mut steps, &disconnect, &stalled) => newer,
                    done = &mut work => done,
                }
            };
            if let Next::Done(event) = next {
                let finished = matches!(event, Event::Finished { .. });
                language_scheduler.feed(event);
                next = if finished {
                    Next::Ended(Ended::Answered)
                } else {
                    next_step(&mut steps, &disconnect, &stalled).await
                };
            }
        }
        let ended = match next {
            Next::Ended(ended) => ended,
            Next::Left | Next::Step(_) | Next::Done(_) => Ended::Left,
        };
        // `None` when the scheduler has ended the request itself.
        if let Some(entry) = language_scheduler.caller_left(request_id) {
            self.observed.ends_in(entry);
        }
        ended
    }

    /// Records how the request ended. A language request has no effect besides its answer, so when it got no
    /// answer its key is released for another attempt, unless the caller said that the request must not run
    /// again.
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
                self.observed.caller_left(clock::now());
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

    /// Sends the stored answer of an earlier request with the same key.
    async fn replay(&mut self, answer: &StoredAnswer) {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let tokens = prefix::estimate_tokens(&answer.body);
        self.observed.answered(clock::now(), Tokens::ZERO);
        for part in [AnswerPart::Token { text }, AnswerPart::Done { tokens: tokens.0 }] {
            // Sending fails only when the caller has left.
            let _ = self.parts.send(part).await;
        }
    }

    /// Carries out one action of the scheduler.
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
            Action::Refuse { reason, retry_after_ms, entry, .. } => {
                self.observed.ends_in(entry);
                self.refuse(Refusal::not_run(reason.into()).retry_after(retry_after_ms)).await
            }
            // Work had started, so the outcome cannot be reported as not run.
            Action::Fail { reason, retry_after_ms, entry, .. } => {
                self.observed.ends_in(entry);
                self.refuse(Refusal::unknown(reason.into()).retry_after(retry_after_ms)).await
            }
            Action::Send(_) | Action::Cancel { .. } | Action::Wake { .. } => {
                // The language scheduler carries these out itself.
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
            timeout_ms: CALL_TIMEOUT_MS,
        };
        match self.call_prefill(server, call).await {
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

    async fn call_prefill(
        &self,
        server: &BackendServerId,
        call: PrefillCall,
    ) -> Result<Prefilled, EngineFailure> {
        let to = self.dispatcher.directory.address_of(server).ok_or(CallFailure::NotSent)?;
        let engines = &self.dispatcher.engines;
        let first = engines.prefill(to, call.clone(), ConnectionReuse::Pooled);
        hedge_on_new_connection(first, || engines.prefill(to, call, ConnectionReuse::Fresh)).await
    }

    async fn import(&mut self, attempt: Attempt, route: ImportRoute) -> Event {
        match self.call_import(attempt, &route).await {
            Ok(_) => Event::Imported { request_id: self.request.request_id, attempt },
            Err(failure) => self.failed(attempt, WorkStage::Import, &route.server, failure),
        }
    }

    async fn call_import(&self, attempt: Attempt, route: &ImportRoute) -> Result<Imported, EngineFailure> {
        let to = self.dispatcher.directory.address_of(&route.server).ok_or(CallFailure::NotSent)?;
        let call = ImportCall {
            attempt_id: self.attempt_id(attempt),
            model: self.request.model.clone(),
            source: self.dispatcher.directory.address_of(&route.source).ok_or(EngineFailure::Gone)?,
            priority: route.priority,
            rate_bytes_per_s: route.rate_bytes_per_s,
            timeout_ms: CALL_TIMEOUT_MS,
        };
        let engines = &self.dispatcher.engines;
        let first = engines.import(to, call.clone(), ConnectionReuse::Pooled);
        hedge_on_new_connection(first, || engines.import(to, call, ConnectionReuse::Fresh)).await
    }

    /// Streams tokens to the caller. After a failure the scheduler resumes the stream by index, either on a
    /// new connection or on another engine after a new prefill, so that no token is lost or sent twice.
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
        let reuse = if resume { ConnectionReuse::Fresh } else { ConnectionReuse::Pooled };
        let token_timeout = Duration::from(token_timeout_ms);
        let opened =
            tokio::time::timeout(token_timeout, self.dispatcher.engines.decode(to, call, reuse)).await;
        let mut stream = opened.map_err(|_elapsed| CallFailure::Timeout)??;
        Ok(self.forward(&mut stream, token_timeout).await?)
    }

    async fn forward(
        &mut self,
        stream: &mut TokenStream,
        token_timeout: Duration,
    ) -> Result<(), CallFailure> {
        let mut reported_us = clock::now();
        loop {
            match stream.next(token_timeout).await? {
                // A resumed stream may start before the requested index.
                StreamPart::Token { index, .. } if index < self.sent_tokens => {}
                StreamPart::Token { index, text } if index == self.sent_tokens => {
                    self.generated.push_str(&text);
                    self.sent_tokens += 1;
                    self.report_progress(&mut reported_us);
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

    fn report_progress(&mut self, reported_us: &mut MonoTime) {
        let now_us = clock::now();
        let request_id = self.request.request_id;
        if self.sent_tokens == 1 {
            self.observed.first_token(now_us);
            self.dispatcher.language_scheduler.feed(Event::FirstToken { request_id });
        } else if now_us >= *reported_us + PROGRESS_PERIOD_MS {
            *reported_us = now_us;
            self.dispatcher
                .language_scheduler
                .feed(Event::Progress { request_id, tokens: Tokens(self.sent_tokens) });
        }
    }

    /// Sends a part of the answer. While the caller is slow this waits, which also slows the engine down. A
    /// caller whose connection state was lost by a middlebox looks like a slow caller forever and would hold
    /// a decode slot for that time, so a caller that reads nothing for the stall time-out is treated as gone.
    async fn send(&self, part: AnswerPart) {
        let timeout = Duration::from(self.dispatcher.stall_timeout_ms);
        if tokio::time::timeout(timeout, self.parts.send(part)).await != Ok(Ok(())) {
            self.stalled.cancel();
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

/// Source, destination and rate of a KV cache transfer.
struct ImportRoute {
    source: BackendServerId,
    server: BackendServerId,
    priority: u8,
    rate_bytes_per_s: BytesPerSecond,
}

/// Awaits `first`. When it takes longer than [`HEDGE_DELAY`] or its connection breaks, makes a second call
/// on a new connection as well, and returns the first answer.
async fn hedge_on_new_connection<Reply, First, Second, Make>(
    first: First,
    second: Make,
) -> Result<Reply, EngineFailure>
where
    First: Future<Output = Result<Reply, EngineFailure>>,
    Second: Future<Output = Result<Reply, EngineFailure>>,
    Make: FnOnce() -> Second,
{
    let mut first = pin!(first);
    match tokio::time::timeout(HEDGE_DELAY, &mut first).await {
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
