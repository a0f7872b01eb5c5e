//! Messages of the membership protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, HostId, Incarnation, RegionId};

/// Compact identifier of a [`MemberRecord`]: the first four bytes of its hash. Any change to the record
/// changes the tag, so a heartbeat carries only the tag, and the receiver fetches the record of an unknown
/// tag.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct MemberTag(pub [u8; 4]);

/// Compact identifier of a data centre: the first four bytes of its name's hash.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct DataCentreTag(pub [u8; 4]);

impl DataCentreTag {
    /// Computes the tag of `data_centre`.
    pub fn of(data_centre: &DataCentreId) -> Self {
        let [a, b, c, d, ..] = *blake3::hash(data_centre.as_str().as_bytes()).as_bytes();
        Self([a, b, c, d])
    }
}

/// Record that a daemon publishes about itself. No other daemon creates one for it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberRecord {
    /// Host of the daemon.
    pub host: HostId,
    /// Incarnation of the daemon. A greater one replaces the record, also under the same address.
    pub incarnation: Incarnation,
    /// Address for peer messages.
    pub peer_address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
    /// Whether the daemon is shutting down and its jobs have to be reassigned.
    pub leaving: bool,
}

impl MemberRecord {
    /// Computes the tag of the record.
    pub fn tag(&self) -> MemberTag {
        let mut hasher = blake3::Hasher::new();
        for part in [self.host.as_str(), self.data_centre.as_str(), self.region.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(self.peer_address.to_string().as_bytes());
        hasher.update(&[u8::from(self.leaving)]);
        let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
        MemberTag([a, b, c, d])
    }
}

/// The newest known heartbeat of a daemon, received directly or through others.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Tag of the daemon's record.
    pub tag: MemberTag,
    /// Incremented only by that daemon, at each tick.
    pub counter: u64,
}

/// Digest of a data centre's membership summary. The summary is fetched only when the digest differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentreDigest {
    /// Tag of the data centre.
    pub data_centre: DataCentreTag,
    /// Version of the summary, incremented at least every few seconds while the data centre is reachable.
    pub version: u64,
    /// Hash over the tags of the live daemons.
    pub hash: [u8; 4],
}

/// Membership summary: the live daemons of one data centre, as published by one of them.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentreState {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Incremented with each summary.
    pub version: u64,
    /// Tags of the live daemons, ascending.
    pub tags: Vec<MemberTag>,
}

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum MembershipMessage {
    /// Heartbeats of the sender's data centre and digests of all data centres.
    Gossip {
        /// Record of the sender, if the receiver may not have it.
        sender: Option<MemberRecord>,
        /// Newest heartbeats known to the sender; empty across data centres.
        heartbeats: Vec<Heartbeat>,
        /// Digests of the membership summaries.
        data_centres: Vec<DataCentreDigest>,
    },
    /// Requests records and summaries that the sender lacks.
    Pull {
        /// Tags of the requested records.
        tags: Vec<MemberTag>,
        /// Tags of the requested data centres.
        data_centres: Vec<DataCentreTag>,
        /// Record of the sender, if the receiver may not have it.
        sender: Option<MemberRecord>,
    },
    /// Response to a pull.
    Push {
        /// Member records, unmodified.
        records: Vec<MemberRecord>,
        /// Membership summaries of data centres.
        data_centres: Vec<DataCentreState>,
    },
    /// Probes a daemon whose heartbeats are late.
    Ping {
        /// The sender's heartbeat counter.
        counter: u64,
    },
    /// Response to a ping.
    Pong {
        /// Current heartbeat of the responding daemon.
        heartbeat: Heartbeat,
    },
}
