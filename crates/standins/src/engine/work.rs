//! Prefill, decode and cancel calls.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::{Engine, RequestCall, Role};
use crate::engine_memory::{NextTokens, Owner, Prompt, Stage};
use crate::http::{Body, bad_request, json, read_json};

#[derive(Debug, Deserialize)]
struct PrefillCall {
    request_id: String,
    owner: Owner,
    model: String,
    #[serde(flatten)]
    prompt: Prompt,
    #[serde(default)]
    priority: i64,
}

#[derive(Debug, Serialize)]
struct PrefillAnswer {
    prompt_tokens: u64,
    cached_tokens: u64,
    kv_bytes: u64,
    evict_after_ms: u64,
}

#[derive(Debug, Deserialize)]
struct DecodeCall {
    request_id: String,
    owner: Owner,
    max_tokens: u64,
    #[serde(default)]
    from_index: u64,
}

#[derive(Debug, Deserialize)]
struct OwnerCall {
    owner: Owner,
}

#[derive(Debug, Serialize)]
struct TokenLine<'a> {
    index: u64,
    text: &'a str,
}

#[derive(Debug, Serialize)]
struct DoneLine {
    done: bool,
    tokens: u64,
}

#[derive(Debug, Serialize)]
struct Released<T> {
    released: T,
}

/// Reason for a rejected call, serialized as JSON.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Refusal {
    Leaving(bool),
    UnknownModel(String),
    WrongRole(Role),
    NoSlot(bool),
    Gone(bool),
}

impl Refusal {
    pub(super) fn response(&self) -> Response<Body> {
        let status = match self {
            Self::Leaving(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownModel(_) => StatusCode::NOT_FOUND,
            Self::WrongRole(_) => StatusCode::CONFLICT,
            Self::NoSlot(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Gone(_) => StatusCode::GONE,
        };
        json(status, self)
    }
}

impl Engine {
    /// Checks whether new work for `model` in `role` is accepted.
    pub(super) fn admit(&self, model: &str, role: Role) -> Result<(), Refusal> {
        if self.faults.is_leaving() {
            return Err(Refusal::Leaving(true));
        }
        let orders = self.orders.lock();
        if orders.role != role {
            return Err(Refusal::WrongRole(orders.role));
        }
        if !orders.models.contains(model) {
            return Err(Refusal::UnknownModel(model.to_owned()));
        }
        Ok(())
    }

    pub(super) async fn prefill(&self, request: Request<Incoming>) -> Response<Body> {
        let call: PrefillCall = match read_json(request).await {
            Ok(call) => call,
            Err(error) => return bad_request(&error),
        };
        let held = self.memory.lock().get(&call.request_id).is_some();
        if !held && let Err(refusal) = self.admit(&call.model, Role::Prefill) {
            return refusal.response();
        }
        let id = call.request_id;
        let mut changes = self.changes.subscribe();
        self.change(|memory| memory.queue_prefill(&id, call.owner, call.prompt, call.priority));
        loop {
            if let Some(response) = self.prefill_answer(&id) {
                return response;
            }
            if changes.changed().await.is_err() {
                return Refusal::Gone(true).response();
            }
        }
    }

    fn prefill_answer(&self, id: &str) -> Option<Response<Body>> {
        let memory = self.memory.lock();
        let Some(held) = memory.get(id) else {
            return Some(Refusal::Gone(true).response());
        };
        if matches!(held.stage, Stage::Queued | Stage::Prefilling) {
            return None;
        }
        let answer = PrefillAnswer {
            prompt_tokens: held.prompt_tokens,
            cached_tokens: held.cached_tokens,
            kv_bytes: held.prompt_tokens * self.settings.kv_bytes_per_token,
            evict_after_ms: self.settings.evict_after_ms,
        };
        Some(json(StatusCode::OK, &answer))
    }

    /// Runs queued prefills one at a time.
    pub(super) async fn run_prefills(&self) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let started = self.memory.lock().start_prefill();
            match started {
                Some((id, tokens)) => self.run_prefill(&id, tokens).await,
                None => {
                    if changes.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    async fn run_prefill(&self, id: &str, tokens: u64) {
        let work = Duration::from_micros(tokens * self.settings.prefill_us_per_token);
        let work = self.faults.scale_time(work);
        let started = Instant::now();
        let mut changes = self.changes.subscribe();
        let cancelled =
            async { while self.memory.lock().get(id).is_some() && changes.changed().await.is_ok() {} };
        tokio::select! {
            () = sleep(work) => self.change(|memory| {
                let evict_after = Duration::from_millis(self.settings.evict_after_ms);
                memory.finish_prefill(id, Instant::now(), evict_after);
            }),
            () = cancelled => {
                let part = started.elapsed().as_micros() * u128::from(tokens) / work.as_micros().max(1);
                let part = u64::try_from(part).unwrap_or(tokens).min(tokens);
                self.change(|memory| memory.abort_prefill(id, part));
            }
        }
    }

    /// Runs decode steps while the batch is not empty; the step time grows with the batch size.
    pub(super) async fn run_decode(&self) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let batch = self.memory.lock().decoding() as u64;
            if batch == 0 {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let step = self.settings.decode_step_us + batch * self.settings.decode_step_us_per_request;
            sleep(self.faults.scale_time(Duration::from_micros(step))).await;
            self.change(crate::engine_memory::Memory::decode_step);
        }
    }

    pub(super) async fn decode(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let call: DecodeCall = match read_json(request).await {
            Ok(call) => call,
            Err(error) => return bad_request(&error),
        };
        let reader =
            self.change(|memory| memory.start_stream(&call.request_id, &call.owner, call.max_tokens));
        let Some(reader) = reader else {
            return Refusal::Gone(true).response();
        };
        let cursor = StreamCursor {
            engine: Arc::clone(self),
            id: call.request_id,
            reader,
            index: call.from_index,
            ended: false,
        };
        let lines = stream::unfold(cursor, StreamCursor::advance);
        let frames = lines.map(|bytes| Ok::<_, Infallible>(Frame::data(bytes)));
        Response::new(StreamBody::new(frames).boxed_unsync())
    }

    pub(super) async fn cancel(&self, request: Request<Incoming>) -> Response<Body> {
        match read_json::<RequestCall>(request).await {
            Ok(call) => {
                let released = self.change(|memory| memory.cancel(&call.request_id, &call.owner));
                json(StatusCode::OK, &Released { released })
            }
            Err(error) => bad_request(&error),
        }
    }

    pub(super) async fn cancel_owner(&self, request: Request<Incoming>) -> Response<Body> {
        let owner = match read_json::<OwnerCall>(request).await {
            Ok(call) => call.owner,
            Err(error) => return bad_request(&error),
        };
        let released = self.change(|memory| {
            let ids = memory.ids_of_owner(&owner);
            ids.iter().filter(|id| memory.cancel(id, &owner)).count()
        });
        json(StatusCode::OK, &Released { released })
    }
}

/// Read position in a token stream.
struct StreamCursor {
    engine: Arc<Engine>,
    id: String,
    reader: u64,
    index: u64,
    ended: bool,
}

impl StreamCursor {
    async fn advance(mut self) -> Option<(Bytes, Self)> {
        if self.ended {
            return None;
        }
        let mut changes = self.engine.changes.subscribe();
        loop {
            let next = self.engine.memory.lock().next_tokens(&self.id, self.reader, self.index);
            match next {
                NextTokens::Tokens { texts, done } => return Some((self.lines(&texts, done), self)),
                NextTokens::TakenOver | NextTokens::Gone => return None,
                NextTokens::Wait => {}
            }
            if changes.changed().await.is_err() {
                return None;
            }
        }
    }

    fn lines(&mut self, texts: &[String], done: Option<u64>) -> Bytes {
        let mut lines = Vec::new();
        for text in texts {
            write_line(&mut lines, &TokenLine { index: self.index, text });
            self.index += 1;
        }
        if let Some(tokens) = done {
            write_line(&mut lines, &DoneLine { done: true, tokens });
            self.ended = true;
        }
        lines.into()
    }
}

fn write_line<T>(lines: &mut Vec<u8>, line: &T)
where
    T: Serialize,
{
    serde_json::to_writer(&mut *lines, line).expect("lines of this module serialize");
    lines.push(b'\n');
}
