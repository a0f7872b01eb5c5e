//! Rate limits that backend servers state in their answers.

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::quota::{CREDIT_PER_UNIT, LimitStatement, ServerLimits};
use hibiscusvale_core::sched::LimitReached;
use hibiscusvale_core::units::{Credit, CreditPerSecond};
use parking_lot::Mutex;

use super::pacing::Urgency;
use super::quotas::QuotaOwner;
use super::state::RelayState;
use crate::clock;
use hibiscusvale_core::servers::Servers;

/// Limits that servers have stated to this daemon or to others.
#[derive(Debug, Default)]
pub struct StatedLimits {
    limits: Mutex<ServerLimits>,
}

impl StatedLimits {
    /// Records an answer of a server, with or without a limit.
    pub fn record_answer(&self, state: &RelayState, server: &BackendServerId, rate: Option<CreditPerSecond>) {
        if self.limits.lock().answered(clock::now(), server, rate) {
            Self::apply(state, server, rate, "answer");
            state.peers.schedule_message(Urgency::Soon);
        }
    }

    /// Charges `requests` to a server's limit, if it states one.
    ///
    /// # Errors
    ///
    /// The limit and the time until it admits another request, when it is used up; nothing may be sent.
    pub async fn admit(
        &self,
        state: &RelayState,
        server: &BackendServerId,
        requests: u64,
    ) -> Result<(), LimitReached> {
        let Some(rate) = self.limits.lock().rate(server) else {
            return Ok(());
        };
        let owner = QuotaOwner::Server(server.clone());
        let charged = state.quotas.charge(state, &owner, Credit(CREDIT_PER_UNIT.0 * requests)).await;
        charged.map_err(|refusal| LimitReached { rate, wait_ms: refusal.retry_after_ms.unwrap_or_default() })
    }

    /// The latest statement of a server.
    pub fn statement(&self, server: &BackendServerId) -> Option<LimitStatement> {
        self.limits.lock().statement(clock::now(), server)
    }

    /// Merges statements from another daemon.
    pub fn merge(&self, state: &RelayState, statements: &[LimitStatement]) {
        for statement in statements {
            if self.limits.lock().merge(clock::now(), statement) {
                Self::apply(state, &statement.server, statement.rate, "daemon");
            }
        }
    }

    /// Statements for the next message to the other daemons.
    pub fn gossip(&self) -> Vec<LimitStatement> {
        self.limits.lock().gossip(clock::now())
    }

    /// Number of servers that state a limit now.
    pub fn limited(&self) -> usize {
        self.limits.lock().limited()
    }

    /// Removes the limits of servers that are no longer listed or have started anew.
    pub fn adopt(&self, state: &RelayState, before: &Servers, listed: &Servers) {
        let mut limits = self.limits.lock();
        for server in listed.changed_since(before) {
            if before.get(&server.id).is_some_and(|before| before.lifetime != server.lifetime) {
                limits.forget(&server.id);
            }
        }
        limits.retain(|server| listed.contains_key(server));
        state.quotas.retain_servers(|server| limits.has_stated(server));
    }

    fn apply(
        state: &RelayState,
        server: &BackendServerId,
        rate: Option<CreditPerSecond>,
        source: &'static str,
    ) {
        state.log.server_limited(server, rate, source);
        if let Some(rate) = rate {
            state.quotas.configure_server(server, rate);
        }
    }
}
