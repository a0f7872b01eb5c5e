//! Messages between daemons, and the link that carries them.

mod codec;
mod counters;
mod link;
pub mod memory;
mod outbound;
mod replay;

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
pub use self::counters::LinkCounts;
pub use self::link::{LinkError, LinkSettings, NngLink, RECEIVE_THREAD, SEND_THREAD};

/// A message body, by the service that handles it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PeerBody {
    /// Claims and answers of idempotent requests.
    Claims(ClaimMessage),
    /// The listing of backend servers, for daemons that cannot reach the platform.
    Listing(ListingMessage),
    /// Membership heartbeats and digests.
    Membership(MembershipMessage),
    /// Slots of backend servers.
    Slots(SlotMessage),
    /// Configuration, server statuses and load summaries.
    Spread(SpreadMessage),
    /// The sender now watches these servers, and issues no grants until it knows what other daemons hold there.
    Watching(Vec<BackendServerId>),
}

/// A message with its sender. Delivery is at most once and unordered between senders; senders that need an answer
/// retry.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PeerMessage {
    /// Host of the sender.
    pub from: HostId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// The message.
    pub body: PeerBody,
}

/// The link to other daemons. Sending never blocks: a message that cannot be sent is dropped and counted.
pub trait PeerLink: Debug + Send + Sync + 'static {
    /// Sends `body` to the daemon on host `to`, if its address is known.
    fn send(&self, to: &HostId, body: PeerBody);

    /// Sends `body` to the daemon at `address`; `to` is `None` if its host is not yet known.
    fn send_at(&self, to: Option<&HostId>, address: SocketAddr, body: PeerBody) {
        let _ = address;
        if let Some(to) = to {
            self.send(to, body);
        }
    }

    /// Updates the addresses of the daemons from the membership view.
    fn set_members(&self, view: &MembersView) {
        let _ = view;
    }
}

/// Handler of messages from other daemons. Must not block.
pub type Inbound = Arc<dyn Fn(PeerMessage) + Send + Sync>;
