//! Routes slot messages to the daemon that watches the server.

use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::{BackendServerId, HostId, Incarnation};
use hibiscusvale_core::membership::MembersView;
use hibiscusvale_core::slots::SlotMessage;
use hibiscusvale_core::watch;

use crate::directory::Directory;
use crate::peer::{PeerBody, PeerLink};
use crate::service_registry::{ServiceName, ServiceRegistry};
use crate::watcher::WatcherCommand;

/// Sends slot messages of this daemon to the watchers of servers.
#[derive(Debug)]
pub struct SlotRoute {
    /// This daemon's host.
    pub host: HostId,
    /// This daemon's incarnation.
    pub incarnation: Incarnation,
    /// The members that are alive.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Data centres and regions of the servers.
    pub directory: Arc<Directory>,
    /// Link to the other daemons.
    pub link: Arc<dyn PeerLink>,
    /// Used to find the watcher service of this daemon.
    pub registry: ServiceRegistry,
}

impl SlotRoute {
    /// The daemon that watches `server`, according to this daemon's view of the members.
    pub fn watcher_of(&self, server: &BackendServerId) -> Option<HostId> {
        let listing = self.directory.listing();
        let server = listing.servers.get(server)?;
        watch::watcher_with_fallback(&server.id, &server.data_centre, &server.region, &self.members.load())
    }

    /// Sends a message to the watcher of its server. Without a watcher, or when its inbox is full, the
    /// message is lost; after a time-out the scheduler repeats the request, there or at another server.
    pub fn send_to_watcher(&self, message: SlotMessage) {
        let Some(watcher) = self.watcher_of(message.server()) else {
            return;
        };
        if watcher != self.host {
            self.link.send(&watcher, PeerBody::Slots(message));
            return;
        }
        let command =
            WatcherCommand::Slot { from: self.host.clone(), incarnation: self.incarnation, message };
        // A lost slot request is repeated, and a slot whose release is lost expires.
        if let Ok(watcher) = self.registry.find(ServiceName::Watcher) {
            let _ = watcher.try_send(command);
        }
    }
}
