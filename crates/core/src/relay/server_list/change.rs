//! Propagation of server changes from daemon to daemon.
//!
//! Servers come, go or change their role hundreds of times a day, and with 87 daemons each change would cost 87 calls to the
//! platform. So a daemon that read a change puts it into its next messages, with the versions before and after it. A daemon
//! at the version before is up to date with it; any other notices that it is behind and requests the changes since its own
//! version.
//!
//! A change from a read of records is complete: it brings each list between its versions up to date. One from a whole list, or
//! from two lists that turn out to be the same, is net: it is the difference of the two ends, and what happened in between and
//! was undone is unknown.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::ServerRecord;
use crate::retransmit::RetransmitQueue;

/// Maximum number of servers that a change in a message may name. Daemons that are behind request larger changes.
const SERVERS_PER_CHANGE_MAX: usize = 24;

/// Maximum number of servers that all changes in a message may name together, so that the message fits into a datagram.
const SERVERS_PER_MESSAGE_MAX: usize = 40;

/// Maximum number of servers that the changes in the history name together. Beyond that a full list is hardly larger.
const SERVERS_IN_HISTORY_MAX: usize = 2_048;

/// A change of the server list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerChange {
    /// Version of the list before the change.
    from: u64,
    /// Version of the list after the change.
    to: u64,
    records: Vec<ServerRecord>,
    /// Whether servers that changed and changed back between the two versions may be missing.
    is_net: bool,
}

impl ServerChange {
    /// The change between two versions. `records` are the newest ones of all servers but those that each list from one version
    /// to the other shows alike.
    pub fn complete(from: u64, to: u64, records: Vec<ServerRecord>) -> Self {
        Self { from, to, records, is_net: false }
    }

    /// The difference between the lists at two versions.
    pub fn net(from: u64, to: u64, records: Vec<ServerRecord>) -> Self {
        Self { from, to, records, is_net: true }
    }

    /// Version of the list before the change.
    pub fn from(&self) -> u64 {
        self.from
    }

    /// Version of the list after the change.
    pub fn to(&self) -> u64 {
        self.to
    }

    /// Whether servers that changed and changed back between the two versions may be missing.
    pub fn is_net(&self) -> bool {
        self.is_net
    }

    /// The records that it brings, one a server.
    pub fn records(&self) -> &[ServerRecord] {
        &self.records
    }

    /// Whether it names servers, so that it is more than a newer version.
    pub fn names_servers(&self) -> bool {
        !self.records.is_empty()
    }

    /// Whether it brings a list of this version up to date.
    pub fn applies_to(&self, version: u64) -> bool {
        if self.is_net { version == self.from } else { (self.from..=self.to).contains(&version) }
    }
}

/// Server changes for the other daemons: those pending for the next messages, and a history for requests.
#[derive(Clone, Debug, Default)]
pub struct ServerChangeLog {
    pending: RetransmitQueue<ServerChange>,
    /// Oldest first, without a gap.
    history: VecDeque<ServerChange>,
}

impl ServerChangeLog {
    /// Records a change that this daemon read.
    pub fn record(&mut self, change: ServerChange) {
        let total: usize = self.pending.iter().map(|change| change.records.len()).sum();
        if change.records.len() <= SERVERS_PER_CHANGE_MAX
            && total + change.records.len() <= SERVERS_PER_MESSAGE_MAX
        {
            self.pending.push(change.clone());
        }
        self.append(change);
    }

    /// The changes for the next message, oldest first.
    pub fn next_batch(&mut self) -> Vec<ServerChange> {
        self.pending.take_oldest(usize::MAX)
    }

    /// Appends a change to the history, for daemons that request it. A gap makes all older changes useless, so they are
    /// dropped.
    pub fn append(&mut self, change: ServerChange) {
        match self.history.back_mut() {
            Some(last) if change.to <= last.to => return,
            // Renewals advance only the version, several times a second.
            Some(last)
                if change.records.is_empty() && !change.is_net && !last.is_net && change.from <= last.to =>
            {
                last.to = change.to;
                return;
            }
            Some(last) if !change.applies_to(last.to) => self.history.clear(),
            Some(_) | None => {}
        }
        self.history.push_back(change);
        let mut total: usize = self.history.iter().map(|change| change.records.len()).sum();
        while total > SERVERS_IN_HISTORY_MAX
            && let Some(oldest) = self.history.pop_front()
        {
            total -= oldest.records.len();
        }
    }

    /// The changes since a version; `None` when the history does not reach back that far.
    pub fn since(&self, version: u64) -> Option<Vec<ServerChange>> {
        let later: Vec<ServerChange> =
            self.history.iter().filter(|change| change.to > version).cloned().collect();
        let reaches = later.first().is_some_and(|first| first.applies_to(version));
        reaches.then_some(later)
    }
}
