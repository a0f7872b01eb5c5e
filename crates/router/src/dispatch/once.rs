//! Requests that run at most once: the gate of keys and tickets in front of every run.

use std::sync::Arc;

use bytes::Bytes;
use hibiscusvale_core::claim::{BodyDigest, StoredAnswer, StoredHeader};
use hibiscusvale_core::ids::{PartnerId, RequestId};
use hibiscusvale_core::ticket::{Ticket, TicketDecision};
use hibiscusvale_core::units::{Millis, MonoTime};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};

use super::Dispatcher;
use crate::backend::PlainReply;
use crate::callers::{
    AnswerBody, Head, LanguageRequest, OUTCOME_HEADER, Outcome, PlainRequest, REQUEST_ID_HEADER, Refusal,
    RefusalReason,
};
use crate::claims::{ClaimDecision, ClaimGuard};
use crate::tickets::{TicketGuard, TicketUse};

/// Header that tells callers for how long a key is remembered.
const RETENTION_HEADER: &str = "x-key-retention-seconds";

/// Header of an answer that an earlier request with the same key or ticket got.
const REPLAYED_HEADER: &str = "x-replayed";

const MILLIS_PER_SECOND: u64 = 1_000;

/// What the gate says.
pub enum Gate {
    /// Run the request.
    Run(Permit),
    /// An earlier request with the same key or ticket was answered so.
    Answered(Arc<StoredAnswer>),
}

/// The right to run a request.
pub enum Permit {
    /// There is no key or ticket.
    Free,
    /// By a claim on the log.
    Claim(ClaimGuard),
    /// By a ticket of this daemon.
    Ticket(TicketGuard),
}

impl Permit {
    /// Whether the first byte may still be sent. Asked just before it is.
    pub fn may_start(&self, now_us: MonoTime) -> bool {
        match self {
            Self::Claim(guard) => guard.may_start(now_us),
            Self::Free | Self::Ticket(_) => true,
        }
    }

    /// The request was answered.
    pub fn answered(self, answer: Option<StoredAnswer>) {
        match self {
            Self::Free => {}
            Self::Claim(guard) => guard.answered(answer),
            Self::Ticket(guard) => guard.answered(answer),
        }
    }

    /// The request did not run, or may run again without harm; the key is free.
    pub fn not_run(self) {
        match self {
            Self::Free => {}
            Self::Claim(guard) => guard.not_run(),
            Self::Ticket(guard) => guard.not_run(),
        }
    }

    /// The request may have run.
    pub fn unknown(self) {
        match self {
            Self::Free => {}
            Self::Claim(guard) => guard.unknown(),
            Self::Ticket(guard) => guard.unknown(),
        }
    }

    /// Notes how a call to a plain service ended.
    pub fn settle_plain(self, result: &Result<PlainReply, Refusal>) {
        match result {
            Ok(PlainReply::Whole { status, headers, body }) => {
                self.answered(Some(stored(*status, headers, body)));
            }
            Ok(PlainReply::Streamed { .. }) => self.answered(None),
            Err(refusal) => match refusal.outcome {
                Outcome::NotRun => self.not_run(),
                Outcome::Answered | Outcome::Unknown => self.unknown(),
            },
        }
    }
}

impl Dispatcher {
    /// Asks whether a plain request may run.
    ///
    /// # Errors
    ///
    /// A refusal with the outcome that the caller may rely on.
    pub(super) async fn gate_plain(&self, request: &PlainRequest) -> Result<Gate, Refusal> {
        let digest = BodyDigest::new(request.method.as_str(), &request.path, &request.body);
        self.gate(request.request_id, &request.partner, &request.head, digest).await
    }

    /// Asks whether a language request may run.
    ///
    /// # Errors
    ///
    /// A refusal with the outcome that the caller may rely on.
    pub(super) async fn gate_language(&self, request: &LanguageRequest) -> Result<Gate, Refusal> {
        self.gate(request.request_id, &request.partner, &request.head, request.digest).await
    }

    /// For how long the key of a request is remembered; `None` without a key.
    pub(super) fn key_retention(&self, request: &PlainRequest) -> Option<Millis> {
        request.head.key.as_ref().map(|_| self.claims.retention_ms())
    }

    async fn gate(
        &self,
        request_id: RequestId,
        partner: &PartnerId,
        head: &Head,
        digest: BodyDigest,
    ) -> Result<Gate, Refusal> {
        if let Some(ticket) = &head.ticket {
            return self.gate_ticket(ticket, partner, digest);
        }
        let Some(key) = &head.key else {
            return Ok(Gate::Run(Permit::Free));
        };
        match self.claims.begin(request_id, partner, key, digest).await {
            ClaimDecision::Run(guard) => Ok(Gate::Run(Permit::Claim(guard))),
            ClaimDecision::Answered(answer) => Ok(Gate::Answered(answer)),
            ClaimDecision::InProgress => Err(in_progress()),
            ClaimDecision::AnswerGone => Err(answer_gone()),
            ClaimDecision::Unknown => Err(Refusal::unknown(RefusalReason::NoAnswer)),
            ClaimDecision::OtherBody => Err(Refusal::not_run(RefusalReason::DifferentBody)),
            ClaimDecision::Unavailable { retry_after_ms } => {
                Err(Refusal::not_run(RefusalReason::ClaimsUnavailable).retry_after(retry_after_ms))
            }
        }
    }

    fn gate_ticket(&self, ticket: &Ticket, partner: &PartnerId, digest: BodyDigest) -> Result<Gate, Refusal> {
        let decision = match self.tickets.begin(ticket, partner, digest) {
            TicketUse::Run(guard) => return Ok(Gate::Run(Permit::Ticket(guard))),
            TicketUse::Settled(decision) => decision,
        };
        match decision {
            TicketDecision::Answered(answer) => Ok(Gate::Answered(answer)),
            TicketDecision::InProgress => Err(in_progress()),
            TicketDecision::AnswerEvicted => Err(answer_gone()),
            TicketDecision::BodyMismatch => Err(Refusal::not_run(RefusalReason::DifferentBody)),
            TicketDecision::Expired | TicketDecision::NotIssued => {
                Err(Refusal::not_run(RefusalReason::TicketVoid))
            }
            // The daemon that knows is gone or was not reached, and it may have run the request.
            TicketDecision::Run
            | TicketDecision::Unknown
            | TicketDecision::OtherHost
            | TicketDecision::IssuerReplaced => Err(Refusal::unknown(RefusalReason::TicketVoid)),
        }
    }
}

/// The request runs for an earlier caller. Of this call nothing ran, but of the key it cannot be said that it
/// did not run.
fn in_progress() -> Refusal {
    Refusal::unknown(RefusalReason::InProgress).retry_after(Millis(MILLIS_PER_SECOND))
}

fn answer_gone() -> Refusal {
    Refusal { outcome: Outcome::Answered, ..Refusal::unknown(RefusalReason::AnswerGone) }
}

fn stored(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> StoredAnswer {
    let headers = headers.iter().map(|(name, value)| StoredHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    StoredAnswer { status: status.as_u16(), headers: headers.collect(), body: body.to_vec() }
}

/// The answer that an earlier caller got, for a later one.
pub fn replay(request_id: RequestId, answer: &StoredAnswer) -> Response<AnswerBody> {
    let body = Full::new(Bytes::copy_from_slice(&answer.body));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    for header in &answer.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(header.name.as_str()), HeaderValue::from_bytes(&header.value))
        {
            headers.append(name, value);
        }
    }
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Answered.as_str()));
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    if let Ok(id) = HeaderValue::from_str(&request_id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    response
}

/// Tells a caller for how long its key is remembered.
pub fn put_retention(headers: &mut HeaderMap, retention_ms: Millis) {
    headers.insert(RETENTION_HEADER, HeaderValue::from(retention_ms.0 / MILLIS_PER_SECOND));
}
