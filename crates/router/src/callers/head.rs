//! What the router reads from a request's head.

use hibiscusvale_core::ids::{ClassName, IdempotencyKey};
use hibiscusvale_core::ticket::Ticket;
use http::HeaderMap;

use super::refusal::{Refusal, RefusalReason};

const CLASS_HEADER: &str = "x-class";
const KEY_HEADER: &str = "idempotency-key";
const REPEATABLE_HEADER: &str = "x-repeatable";
const TICKET_HEADER: &str = "x-ticket";

/// Headers of the router's own, read once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// Class of work.
    pub class: ClassName,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// What the caller said of running the request more than once.
    pub marked_repeatable: Option<bool>,
    /// A ticket given before.
    pub ticket: Option<Ticket>,
}

impl Head {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// A refusal when a header is there and not understood, or there is no class. A header that is ignored
    /// because it is misspelt could make a request that must run once run twice.
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

/// The ticket that a request carries, if it is one.
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
