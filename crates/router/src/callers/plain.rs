//! Callers' requests for plain services.

use bytes::Bytes;
use hibiscusvale_core::ids::{PartnerId, RequestId};
use http::{HeaderMap, Method};

use super::head::Head;

/// A request for a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Id of the request, unique across daemons.
    pub request_id: RequestId,
    /// The partner that sent it.
    pub partner: PartnerId,
    /// The router's own headers.
    pub head: Head,
    /// Name of the service.
    pub service: String,
    /// Method as sent by the caller.
    pub method: Method,
    /// Path and query as sent by the caller.
    pub path: String,
    /// Headers as sent by the caller.
    pub headers: HeaderMap,
    /// Body as sent by the caller.
    pub body: Bytes,
}

impl PlainRequest {
    /// Whether a second run would do harm: the caller said so, gave a key or a ticket, or said nothing and
    /// the method is not idempotent.
    pub fn runs_at_most_once(&self) -> bool {
        let named = self.head.key.is_some() || self.head.ticket.is_some();
        named || !self.head.marked_repeatable.unwrap_or(self.method.is_idempotent())
    }
}
