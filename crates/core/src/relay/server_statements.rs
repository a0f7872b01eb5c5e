//! What backend servers state about their availability in answers to this daemon.
//!
//! A statement is newer than the server list, which can lag for as long as the store is unavailable. That a server
//! is leaving holds until something proves that it no longer is: never the mere passage of time, and never a list
//! that merely repeats an older state. A rest holds until its end, whatever other answers arrive meanwhile.

use std::collections::HashMap;

use crate::ids::{BackendServerId, Lifetime};
use crate::sched::{Hold, HoldReason};
use crate::units::{Millis, MonoTime};

/// Maximum number of remembered servers that are no longer listed. An entry can return after an outage of the
/// store, so statements outlive it.
const UNLISTED_MAX: usize = 1_024;

/// Longest rest that a server is given. Without a bound, one absurd value would put a server out of use for ever.
pub const REST_MAX_MS: Millis = Millis(3_600_000);

/// Latest statements of each server that has made one.
#[derive(Clone, Debug, Default)]
pub struct ServerStatements {
    servers: HashMap<BackendServerId, Stated>,
}

/// Statements of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Stated {
    /// When it made its latest statement.
    at_us: MonoTime,
    /// The run that made the statements, as listed at that time.
    lifetime: Option<Lifetime>,
    leaving: Option<Leaving>,
    resting_until_us: MonoTime,
}

/// Statement of a server that it is leaving.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// Whether the server was asked, so that a later reply withdraws it.
    is_reply: bool,
    /// Whether the list has shown the server as leaving since the statement, or did at its time.
    is_listed_leaving: bool,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListedAvailability {
    /// Its current run; `None` where an id is never used again.
    pub lifetime: Option<Lifetime>,
    /// Whether the list shows it as leaving.
    pub is_leaving: bool,
}

impl Stated {
    /// Whether the list shows a later run of the server, which has stated nothing yet.
    fn is_outlived(&self, listed: ListedAvailability) -> bool {
        matches!((self.lifetime, listed.lifetime), (Some(stated), Some(current)) if stated < current)
    }

    fn hold(&self, now_us: MonoTime) -> Option<Hold> {
        if self.leaving.is_some() {
            return Some(Hold { reason: HoldReason::Leaving, until_us: None });
        }
        let is_resting = now_us < self.resting_until_us;
        is_resting.then_some(Hold { reason: HoldReason::Resting, until_us: Some(self.resting_until_us) })
    }
}

impl ServerStatements {
    /// Records that a server stated that it is leaving. Returns the hold if the statement is new.
    pub fn leaving(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        listed: ListedAvailability,
    ) -> Option<Hold> {
        self.state_leaving(now_us, server, listed, false)
    }

    /// Records that a server that was asked replied that it is leaving, until [`Self::withdraw_reply`]. Returns the hold if it
    /// is new.
    pub fn replied_leaving(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        listed: ListedAvailability,
    ) -> Option<Hold> {
        self.state_leaving(now_us, server, listed, true)
    }

    /// Records that a reply that a server is leaving no longer holds. Returns whether the server is available for that.
    pub fn withdraw_reply(&mut self, server: &BackendServerId) -> bool {
        let Some(stated) = self.servers.get_mut(server) else {
            return false;
        };
        stated.leaving.take_if(|leaving| leaving.is_reply).is_some()
    }

    fn state_leaving(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        listed: ListedAvailability,
        is_reply: bool,
    ) -> Option<Hold> {
        let stated = self.stated(now_us, server, listed);
        if let Some(leaving) = &mut stated.leaving {
            leaving.is_reply &= is_reply;
            return None;
        }
        stated.leaving = Some(Leaving { is_reply, is_listed_leaving: listed.is_leaving });
        Some(Hold { reason: HoldReason::Leaving, until_us: None })
    }

    /// Records that a server asked for a rest of `rest_ms` from now on. Returns the hold if it ends later than the
    /// rests that the server asked for before.
    pub fn rest(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        listed: ListedAvailability,
        rest_ms: Millis,
    ) -> Option<Hold> {
        let until_us = now_us + rest_ms.min(REST_MAX_MS);
        let stated = self.stated(now_us, server, listed);
        if until_us <= stated.resting_until_us.max(now_us) {
            return None;
        }
        stated.resting_until_us = until_us;
        Some(Hold { reason: HoldReason::Resting, until_us: Some(until_us) })
    }

    fn stated(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        listed: ListedAvailability,
    ) -> &mut Stated {
        let stated = self.servers.entry(server.clone()).or_default();
        stated.at_us = now_us;
        stated.lifetime = stated.lifetime.max(listed.lifetime);
        stated
    }

    /// The hold that follows from a server's statements: that it is leaving, or else the end of its rest.
    pub fn hold(&self, now_us: MonoTime, server: &BackendServerId) -> Option<Hold> {
        self.servers.get(server)?.hold(now_us)
    }

    /// All servers with a hold.
    pub fn holds(&self, now_us: MonoTime) -> Vec<(BackendServerId, Hold)> {
        let servers = self.servers.iter();
        servers.filter_map(|(server, stated)| Some((server.clone(), stated.hold(now_us)?))).collect()
    }

    /// Number of servers with a hold for this reason.
    pub fn count(&self, now_us: MonoTime, reason: HoldReason) -> usize {
        let holds = self.servers.values().filter_map(|stated| stated.hold(now_us));
        holds.filter(|hold| hold.reason == reason).count()
    }

    /// Applies a newer list. Returns the servers whose statements no longer hold: they have started anew, or the
    /// list has shown them as leaving since, and no longer does, so their shutdown was called off.
    pub fn adopt<List>(&mut self, now_us: MonoTime, list: List) -> Vec<BackendServerId>
    where
        List: Fn(&BackendServerId) -> Option<ListedAvailability>,
    {
        let mut available = Vec::new();
        for (server, stated) in &mut self.servers {
            let Some(listed) = list(server) else {
                continue;
            };
            if stated.is_outlived(listed) {
                *stated = Stated::default();
                available.push(server.clone());
            }
            let Some(leaving) = &mut stated.leaving else {
                continue;
            };
            leaving.is_listed_leaving |= listed.is_leaving;
            if leaving.is_listed_leaving && !listed.is_leaving {
                stated.leaving = None;
                available.push(server.clone());
            }
        }
        self.servers.retain(|_, stated| stated.hold(now_us).is_some());
        self.drop_oldest_unlisted(|server| list(server).is_some());
        available
    }

    fn drop_oldest_unlisted<IsListed>(&mut self, is_listed: IsListed)
    where
        IsListed: Fn(&BackendServerId) -> bool,
    {
        let unlisted = self.servers.iter().filter(|(server, _)| !is_listed(server));
        let mut unlisted: Vec<(MonoTime, BackendServerId)> =
            unlisted.map(|(server, stated)| (stated.at_us, server.clone())).collect();
        let excess = unlisted.len().saturating_sub(UNLISTED_MAX);
        unlisted.sort_unstable();
        for (_, server) in unlisted.drain(..excess) {
            self.servers.remove(&server);
        }
    }
}
