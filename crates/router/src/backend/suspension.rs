//! Servers that get no calls for a while, since an answer of theirs did not end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// First suspension of a server. Each further one in a row takes twice as long.
const PAUSE_MIN: Duration = Duration::from_secs(2);

/// Longest suspension.
const PAUSE_MAX: Duration = Duration::from_secs(16);

/// Time after a suspension after which the next one is the first again.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Calls that are suspended together.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum CallScope {
    /// Requests of callers, and calls to the platform and to other daemons.
    #[default]
    Requests,
    /// Calls of the router itself to a server. One that answers these without end may serve requests all the same.
    Router,
}

/// Suspended servers.
#[derive(Debug, Default)]
pub struct Suspensions {
    servers: Mutex<HashMap<(SocketAddr, CallScope), Suspension>>,
}

#[derive(Clone, Copy, Debug)]
struct Suspension {
    pause: Duration,
    until: Instant,
}

impl Suspensions {
    /// Suspends a server whose answer did not end, and returns for how long. Answers that end during a suspension belong to
    /// calls that began before it, and do not prolong it.
    pub fn suspend(&self, now: Instant, server: SocketAddr, scope: CallScope) -> Duration {
        let mut servers = self.servers.lock();
        servers.retain(|_, known| now < known.until + FORGET_AFTER);
        let pause = match servers.get(&(server, scope)) {
            Some(known) if now < known.until => return known.until - now,
            Some(known) => (known.pause * 2).min(PAUSE_MAX),
            None => PAUSE_MIN,
        };
        servers.insert((server, scope), Suspension { pause, until: now + pause });
        pause
    }

    /// Ends the suspension of the address, which another server has taken over.
    pub fn forget(&self, server: SocketAddr) {
        self.servers.lock().retain(|(known, _), _| *known != server);
    }

    /// Whether a server is suspended.
    pub fn is_suspended(&self, now: Instant, server: SocketAddr, scope: CallScope) -> bool {
        self.servers.lock().get(&(server, scope)).is_some_and(|known| now < known.until)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/suspension.rs"]
mod tests;
