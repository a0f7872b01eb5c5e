//! Tickets of this daemon's life. They need neither the log nor other daemons, so they work through any cut.

use std::sync::Arc;

use hibiscusvale_core::claim::{BodyDigest, RunOutcome, StoredAnswer};
use hibiscusvale_core::ids::{HostId, Incarnation, PartnerId};
use hibiscusvale_core::ticket::{Ticket, TicketDecision, TicketIssuer, TicketSettings, TooManyTickets};
use parking_lot::Mutex;

use crate::clock;

/// The daemon's tickets, shared by the traffic threads. The lock is held for a look-up only.
#[derive(Clone, Debug)]
pub struct Tickets {
    desk: Arc<Mutex<TicketIssuer>>,
}

/// What a caller's task is to do with a request that came with a ticket.
#[derive(Debug)]
pub enum TicketUse {
    /// Run it and report on the guard how it ended.
    Run(TicketGuard),
    /// Do not run it here; never [`TicketDecision::Run`].
    Settled(TicketDecision),
}

/// The right to run the request of a ticket. Dropping it without a word says that the request may have run.
#[derive(Debug)]
pub struct TicketGuard {
    tickets: Tickets,
    /// `None` once the end was reported: a ticket that did not run may be another request's by then.
    ticket: Option<Ticket>,
}

impl Tickets {
    /// The tickets of the daemon `incarnation` on `host`.
    pub fn new(host: HostId, incarnation: Incarnation, settings: TicketSettings) -> Self {
        Self { desk: Arc::new(Mutex::new(TicketIssuer::new(host, incarnation, settings))) }
    }

    /// Gives a ticket.
    ///
    /// # Errors
    ///
    /// [`TooManyTickets`] of this partner.
    pub fn give(&self, partner: &PartnerId) -> Result<Ticket, TooManyTickets> {
        self.desk.lock().issue(clock::now(), partner)
    }

    /// A request came with a ticket.
    pub fn begin(&self, ticket: &Ticket, partner: &PartnerId, digest: BodyDigest) -> TicketUse {
        match self.desk.lock().begin(clock::now(), ticket, partner, digest) {
            TicketDecision::Run => {
                TicketUse::Run(TicketGuard { tickets: self.clone(), ticket: Some(ticket.clone()) })
            }
            settled => TicketUse::Settled(settled),
        }
    }
}

impl TicketGuard {
    /// The server answered; `None` when the answer is not to be kept.
    pub fn answered(mut self, answer: Option<StoredAnswer>) {
        self.finish(RunOutcome::Answered(answer.map(Arc::new)));
    }

    /// It is proven that the request did not run. The ticket can be used again.
    pub fn not_run(mut self) {
        self.finish(RunOutcome::NotRun);
    }

    /// The request may have run.
    pub fn unknown(mut self) {
        self.finish(RunOutcome::Unknown);
    }

    fn finish(&mut self, finished: RunOutcome) {
        if let Some(ticket) = self.ticket.take() {
            self.tickets.desk.lock().finish(&ticket, finished);
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.finish(RunOutcome::Unknown);
    }
}
