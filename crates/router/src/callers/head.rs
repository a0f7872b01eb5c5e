//! Parses the router's own request headers.

use hibiscusvale_core::ids::{ClassName, IdempotencyKey};
use hibiscusvale_core::ticket::Ticket;
use http::HeaderMap;

use super::refusal::{Refusal, RefusalReason};

const CLASS_HEADER: &str = "x-class";
const KEY_HEADER: &str = "idempotency-key";
const REPEATABLE_HEADER: &str = "x-repeatable";
const TICKET_HEADER: &str = "x-ticket";

/// Request headers that the router itself reads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// Class of the request, as published by the partner.
    pub class: ClassName,
    /// Idempotency key, if the caller set one.
    pub key: Option<IdempotencyKey>,
    /// Whether the caller marked the request as repeatable; `None` when it did not say.
    pub marked_repeatable: Option<bool>,
    /// Ticket issued earlier, if the request carries one.
    pub ticket: Option<Ticket>,
}

impl Head {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// A refusal when a header is malformed or the class is missing. Ignoring a misspelt header could make a
    /// request that must run once run twice.
    pub fn read(headers: &HeaderMap) -> Result<Self, Refusal> {
        let class = parse(headers, CLASS_HEADER)?.ok_or(Refusal::not_run(RefusalReason::UnknownClass))?;
        let key = parse(headers, KEY_HEADER)?;
        let marked = match text(headers, REPEATABLE_HEADER)? {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(_) => return Err(Refusal::not_run(RefusalReason::BadHeader)),
        };
        Ok(Self { class, marked_repeatable: marked, key, ticket: parse(headers, TICKET_HEADER)? })
    }
}

/// Parses the ticket of a request; `None` when it carries none.
pub fn ticket(headers: &HeaderMap) -> Result<Option<Ticket>, Refusal> {
    parse(headers, TICKET_HEADER)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let bad = Refusal::not_run(RefusalReason::BadHeader);
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad);
    }
    value.to_str().map(Some).map_err(|_| bad)
}

fn parse<Value>(headers: &HeaderMap, name: &str) -> Result<Option<Value>, Refusal>
where
    Value: std::str::FromStr,
{
    text(headers, name)?.map(str::parse).transpose().map_err(|_| Refusal::not_run(RefusalReason::BadHeader))
}
