//! Messages between daemons and the edge that carries them.

mod codec;
mod guard;
mod link;
pub mod memory;

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use hibiscusvale_core::claim::ClaimMessage;
use hibiscusvale_core::ids::{BackendServerId, HostId, Incarnation};
use hibiscusvale_core::membership::{MembersView, MembershipMessage};
use hibiscusvale_core::slots::SlotMessage;
use hibiscusvale_core::spread::SpreadMessage;
use serde::{Deserialize, Serialize};

use crate::listing_service::ListingMessage;

pub use self::codec::{FrameError, MAX_FRAME_BYTES, ParsePeerKeyError, PeerKey};
pub use self::link::{LinkCounts, LinkError, LinkSettings, NngLink, RECEIVE_THREAD};

/// What one daemon tells another, by the service that takes it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PeerBody {
    /// Claims and answers of idempotent requests.
    Claims(ClaimMessage),
    /// The listing of backend servers, for a daemon that cannot reach the platform.
    Listing(ListingMessage),
    /// Heartbeats and digests.
    Membership(MembershipMessage),
    /// Slots of backend servers.
    Slots(SlotMessage),
    /// Configuration, server signs and load summaries on their way through the daemons.
    Spread(SpreadMessage),
    /// The sender watches these servers from now on, and gives no grant before it knows what others hold there.
    Watching(Vec<BackendServerId>),
}

/// A message with its sender. Delivery is at most once and unordered between senders; whoever needs an
/// answer asks again.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PeerMessage {
    /// The daemon that sent it.
    pub from: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it says.
    pub body: PeerBody,
}

/// The edge that carries messages to other daemons. Sending never waits: a message that cannot go is
/// dropped and counted.
pub trait PeerLink: Debug + Send + Sync + 'static {
    /// Sends `body` to the daemon on `to`, if its address is known.
    fn send(&self, to: &HostId, body: PeerBody);

    /// Sends `body` to the daemon at `address`, whose host may not be known yet.
    fn send_at(&self, to: Option<&HostId>, address: SocketAddr, body: PeerBody) {
        let _ = address;
        if let Some(to) = to {
            self.send(to, body);
        }
    }

    /// Tells the link where the daemons are.
    fn set_members(&self, view: &MembersView) {
        let _ = view;
    }
}

/// Takes messages of other daemons in. Must not wait.
pub type Inbound = Arc<dyn Fn(PeerMessage) + Send + Sync>;
