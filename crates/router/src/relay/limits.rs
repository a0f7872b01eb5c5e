//! Limits that backend servers state in their answers.

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::quota::{LimitStatement, ServerLimits};
use hibiscusvale_core::units::CreditPerSecond;
use parking_lot::Mutex;

use super::pace::Urgency;
use super::state::RelayState;
use crate::clock;
use crate::servers::Servers;

/// What the servers have stated, to this daemon or to others.
#[derive(Debug, Default)]
pub struct LimitHub {
    limits: Mutex<ServerLimits>,
}

impl LimitHub {
    /// A server answered, with a limit or without.
    pub fn answered(&self, state: &RelayState, server: &BackendServerId, rate: Option<CreditPerSecond>) {
        if self.limits.lock().answered(clock::now(), server, rate) {
            state.log.server_limited(server, rate, "answer");
            state.peers.touch(Urgency::Soon);
        }
    }

    /// Takes what another daemon says of servers.
    pub fn heard(&self, state: &RelayState, statements: &[LimitStatement]) {
        for statement in statements {
            if self.limits.lock().heard(clock::now(), statement) {
                state.log.server_limited(&statement.server, statement.rate, "daemon");
            }
        }
    }

    /// What goes into the next message to the other daemons.
    pub fn gossip(&self) -> Vec<LimitStatement> {
        self.limits.lock().gossip(clock::now())
    }

    /// Servers that state a limit now.
    pub fn limited(&self) -> usize {
        self.limits.lock().limited()
    }

    /// Forgets servers that are not listed any more.
    pub fn adopt(&self, listed: &Servers) {
        self.limits.lock().retain(|server| listed.contains_key(server));
    }
}
