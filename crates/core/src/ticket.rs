//! Tickets: a caller asks one daemon for a ticket first, and only that life of that daemon may run the request.
//!
//! A ticket needs no agreement among daemons, so it holds through any cut and any outage of the log. Its
//! price is that nobody but the daemon which gave it can serve it.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::claim::{AnswerMemory, BodyDigest, FinishedAs, StoredAnswer};
use crate::ids::{HostId, Incarnation, ParseIdError, PartnerId};
use crate::units::{Bytes, Millis, MonoTime};

/// Separates the parts of a ticket's text; no host's name holds it.
const SEPARATOR: char = '~';

/// Names the daemon's life that alone may run a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// The host that the daemon runs on.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counter in that life.
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

/// Bounds on tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketSettings {
    /// Time from the ticket to the start of its request.
    pub start_within_ms: Millis,
    /// Time that the end of its request is remembered after that.
    pub remember_ms: Millis,
    /// Tickets that one partner may have outstanding or remembered; another partner's flood takes none of them.
    pub partner_tickets: usize,
    /// Largest answer kept for second callers.
    pub answer_bytes: Bytes,
    /// All answers kept for second callers.
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

/// A partner has as many tickets as it may.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("partner has as many tickets as it may have")]
pub struct TooManyTickets;

/// What to do with a request that came with a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketDecision {
    /// Run it, once.
    Run,
    /// Its request still runs.
    InProgress,
    /// Its request was answered so.
    Answered(Arc<StoredAnswer>),
    /// Its request was answered; the answer is no longer kept.
    AnswerGone,
    /// Its request may have run.
    Unknown,
    /// It was used for another request.
    OtherBody,
    /// It ran out before a request came. Nothing ran.
    Expired,
    /// This daemon did not give it to this partner. Nothing ran.
    NotGiven,
    /// Another daemon gave it: only that one can run the request or say what became of it.
    Elsewhere,
    /// An earlier life of this host's daemon gave it, and with it went the knowledge of what ran.
    HolderGone,
}

#[derive(Clone, Debug)]
enum Use {
    Unused,
    Running(BodyDigest),
    Answered(BodyDigest),
    Unknown(BodyDigest),
}

#[derive(Clone, Debug)]
struct Given {
    partner: PartnerId,
    start_by_us: MonoTime,
    used: Use,
}

/// The tickets that one daemon's life has given.
#[derive(Debug)]
pub struct TicketDesk {
    host: HostId,
    incarnation: Incarnation,
    settings: TicketSettings,
    last_sequence: u64,
    given: HashMap<u64, Given>,
    by_age: VecDeque<u64>,
    per_partner: HashMap<PartnerId, usize>,
    answers: AnswerMemory<u64>,
}

impl TicketDesk {
    /// The desk of the daemon `incarnation` on `host`.
    pub fn new(host: HostId, incarnation: Incarnation, settings: TicketSettings) -> Self {
        Self {
            host,
            incarnation,
            settings,
            last_sequence: 0,
            given: HashMap::new(),
            by_age: VecDeque::new(),
            per_partner: HashMap::new(),
            answers: AnswerMemory::new(settings.answer_bytes, settings.answers_bytes),
        }
    }

    /// Gives a ticket.
    ///
    /// # Errors
    ///
    /// [`TooManyTickets`].
    pub fn give(&mut self, now_us: MonoTime, partner: &PartnerId) -> Result<Ticket, TooManyTickets> {
        self.expire(now_us);
        let count = self.per_partner.entry(partner.clone()).or_default();
        if *count >= self.settings.partner_tickets {
            return Err(TooManyTickets);
        }
        *count += 1;
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let start_by_us = now_us + self.settings.start_within_ms;
        self.given.insert(sequence, Given { partner: partner.clone(), start_by_us, used: Use::Unused });
        self.by_age.push_back(sequence);
        Ok(Ticket { host: self.host.clone(), incarnation: self.incarnation, sequence })
    }

    /// A request came with a ticket. `Run` is said once, until the request is proven not to have run.
    pub fn begin(
        &mut self,
        now_us: MonoTime,
        ticket: &Ticket,
        partner: &PartnerId,
        digest: BodyDigest,
    ) -> TicketDecision {
        if ticket.host != self.host {
            return TicketDecision::Elsewhere;
        }
        if ticket.incarnation != self.incarnation {
            return TicketDecision::HolderGone;
        }
        if ticket.sequence == 0 || ticket.sequence > self.last_sequence {
            return TicketDecision::NotGiven;
        }
        // What is no longer remembered may have run.
        let Some(given) = self.given.get_mut(&ticket.sequence) else {
            return TicketDecision::Unknown;
        };
        if given.partner != *partner {
            return TicketDecision::NotGiven;
        }
        match given.used {
            Use::Unused if given.start_by_us <= now_us => TicketDecision::Expired,
            Use::Unused => {
                given.used = Use::Running(digest);
                TicketDecision::Run
            }
            Use::Running(first) | Use::Answered(first) | Use::Unknown(first) if first != digest => {
                TicketDecision::OtherBody
            }
            Use::Running(_) => TicketDecision::InProgress,
            Use::Unknown(_) => TicketDecision::Unknown,
            Use::Answered(_) => self
                .answers
                .get(&ticket.sequence)
                .map_or(TicketDecision::AnswerGone, |answer| TicketDecision::Answered(Arc::clone(answer))),
        }
    }

    /// The request of a ticket ended. Only the first end counts.
    pub fn finish(&mut self, ticket: &Ticket, finished: FinishedAs) {
        if ticket.host != self.host || ticket.incarnation != self.incarnation {
            return;
        }
        let Some(given) = self.given.get_mut(&ticket.sequence) else {
            return;
        };
        let Use::Running(digest) = given.used else { return };
        match finished {
            FinishedAs::NotRun => given.used = Use::Unused,
            FinishedAs::Unknown => given.used = Use::Unknown(digest),
            FinishedAs::Answered(answer) => {
                given.used = Use::Answered(digest);
                if let Some(answer) = answer {
                    self.answers.keep(ticket.sequence, answer);
                }
            }
        }
    }

    fn expire(&mut self, now_us: MonoTime) {
        while let Some(&oldest) = self.by_age.front() {
            let Some(given) = self.given.get(&oldest) else {
                self.by_age.pop_front();
                continue;
            };
            let forget_at_us = given.start_by_us + self.settings.remember_ms;
            if forget_at_us > now_us || matches!(given.used, Use::Running(_)) {
                return;
            }
            self.forget(oldest);
        }
    }

    fn forget(&mut self, sequence: u64) {
        self.by_age.pop_front();
        self.answers.forget(&sequence);
        let Some(given) = self.given.remove(&sequence) else {
            return;
        };
        if let Some(count) = self.per_partner.get_mut(&given.partner) {
            *count = count.saturating_sub(1);
        }
    }
}
