//! Interface to callers: HTTP/1.1 and HTTP/2 on one port.

mod auth;
mod body;
mod connection;
mod head;
mod language;
mod listener;
mod plain;
mod refusal;
mod response;
mod service;
mod stream;

pub use auth::Tokens as PartnerTokens;
pub use body::{BodyReader, HeldBody};
pub use head::{Head, outcome_due};
pub use language::{Api, LanguageRequest};
pub use listener::{Listener, ListenerSettings};
pub use plain::PlainRequest;
pub use refusal::{OUTCOME_HEADER, Outcome, Refusal, RefusalReason};
pub use response::{AnswerBody, BodyBroken, REQUEST_ID_HEADER};
pub use service::{CallerService, CallerState};
pub use stream::{CallerStream, PendingWrites, ResetFlag};
