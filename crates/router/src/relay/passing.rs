//! Passes a stream on to its caller, and goes on at another engine where it broke off.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hibiscusvale_core::relay::engines::EngineEvent;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::Millis;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming as ServerBody};
use tokio::time::Instant;

use super::edge::EventId;
use super::events::EventCutter;
use super::story::cause_label;
use super::stream::Run;
use crate::callers::{AnswerBody, BodyBroken};

/// Silence of an engine after which it is asked for another connection. Several times the longest pause that is in
/// time; an engine that takes one lives, and its answer is owed however slowly it comes.
const SUSPICION: Duration = Duration::from_secs(1);

/// Further silence of an engine that lives after which a resumable stream goes on at another one: the open connection
/// may be forgotten on its way, and callers leave after two seconds at the earliest.
const SILENCE: Duration = Duration::from_millis(900);

/// The pool is told of the first event and of each doubling after it: soon, when a pace is not known yet, and seven times
/// for an answer of a hundred events.
const TELL_FACTOR: u64 = 2;

/// A stream on its way to its caller. It is driven by whoever takes its events, so a caller who leaves drops it and
/// the engine's connection with it.
struct Passing {
    run: Run,
    body: Option<ServerBody>,
    cutter: EventCutter,
    progress: Progress,
}

/// What the pool is told of an answer while it runs.
struct Progress {
    /// Number of the event at which it is told again.
    tell_at: u64,
    last_event_at: Option<Instant>,
    /// Longest pause since it was told.
    longest_pause: Duration,
}

impl Progress {
    fn new() -> Self {
        Self { tell_at: 1, last_event_at: None, longest_pause: Duration::ZERO }
    }

    /// Takes an event; says the longest pause when it is time to tell.
    fn note(&mut self, at: Instant, number: u64) -> Option<Millis> {
        if let Some(before) = self.last_event_at.replace(at) {
            self.longest_pause = self.longest_pause.max(at - before);
        }
        if number < self.tell_at {
            return None;
        }
        self.tell_at = number * TELL_FACTOR;
        let pause = std::mem::take(&mut self.longest_pause);
        Some(Millis(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)))
    }
}

impl Passing {
    /// The next whole events; `None` at the end of the answer.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        while let Some(body) = &mut self.body {
            match next_chunk(body, &self.run).await {
                Ok(Some(bytes)) => {
                    let Ok(events) = self.cutter.push(&bytes) else {
                        return Err(self.broken(FailureCause::Broken));
                    };
                    if let Some(events) = events {
                        self.note_progress(events.last);
                        return Ok(Some(events.bytes));
                    }
                }
                // Where the end of the connection is the end of the answer, a crash looks like one.
                Ok(None) if !self.run.has_events() => self.go_on(FailureCause::Broken).await?,
                Ok(None) => {
                    self.body = None;
                    self.run.incoming.note_end("answered");
                    self.run.answered();
                    self.run.open.feed(self.run.finished());
                    let rest = self.cutter.rest();
                    return Ok((!rest.is_empty()).then_some(rest));
                }
                Err(cause) => self.go_on(cause).await?,
            }
        }
        Ok(None)
    }

    async fn go_on(&mut self, cause: FailureCause) -> Result<(), BodyBroken> {
        // The connection goes first: two engines must not write for one request.
        self.body = None;
        self.run.broke_off(cause).await;
        if !self.run.may_repeat() || self.run.incoming.left().is_zero() {
            return Err(self.broken(cause));
        }
        self.cutter = EventCutter::default();
        match self.run.resumed(cause).await {
            Ok(body) => {
                self.body = Some(body);
                Ok(())
            }
            Err(BodyBroken) => Err(self.broken(cause)),
        }
    }

    fn broken(&self, cause: FailureCause) -> BodyBroken {
        self.run.incoming.note_end(cause_label(cause));
        let request_id = self.run.incoming.request_id;
        self.run.open.feed(EngineEvent::DecodeFailed { request_id, cause });
        BodyBroken
    }

    fn note_progress(&mut self, last: Option<EventId>) {
        if let Some(EventId(number)) = last {
            self.run.incoming.note_last_event(number);
            self.run.note_event();
            let request_id = self.run.incoming.request_id;
            if self.run.last == self.run.incoming.call.after_event {
                self.run.open.feed(EngineEvent::Started { request_id });
                self.run.incoming.note_first_event();
            }
            if let Some(longest_pause_ms) = self.progress.note(Instant::now(), number) {
                let progress = EngineEvent::Progress { request_id, events: number, longest_pause_ms };
                self.run.open.feed_quietly(progress);
            }
            self.run.last = last;
        }
    }
}

/// The next bytes of an answer. Silence ends only a stream that can go on elsewhere, and at once only where the engine
/// cannot be reached any more.
async fn next_chunk(body: &mut ServerBody, run: &Run) -> Result<Option<Bytes>, FailureCause> {
    if !run.may_repeat() {
        return chunk_within(body, run.incoming.left()).await;
    }
    let first = chunk_within(body, SUSPICION.min(run.incoming.left())).await;
    if first != Err(FailureCause::Timeout) || !run.engine_lives().await {
        return first;
    }
    chunk_within(body, SILENCE.min(run.incoming.left())).await
}

async fn chunk_within(body: &mut ServerBody, limit: Duration) -> Result<Option<Bytes>, FailureCause> {
    loop {
        match tokio::time::timeout(limit, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
            Ok(Some(Err(_))) => return Err(FailureCause::Broken),
            Ok(None) => return Ok(None),
            Err(_elapsed) => return Err(FailureCause::Timeout),
        }
    }
}

/// The answer that gives a stream to its caller, event by event.
pub(super) fn streamed(
    status: StatusCode,
    headers: HeaderMap,
    run: Run,
    body: ServerBody,
) -> Response<AnswerBody> {
    let passing =
        Passing { run, body: Some(body), cutter: EventCutter::default(), progress: Progress::new() };
    let events = stream::try_unfold(passing, |mut passing| async move {
        let next = passing.next().await?;
        Ok::<_, BodyBroken>(next.map(|bytes| (Frame::data(bytes), passing)))
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
