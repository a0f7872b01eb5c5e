//! Completion and chat requests in the common JSON format, and their answers, complete or as server-sent
//! events.

use bytes::Bytes;
use futures_util::StreamExt;
use hibiscusvale_core::claim::BodyDigest;
use hibiscusvale_core::ids::{ModelId, PartnerId, RequestId};
use hibiscusvale_core::units::Tokens;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::body::HeldBody;
use super::head::Head;
use super::refusal::{OUTCOME_HEADER, Outcome, Refusal, RefusalReason};
use super::response::{AnswerBody, REQUEST_ID_HEADER};
use crate::dispatch::AnswerPart;

/// Answer length when the caller does not set one.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Longest answer that a caller can request.
const MAX_TOKENS_LIMIT: u64 = 32_768;

/// JSON format of a request and its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// `messages` in the request, `message` or `delta` in the answer.
    Chat,
    /// `prompt` in the request, `text` in the answer.
    Completions,
}

impl Api {
    /// Path of the API.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// A request for a model.
#[derive(Clone, Debug)]
pub struct LanguageRequest {
    /// Id of the request, unique across daemons.
    pub request_id: RequestId,
    /// The partner that sent it.
    pub partner: PartnerId,
    /// The router's own headers.
    pub head: Head,
    /// The requested model.
    pub model: ModelId,
    /// The prompt as the engine reads it.
    pub prompt: Bytes,
    /// Upper bound of the answer's length.
    pub max_tokens: Tokens,
    /// Whether tokens are streamed to the caller.
    pub stream: bool,
    /// JSON format of the answer.
    pub api: Api,
    /// Digest of the caller's body; tells different requests with the same key apart.
    pub digest: BodyDigest,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: ModelId,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

impl Message {
    fn lines(&self) -> [&str; 4] {
        [&self.role, ": ", &self.content, "\n"]
    }
}

impl LanguageRequest {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// A refusal when it is not the JSON that the path accepts, has no prompt, or asks for zero tokens or
    /// for more than any class may.
    pub fn read(
        request_id: RequestId,
        partner: PartnerId,
        head: Head,
        api: Api,
        body: HeldBody,
    ) -> Result<Self, Refusal> {
        let bad = Refusal::not_run(RefusalReason::BadBody);
        let parsed: CompletionBody = serde_json::from_slice(body.as_ref()).map_err(|_| bad)?;
        let prompt = match api {
            Api::Completions => parsed.prompt.unwrap_or_default(),
            Api::Chat => parsed.messages.iter().flat_map(Message::lines).collect(),
        };
        let max_tokens = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if prompt.is_empty() || max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
            return Err(bad);
        }
        Ok(Self {
            request_id,
            partner,
            head,
            model: parsed.model,
            digest: BodyDigest::new("POST", api.path(), body.as_ref()),
            prompt: body.replace_bytes(Bytes::from(prompt)),
            max_tokens: Tokens(max_tokens),
            stream: parsed.stream,
            api,
        })
    }
}

/// Values of the request that its answer's JSON repeats.
#[derive(Clone, Debug)]
pub struct AnswerContext {
    request_id: RequestId,
    model: ModelId,
    api: Api,
}

impl AnswerContext {
    /// Takes the values from `request`.
    pub fn of(request: &LanguageRequest) -> Self {
        Self { request_id: request.request_id, model: request.model.clone(), api: request.api }
    }

    fn chunk(&self, text: &str, finish_reason: Option<&'static str>) -> Vec<u8> {
        let content = match self.api {
            Api::Chat => ChoiceContent::Delta { delta: Delta { content: text } },
            Api::Completions => ChoiceContent::Text { text },
        };
        let answer = Answer {
            id: self.request_id.to_string(),
            object: match self.api {
                Api::Chat => "chat.completion.chunk",
                Api::Completions => "text_completion",
            },
            model: &self.model,
            choices: [Choice { index: 0, content, finish_reason }],
            usage: None,
        };
        serde_json::to_vec(&answer).unwrap_or_default()
    }

    fn complete(&self, text: &str, tokens: u64) -> Vec<u8> {
        let content = match self.api {
            Api::Chat => ChoiceContent::Message { message: Reply { role: "assistant", content: text } },
            Api::Completions => ChoiceContent::Text { text },
        };
        let answer = Answer {
            id: self.request_id.to_string(),
            object: match self.api {
                Api::Chat => "chat.completion",
                Api::Completions => "text_completion",
            },
            model: &self.model,
            choices: [Choice { index: 0, content, finish_reason: Some("stop") }],
            usage: Some(Usage { completion_tokens: tokens }),
        };
        serde_json::to_vec(&answer).unwrap_or_default()
    }
}

#[derive(Serialize)]
struct Answer<'a> {
    id: String,
    object: &'static str,
    model: &'a ModelId,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: ChoiceContent<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum ChoiceContent<'a> {
    Delta { delta: Delta<'a> },
    Message { message: Reply<'a> },
    Text { text: &'a str },
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

#[derive(Serialize)]
struct Reply<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// Waits for the first part before it answers, so that a refusal still gets its own status.
pub async fn answer(
    context: AnswerContext,
    stream: bool,
    mut parts: mpsc::Receiver<AnswerPart>,
) -> Response<AnswerBody> {
    if !stream {
        return complete_answer(context, parts).await;
    }
    match parts.recv().await {
        Some(AnswerPart::Refused(refusal)) => refusal.into_response(context.request_id),
        None => Refusal::unknown(RefusalReason::NoAnswer).into_response(context.request_id),
        Some(first) => stream_answer(context, first, parts),
    }
}

async fn complete_answer(
    context: AnswerContext,
    mut parts: mpsc::Receiver<AnswerPart>,
) -> Response<AnswerBody> {
    let mut text = String::new();
    loop {
        match parts.recv().await {
            Some(AnswerPart::Token { text: token }) => text.push_str(&token),
            Some(AnswerPart::Done { tokens }) => {
                let body = Full::new(Bytes::from(context.complete(&text, tokens)));
                let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
                insert_headers(&mut response, &context, "application/json");
                response
                    .headers_mut()
                    .insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Answered.as_str()));
                return response;
            }
            Some(AnswerPart::Refused(refusal)) => return refusal.into_response(context.request_id),
            None => return Refusal::unknown(RefusalReason::NoAnswer).into_response(context.request_id),
        }
    }
}

/// The outcome of a stream is known only at its end: `[DONE]` means answered, and an error event names any
/// other outcome.
fn stream_answer(
    context: AnswerContext,
    first: AnswerPart,
    parts: mpsc::Receiver<AnswerPart>,
) -> Response<AnswerBody> {
    let header_context = context.clone();
    let rest =
        futures_util::stream::unfold(parts, |mut parts| async move { Some((parts.recv().await?, parts)) });
    let frames = futures_util::stream::once(std::future::ready(first))
        .chain(rest)
        .map(move |part| Ok(Frame::data(event(&context, &part))));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    insert_headers(&mut response, &header_context, "text/event-stream");
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

fn insert_headers(response: &mut Response<AnswerBody>, context: &AnswerContext, content_type: &'static str) {
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    if let Ok(id) = HeaderValue::from_str(&context.request_id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
}

fn event(context: &AnswerContext, part: &AnswerPart) -> Bytes {
    let mut event = Vec::from(b"data: ".as_slice());
    match part {
        AnswerPart::Token { text } => event.extend(context.chunk(text, None)),
        AnswerPart::Done { .. } => {
            event.extend(context.chunk("", Some("stop")));
            event.extend_from_slice(b"\n\ndata: [DONE]");
        }
        AnswerPart::Refused(refusal) => {
            let error = StreamError {
                error: StreamErrorBody { kind: refusal.reason.as_str(), outcome: refusal.outcome.as_str() },
            };
            event.extend(serde_json::to_vec(&error).unwrap_or_default());
        }
    }
    event.extend_from_slice(b"\n\n");
    event.into()
}

#[derive(Serialize)]
struct StreamError {
    error: StreamErrorBody,
}

#[derive(Serialize)]
struct StreamErrorBody {
    #[serde(rename = "type")]
    kind: &'static str,
    outcome: &'static str,
}
