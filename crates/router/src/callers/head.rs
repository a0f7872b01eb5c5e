//! Parses the router's own request headers.

use hibiscusvale_core::ids::{ClassName, IdempotencyKey};
use hibiscusvale_core::sched::time_to_outcome;
use hibiscusvale_core::ticket::Ticket;
use hibiscusvale_core::units::{Millis, MonoTime};
use http::HeaderMap;

use super::refusal::{Refusal, RefusalReason};

const CLASS_HEADER: &str = "x-class";
const KEY_HEADER: &str = "idempotency-key";
const REPEATABLE_HEADER: &str = "x-repeatable";
const TICKET_HEADER: &str = "x-ticket";

/// Header of RFC 7240; its preference `wait=SECONDS` states how long the caller waits for its outcome.
const PREFER_HEADER: &str = "prefer";
const WAIT_PREFERENCE: &str = "wait";

/// Longest time limit that is taken as stated; a caller that states more is taken to wait for this long.
const WAIT_SECONDS_MAX: u64 = 3_600;

const MILLIS_PER_SECOND: u64 = 1_000;

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
    /// Time at which the outcome has to be sent, if the caller stated how long it waits.
    pub outcome_due_us: Option<MonoTime>,
}

impl Head {
    /// Parses the headers of a request that arrived at `now_us`.
    ///
    /// # Errors
    ///
    /// A refusal when a header is malformed or the class is missing. Ignoring a misspelt header could make a
    /// request that must run once run twice.
    pub fn read(headers: &HeaderMap, now_us: MonoTime) -> Result<Self, Refusal> {
        let class = parse(headers, CLASS_HEADER)?.ok_or(Refusal::not_run(RefusalReason::UnknownClass))?;
        let key = parse(headers, KEY_HEADER)?;
        let marked = match text(headers, REPEATABLE_HEADER)? {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(_) => return Err(Refusal::not_run(RefusalReason::BadHeader)),
        };
        Ok(Self {
            class,
            marked_repeatable: marked,
            key,
            ticket: parse(headers, TICKET_HEADER)?,
            outcome_due_us: outcome_due(headers, now_us),
        })
    }

    /// Time left at `now_us` until the outcome has to be sent; `None` if the caller did not state how long it
    /// waits.
    pub fn time_left_ms(&self, now_us: MonoTime) -> Option<Millis> {
        self.outcome_due_us.map(|due_us| due_us.since(now_us).to_millis_floor())
    }
}

/// Time at which the outcome of a request that arrived at `now_us` has to be sent.
pub fn outcome_due(headers: &HeaderMap, now_us: MonoTime) -> Option<MonoTime> {
    stated_wait(headers).map(|limit_ms| now_us + time_to_outcome(limit_ms))
}

/// The time for which the caller states that it waits. Preferences that are not understood are ignored, as RFC 7240
/// requires, and the first one counts.
fn stated_wait(headers: &HeaderMap) -> Option<Millis> {
    let values = headers.get_all(PREFER_HEADER).iter().filter_map(|value| value.to_str().ok());
    let mut preferences = values.flat_map(|value| value.split(','));
    let seconds = preferences.find_map(|preference| {
        let (name, value) = preference.split(';').next()?.split_once('=')?;
        let is_wait = name.trim().eq_ignore_ascii_case(WAIT_PREFERENCE);
        is_wait.then(|| value.trim().trim_matches('"').parse::<u64>().ok())?
    })?;
    Some(Millis(seconds.min(WAIT_SECONDS_MAX) * MILLIS_PER_SECOND))
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
