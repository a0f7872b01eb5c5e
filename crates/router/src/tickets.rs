//! Tickets issued by this incarnation of the daemon. They depend neither on the log nor on other daemons, so they
//! work during any network partition.

use std::sync::Arc;

use hibiscusvale_core::claim::{BodyDigest, RunOutcome, StoredAnswer};
use hibiscusvale_core::ids::{HostId, Incarnation, PartnerId};
use hibiscusvale_core::ticket::{Ticket, TicketDecision, TicketIssuer, TicketSettings, TooManyTickets};
use parking_lot::Mutex;

use crate::clock;

/// The daemon's tickets, shared by the traffic threads. The lock is held only for map operations.
#[derive(Clone, Debug)]
pub struct Tickets {
    issuer: Arc<Mutex<TicketIssuer>>,
}

/// Decision on a request that carries a ticket.
#[derive(Debug)]
pub enum TicketUse {
    /// Run the request and report the outcome on the guard.
    Run(TicketGuard),
    /// Do not run the request here. Never [`TicketDecision::Run`].
    Settled(TicketDecision),
}

/// Permission to run the request of a ticket. Dropping it without a report records that the request may have run.
#[derive(Debug)]
pub struct TicketGuard {
    tickets: Tickets,
    /// `None` once the outcome was reported: after a report of not run, the ticket may belong to another request.
    ticket: Option<Ticket>,
}

impl Tickets {
    /// Creates the ticket issuer of the daemon `incarnation` on `host`.
    pub fn new(host: HostId, incarnation: Incarnation, settings: TicketSettings) -> Self {
        Self { issuer: Arc::new(Mutex::new(TicketIssuer::new(host, incarnation, settings))) }
    }

    /// Issues a ticket to `partner`.
    ///
    /// # Errors
    ///
    /// [`TooManyTickets`] if the partner has reached its limit.
    pub fn issue(&self, partner: &PartnerId) -> Result<Ticket, TooManyTickets> {
        self.issuer.lock().issue(clock::now(), partner)
    }

    /// Starts a request that carries `ticket`.
    pub fn begin(&self, ticket: &Ticket, partner: &PartnerId, digest: BodyDigest) -> TicketUse {
        match self.issuer.lock().begin(clock::now(), ticket, partner, digest) {
            TicketDecision::Run => {
                TicketUse::Run(TicketGuard { tickets: self.clone(), ticket: Some(ticket.clone()) })
            }
            settled => TicketUse::Settled(settled),
        }
    }
}

impl TicketGuard {
    /// Reports that the server answered; `None` if the answer is not to be stored.
    pub fn answered(mut self, answer: Option<StoredAnswer>) {
        self.finish(RunOutcome::Answered(answer.map(Arc::new)));
    }

    /// Reports that the request certainly did not run. The ticket can be used again.
    pub fn not_run(mut self) {
        self.finish(RunOutcome::NotRun);
    }

    /// Reports that the request may have run.
    pub fn unknown(mut self) {
        self.finish(RunOutcome::Unknown);
    }

    fn finish(&mut self, outcome: RunOutcome) {
        if let Some(ticket) = self.ticket.take() {
            self.tickets.issuer.lock().finish(&ticket, outcome);
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.finish(RunOutcome::Unknown);
    }
}
