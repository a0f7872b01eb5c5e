//! Requests whose ticket another daemon gave: only that daemon may run them, so they are passed on to it.
//!
//! The platform's balancer takes callers to any host. When the holder cannot be reached nobody else may say
//! that the request did not run: an earlier try may have reached it.

use std::time::Duration;

use bytes::Bytes;
use hibiscusvale_core::ticket::Ticket;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, Full};

use super::Dispatcher;
use crate::backend::{Trust, strip_connection_headers, uri};
use crate::callers::{AnswerBody, BodyBroken, Refusal, RefusalReason};

/// Marks a request that was passed on, so that two daemons with different lists never pass it in a circle.
const FORWARDED_HEADER: &str = "x-forwarded-by-host";

/// Wait for the head of the holder's answer: the longest that a plain call or a first token may take.
const HOLDER_TIMEOUT: Duration = Duration::from_mins(1);

impl Dispatcher {
    /// Whether a request with `ticket` has to be passed on.
    pub fn is_elsewhere(&self, ticket: &Ticket) -> bool {
        ticket.host != self.host
    }

    /// Passes a request on to the daemon that gave its ticket.
    ///
    /// # Errors
    ///
    /// A refusal whose outcome is unknown when the holder was not reached.
    pub async fn forward(
        &self,
        ticket: &Ticket,
        parts: request::Parts,
        body: Bytes,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let void = Refusal::unknown(RefusalReason::TicketVoid);
        if parts.headers.contains_key(FORWARDED_HEADER) {
            return Err(void);
        }
        let listing = self.directory.listing();
        let holder = listing.entry_hosts.iter().find(|entry| entry.id == ticket.host).ok_or(void)?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut headers = parts.headers;
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::HOST);
        headers.insert(FORWARDED_HEADER, HeaderValue::try_from(self.host.as_str()).map_err(|_| void)?);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = parts.method;
        *request.uri_mut() = uri(holder.callers_address, path).map_err(|_| void)?;
        *request.headers_mut() = headers;
        let answer = self.http.send(Trust::Fresh, request, HOLDER_TIMEOUT).await.map_err(|_| void)?;
        let (mut parts, body) = answer.into_parts();
        strip_connection_headers(&mut parts.headers);
        Ok(Response::from_parts(parts, body.map_err(|_| BodyBroken).boxed_unsync()))
    }
}
