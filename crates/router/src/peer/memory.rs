//! In-process links between daemons for tests: immediate delivery, with directions that can be cut.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use hibiscusvale_core::ids::{HostId, Incarnation};
use parking_lot::Mutex;

use super::{Inbound, PeerBody, PeerLink, PeerMessage};

#[derive(Default)]
struct NetworkState {
    handlers: HashMap<HostId, Inbound>,
    cut: HashSet<(HostId, HostId)>,
}

/// An in-process network of daemons.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    state: Arc<Mutex<NetworkState>>,
}

impl fmt::Debug for MemoryNetwork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MemoryNetwork")
    }
}

impl MemoryNetwork {
    /// Connects a daemon; messages to it are passed to `inbound`. A host that joins again replaces its earlier
    /// handler.
    pub fn join(&self, host: HostId, incarnation: Incarnation, inbound: Inbound) -> Arc<MemoryLink> {
        self.state.lock().handlers.insert(host.clone(), inbound);
        Arc::new(MemoryLink { host, incarnation, network: self.clone() })
    }

    /// Disconnects a daemon.
    pub fn leave(&self, host: &HostId) {
        self.state.lock().handlers.remove(host);
    }

    /// Drops messages from `from` to `to`.
    pub fn cut(&self, from: &HostId, to: &HostId) {
        self.state.lock().cut.insert((from.clone(), to.clone()));
    }

    /// Restores delivery from `from` to `to`.
    pub fn restore(&self, from: &HostId, to: &HostId) {
        self.state.lock().cut.remove(&(from.clone(), to.clone()));
    }
}

/// A daemon's end of a [`MemoryNetwork`].
#[derive(Debug)]
pub struct MemoryLink {
    host: HostId,
    incarnation: Incarnation,
    network: MemoryNetwork,
}

impl PeerLink for MemoryLink {
    fn send(&self, to: &HostId, body: PeerBody) {
        let inbound = {
            let state = self.network.state.lock();
            if state.cut.contains(&(self.host.clone(), to.clone())) {
                return;
            }
            state.handlers.get(to).cloned()
        };
        if let Some(inbound) = inbound {
            inbound(PeerMessage { from: self.host.clone(), incarnation: self.incarnation, body });
        }
    }
}
