//! Tickets: a caller first obtains a ticket from one daemon, and only that incarnation of that daemon may run
//! the request.
//!
//! A ticket needs no agreement between daemons, so it works through any network partition and any outage of
//! the log. In exchange, only the daemon that issued it can serve it.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::claim::{AnswerCache, BodyDigest, RunOutcome, StoredAnswer};
use crate::ids::{HostId, Incarnation, ParseIdError, PartnerId};
use crate::units::{Bytes, Millis, MonoTime};

/// Separator of the parts of a ticket's text; host names never contain it.
const SEPARATOR: char = '~';

/// Identifies the daemon incarnation that alone may run a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// Host of the issuing daemon.
    pub host: HostId,
    /// Incarnation of the issuing daemon.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation, starting at 1.
    pub sequence: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}{}{SEPARATOR}{:x}", self.host, self.incarnation, self.sequence)
    }
}

impl FromStr for Ticket {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::Number { kind: "ticket" };
        let (host, rest) = text.split_once(SEPARATOR).ok_or_else(error)?;
        let (incarnation, sequence) = rest.split_once(SEPARATOR).ok_or_else(error)?;
        Ok(Self {
            host: host.parse()?,
            incarnation: incarnation.parse()?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|_| error())?,
        })
    }
}

/// Limits of tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketSettings {
    /// Time from the issue of the ticket within which its request must start.
    pub start_within_ms: Millis,
    /// Time after that for which the outcome of the request is retained.
    pub remember_ms: Millis,
    /// Maximum number of tickets of one partner that are outstanding or retained; limits a flood to its own
    /// partner.
    pub partner_tickets: usize,
    /// Maximum size of one cached response.
    pub answer_bytes: Bytes,
    /// Maximum total size of the cached responses.
    pub answers_bytes: Bytes,
}

impl Default for TicketSettings {
    fn default() -> Self {
        Self {
            start_within_ms: Millis(300_000),
            remember_ms: Millis(600_000),
            partner_tickets: 5_000,
            answer_bytes: Bytes(16 << 10),
            answers_bytes: Bytes(2 << 20),
        }
    }
}

/// The partner's limit of tickets is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("partner has reached its ticket limit")]
pub struct TooManyTickets;

/// What to do with a request that carries a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketDecision {
    /// Run the request, once.
    Run,
    /// The ticket's request is still running.
    InProgress,
    /// The ticket's request received this response.
    Answered(Arc<StoredAnswer>),
    /// The ticket's request was answered, and its response was evicted from the cache.
    AnswerEvicted,
    /// The ticket's request may have run.
    Unknown,
    /// The ticket was used with a different request.
    BodyMismatch,
    /// The ticket expired before a request used it. Nothing ran.
    Expired,
    /// This daemon did not issue the ticket to this partner. Nothing ran.
    NotIssued,
    /// Another host's daemon issued the ticket; only that daemon can run the request or report its outcome.
    OtherHost,
    /// An earlier incarnation of this host's daemon issued the ticket, and what ran under it is no longer
    /// known.
    IssuerReplaced,
}

#[derive(Clone, Debug)]
enum TicketState {
    Unused,
    Running(BodyDigest),
    Answered(BodyDigest),
    Unknown(BodyDigest),
}

#[derive(Clone, Debug)]
struct IssuedTicket {
    partner: PartnerId,
    start_by_us: MonoTime,
    state: TicketState,
}

/// Tickets issued by one daemon incarnation.
#[derive(Debug)]
pub struct TicketIssuer {
    host: HostId,
    incarnation: Incarnation,
    settings: TicketSettings,
    last_sequence: u64,
    issued: HashMap<u64, IssuedTicket>,
    by_age: VecDeque<u64>,
    per_partner: HashMap<PartnerId, usize>,
    answers: AnswerCache<u64>,
}

impl TicketIssuer {
    /// Creates the issuer of the daemon `incarnation` on `host`.
    pub fn new(host: HostId, incarnation: Incarnation, settings: TicketSettings) -> Self {
        Self {
            host,
            incarnation,
            settings,
            last_sequence: 0,
            issued: HashMap::new(),
            by_age: VecDeque::new(),
            per_partner: HashMap::new(),
            answers: AnswerCache::new(settings.answer_bytes, settings.answers_bytes),
        }
    }

    /// Issues a ticket to `partner`.
    ///
    /// # Errors
    ///
    /// [`TooManyTickets`] if the partner's limit is reached.
    pub fn issue(&mut self, now_us: MonoTime, partner: &PartnerId) -> Result<Ticket, TooManyTickets> {
        self.expire(now_us);
        let count = self.per_partner.entry(partner.clone()).or_default();
        if *count >= self.settings.partner_tickets {
            return Err(TooManyTickets);
        }
        *count += 1;
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let start_by_us = now_us + self.settings.start_within_ms;
        self.issued.insert(
            sequence,
            IssuedTicket { partner: partner.clone(), start_by_us, state: TicketState::Unused },
        );
        self.by_age.push_back(sequence);
        Ok(Ticket { host: self.host.clone(), incarnation: self.incarnation, sequence })
    }

    /// Handles a request that carries a ticket. `Run` is returned once, unless the request is proven not to
    /// have run.
    pub fn begin(
        &mut self,
        now_us: MonoTime,
        ticket: &Ticket,
        partner: &PartnerId,
        digest: BodyDigest,
    ) -> TicketDecision {
        if ticket.host != self.host {
            return TicketDecision::OtherHost;
        }
        if ticket.incarnation != self.incarnation {
            return TicketDecision::IssuerReplaced;
        }
        if ticket.sequence == 0 || ticket.sequence > self.last_sequence {
            return TicketDecision::NotIssued;
        }
        // A ticket that is no longer retained may have run.
        let Some(issued) = self.issued.get_mut(&ticket.sequence) else {
            return TicketDecision::Unknown;
        };
        if issued.partner != *partner {
            return TicketDecision::NotIssued;
        }
        match issued.state {
            TicketState::Unused if issued.start_by_us <= now_us => TicketDecision::Expired,
            TicketState::Unused => {
                issued.state = TicketState::Running(digest);
                TicketDecision::Run
            }
            TicketState::Running(first) | TicketState::Answered(first) | TicketState::Unknown(first)
                if first != digest =>
            {
                TicketDecision::BodyMismatch
            }
            TicketState::Running(_) => TicketDecision::InProgress,
            TicketState::Unknown(_) => TicketDecision::Unknown,
            TicketState::Answered(_) => self
                .answers
                .get(&ticket.sequence)
                .map_or(TicketDecision::AnswerEvicted, |answer| TicketDecision::Answered(Arc::clone(answer))),
        }
    }

    /// Records how the request of a ticket ended. Only the first result counts.
    pub fn finish(&mut self, ticket: &Ticket, finished: RunOutcome) {
        if ticket.host != self.host || ticket.incarnation != self.incarnation {
            return;
        }
        let Some(issued) = self.issued.get_mut(&ticket.sequence) else {
            return;
        };
        let TicketState::Running(digest) = issued.state else { return };
        match finished {
            RunOutcome::NotRun => issued.state = TicketState::Unused,
            RunOutcome::Unknown => issued.state = TicketState::Unknown(digest),
            RunOutcome::Answered(answer) => {
                issued.state = TicketState::Answered(digest);
                if let Some(answer) = answer {
                    self.answers.insert(ticket.sequence, answer);
                }
            }
        }
    }

    fn expire(&mut self, now_us: MonoTime) {
        while let Some(&oldest) = self.by_age.front() {
            let Some(issued) = self.issued.get(&oldest) else {
                self.by_age.pop_front();
                continue;
            };
            let remove_at_us = issued.start_by_us + self.settings.remember_ms;
            if remove_at_us > now_us || matches!(issued.state, TicketState::Running(_)) {
                return;
            }
            self.remove(oldest);
        }
    }

    fn remove(&mut self, sequence: u64) {
        self.by_age.pop_front();
        self.answers.remove(&sequence);
        let Some(issued) = self.issued.remove(&sequence) else {
            return;
        };
        if let Some(count) = self.per_partner.get_mut(&issued.partner) {
            *count = count.saturating_sub(1);
        }
    }
}
