//! Forwards requests whose ticket was issued by another daemon, because only the issuer may run them.
//!
//! The platform's balancer routes callers to any host. When the issuer is unreachable, no other daemon can
//! say that the request did not run: an earlier attempt may have reached the issuer.

use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ticket::Ticket;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, Full};

use super::Dispatcher;
use crate::backend::{ConnectionReuse, strip_hop_by_hop_headers, uri};
use crate::callers::{AnswerBody, BodyBroken, Refusal, RefusalReason, outcome_due};
use crate::clock;

/// Marks a forwarded request, so that daemons with different host lists never forward it in a loop.
const FORWARDED_HEADER: &str = "x-forwarded-by-host";

/// Time-out for the head of the issuer's answer when the caller does not state how long it waits: the longest time
/// that a plain call or a first token may take.
const ISSUER_TIMEOUT: Duration = Duration::from_mins(1);

impl Dispatcher {
    /// Whether `ticket` was issued by another daemon, so that its request has to be forwarded.
    pub fn is_for_other_daemon(&self, ticket: &Ticket) -> bool {
        ticket.host != self.host
    }

    /// Forwards a request to the daemon that issued its ticket.
    ///
    /// # Errors
    ///
    /// A refusal with an unknown outcome when the issuer was not reached.
    pub async fn forward(
        &self,
        ticket: &Ticket,
        parts: request::Parts,
        body: Bytes,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let ticket_void = Refusal::unknown(RefusalReason::TicketVoid);
        if parts.headers.contains_key(FORWARDED_HEADER) {
            return Err(ticket_void);
        }
        let listing = self.directory.listing();
        let issuer = listing.entry_hosts.iter().find(|entry| entry.id == ticket.host).ok_or(ticket_void)?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut headers = parts.headers;
        let now_us = clock::now();
        let due_us = outcome_due(&headers, now_us);
        let time_out = due_us.map_or(ISSUER_TIMEOUT, |due_us| Duration::from_micros(due_us.since(now_us).0));
        strip_hop_by_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::HOST);
        headers.insert(FORWARDED_HEADER, HeaderValue::try_from(self.host.as_str()).map_err(|_| ticket_void)?);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = parts.method;
        *request.uri_mut() = uri(issuer.callers_address, path).map_err(|_| ticket_void)?;
        *request.headers_mut() = headers;
        let answer =
            self.http.send(ConnectionReuse::Fresh, request, time_out).await.map_err(|_| ticket_void)?;
        let (mut parts, body) = answer.into_parts();
        strip_hop_by_hop_headers(&mut parts.headers);
        Ok(Response::from_parts(parts, body.map_err(|_| BodyBroken).boxed_unsync()))
    }
}
