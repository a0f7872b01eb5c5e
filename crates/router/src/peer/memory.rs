//! Links between daemons inside one process, for tests: delivery at once, with directions that can be cut.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use hibiscusvale_core::ids::{HostId, Incarnation};
use parking_lot::Mutex;

use super::{Inbound, PeerBody, PeerLink, PeerMessage};

#[derive(Default)]
struct Wires {
    ends: HashMap<HostId, Inbound>,
    cut: HashSet<(HostId, HostId)>,
}

/// Daemons linked in one process.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    wires: Arc<Mutex<Wires>>,
}

impl fmt::Debug for MemoryNetwork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MemoryNetwork")
    }
}

impl MemoryNetwork {
    /// Joins a daemon; what is sent to it is given to `inbound`. A host that joins again replaces itself.
    pub fn join(&self, host: HostId, incarnation: Incarnation, inbound: Inbound) -> Arc<MemoryLink> {
        self.wires.lock().ends.insert(host.clone(), inbound);
        Arc::new(MemoryLink { host, incarnation, network: self.clone() })
    }

    /// Takes a daemon away.
    pub fn leave(&self, host: &HostId) {
        self.wires.lock().ends.remove(host);
    }

    /// Cuts the direction from `from` to `to`.
    pub fn cut(&self, from: &HostId, to: &HostId) {
        self.wires.lock().cut.insert((from.clone(), to.clone()));
    }

    /// Mends the direction from `from` to `to`.
    pub fn mend(&self, from: &HostId, to: &HostId) {
        self.wires.lock().cut.remove(&(from.clone(), to.clone()));
    }
}

/// One daemon's end of a [`MemoryNetwork`].
#[derive(Debug)]
pub struct MemoryLink {
    host: HostId,
    incarnation: Incarnation,
    network: MemoryNetwork,
}

impl PeerLink for MemoryLink {
    fn send(&self, to: &HostId, body: PeerBody) {
        let inbound = {
            let wires = self.network.wires.lock();
            if wires.cut.contains(&(self.host.clone(), to.clone())) {
                return;
            }
            wires.ends.get(to).cloned()
        };
        if let Some(inbound) = inbound {
            inbound(PeerMessage { from: self.host.clone(), incarnation: self.incarnation, body });
        }
    }
}
