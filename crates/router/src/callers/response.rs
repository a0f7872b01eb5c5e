//! Bodies and heads of answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Header that names the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The body broke off: the caller's connection is closed in the middle, so that what came cannot be taken
/// for a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("answer broke off")]
pub struct BodyBroken;

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyBroken>;
