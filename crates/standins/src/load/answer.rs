//! Reads a daemon's response and verifies that it is the complete answer to the caller's request.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::Instant;

use crate::load::schedule::PlannedRequest;
use crate::plain::PlainAnswer;
use crate::text::expected_answer;

/// Outcome of one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete answer arrived.
    Answered,
    /// The daemon reported that the request was not executed.
    NotRun,
    /// Execution is uncertain: the daemon reported so, or the connection failed.
    Unknown,
    /// The daemon accepted the call and reported no outcome or a false one.
    Lost(Flaw),
    /// The caller disconnected.
    Left,
}

/// Reason why an answer is invalid.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Flaw {
    /// No response within the caller's timeout.
    NoOutcome,
    /// The response has no valid `x-outcome` header.
    Unnamed,
    /// The answer belongs to another request, or parts are missing or duplicated.
    Wrong,
}

/// A call as observed by its caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Header `x-request-id`; absent without a response head.
    pub request_id: Option<String>,
    /// Header `retry-after`.
    pub retry_after: Option<Duration>,
    /// Status; absent without a response head.
    pub status: Option<StatusCode>,
    /// Problem type of a refusal.
    pub refusal: Option<String>,
    /// Arrival of the first token or of the complete plain answer.
    pub first_at: Option<Instant>,
    /// Arrival of the last token.
    pub last_at: Option<Instant>,
}

impl Call {
    /// Creates a call without a response head.
    pub fn without_head(outcome: Outcome) -> Self {
        Self {
            outcome,
            request_id: None,
            retry_after: None,
            status: None,
            refusal: None,
            first_at: None,
            last_at: None,
        }
    }

    fn from_head(status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let outcome = match text("x-outcome") {
            Some("answered") => Outcome::Answered,
            Some("not-run") => Outcome::NotRun,
            Some("unknown") => Outcome::Unknown,
            _ => Outcome::Lost(Flaw::Unnamed),
        };
        Self {
            outcome,
            request_id: text("x-request-id").map(str::to_owned),
            retry_after: text("retry-after")
                .and_then(|seconds| seconds.parse().ok())
                .map(Duration::from_secs),
            status: Some(status),
            ..Self::without_head(Outcome::Unknown)
        }
    }
}

#[derive(Debug, Deserialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    outcome: String,
}

#[derive(Debug, Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<Problem>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

/// Reads the response to a plain call.
pub async fn read_plain(
    response: Response<Incoming>,
    planned: &PlannedRequest,
    path: &str,
    keyed: bool,
) -> Call {
    let mut call = Call::from_head(response.status(), response.headers());
    let Ok(body) = response.into_body().collect().await else {
        call.outcome = Outcome::Unknown;
        return call;
    };
    let bytes = body.to_bytes();
    if call.outcome != Outcome::Answered {
        call.refusal = refusal(&bytes);
        return call;
    }
    call.first_at = Some(Instant::now());
    if !is_own_plain_answer(&bytes, planned, path, keyed) {
        call.outcome = Outcome::Lost(Flaw::Wrong);
    }
    call
}

fn is_own_plain_answer(bytes: &Bytes, planned: &PlannedRequest, path: &str, keyed: bool) -> bool {
    let Ok(answer) = serde_json::from_slice::<PlainAnswer>(bytes) else {
        return false;
    };
    if !keyed {
        return answer.execution.path == path;
    }
    answer.execution.idempotency_key.as_deref() == Some(&planned.name)
        && answer.execution.body_hash == blake3::hash(planned.text.as_bytes()).to_string()
}

fn refusal(bytes: &Bytes) -> Option<String> {
    let problem: Problem = serde_json::from_slice(bytes).ok()?;
    Some(problem.kind)
}

/// Reads a streamed completion token by token.
pub async fn read_stream(response: Response<Incoming>, planned: &PlannedRequest) -> Call {
    let mut call = Call::from_head(response.status(), response.headers());
    if response.status() != StatusCode::OK {
        if let Ok(body) = response.into_body().collect().await {
            call.refusal = refusal(&body.to_bytes());
        }
        return call;
    }
    let mut body = response.into_body();
    let mut events = Events::default();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        events.push(&data, &mut call);
    }
    call.outcome = events.outcome(planned);
    call
}

#[derive(Debug, Default)]
struct Events {
    partial: Vec<u8>,
    text: String,
    done: bool,
    failed: bool,
    not_run: bool,
}

impl Events {
    fn push(&mut self, data: &[u8], call: &mut Call) {
        self.partial.extend_from_slice(data);
        while let Some(end) = self.partial.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.partial.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(event) = line.trim().strip_prefix("data: ") {
                self.take(event, call);
            }
        }
    }

    fn take(&mut self, event: &str, call: &mut Call) {
        if event == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_str::<Event>(event) else {
            self.failed = true;
            return;
        };
        if let Some(problem) = event.error {
            call.refusal = Some(problem.kind);
            self.failed = true;
            self.not_run = problem.outcome == "not-run";
        }
        let text = event.choices.first().map_or("", |choice| &choice.text);
        if !text.is_empty() {
            let now = Instant::now();
            call.first_at.get_or_insert(now);
            call.last_at = Some(now);
            self.text.push_str(text);
        }
    }

    fn outcome(&self, planned: &PlannedRequest) -> Outcome {
        if !self.done {
            return if self.not_run { Outcome::NotRun } else { Outcome::Unknown };
        }
        if self.failed || self.text != expected_answer(&planned.text, planned.answer_tokens) {
            return Outcome::Lost(Flaw::Wrong);
        }
        Outcome::Answered
    }
}
