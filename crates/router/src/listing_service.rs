//! The directory service: follows the platform's host list and, when the platform is unreachable, exchanges the
//! listing among daemons.
//!
//! Hosts are replaced during platform outages too, and a new host knows no servers. Without this exchange it would
//! refuse every caller until the platform is back, and a long outage would take hosts out of service one by one.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, RegionId};
use hibiscusvale_core::membership::{Member, MembersView};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::directory::{self, BackendServer, Directory, EntryHost, Listing};
use crate::external::HostList;
use crate::peer::{PeerBody, PeerLink};

/// Servers per page. A server takes about 120 bytes, or 2 KB with thirty models of the longest names, and a page
/// has to fit into a 64 KB frame. A region of 3,000 servers takes 125 pages, each a round trip inside the region.
const PAGE_SERVERS: usize = 24;

/// Interval at which a daemon without a listing requests one from another daemon, also when pages stop arriving.
/// The platform's list answers within milliseconds when it is available.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Messages between daemons about the listing.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ListingMessage {
    /// Requests the servers after the given name, or from the first one; sent by daemons without a listing.
    Request {
        /// Last server that the sender has; `None` for the first page.
        after: Option<BackendServerId>,
    },
    /// Some servers of the receiver's region, ordered by name.
    Page {
        /// Version of the listing.
        version: u64,
        /// The servers.
        servers: Vec<BackendServer>,
        /// Entry hosts of the region; only on the last page.
        entry_hosts: Vec<EntryHost>,
        /// Whether this is the last page.
        is_last: bool,
    },
}

/// Messages accepted by the directory service.
#[derive(Clone, Debug)]
pub enum ListingRequest {
    /// A message from another daemon.
    Peer {
        /// Host of the sender.
        from: HostId,
        /// The message.
        message: ListingMessage,
    },
}

/// Dependencies of the directory service.
#[derive(Clone, Debug)]
pub struct ListingParts {
    /// Host of this daemon.
    pub host: HostId,
    /// Data centre of this daemon.
    pub data_centre: DataCentreId,
    /// Region of this daemon.
    pub region: RegionId,
    /// Client of the platform's host list.
    pub hosts: Arc<dyn HostList>,
    /// Directory that holds the current listing.
    pub directory: Arc<Directory>,
    /// Membership view.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Link to other daemons.
    pub link: Arc<dyn PeerLink>,
}

/// Follows the host list and serves the listing to other daemons.
#[derive(Debug)]
pub struct ListingService {
    parts: ListingParts,
    collected: Listing,
}

impl ListingService {
    /// Runs until the inbox is closed.
    pub async fn run(parts: ListingParts, mut inbox: mpsc::Receiver<ListingRequest>) {
        tokio::spawn(directory::follow(Arc::clone(&parts.hosts), Arc::clone(&parts.directory)));
        let mut service = Self { parts, collected: Listing::default() };
        let first_request = tokio::time::Instant::now() + REQUEST_INTERVAL;
        let mut request_tick = tokio::time::interval_at(first_request, REQUEST_INTERVAL);
        request_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = request_tick.tick() => service.request_if_missing(),
                request = inbox.recv() => {
                    let Some(ListingRequest::Peer { from, message }) = request else { return };
                    service.handle_message(&from, message);
                }
            }
        }
    }

    fn has_listing(&self) -> bool {
        self.parts.directory.listing().version > 0
    }

    fn request_if_missing(&mut self) {
        if self.has_listing() {
            return;
        }
        self.collected = Listing::default();
        let view = self.parts.members.load();
        if let Some(to) = choose_source(&self.parts, &view) {
            self.parts.link.send(&to, PeerBody::Listing(ListingMessage::Request { after: None }));
        }
    }

    fn handle_message(&mut self, from: &HostId, message: ListingMessage) {
        match message {
            ListingMessage::Request { after } => self.send_page(from, after.as_ref()),
            ListingMessage::Page { .. } if self.has_listing() => {}
            ListingMessage::Page { version, servers, entry_hosts, is_last } => {
                let last = servers.last().map(|server| server.id.clone());
                self.collected.servers.extend(servers.into_iter().map(Arc::new));
                if is_last {
                    self.collected.version = version;
                    self.collected.entry_hosts = entry_hosts;
                    self.parts.directory.adopt(std::mem::take(&mut self.collected));
                } else {
                    self.parts.link.send(from, PeerBody::Listing(ListingMessage::Request { after: last }));
                }
            }
        }
    }

    fn send_page(&self, to: &HostId, after: Option<&BackendServerId>) {
        let listing = self.parts.directory.listing();
        if listing.version == 0 {
            return;
        }
        let page = build_page(&listing, &self.parts.region, after);
        self.parts.link.send(to, PeerBody::Listing(page));
    }
}

/// A random daemon to request the listing from: one of the same data centre, otherwise one of the region.
fn choose_source(parts: &ListingParts, view: &MembersView) -> Option<HostId> {
    let is_other = |member: &&Member| member.is_eligible() && member.host != parts.host;
    let near: Vec<&Member> = view.in_data_centre(&parts.data_centre).iter().filter(is_other).collect();
    let of_region = view.all().filter(|member| member.region == parts.region).filter(is_other);
    let from = if near.is_empty() { of_region.collect() } else { near };
    from.choose(&mut rand::rng()).map(|member| member.host.clone())
}

fn build_page(listing: &Listing, region: &RegionId, after: Option<&BackendServerId>) -> ListingMessage {
    let of_region = listing.servers.values().filter(|server| server.region == *region);
    let mut servers: Vec<_> =
        of_region.filter(|server| after.is_none_or(|after| server.id > *after)).collect();
    servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    let is_last = servers.len() <= PAGE_SERVERS;
    let entry_hosts = listing.entry_hosts.iter().filter(|entry| is_last && entry.region == *region);
    ListingMessage::Page {
        version: listing.version,
        servers: servers.into_iter().take(PAGE_SERVERS).map(|server| BackendServer::clone(server)).collect(),
        entry_hosts: entry_hosts.cloned().collect(),
        is_last,
    }
}
