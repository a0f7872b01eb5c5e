//! Forwards a stream to its caller and fails over to another engine when it breaks off.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hibiscusvale_core::relay::engines::EngineEvent;
use hibiscusvale_core::relay::silence;
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::{Bytes as ByteCount, Millis};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::Instant;

use super::events::EventSplitter;
use super::interfaces::EventId;
use super::memory_limit::HeldMemory;
use super::refusal::Reason;
use super::stream::StreamedRequest;
use super::trace::cause_label;
use crate::backend::{Framing, ServerBody};
use crate::callers::{AnswerBody, BodyBroken};
use crate::metrics::Label as _;

/// Interval at which an engine that sends nothing is asked for its state.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which a forwarded stream fails over. The other daemon has failed over to another engine before that,
/// unless it awaits a paused one, so it is cut off itself or stands still.
const FORWARDED_SILENCE_MAX: Duration = Duration::from_millis(2_500);

/// Maximum size of the comments between two events. Those that keep a connection open take a few bytes a second.
const COMMENT_BYTES_MAX: usize = 64 << 10;

/// Progress is reported to the pool at the first event and at each doubling of the event number after it:
/// early on, while the decoding speed is unknown, and seven times for an answer of a hundred events.
const REPORT_FACTOR: u64 = 2;

/// A stream that is forwarded to its caller. It is driven by polling the caller's response body, so a caller
/// that leaves drops it together with the engine's connection.
struct StreamForwarder {
    request: StreamedRequest,
    body: Option<ServerBody>,
    splitter: EventSplitter,
    /// Memory of the bytes in `splitter`.
    memory: HeldMemory,
    progress: Progress,
    /// Whether the current engine has sent a complete event with an id.
    has_events: bool,
    eventless: Eventless,
}

/// What an engine has sent since its last event.
#[derive(Debug, Default)]
struct Eventless {
    /// Time in which its bytes were awaited.
    waited: Duration,
    comment_bytes: usize,
}

impl Eventless {
    /// Whether another engine has to go on. One that sends only comments is alive, and is awaited until its caller would be
    /// about to leave.
    fn is_over(&self, limit: Duration) -> bool {
        self.waited >= limit || self.comment_bytes > COMMENT_BYTES_MAX
    }
}

/// Progress reports to the pool while an answer is streamed.
struct Progress {
    /// Event number at which the next report is due.
    report_at: u64,
    last_event_at: Option<Instant>,
    /// Longest pause since the last report.
    longest_pause: Duration,
}

impl Progress {
    fn new() -> Self {
        Self { report_at: 1, last_event_at: None, longest_pause: Duration::ZERO }
    }

    /// Records an event; returns the longest pause when a report is due.
    fn record(&mut self, at: Instant, number: u64) -> Option<Millis> {
        if let Some(before) = self.last_event_at.replace(at) {
            self.longest_pause = self.longest_pause.max(at - before);
        }
        if number < self.report_at {
            return None;
        }
        self.report_at = number * REPORT_FACTOR;
        let pause = std::mem::take(&mut self.longest_pause);
        Some(Millis(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)))
    }
}

impl StreamForwarder {
    /// The next complete events; `None` at the end of the answer.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        let limit = event_limit(&self.request);
        while let Some(body) = &mut self.body {
            let begun_at = Instant::now();
            let chunk = if limit.is_some_and(|limit| self.eventless.is_over(limit)) {
                Err(FailureCause::Timeout)
            } else {
                next_chunk(body, &self.request).await
            };
            self.eventless.waited += begun_at.elapsed();
            match chunk {
                Ok(Some(bytes)) => {
                    if !self.hold(bytes.len()).await {
                        return Err(self.abort(FailureCause::Timeout));
                    }
                    let Ok(events) = self.splitter.push(&bytes) else {
                        self.fail_over(FailureCause::Broken).await?;
                        continue;
                    };
                    if let Some(events) = events {
                        if let Err(cause) = self.check_beginning(events.first) {
                            self.fail_over(cause).await?;
                            continue;
                        }
                        if events.last.is_some() {
                            self.eventless = Eventless::default();
                        } else {
                            self.eventless.comment_bytes += events.bytes.len();
                        }
                        self.record_progress(events.last);
                        return Ok(Some(self.release(events.bytes)));
                    }
                }
                Ok(None) if self.splitter.is_inside_event() => {
                    self.request.incoming.record_partial_event(self.splitter.remainder().len());
                    self.fail_over(FailureCause::Broken).await?;
                }
                Ok(None) if !self.has_answered() => self.fail_over(FailureCause::Broken).await?,
                Ok(None) => {
                    self.body = None;
                    self.request.incoming.set_outcome("answered");
                    self.request.record_end();
                    self.request.feed(self.request.finished_event());
                    let remainder = self.splitter.remainder();
                    return Ok((!remainder.is_empty()).then(|| self.release(remainder)));
                }
                Err(cause) => self.fail_over(cause).await?,
            }
        }
        Ok(None)
    }

    /// Counts `size` bytes that have arrived. Nothing more is read from the engine until there is memory for them; `false`
    /// if there is none before the deadline.
    async fn hold(&mut self, size: usize) -> bool {
        let deadline = self.request.incoming.deadline;
        let held = self.memory.grow(ByteCount(size as u64));
        tokio::time::timeout_at(deadline, held).await.is_ok()
    }

    /// Bytes for the caller, whose memory is held until they are written to its connection.
    fn release(&mut self, bytes: Bytes) -> Bytes {
        self.memory.split(ByteCount(bytes.len() as u64)).attach(bytes)
    }

    /// Whether the end of the answer may be that of a complete one. A crash before the first event looks like an
    /// end where the connection delimits the answer.
    fn has_answered(&self) -> bool {
        let is_delimited = self.body.as_ref().is_some_and(|body| body.framing() != Framing::Connection);
        self.has_events || (is_delimited && self.request.has_events())
    }

    async fn fail_over(&mut self, cause: FailureCause) -> Result<(), BodyBroken> {
        // Close the connection first: two engines must not decode for one request.
        self.body = None;
        self.request.record_break(cause).await;
        if !self.request.is_repeatable() || self.request.incoming.left().is_zero() {
            return Err(self.abort(cause));
        }
        self.splitter = EventSplitter::default();
        self.memory.shrink_to(ByteCount::ZERO);
        self.has_events = false;
        self.eventless = Eventless::default();
        match self.request.resume(cause).await {
            Ok(body) => {
                self.body = Some(body);
                Ok(())
            }
            Err(BodyBroken) => Err(self.abort(cause)),
        }
    }

    fn abort(&self, cause: FailureCause) -> BodyBroken {
        self.request.incoming.set_outcome(cause_label(cause));
        let request_id = self.request.incoming.request_id;
        self.request.feed(EngineEvent::DecodeFailed { request_id, cause });
        BodyBroken
    }

    /// Checks that the events come from the software version that began the stream, and that an engine that takes it up
    /// begins behind the last event that the caller has.
    fn check_beginning(&mut self, first: Option<EventId>) -> Result<(), FailureCause> {
        match first {
            Some(_) if !self.has_events && first <= self.request.last_event => Err(FailureCause::Broken),
            Some(_) if !self.has_events => self.request.begin_events(),
            Some(_) => {
                self.request.check_version();
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn record_progress(&mut self, last: Option<EventId>) {
        if let Some(EventId(number)) = last {
            self.has_events = true;
            self.request.incoming.record_last_event(number);
            self.request.record_event();
            let request_id = self.request.incoming.request_id;
            if self.request.last_event == self.request.incoming.call.after_event {
                self.request.feed(EngineEvent::Started { request_id });
                self.request.incoming.record_first_event();
            }
            if let Some(longest_pause_ms) = self.progress.record(Instant::now(), number) {
                let progress = EngineEvent::Progress { request_id, events: number, longest_pause_ms };
                self.request.feed_without_message(progress);
            }
            self.request.last_event = last;
        }
    }
}

/// Time without an event after which a stream goes on at another engine; `None` if it may not, or if another daemon ensures
/// that.
fn event_limit(request: &StreamedRequest) -> Option<Duration> {
    if !request.is_repeatable() || request.is_forwarded() {
        return None;
    }
    let route = &request.incoming.route;
    Some(silence::without_events_ms(route.target_ms, route.gap_target_ms).into())
}

/// The next bytes of an answer. Silence ends only a resumable stream, and immediately only if the engine is
/// unreachable.
async fn next_chunk(body: &mut ServerBody, request: &StreamedRequest) -> Result<Option<Bytes>, FailureCause> {
    let left = request.incoming.left();
    if !request.is_repeatable() {
        return chunk_within(body, left).await;
    }
    let route = &request.incoming.route;
    if request.is_forwarded() {
        return chunk_within(body, left.min(FORWARDED_SILENCE_MAX)).await;
    }
    let silent_since = Instant::now();
    let mut limit = left.min(Duration::from(silence::ASK_AFTER_MS));
    loop {
        let next = chunk_within(body, limit).await;
        if next != Err(FailureCause::Timeout) || request.incoming.left().is_zero() {
            return next;
        }
        let engine = tokio::select! {
            biased;
            next = chunk_within(body, request.incoming.left()) => return next,
            engine = request.silent_engine() => engine,
        };
        let last_event = request.last_event.unwrap_or_default().0;
        request.record_silence(engine, last_event);
        let awaited = Duration::from(engine.awaited_ms(last_event, route.target_ms, route.gap_target_ms));
        let rest = awaited.saturating_sub(silent_since.elapsed()).min(request.incoming.left());
        if rest.is_zero() {
            return next;
        }
        limit = rest.min(ASK_INTERVAL);
    }
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

/// The response that streams events to the caller.
pub(super) fn streamed(
    status: StatusCode,
    headers: HeaderMap,
    request: StreamedRequest,
    body: ServerBody,
) -> Response<AnswerBody> {
    let memory = request.incoming.state.memory.answer();
    let forwarder = StreamForwarder {
        request,
        memory,
        body: Some(body),
        splitter: EventSplitter::default(),
        progress: Progress::new(),
        has_events: false,
        eventless: Eventless::default(),
    };
    let events = stream::try_unfold(forwarder, |mut forwarder| async move {
        let state = Arc::clone(&forwarder.request.incoming.state);
        let next = tokio::select! {
            biased;
            next = forwarder.next() => next?,
            () = state.stop.answers_due() => {
                forwarder.request.incoming.set_outcome(Reason::StopOver.label());
                return Err(BodyBroken);
            }
        };
        Ok::<_, BodyBroken>(next.map(|bytes| (Frame::data(bytes), forwarder)))
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
