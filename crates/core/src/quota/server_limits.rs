//! Limits that backend servers state in their answers.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::ledger::LedgerSettings;
use super::limit::{Quota, QuotaBounds, QuotaUnit};
use crate::ids::BackendServerId;
use crate::retransmit::RetransmitQueue;
use crate::units::{Credit, CreditPerSecond, Micros, Millis, MonoTime};

/// Changes in one message. A message fits a datagram beside what else it holds.
const GOSSIP_MAX: usize = 16;

/// Window in which the requests at a server are counted.
const WINDOW_MS: Millis = Millis(4_000);

/// Part of the limit that daemons who stand in for the one in charge may grant beyond it in a window. Half of it may
/// reach the server; several may stand in at once.
const OVERSHOOT: f64 = 0.3;

/// Requests that may reach it beyond that in a window.
const SLACK: f64 = 5.0;

/// How a server's limit is kept, in the terms of a quota: it has no burst of its own.
pub fn server_limit(rate: CreditPerSecond) -> LedgerSettings {
    LedgerSettings {
        quota: Quota { unit: QuotaUnit::Requests, rate, burst: Credit::ZERO },
        bounds: QuotaBounds { window_ms: WINDOW_MS, overshoot: OVERSHOOT, slack: SLACK },
    }
}

/// The newest statement of a server, as daemons exchange it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LimitStatement {
    /// The server.
    pub server: BackendServerId,
    /// Requests that it takes from all daemons together, in thousandths; no limit where it is absent.
    pub rate: Option<CreditPerSecond>,
    /// Time since the server answered with it.
    pub age_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Stated {
    rate: Option<CreditPerSecond>,
    at_us: MonoTime,
}

/// The newest statement of each server that has ever stated a limit.
///
/// Load: servers in need that state, change and withdraw limits within seconds. Harm prevented: an older answer, or
/// another daemon's older word, that takes a newer statement back. So the newest counts, and a withdrawn limit is
/// remembered as long as its server is listed.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    stated: HashMap<BackendServerId, Stated>,
    /// Changes for the next messages; a daemon that misses all of them learns them from its own answers.
    pending: RetransmitQueue<BackendServerId>,
}

impl ServerLimits {
    /// A server answered this daemon, with a limit or without. Returns whether the limit changed.
    pub fn answered(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        rate: Option<CreditPerSecond>,
    ) -> bool {
        if rate.is_none() && !self.stated.contains_key(server) {
            return false;
        }
        let is_change = self.take(server, Stated { rate, at_us: now_us });
        if is_change {
            self.pending.retain(|known| known != server);
            self.pending.push(server.clone());
        }
        is_change
    }

    /// Merges a statement from another daemon. Returns whether the limit changed.
    pub fn merge(&mut self, now_us: MonoTime, statement: &LimitStatement) -> bool {
        let LimitStatement { ref server, rate, age_ms } = *statement;
        let at_us = MonoTime(now_us.0.saturating_sub(Micros::from(age_ms).0));
        let is_older = self.stated.get(server).is_some_and(|known| known.at_us >= at_us);
        !is_older && self.take(server, Stated { rate, at_us })
    }

    /// The limit of a server, if it states one.
    pub fn rate(&self, server: &BackendServerId) -> Option<CreditPerSecond> {
        self.stated.get(server)?.rate
    }

    /// The newest statement of a server, for telling others of it.
    pub fn statement(&self, now_us: MonoTime, server: &BackendServerId) -> Option<LimitStatement> {
        let stated = self.stated.get(server)?;
        let age_ms = now_us.since(stated.at_us).to_millis_ceil();
        Some(LimitStatement { server: server.clone(), rate: stated.rate, age_ms })
    }

    /// Servers that state a limit now.
    pub fn limited(&self) -> usize {
        self.stated.values().filter(|stated| stated.rate.is_some()).count()
    }

    /// What goes into the next message to the other daemons.
    pub fn gossip(&mut self, now_us: MonoTime) -> Vec<LimitStatement> {
        let due = self.pending.take_oldest(GOSSIP_MAX);
        due.iter().filter_map(|server| self.statement(now_us, server)).collect()
    }

    /// Forgets servers that are gone.
    pub fn retain<IsListed>(&mut self, is_listed: IsListed)
    where
        IsListed: Fn(&BackendServerId) -> bool,
    {
        self.stated.retain(|server, _| is_listed(server));
        self.pending.retain(is_listed);
    }

    fn take(&mut self, server: &BackendServerId, stated: Stated) -> bool {
        let before = self.stated.insert(server.clone(), stated);
        before.and_then(|before| before.rate) != stated.rate
    }
}
