//! What daemons say to each other about who lives.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, HostId, Incarnation, RegionId};

/// Short name of one [`MemberRecord`]: the first four bytes of its hash. Any change of the record changes it,
/// so a heartbeat under a known tag needs to carry nothing else, and an unknown tag asks for the record.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct MemberTag(pub [u8; 4]);

/// Short name of a data centre: the first four bytes of its name's hash.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct DataCentreTag(pub [u8; 4]);

impl DataCentreTag {
    /// The short name of `data_centre`.
    pub fn of(data_centre: &DataCentreId) -> Self {
        let [a, b, c, d, ..] = *blake3::hash(data_centre.as_str().as_bytes()).as_bytes();
        Self([a, b, c, d])
    }
}

/// What a daemon says of itself. Only the daemon itself makes one.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberRecord {
    /// Its host.
    pub host: HostId,
    /// Its life; a greater one replaces it, also under the same address.
    pub incarnation: Incarnation,
    /// Where it takes messages of other daemons.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Whether it is stopping and hands its work over.
    pub leaving: bool,
}

impl MemberRecord {
    /// The record's tag.
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

/// One heartbeat as last heard, from the daemon itself or through others.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Whose.
    pub tag: MemberTag,
    /// Raised by that daemon at each of its ticks, by nobody else.
    pub counter: u64,
}

/// What is known of one data centre as a whole: compared first, fetched when it differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentreDigest {
    /// Short name of the data centre.
    pub data_centre: DataCentreTag,
    /// Version of its statement; raised at least every few seconds while the data centre is reachable.
    pub version: u64,
    /// Hash over the tags of its live daemons.
    pub hash: [u8; 4],
}

/// The live daemons of one data centre, as stated by one of them.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DataCentreState {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Raised with each statement.
    pub version: u64,
    /// Its live daemons, ascending.
    pub tags: Vec<MemberTag>,
}

/// What daemons say to each other about who lives.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum MembershipMessage {
    /// Heartbeats of the sender's data centre and digests of all.
    Gossip {
        /// The sender's record, when the receiver may not have it.
        sender: Option<MemberRecord>,
        /// Heartbeats as the sender knows them; empty across data centres.
        heartbeats: Vec<Heartbeat>,
        /// Digests of the data centres.
        data_centres: Vec<DataCentreDigest>,
    },
    /// Asks for what a gossip named and the sender lacks.
    Pull {
        /// Records wanted.
        tags: Vec<MemberTag>,
        /// Data centres wanted, by short name.
        data_centres: Vec<DataCentreTag>,
        /// The sender's record, when the receiver may not have it.
        sender: Option<MemberRecord>,
    },
    /// Answers a pull.
    Push {
        /// Records, as their owners made them.
        records: Vec<MemberRecord>,
        /// Statements of data centres.
        data_centres: Vec<DataCentreState>,
    },
    /// Asks a daemon that seems silent whether it lives.
    Ping {
        /// Returned with the answer.
        counter: u64,
    },
    /// Answers a ping.
    Pong {
        /// The answering daemon's present heartbeat.
        heartbeat: Heartbeat,
    },
}
