//! Requests for models in the usual JSON, and their answers, whole or as server-sent events.

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

/// Answer length where the caller names none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Longest answer that can be asked for.
const MAX_MAX_TOKENS: u64 = 32_768;

/// Which JSON the caller speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// `messages` in, `message` or `delta` out.
    Chat,
    /// `prompt` in, `text` out.
    Completions,
}

impl Shape {
    /// The path that takes this shape.
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
    /// Its id.
    pub request_id: RequestId,
    /// Whose it is.
    pub partner: PartnerId,
    /// The router's own headers.
    pub head: Head,
    /// The model asked for.
    pub model: ModelId,
    /// The prompt as the engine reads it.
    pub prompt: Bytes,
    /// Longest answer wanted.
    pub max_tokens: Tokens,
    /// Whether tokens are sent as they come.
    pub stream: bool,
    /// Which JSON to answer in.
    pub shape: Shape,
    /// Digest of what the caller sent, to tell two requests with one key apart.
    pub digest: BodyDigest,
}

#[derive(Deserialize)]
struct Asked {
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
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// A refusal when it is not the JSON that the path takes, has no prompt, or asks for more tokens than
    /// any class may.
    pub fn read(
        request_id: RequestId,
        partner: PartnerId,
        head: Head,
        shape: Shape,
        body: HeldBody,
    ) -> Result<Self, Refusal> {
        let bad = Refusal::not_run(RefusalReason::BadBody);
        let asked: Asked = serde_json::from_slice(body.as_ref()).map_err(|_| bad)?;
        let prompt = match shape {
            Shape::Completions => asked.prompt.unwrap_or_default(),
            Shape::Chat => asked.messages.iter().flat_map(Message::lines).collect(),
        };
        let max_tokens = asked.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if prompt.is_empty() || max_tokens == 0 || max_tokens > MAX_MAX_TOKENS {
            return Err(bad);
        }
        Ok(Self {
            request_id,
            partner,
            head,
            model: asked.model,
            digest: BodyDigest::new("POST", shape.path(), body.as_ref()),
            prompt: body.become_bytes(Bytes::from(prompt)),
            max_tokens: Tokens(max_tokens),
            stream: asked.stream,
            shape,
        })
    }
}

/// What the answer's JSON repeats of the request.
#[derive(Clone, Debug)]
pub struct AnswerStyle {
    request_id: RequestId,
    model: ModelId,
    shape: Shape,
}

impl AnswerStyle {
    /// The style in which `request` is answered.
    pub fn of(request: &LanguageRequest) -> Self {
        Self { request_id: request.request_id, model: request.model.clone(), shape: request.shape }
    }

    fn chunk(&self, text: &str, finish_reason: Option<&'static str>) -> Vec<u8> {
        let content = match self.shape {
            Shape::Chat => ChoiceContent::Delta { delta: Delta { content: text } },
            Shape::Completions => ChoiceContent::Text { text },
        };
        let answer = Answer {
            id: self.request_id.to_string(),
            object: match self.shape {
                Shape::Chat => "chat.completion.chunk",
                Shape::Completions => "text_completion",
            },
            model: &self.model,
            choices: [Choice { index: 0, content, finish_reason }],
            usage: None,
        };
        serde_json::to_vec(&answer).unwrap_or_default()
    }

    fn whole(&self, text: &str, tokens: u64) -> Vec<u8> {
        let content = match self.shape {
            Shape::Chat => ChoiceContent::Message { message: Reply { role: "assistant", content: text } },
            Shape::Completions => ChoiceContent::Text { text },
        };
        let answer = Answer {
            id: self.request_id.to_string(),
            object: match self.shape {
                Shape::Chat => "chat.completion",
                Shape::Completions => "text_completion",
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

/// Waits for the first part, so that a refusal still gets its own status, then answers.
pub async fn answer(
    style: AnswerStyle,
    stream: bool,
    mut parts: mpsc::Receiver<AnswerPart>,
) -> Response<AnswerBody> {
    if !stream {
        return whole_answer(style, parts).await;
    }
    match parts.recv().await {
        Some(AnswerPart::Refused(refusal)) => refusal.into_response(style.request_id),
        None => Refusal::unknown(RefusalReason::NoAnswer).into_response(style.request_id),
        Some(first) => stream_answer(style, first, parts),
    }
}

async fn whole_answer(style: AnswerStyle, mut parts: mpsc::Receiver<AnswerPart>) -> Response<AnswerBody> {
    let mut text = String::new();
    loop {
        match parts.recv().await {
            Some(AnswerPart::Token { text: token }) => text.push_str(&token),
            Some(AnswerPart::Done { tokens }) => {
                let body = Full::new(Bytes::from(style.whole(&text, tokens)));
                let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
                put_head(&mut response, &style, "application/json");
                response
                    .headers_mut()
                    .insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Answered.as_str()));
                return response;
            }
            Some(AnswerPart::Refused(refusal)) => return refusal.into_response(style.request_id),
            None => return Refusal::unknown(RefusalReason::NoAnswer).into_response(style.request_id),
        }
    }
}

/// A stream's outcome is known at its end only: `[DONE]` says answered, an error event names the outcome.
fn stream_answer(
    style: AnswerStyle,
    first: AnswerPart,
    parts: mpsc::Receiver<AnswerPart>,
) -> Response<AnswerBody> {
    let head_style = style.clone();
    let rest =
        futures_util::stream::unfold(parts, |mut parts| async move { Some((parts.recv().await?, parts)) });
    let frames = futures_util::stream::once(std::future::ready(first))
        .chain(rest)
        .map(move |part| Ok(Frame::data(event(&style, &part))));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    put_head(&mut response, &head_style, "text/event-stream");
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

fn put_head(response: &mut Response<AnswerBody>, style: &AnswerStyle, content_type: &'static str) {
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    if let Ok(id) = HeaderValue::from_str(&style.request_id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
}

fn event(style: &AnswerStyle, part: &AnswerPart) -> Bytes {
    let mut event = Vec::from(b"data: ".as_slice());
    match part {
        AnswerPart::Token { text } => event.extend(style.chunk(text, None)),
        AnswerPart::Done { .. } => {
            event.extend(style.chunk("", Some("stop")));
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
