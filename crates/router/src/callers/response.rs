//! Bodies and headers of answers.

use bytes::Bytes;
use hibiscusvale_core::ids::RequestId;
use hibiscusvale_core::ticket::Ticket;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::refusal::{OUTCOME_HEADER, Outcome};

/// Header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The body was aborted. The caller's connection is closed in the middle of it, so that a partial answer
/// cannot be mistaken for a complete one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("answer body aborted")]
pub struct BodyBroken;

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyBroken>;

/// Builds the answer to a request for a ticket.
pub fn ticket(request_id: RequestId, ticket: &Ticket) -> Response<AnswerBody> {
    let body = serde_json::json!({ "ticket": ticket.to_string() }).to_string();
    let mut response =
        Response::new(Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = StatusCode::CREATED;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Answered.as_str()));
    if let Ok(id) = HeaderValue::from_str(&request_id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    response
}
