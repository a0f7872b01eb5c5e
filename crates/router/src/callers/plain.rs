//! Requests for plain services as callers send them.

use bytes::Bytes;
use hibiscusvale_core::ids::{PartnerId, RequestId};
use http::{HeaderMap, Method};

use super::head::Head;

/// A request for a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Its id.
    pub request_id: RequestId,
    /// Whose it is.
    pub partner: PartnerId,
    /// The router's own headers.
    pub head: Head,
    /// The service that it is for.
    pub service: String,
    /// Method as sent.
    pub method: Method,
    /// Path and query as sent.
    pub path: String,
    /// Headers as sent.
    pub headers: HeaderMap,
    /// Body as sent.
    pub body: Bytes,
}

impl PlainRequest {
    /// Whether a second run would do harm: the caller said so, gave a key or a ticket, or said nothing and the
    /// method is not idempotent.
    pub fn runs_at_most_once(&self) -> bool {
        let named = self.head.key.is_some() || self.head.ticket.is_some();
        named || !self.head.marked_repeatable.unwrap_or(self.method.is_idempotent())
    }
}
