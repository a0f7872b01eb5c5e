//! Who lives, as one daemon sees it: the snapshot that everything else reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::{DataCentreId, HostId, Incarnation, RegionId};

/// State of a member in a view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Its heartbeats arrive.
    Live,
    /// Its heartbeats are late. It keeps its work: moving it costs more than a few seconds' wait.
    Suspect,
    /// It stops and takes no new work.
    Leaving,
    /// Its whole data centre is not heard of; nobody can tell whether it lives.
    Unreachable,
}

/// One daemon in a view. Dead daemons are not in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it takes messages of other daemons.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Whether it lives.
    pub state: MemberState,
    /// Hash of the host's name, for rendezvous hashing.
    pub host_hash: u64,
}

impl Member {
    /// Whether work may be given to it.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect)
    }
}

/// Who lives, as one daemon sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembersView {
    /// Raised with each change.
    pub version: u64,
    /// The daemon that sees it so.
    pub own_host: Option<HostId>,
    /// Its data centre.
    pub own_data_centre: Option<DataCentreId>,
    /// Whether others of the own data centre hear this daemon. False after a pause and when only the way
    /// out is cut: the others have then given its work to somebody else, so it must not go on with it.
    pub is_heard: bool,
    /// The daemons by data centre, by host in each.
    pub members: BTreeMap<DataCentreId, Vec<Member>>,
}

impl MembersView {
    /// The daemons of one data centre.
    pub fn in_data_centre(&self, data_centre: &DataCentreId) -> &[Member] {
        self.members.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// All daemons.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values().flatten()
    }

    /// The daemon on `host`.
    pub fn find(&self, host: &HostId) -> Option<&Member> {
        self.members.values().find_map(|members| {
            let index = members.binary_search_by(|member| member.host.cmp(host)).ok()?;
            members.get(index)
        })
    }

    /// Whether the daemon on `host` with this life is known and not dead. A life that is in no view is gone,
    /// or is not yet known here: whoever acts on the difference has to wait out
    /// [`MembershipSettings::dead_after_ms`](crate::membership::MembershipSettings::dead_after_ms) first.
    pub fn has_life(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.find(host).is_some_and(|member| member.incarnation == incarnation)
    }
}
