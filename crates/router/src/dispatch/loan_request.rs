//! Requests by the schedulers for loans of retry credit from other daemons.

use hibiscusvale_core::retry_budget::LoanRequest;
use hibiscusvale_core::units::Credit;
use tokio::sync::mpsc;

/// A request for a loan of retry credit for one service.
#[derive(Clone, Debug)]
pub struct ServiceLoanRequest {
    /// Name of the service.
    pub service: String,
    /// The requested loan.
    pub loan: LoanRequest,
}

/// Sender of loan requests; drops them for schedulers that do not share a retry budget.
#[derive(Clone, Debug, Default)]
pub struct LoanRequestSender(Option<mpsc::UnboundedSender<ServiceLoanRequest>>);

impl LoanRequestSender {
    /// Creates a sender and the receiver of its loan requests.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<ServiceLoanRequest>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(Some(sender)), receiver)
    }

    pub(crate) fn send(&self, service: &str, loan: LoanRequest) {
        if let Some(sender) = &self.0 {
            // The receiver is gone when the exchange between daemons has stopped; the request then ends
            // without a loan.
            let _ = sender.send(ServiceLoanRequest { service: service.to_owned(), loan });
        }
    }
}

/// The credit listed for a service, or zero if it is not listed.
pub(crate) fn credit_of(credits: &[(String, Credit)], service: &str) -> Credit {
    credits.iter().find(|(name, _)| name == service).map_or(Credit::ZERO, |(_, credit)| *credit)
}
