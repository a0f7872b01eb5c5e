//! Loans of retry credit between daemons. They are datagrams, since a late one is of no use.

use std::net::SocketAddr;

use hibiscusvale_core::ids::{HostId, Incarnation};
use hibiscusvale_core::units::Credit;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::exchange::send;
use super::message::Datagram;
use super::pacing::Urgency;
use super::state::RelayState;
use crate::dispatch::ServiceLoanRequest;

/// Request for a loan from another daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoanRequest {
    /// Incarnation of the requesting daemon.
    incarnation: Incarnation,
    service: String,
    number: u64,
    credit: Credit,
}

/// Reply to a loan request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoanReply {
    /// Incarnation of the requesting daemon. A later incarnation numbers its requests anew and must not
    /// accept the loan.
    incarnation: Incarnation,
    service: String,
    number: u64,
    credit: Credit,
    /// Lendable credit that the lender has left.
    lendable: Credit,
}

/// Credit that a daemon can lend, by service.
pub type LendableCredits = Vec<(String, Credit)>;

/// Sends the schedulers' loan requests, for as long as the daemon runs.
pub async fn send_requests(
    socket: &UdpSocket,
    mut loan_requests: mpsc::UnboundedReceiver<ServiceLoanRequest>,
    state: &RelayState,
) {
    while let Some(ServiceLoanRequest { service, loan }) = loan_requests.recv().await {
        let Some(lender) = state.peers.address_of(&loan.lender) else {
            continue;
        };
        let request =
            LoanRequest { incarnation: state.incarnation, service, number: loan.number, credit: loan.credit };
        send(socket, lender, &Datagram::LoanRequest(request)).await;
    }
}

/// Lends what is available and replies.
pub async fn handle_request(
    socket: &UdpSocket,
    requester: SocketAddr,
    request: LoanRequest,
    state: &RelayState,
) {
    let LoanRequest { incarnation, service, number, credit } = request;
    let lent =
        state.engine_pools.lend(&service, credit).or_else(|| state.plain_schedulers.lend(&service, credit));
    let Some((credit, lendable)) = lent else {
        return;
    };
    let reply = LoanReply { incarnation, service, number, credit, lendable };
    send(socket, requester, &Datagram::LoanReply(reply)).await;
    // Announces the reduced lendable credit: under heavy retries others would otherwise keep asking a daemon
    // that has lent everything.
    state.peers.schedule_message(Urgency::Later);
}

/// Adds a loan to the local credit.
pub fn handle_reply(reply: &LoanReply, state: &RelayState) {
    if reply.incarnation == state.incarnation {
        let LoanReply { service, number, credit, lendable, .. } = reply;
        state.engine_pools.lent(service, *number, *credit, *lendable);
        state.plain_schedulers.lent(service, *number, *credit, *lendable);
    }
}

/// Credit that this daemon can lend.
pub fn lendable(state: &RelayState) -> LendableCredits {
    let mut lendable = state.engine_pools.lendable();
    lendable.extend(state.plain_schedulers.lendable());
    lendable
}

/// Records the lendable credit of another daemon.
pub fn update_lender(host: &HostId, lendable: &LendableCredits, state: &RelayState) {
    state.engine_pools.update_lender(host, lendable);
    state.plain_schedulers.update_lender(host, lendable);
}
