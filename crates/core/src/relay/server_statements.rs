//! What backend servers state about their availability in answers to this daemon.
//!
//! A statement is newer than the server list, which can lag for as long as the store is unavailable, so it holds
//! until something proves that it no longer does: never the mere passage of time, and never a list that merely
//! repeats an older state.

use std::collections::HashMap;

use crate::ids::BackendServerId;
use crate::sched::{Hold, HoldReason};
use crate::units::MonoTime;

/// Maximum number of remembered servers that are no longer listed. An entry can return after an outage of the
/// store, so statements outlive it.
const UNLISTED_MAX: usize = 1_024;

/// Latest statements of each server that has made one.
#[derive(Clone, Debug, Default)]
pub struct ServerStatements {
    leaving: HashMap<BackendServerId, Leaving>,
}

/// Statement of a server that it is leaving.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    since_us: MonoTime,
    /// Whether the list has shown the server as leaving since the statement, or did at its time.
    is_listed_leaving: bool,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListedAvailability {
    /// Whether the list shows it as leaving.
    pub is_leaving: bool,
}

impl ServerStatements {
    /// Records that a server stated that it is leaving. Returns the hold if the statement is new.
    pub fn leaving(
        &mut self,
        now_us: MonoTime,
        server: &BackendServerId,
        listed: ListedAvailability,
    ) -> Option<Hold> {
        if self.leaving.contains_key(server) {
            return None;
        }
        let statement = Leaving { since_us: now_us, is_listed_leaving: listed.is_leaving };
        self.leaving.insert(server.clone(), statement);
        self.hold(server)
    }

    /// The hold that follows from a server's statements.
    pub fn hold(&self, server: &BackendServerId) -> Option<Hold> {
        let is_leaving = self.leaving.contains_key(server);
        is_leaving.then_some(Hold { reason: HoldReason::Leaving, until_us: None })
    }

    /// All servers with a hold.
    pub fn holds(&self) -> Vec<(BackendServerId, Hold)> {
        self.leaving.keys().filter_map(|server| Some((server.clone(), self.hold(server)?))).collect()
    }

    /// Number of servers that have stated that they are leaving.
    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Applies a newer list. Returns the servers whose statements no longer hold: the list has shown them as
    /// leaving since, and no longer does, so their shutdown was called off.
    pub fn adopt<List>(&mut self, list: List) -> Vec<BackendServerId>
    where
        List: Fn(&BackendServerId) -> Option<ListedAvailability>,
    {
        let mut available = Vec::new();
        self.leaving.retain(|server, statement| {
            let Some(listed) = list(server) else {
                return true;
            };
            statement.is_listed_leaving |= listed.is_leaving;
            let is_called_off = statement.is_listed_leaving && !listed.is_leaving;
            if is_called_off {
                available.push(server.clone());
            }
            !is_called_off
        });
        self.drop_oldest_unlisted(|server| list(server).is_some());
        available
    }

    fn drop_oldest_unlisted<IsListed>(&mut self, is_listed: IsListed)
    where
        IsListed: Fn(&BackendServerId) -> bool,
    {
        let unlisted = self.leaving.iter().filter(|(server, _)| !is_listed(server));
        let mut unlisted: Vec<(MonoTime, BackendServerId)> =
            unlisted.map(|(server, statement)| (statement.since_us, server.clone())).collect();
        let excess = unlisted.len().saturating_sub(UNLISTED_MAX);
        unlisted.sort_unstable();
        for (_, server) in unlisted.drain(..excess) {
            self.leaving.remove(&server);
        }
    }
}
