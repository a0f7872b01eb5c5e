//! The directory service: follows the platform's list, and where that cannot be reached gives and takes the
//! listing among daemons.
//!
//! Hosts are replaced also while the platform is away, and a new host knows no server. Without this it would
//! refuse every caller until the platform is back, and a long outage would take one host after the other out
//! of use.

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

/// Servers in one page. One takes some 120 bytes, 2 KB with thirty models of the longest names, and a page has to
/// stay inside a frame of 64 KB. A region of 3,000 servers is 125 pages, each a round trip inside it.
const PAGE_SERVERS: usize = 24;

/// Time after which a daemon without a listing asks another one, and asks again when pages stop coming. The
/// platform's list answers within milliseconds when it answers.
const ASK_PERIOD: Duration = Duration::from_secs(1);

/// What daemons say to each other about the listing.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ListingMessage {
    /// The sender has no listing and asks for the servers behind this name, or from the first.
    Ask {
        /// The last server that it has.
        after: Option<BackendServerId>,
    },
    /// Some servers of the receiver's region, in the order of their names.
    Page {
        /// Version of the listing.
        version: u64,
        /// The servers.
        servers: Vec<BackendServer>,
        /// Entry hosts of the region; on the last page only.
        entry_hosts: Vec<EntryHost>,
        /// Whether there are no more.
        is_last: bool,
    },
}

/// What the service takes in its inbox.
#[derive(Clone, Debug)]
pub enum ListingRequest {
    /// Another daemon says something.
    Peer {
        /// Its host.
        from: HostId,
        /// What it says.
        message: ListingMessage,
    },
}

/// What the service works with.
#[derive(Clone, Debug)]
pub struct ListingParts {
    /// This daemon's host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// The platform's list.
    pub hosts: Arc<dyn HostList>,
    /// The listing in force.
    pub directory: Arc<Directory>,
    /// Who lives.
    pub members: Arc<ArcSwap<MembersView>>,
    /// The way to other daemons.
    pub link: Arc<dyn PeerLink>,
}

/// The directory service.
#[derive(Debug)]
pub struct ListingService {
    parts: ListingParts,
    collected: Listing,
}

impl ListingService {
    /// Runs until the inbox closes.
    pub async fn run(parts: ListingParts, mut inbox: mpsc::Receiver<ListingRequest>) {
        tokio::spawn(directory::follow(Arc::clone(&parts.hosts), Arc::clone(&parts.directory)));
        let mut service = Self { parts, collected: Listing::default() };
        let first_ask = tokio::time::Instant::now() + ASK_PERIOD;
        let mut ask = tokio::time::interval_at(first_ask, ASK_PERIOD);
        ask.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ask.tick() => service.ask_if_lost(),
                request = inbox.recv() => {
                    let Some(ListingRequest::Peer { from, message }) = request else { return };
                    service.take(&from, message);
                }
            }
        }
    }

    fn knows(&self) -> bool {
        self.parts.directory.listing().version > 0
    }

    fn ask_if_lost(&mut self) {
        if self.knows() {
            return;
        }
        self.collected = Listing::default();
        let view = self.parts.members.load();
        if let Some(to) = neighbour(&self.parts, &view) {
            self.parts.link.send(&to, PeerBody::Listing(ListingMessage::Ask { after: None }));
        }
    }

    fn take(&mut self, from: &HostId, message: ListingMessage) {
        match message {
            ListingMessage::Ask { after } => self.answer(from, after.as_ref()),
            ListingMessage::Page { .. } if self.knows() => {}
            ListingMessage::Page { version, servers, entry_hosts, is_last } => {
                let last = servers.last().map(|server| server.id.clone());
                self.collected.servers.extend(servers.into_iter().map(Arc::new));
                if is_last {
                    self.collected.version = version;
                    self.collected.entry_hosts = entry_hosts;
                    self.parts.directory.adopt(std::mem::take(&mut self.collected));
                } else {
                    self.parts.link.send(from, PeerBody::Listing(ListingMessage::Ask { after: last }));
                }
            }
        }
    }

    fn answer(&self, to: &HostId, after: Option<&BackendServerId>) {
        let listing = self.parts.directory.listing();
        if listing.version == 0 {
            return;
        }
        let page = page_of(&listing, &self.parts.region, after);
        self.parts.link.send(to, PeerBody::Listing(page));
    }
}

/// A daemon to ask: one of the own data centre, else one of the region.
fn neighbour(parts: &ListingParts, view: &MembersView) -> Option<HostId> {
    let is_other = |member: &&Member| member.is_eligible() && member.host != parts.host;
    let near: Vec<&Member> = view.in_data_centre(&parts.data_centre).iter().filter(is_other).collect();
    let of_region = view.all().filter(|member| member.region == parts.region).filter(is_other);
    let from = if near.is_empty() { of_region.collect() } else { near };
    from.choose(&mut rand::rng()).map(|member| member.host.clone())
}

fn page_of(listing: &Listing, region: &RegionId, after: Option<&BackendServerId>) -> ListingMessage {
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
