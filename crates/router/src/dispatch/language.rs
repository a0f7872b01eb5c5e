//! One request for a model, from prefill to the last token.

use std::sync::Arc;
use std::time::Duration;

use hibiscusvale_core::ids::AttemptId;
use hibiscusvale_core::units::{BytesPerSecond, Millis};
use tokio::sync::mpsc;

use super::{AnswerPart, Dispatcher};
use crate::backend::{
    CallFailure, DecodeCall, EngineFailure, ImportCall, PrefillCall, StreamPart, TokenStream, Trust,
};
use crate::callers::{LanguageRequest, Refusal, RefusalReason};
use crate::clock;
use crate::directory::BackendServer;
use crate::platform::EngineRole;

/// Tries on different servers before a request is given up.
const MAX_ATTEMPTS: u32 = 4;

/// Wait for a prompt to be read before the call is asked again on a new connection.
const PREFILL_PATIENCE_MS: Millis = Millis(10_000);

/// Wait for a KV cache to be copied, likewise.
const IMPORT_PATIENCE_MS: Millis = Millis(3_000);

/// Silence in a token stream after which the connection is given up and the stream resumed on a new one.
/// Engines send a token every few tens of milliseconds; a connection that was forgotten in between stays
/// silent for good.
const TOKEN_PATIENCE: Duration = Duration::from_millis(1_500);

/// Resumptions without a token in between before the engine is given up.
const FRUITLESS_RESUMES: u32 = 2;

/// How a try ended.
enum Attempt {
    Finished,
    Failed,
    Refused(Refusal),
}

struct Drive {
    dispatcher: Arc<Dispatcher>,
    request: LanguageRequest,
    parts: mpsc::Sender<AnswerPart>,
    /// Text sent so far.
    generated: String,
    /// Tokens sent so far.
    sent_tokens: u64,
    /// Servers that may hold memory for the present try.
    holders: Vec<Arc<BackendServer>>,
}

/// Runs a request until its answer is whole, it is refused, or its caller has left.
pub async fn drive(dispatcher: Arc<Dispatcher>, request: LanguageRequest, parts: mpsc::Sender<AnswerPart>) {
    let departure = parts.clone();
    let mut drive = Drive {
        dispatcher,
        request,
        parts,
        generated: String::new(),
        sent_tokens: 0,
        holders: Vec::new(),
    };
    for attempt in 0..MAX_ATTEMPTS {
        let attempt_id = AttemptId {
            request_id: drive.request.request_id,
            attempt,
        };
        let ended = tokio::select! {
            ended = drive.attempt(attempt_id) => Some(ended),
            () = departure.closed() => None,
        };
        if !matches!(ended, Some(Attempt::Finished)) {
            drive.release(attempt_id);
        }
        match ended {
            Some(Attempt::Failed) => {}
            Some(Attempt::Refused(refusal)) => return drive.refuse(refusal).await,
            Some(Attempt::Finished) | None => return,
        }
    }
    drive
        .refuse(Refusal::not_run(RefusalReason::RetriesExhausted).retry_after(Millis(1_000)))
        .await;
}

impl Drive {
    async fn attempt(&mut self, attempt_id: AttemptId) -> Attempt {
        let model = self.request.model.clone();
        let Some(prefill) = self.dispatcher.pick_engine(EngineRole::Prefill, &model) else {
            return Attempt::Refused(no_server());
        };
        let Some(decode) = self.dispatcher.pick_engine(EngineRole::Decode, &model) else {
            return Attempt::Refused(no_server());
        };
        match self.run(attempt_id, &prefill, &decode).await {
            Ok(()) => Attempt::Finished,
            Err(_) => Attempt::Failed,
        }
    }

    async fn run(
        &mut self,
        attempt_id: AttemptId,
        prefill: &Arc<BackendServer>,
        decode: &Arc<BackendServer>,
    ) -> Result<(), EngineFailure> {
        self.holders.push(Arc::clone(prefill));
        self.prefill(attempt_id, prefill).await?;
        self.holders.push(Arc::clone(decode));
        self.import(attempt_id, prefill, decode).await?;
        // The copy is confirmed, so the source has let go of its own.
        self.holders.retain(|server| server.id == decode.id);
        self.decode(attempt_id, decode).await
    }

    async fn prefill(&self, attempt_id: AttemptId, server: &BackendServer) -> Result<(), EngineFailure> {
        let call = PrefillCall {
            attempt_id,
            prompt: self.request.prompt.clone(),
            generated: self.generated.clone(),
            model: self.request.model.clone(),
            priority: 0,
            timeout_ms: PREFILL_PATIENCE_MS,
        };
        let engines = &self.dispatcher.engines;
        let result = match engines.prefill(server.address, call.clone(), Trust::Pooled).await {
            Err(failure) if may_be_silent(failure) => {
                engines.prefill(server.address, call, Trust::Fresh).await
            }
            other => other,
        };
        self.note(server, result.as_ref().err());
        result.map(|_| ())
    }

    async fn import(
        &self,
        attempt_id: AttemptId,
        source: &BackendServer,
        server: &BackendServer,
    ) -> Result<(), EngineFailure> {
        let call = ImportCall {
            attempt_id,
            model: self.request.model.clone(),
            source: source.address,
            priority: 0,
            rate_bytes_per_s: BytesPerSecond(0),
            timeout_ms: IMPORT_PATIENCE_MS,
        };
        let engines = &self.dispatcher.engines;
        let result = match engines.import(server.address, call.clone(), Trust::Pooled).await {
            Err(failure) if may_be_silent(failure) => {
                engines.import(server.address, call, Trust::Fresh).await
            }
            other => other,
        };
        self.note(server, result.as_ref().err());
        result.map(|_| ())
    }

    /// Streams tokens to the caller, resuming by index on a new connection when the present one breaks or
    /// goes silent: nothing is missing and nothing is sent twice.
    async fn decode(&mut self, attempt_id: AttemptId, server: &BackendServer) -> Result<(), EngineFailure> {
        let mut fruitless = 0;
        let mut trust = Trust::Pooled;
        loop {
            let before = self.sent_tokens;
            let call = DecodeCall {
                attempt_id,
                max_tokens: self.request.max_tokens,
                from_index: before,
            };
            let failure = match self.dispatcher.engines.decode(server.address, call, trust).await {
                Ok(mut stream) => match self.forward(&mut stream).await {
                    Ok(()) => return Ok(()),
                    Err(failure) => EngineFailure::Call(failure),
                },
                Err(failure) => failure,
            };
            fruitless = if self.sent_tokens > before {
                0
            } else {
                fruitless + 1
            };
            if !may_be_silent(failure) || fruitless > FRUITLESS_RESUMES {
                return Err(failure);
            }
            trust = Trust::Fresh;
        }
    }

    async fn forward(&mut self, stream: &mut TokenStream) -> Result<(), CallFailure> {
        loop {
            match stream.next(TOKEN_PATIENCE).await? {
                // A resumed stream may begin before the index asked for.
                StreamPart::Token { index, .. } if index < self.sent_tokens => {}
                StreamPart::Token { index, text } if index == self.sent_tokens => {
                    self.generated.push_str(&text);
                    self.sent_tokens += 1;
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

    /// Passes a part on; waits while the caller is slow. A caller who has left is noticed by the driver.
    async fn send(&self, part: AnswerPart) {
        if self.parts.send(part).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn refuse(&self, refusal: Refusal) {
        let refusal = if self.sent_tokens > 0 {
            Refusal::unknown(refusal.reason)
        } else {
            refusal
        };
        self.send(AnswerPart::Refused(refusal)).await;
    }

    fn note(&self, server: &BackendServer, failure: Option<&EngineFailure>) {
        if let Some(EngineFailure::Leaving) = failure {
            self.dispatcher.directory.note_leaving(clock::now(), &server.id);
        }
    }

    fn release(&mut self, attempt_id: AttemptId) {
        for server in self.holders.drain(..) {
            self.dispatcher.release(&server, attempt_id);
        }
    }
}

fn no_server() -> Refusal {
    Refusal::not_run(RefusalReason::NoBackendServer).retry_after(Millis(1_000))
}

/// Whether a new connection may help where this one failed.
fn may_be_silent(failure: EngineFailure) -> bool {
    matches!(
        failure,
        EngineFailure::Call(CallFailure::Broken | CallFailure::Timeout)
    )
}
