//! Questions of the schedulers to other daemons.

use hibiscusvale_core::allowance::LoanRequest;
use hibiscusvale_core::units::Credit;
use tokio::sync::mpsc;

/// A question for a loan of further tries at one service.
#[derive(Clone, Debug)]
pub struct ServiceAsk {
    /// The service.
    pub service: String,
    /// The question.
    pub ask: LoanRequest,
}

/// Where questions go; nowhere for schedulers that share no allowance.
#[derive(Clone, Debug, Default)]
pub struct Asks(Option<mpsc::UnboundedSender<ServiceAsk>>);

impl Asks {
    /// Asks, and the end where the questions come out.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<ServiceAsk>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(Some(sender)), receiver)
    }

    pub(crate) fn send(&self, service: &str, ask: LoanRequest) {
        if let Some(sender) = &self.0 {
            // Without the talk between daemons there is nobody to ask; the request ends without a loan.
            let _ = sender.send(ServiceAsk { service: service.to_owned(), ask });
        }
    }
}

/// What is said of one service; nothing is no credit.
pub(crate) fn spare_of(spares: &[(String, Credit)], service: &str) -> Credit {
    spares.iter().find(|(name, _)| name == service).map_or(Credit::ZERO, |(_, spare)| *spare)
}
