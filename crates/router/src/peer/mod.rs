//! Messages between daemons and the edge that carries them.

use std::fmt::Debug;

use hibiscusvale_core::claim::ClaimMessage;
use hibiscusvale_core::ids::{HostId, Incarnation};
use hibiscusvale_core::membership::MembershipMessage;
use hibiscusvale_core::slots::SlotMessage;
use hibiscusvale_core::spread::SpreadMessage;
use serde::{Deserialize, Serialize};

/// What one daemon tells another, by the service that takes it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PeerBody {
    /// Claims and answers of idempotent requests.
    Claims(ClaimMessage),
    /// Heartbeats and digests.
    Membership(MembershipMessage),
    /// Slots of backend servers.
    Slots(SlotMessage),
    /// Configuration, server signs and load summaries on their way through the daemons.
    Spread(SpreadMessage),
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
}
