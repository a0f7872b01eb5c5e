//! Request limits that backend servers state in their responses.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::ledger::LedgerSettings;
use super::limit::{Quota, QuotaBounds, QuotaUnit};
use crate::ids::BackendServerId;
use crate::retransmit::RetransmitQueue;
use crate::units::{Credit, CreditPerSecond, Micros, Millis, MonoTime};

/// Maximum number of statements per message, so that it fits a datagram together with its other contents.
const GOSSIP_STATEMENTS_MAX: usize = 16;

/// Window in which the requests to a server are counted.
const WINDOW_MS: Millis = Millis(4_000);

/// Fraction of the limit that standby daemons may grant beyond it in a window. Several standbys may be active
/// at once; in total, 1.5 times the limit may reach the server.
const OVERSHOOT_FRACTION: f64 = 0.3;

/// Additional requests that may reach a server per window.
const SLACK_REQUESTS: f64 = 5.0;

/// Ledger settings that enforce the limit of a server; such a limit has no burst.
pub fn server_limit_settings(rate: CreditPerSecond) -> LedgerSettings {
    LedgerSettings {
        quota: Quota { unit: QuotaUnit::Requests, rate, burst: Credit::ZERO },
        bounds: QuotaBounds { window_ms: WINDOW_MS, overshoot: OVERSHOOT_FRACTION, slack: SLACK_REQUESTS },
    }
}

/// Latest limit of a server, as exchanged between daemons.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LimitStatement {
    /// Server that stated the limit.
    pub server: BackendServerId,
    /// Thousandths of a request per second, from all daemons together; `None` if the limit was withdrawn.
    pub rate: Option<CreditPerSecond>,
    /// Time since the server sent the limit.
    pub age_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    rate: Option<CreditPerSecond>,
    at_us: MonoTime,
}

/// Latest limit of each server that has ever stated one.
///
/// Overloaded servers state, change and withdraw limits within seconds, and a delayed response or an outdated
/// message of another daemon must not override a newer limit. The newest statement therefore wins, and a
/// withdrawn limit is remembered as long as its server is listed.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    known: HashMap<BackendServerId, KnownLimit>,
    /// Changes to send with the next messages. A daemon that misses all of them learns the limit from its own
    /// responses.
    pending: RetransmitQueue<BackendServerId>,
}

impl ServerLimits {
    /// Records the limit in a server's response, or its absence. Returns whether the limit changed.
    pub fn answered(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        rate: Option<CreditPerSecond>,
    ) -> bool {
        if rate.is_none() && !self.known.contains_key(server) {
            return false;
        }
        let is_change = self.store(server, KnownLimit { rate, at_us: now_us });
        if is_change {
            self.pending.retain(|pending| pending != server);
            self.pending.push(server.clone());
        }
        is_change
    }

    /// Merges a statement of another daemon. Returns whether the limit changed.
    pub fn merge(&mut self, now_us: MonoTime, statement: &LimitStatement) -> bool {
        let LimitStatement { ref server, rate, age_ms } = *statement;
        let at_us = MonoTime(now_us.0.saturating_sub(Micros::from(age_ms).0));
        let is_stale = self.known.get(server).is_some_and(|limit| limit.at_us >= at_us);
        !is_stale && self.store(server, KnownLimit { rate, at_us })
    }

    /// Limit of a server; `None` if it states none.
    pub fn rate(&self, server: &BackendServerId) -> Option<CreditPerSecond> {
        self.known.get(server)?.rate
    }

    /// Latest statement of a server, to send to other daemons. `None` if the server never stated a limit.
    pub fn statement(&self, now_us: MonoTime, server: &BackendServerId) -> Option<LimitStatement> {
        let limit = self.known.get(server)?;
        let age_ms = now_us.since(limit.at_us).to_millis_ceil();
        Some(LimitStatement { server: server.clone(), rate: limit.rate, age_ms })
    }

    /// Number of servers that currently state a limit.
    pub fn limited(&self) -> usize {
        self.known.values().filter(|limit| limit.rate.is_some()).count()
    }

    /// Statements to send with the next message to the other daemons.
    pub fn gossip(&mut self, now_us: MonoTime) -> Vec<LimitStatement> {
        let batch = self.pending.take_oldest(GOSSIP_STATEMENTS_MAX);
        batch.iter().filter_map(|server| self.statement(now_us, server)).collect()
    }

    /// Whether a server has ever stated a limit, even if it was withdrawn.
    pub fn has_stated(&self, server: &BackendServerId) -> bool {
        self.known.contains_key(server)
    }

    /// Removes the limit of a server that has started anew.
    pub fn forget(&mut self, server: &BackendServerId) {
        self.known.remove(server);
        self.pending.retain(|pending| pending != server);
    }

    /// Removes servers that are no longer listed.
    pub fn retain<IsListed>(&mut self, is_listed: IsListed)
    where
        IsListed: Fn(&BackendServerId) -> bool,
    {
        self.known.retain(|server, _| is_listed(server));
        self.pending.retain(is_listed);
    }

    fn store(&mut self, server: &BackendServerId, limit: KnownLimit) -> bool {
        let previous = self.known.insert(server.clone(), limit);
        previous.and_then(|previous| previous.rate) != limit.rate
    }
}
