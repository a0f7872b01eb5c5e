//! Decides which backend servers to ask whether they are leaving, while the server list cannot tell.
//!
//! A server that leaves says so in the store. While a daemon cannot read the store, nor learn from another that can, it
//! would go on sending requests there until the store is back. But such a server also closes its connections after each
//! answer, or turns requests away. Sound servers do so now and then, so this is a reason to ask the server, and only its
//! reply counts. Then it gets no requests until it replies otherwise, or until the list has been current for long
//! enough to be relied on again.

use std::collections::HashMap;

use crate::ids::BackendServerId;
use crate::units::{Micros, Millis, MonoTime};

/// Age of the list from which it may lack a server's leaving. Daemons usually confirm it earlier.
const LIST_STALE_MS: Millis = Millis(1_200);

/// Time by which the list may be later than a server's answers to show that it leaves.
const LIST_LAG_MS: Millis = Millis(1_000);

/// Time for which the list has to be current to be relied on after an outage: by then servers have registered again.
const LIST_SETTLED_MS: Millis = Millis(2_500);

/// Minimum interval between two questions to a server.
const ASK_INTERVAL_MS: Millis = Millis(500);

/// Interval between the questions to a server that was found to be leaving.
const RECHECK_INTERVAL_MS: Millis = Millis(1_000);

/// Time for which a finding of another daemon holds without being repeated.
const OTHER_TTL_MS: Millis = Millis(3_000);

/// Maximum number of servers that are asked at once. In an outage under overload, hundreds of daemons have a reason to ask
/// thousands of servers.
const ASKED_MAX: usize = 4;

/// Maximum number of servers that a daemon names to the others.
const NAMED_MAX: usize = 16;

/// Maximum number of servers that are remembered.
const SERVERS_MAX: usize = 1_024;

/// What a server replies about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It takes new work.
    Serving,
    /// It is leaving, or another server has its address.
    Leaving,
}

/// What is known of the server list's age.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListAge {
    /// Age of the list; `None` if there is none.
    pub age_us: Option<Micros>,
    /// For how long the list has been current without a gap; `None` while it is old.
    pub current_for_us: Option<Micros>,
}

impl ListAge {
    fn is_stale(&self) -> bool {
        self.age_us.is_none_or(|age_us| age_us > Micros::from(LIST_STALE_MS))
    }

    /// Whether it shows what a server stated at `stated_us`, by `lag_ms` later at most.
    fn shows(&self, now_us: MonoTime, stated_us: MonoTime, lag_ms: Millis) -> bool {
        self.age_us.is_some_and(|age_us| MonoTime(now_us.0.saturating_sub(age_us.0)) >= stated_us + lag_ms)
    }
}

/// What a reply changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// The server gets no requests from now on.
    Held,
    /// The server gets requests again.
    Released,
    /// Nothing.
    Unchanged,
}

/// A server that may be leaving.
#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    /// Its last answer that may mean that it leaves.
    hinted_us: Option<MonoTime>,
    asked_us: Option<MonoTime>,
    held: Option<Held>,
}

/// A server that gets no requests.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// When it was last found to be leaving.
    stated_us: MonoTime,
    /// Whether this daemon has asked it, or only another one.
    is_own: bool,
}

/// Servers that may be leaving, and those that were found to be.
#[derive(Clone, Debug, Default)]
pub struct LeavingChecks {
    servers: HashMap<BackendServerId, Suspect>,
}

impl LeavingChecks {
    /// Records an answer that may mean that its server leaves.
    pub fn hinted(&mut self, now_us: MonoTime, server: &BackendServerId) {
        if let Some(suspect) = self.suspect(server) {
            suspect.hinted_us = Some(now_us);
        }
    }

    /// Records that another daemon has found a server to be leaving. Returns whether it gets no requests from now on.
    pub fn found_by_other(&mut self, now_us: MonoTime, server: &BackendServerId, list: &ListAge) -> bool {
        if !list.is_stale() {
            self.hinted(now_us, server);
            return false;
        }
        let Some(suspect) = self.suspect(server) else {
            return false;
        };
        let is_own = suspect.held.is_some_and(|held| held.is_own);
        suspect.held.replace(Held { stated_us: now_us, is_own }).is_none()
    }

    /// The servers to ask now. `is_kept` tells those that have vanished from the list and are kept for a while.
    pub fn due<IsKept>(&mut self, now_us: MonoTime, list: &ListAge, is_kept: IsKept) -> Vec<BackendServerId>
    where
        IsKept: Fn(&BackendServerId) -> bool,
    {
        let is_due = |suspect: &Suspect| match suspect.held {
            Some(Held { is_own: true, .. }) => is_past(now_us, suspect.asked_us, RECHECK_INTERVAL_MS),
            Some(Held { is_own: false, stated_us }) => {
                now_us >= stated_us + OTHER_TTL_MS && is_past(now_us, suspect.asked_us, RECHECK_INTERVAL_MS)
            }
            None => {
                suspect.hinted_us > suspect.asked_us && is_past(now_us, suspect.asked_us, ASK_INTERVAL_MS)
            }
        };
        let is_unsure = |server: &BackendServerId| list.is_stale() || is_kept(server);
        let due = self.servers.iter_mut().filter(|(server, suspect)| is_due(suspect) && is_unsure(server));
        let mut due: Vec<(&BackendServerId, &mut Suspect)> = due.collect();
        // Those that were not asked for longest come first.
        due.sort_unstable_by_key(|(_, suspect)| suspect.asked_us);
        due.truncate(ASKED_MAX);
        for (_, suspect) in &mut due {
            suspect.asked_us = Some(now_us);
        }
        due.into_iter().map(|(server, _)| server.clone()).collect()
    }

    /// Records a server's reply, to a question or in a report.
    pub fn replied(&mut self, now_us: MonoTime, server: &BackendServerId, state: ServerState) -> Finding {
        match state {
            ServerState::Leaving => {
                let Some(suspect) = self.suspect(server) else {
                    return Finding::Unchanged;
                };
                match suspect.held.replace(Held { stated_us: now_us, is_own: true }) {
                    None => Finding::Held,
                    Some(_) => Finding::Unchanged,
                }
            }
            ServerState::Serving => match self.servers.remove(server).and_then(|suspect| suspect.held) {
                Some(_) => Finding::Released,
                None => Finding::Unchanged,
            },
        }
    }

    /// Drops what the list shows by now. Returns the servers that get requests again, unless the list says otherwise.
    pub fn release(&mut self, now_us: MonoTime, list: &ListAge) -> Vec<BackendServerId> {
        let is_settled = list.current_for_us.is_some_and(|for_us| for_us >= Micros::from(LIST_SETTLED_MS));
        let is_over = |_: &BackendServerId, suspect: &mut Suspect| match (suspect.held, suspect.hinted_us) {
            (Some(held), _) => is_settled && list.shows(now_us, held.stated_us, LIST_SETTLED_MS),
            (None, Some(hinted_us)) => list.shows(now_us, hinted_us, LIST_LAG_MS),
            (None, None) => true,
        };
        let over = self.servers.extract_if(is_over);
        over.filter(|(_, suspect)| suspect.held.is_some()).map(|(server, _)| server).collect()
    }

    /// The servers that this daemon has found to be leaving, for the others.
    pub fn found(&self) -> Vec<BackendServerId> {
        let own = self.servers.iter().filter(|(_, suspect)| suspect.held.is_some_and(|held| held.is_own));
        own.map(|(server, _)| server.clone()).take(NAMED_MAX).collect()
    }

    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn suspect(&mut self, server: &BackendServerId) -> Option<&mut Suspect> {
        if !self.servers.contains_key(server) && self.servers.len() >= SERVERS_MAX {
            return None;
        }
        Some(self.servers.entry(server.clone()).or_default())
    }
}

fn is_past(now_us: MonoTime, since_us: Option<MonoTime>, interval_ms: Millis) -> bool {
    since_us.is_none_or(|since_us| now_us >= since_us + interval_ms)
}
