//! Loans of further tries between daemons: datagrams, for one that comes late is of no use any more.

use std::net::SocketAddr;

use hibiscusvale_core::ids::{HostId, Incarnation};
use hibiscusvale_core::units::Credit;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::exchange::send;
use super::message::Datagram;
use super::pace::Urgency;
use super::state::RelayState;
use crate::dispatch::ServiceAsk;

/// A daemon asks another one for a loan.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoanQuestion {
    /// Life of the daemon that asks.
    incarnation: Incarnation,
    service: String,
    number: u64,
    credit: Credit,
}

/// The answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoanAnswer {
    /// Life of the daemon that asked: a later one must not take the loan for its own, for it counts its questions anew.
    incarnation: Incarnation,
    service: String,
    number: u64,
    credit: Credit,
    /// What the lender has left.
    spare: Credit,
}

/// What a daemon could lend, by service.
pub type Spares = Vec<(String, Credit)>;

/// Sends the schedulers' questions, for as long as the daemon runs.
pub async fn ask(socket: &UdpSocket, mut asks: mpsc::UnboundedReceiver<ServiceAsk>, state: &RelayState) {
    while let Some(ServiceAsk { service, ask }) = asks.recv().await {
        let Some(lender) = state.peers.address_of(&ask.lender) else {
            continue;
        };
        let question =
            LoanQuestion { incarnation: state.incarnation, service, number: ask.number, credit: ask.credit };
        send(socket, lender, &Datagram::LoanQuestion(question)).await;
    }
}

/// Lends what can be lent, and says so.
pub async fn answer(socket: &UdpSocket, asker: SocketAddr, question: LoanQuestion, state: &RelayState) {
    let LoanQuestion { incarnation, service, number, credit } = question;
    let lent = state.engine_hub.lend(&service, credit).or_else(|| state.plain_hub.lend(&service, credit));
    let Some((credit, spare)) = lent else {
        return;
    };
    let answer = LoanAnswer { incarnation, service, number, credit, spare };
    send(socket, asker, &Datagram::LoanAnswer(answer)).await;
    // In a storm others would go on asking whoever has lent everything already.
    state.peers.touch(Urgency::Later);
}

/// Takes a loan.
pub fn take(answer: &LoanAnswer, state: &RelayState) {
    if answer.incarnation == state.incarnation {
        let LoanAnswer { service, number, credit, spare, .. } = answer;
        state.engine_hub.lent(service, *number, *credit, *spare);
        state.plain_hub.lent(service, *number, *credit, *spare);
    }
}

/// What this daemon could lend.
pub fn spares(state: &RelayState) -> Spares {
    let mut spares = state.engine_hub.spares();
    spares.extend(state.plain_hub.spares());
    spares
}

/// Takes what another daemon could lend.
pub fn told(host: &HostId, spares: &Spares, state: &RelayState) {
    state.engine_hub.told_spares(host, spares);
    state.plain_hub.told_spares(host, spares);
}
