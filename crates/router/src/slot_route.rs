//! Finds the daemon that watches a server and takes slot messages there.

use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::{BackendServerId, HostId, Incarnation};
use hibiscusvale_core::membership::MembersView;
use hibiscusvale_core::slots::SlotMessage;
use hibiscusvale_core::watch;

use crate::directory::Directory;
use crate::kernel::{Kernel, ServiceName};
use crate::peer::{PeerBody, PeerLink};
use crate::watcher::WatcherCommand;

/// The way of slot messages from this daemon.
#[derive(Debug)]
pub struct SlotRoute {
    /// This daemon's host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Who lives.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Where servers stand.
    pub directory: Arc<Directory>,
    /// The way to other daemons.
    pub link: Arc<dyn PeerLink>,
    /// Finds the watcher service of this daemon.
    pub kernel: Kernel,
}

impl SlotRoute {
    /// The daemon that watches `server`, as this one sees it.
    pub fn watcher_of(&self, server: &BackendServerId) -> Option<HostId> {
        let listing = self.directory.listing();
        let server = listing.servers.get(server)?;
        watch::watcher_with_fallback(&server.id, &server.data_centre, &server.region, &self.members.load())
    }

    /// Sends a message to the watcher of its server. Where there is none, or its inbox is full, the message
    /// is lost; the scheduler asks again or elsewhere after its timeout.
    pub fn to_watcher(&self, message: SlotMessage) {
        let Some(watcher) = self.watcher_of(message.server()) else {
            return;
        };
        if watcher != self.host {
            self.link.send(&watcher, PeerBody::Slots(message));
            return;
        }
        let command =
            WatcherCommand::Slot { from: self.host.clone(), incarnation: self.incarnation, message };
        // A lost ask is repeated, a lost release expires.
        if let Ok(watcher) = self.kernel.find(ServiceName::Watcher) {
            let _ = watcher.try_send(command);
        }
    }
}
