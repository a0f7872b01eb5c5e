//! At-most-once execution: checks idempotency keys and tickets before a request runs.

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

/// Response header that tells callers for how long a key is kept.
const RETENTION_HEADER: &str = "x-key-retention-seconds";

/// Response header that marks the stored answer of an earlier request with the same key or ticket.
const REPLAYED_HEADER: &str = "x-replayed";

const MILLIS_PER_SECOND: u64 = 1_000;

/// Result of the check for an earlier run.
pub enum Admission {
    /// The request may run.
    Run(Permit),
    /// The stored answer of an earlier request with the same key or ticket.
    Answered(Arc<StoredAnswer>),
}

/// The right to run a request.
pub enum Permit {
    /// The request has neither a key nor a ticket.
    Free,
    /// Granted by a claim on the log.
    Claim(ClaimGuard),
    /// Granted by a ticket of this daemon.
    Ticket(TicketGuard),
}

impl Permit {
    /// Whether the first byte may still be sent. Checked immediately before sending.
    pub fn may_start(&self, now_us: MonoTime) -> bool {
        match self {
            Self::Claim(guard) => guard.may_start(now_us),
            Self::Free | Self::Ticket(_) => true,
        }
    }

    /// Records that the request was answered.
    pub fn answered(self, answer: Option<StoredAnswer>) {
        match self {
            Self::Free => {}
            Self::Claim(guard) => guard.answered(answer),
            Self::Ticket(guard) => guard.answered(answer),
        }
    }

    /// Records that the request did not run, or may safely run again; this releases the key.
    pub fn not_run(self) {
        match self {
            Self::Free => {}
            Self::Claim(guard) => guard.not_run(),
            Self::Ticket(guard) => guard.not_run(),
        }
    }

    /// Records that the request may have run.
    pub fn unknown(self) {
        match self {
            Self::Free => {}
            Self::Claim(guard) => guard.unknown(),
            Self::Ticket(guard) => guard.unknown(),
        }
    }

    /// Records the result of a call to a plain service.
    pub fn settle_plain(self, result: &Result<PlainReply, Refusal>) {
        match result {
            Ok(PlainReply::Buffered { status, headers, body }) => {
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
    /// Checks whether a plain request may run.
    ///
    /// # Errors
    ///
    /// A refusal that states whether the request may have run.
    pub(super) async fn admit_plain(&self, request: &PlainRequest) -> Result<Admission, Refusal> {
        let digest = BodyDigest::new(request.method.as_str(), &request.path, &request.body);
        self.admit(request.request_id, &request.partner, &request.head, digest).await
    }

    /// Checks whether a language request may run.
    ///
    /// # Errors
    ///
    /// A refusal that states whether the request may have run.
    pub(super) async fn admit_language(&self, request: &LanguageRequest) -> Result<Admission, Refusal> {
        self.admit(request.request_id, &request.partner, &request.head, request.digest).await
    }

    /// For how long the key of a request is kept; `None` when it has no key.
    pub(super) fn key_retention(&self, request: &PlainRequest) -> Option<Millis> {
        request.head.key.as_ref().map(|_| self.claims.retention_ms())
    }

    async fn admit(
        &self,
        request_id: RequestId,
        partner: &PartnerId,
        head: &Head,
        digest: BodyDigest,
    ) -> Result<Admission, Refusal> {
        if let Some(ticket) = &head.ticket {
            return self.admit_ticket(ticket, partner, digest);
        }
        let Some(key) = &head.key else {
            return Ok(Admission::Run(Permit::Free));
        };
        match self.claims.begin(request_id, partner, key, digest).await {
            ClaimDecision::Run(guard) => Ok(Admission::Run(Permit::Claim(guard))),
            ClaimDecision::Answered(answer) => Ok(Admission::Answered(answer)),
            ClaimDecision::InProgress => Err(in_progress()),
            ClaimDecision::AnswerEvicted => Err(answer_gone()),
            ClaimDecision::Unknown => Err(Refusal::unknown(RefusalReason::NoAnswer)),
            ClaimDecision::BodyMismatch => Err(Refusal::not_run(RefusalReason::DifferentBody)),
            ClaimDecision::Unavailable { retry_after_ms } => {
                Err(Refusal::not_run(RefusalReason::ClaimsUnavailable).retry_after(retry_after_ms))
            }
        }
    }

    fn admit_ticket(
        &self,
        ticket: &Ticket,
        partner: &PartnerId,
        digest: BodyDigest,
    ) -> Result<Admission, Refusal> {
        let decision = match self.tickets.begin(ticket, partner, digest) {
            TicketUse::Run(guard) => return Ok(Admission::Run(Permit::Ticket(guard))),
            TicketUse::Settled(decision) => decision,
        };
        match decision {
            TicketDecision::Answered(answer) => Ok(Admission::Answered(answer)),
            TicketDecision::InProgress => Err(in_progress()),
            TicketDecision::AnswerEvicted => Err(answer_gone()),
            TicketDecision::BodyMismatch => Err(Refusal::not_run(RefusalReason::DifferentBody)),
            TicketDecision::Expired | TicketDecision::NotIssued => {
                Err(Refusal::not_run(RefusalReason::TicketVoid))
            }
            // The issuing daemon is gone or was not reached, and it may have run the request.
            TicketDecision::Run
            | TicketDecision::Unknown
            | TicketDecision::OtherHost
            | TicketDecision::IssuerReplaced => Err(Refusal::unknown(RefusalReason::TicketVoid)),
        }
    }
}

/// Refusal while an earlier request with the same key is running. Nothing ran for this call, but the outcome
/// of the key cannot be reported as not run.
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

/// Builds a response from the stored answer of an earlier request.
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

/// Adds the header that tells a caller for how long its key is kept.
pub fn insert_retention(headers: &mut HeaderMap, retention_ms: Millis) {
    headers.insert(RETENTION_HEADER, HeaderValue::from(retention_ms.0 / MILLIS_PER_SECOND));
}
