//! Membership view: the snapshot that other modules read.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::{DataCentreId, HostId, Incarnation, RegionId};

/// State of a member in a view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Heartbeats arrive in time.
    Live,
    /// Heartbeats are late. The daemon keeps its jobs: reassigning them costs more than waiting a few
    /// seconds.
    Suspect,
    /// The daemon is shutting down and takes no new jobs.
    Leaving,
    /// The data centre is not heard of, so the state of the daemon is unknown.
    Unreachable,
}

/// One daemon in a view. Dead daemons are not included.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Host of the daemon.
    pub host: HostId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Address for peer messages.
    pub peer_address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Region of the data centre.
    pub region: RegionId,
    /// State as seen by the daemon that built the view.
    pub state: MemberState,
    /// Hash of the host name, for rendezvous hashing.
    pub host_hash: u64,
}

impl Member {
    /// Whether jobs may be assigned to the daemon.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect)
    }
}

/// Membership as seen by one daemon.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembersView {
    /// Incremented with each change.
    pub version: u64,
    /// Host of the daemon that built the view; absent in an empty view.
    pub own_host: Option<HostId>,
    /// Data centre of that daemon; absent in an empty view.
    pub own_data_centre: Option<DataCentreId>,
    /// Whether peers in the local data centre receive this daemon's heartbeats. It is false after the process
    /// was suspended or while only its outgoing messages are lost. The peers have then reassigned its jobs,
    /// so it must not continue them.
    pub is_heard: bool,
    /// Daemons by data centre, sorted by host.
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

    /// The daemon on `host`, if it is in the view.
    pub fn find(&self, host: &HostId) -> Option<&Member> {
        self.members.values().find_map(|members| {
            let index = members.binary_search_by(|member| member.host.cmp(host)).ok()?;
            members.get(index)
        })
    }

    /// Whether the daemon on `host` is in the view with this incarnation. An incarnation that is not in the
    /// view has ended or is not known yet; a caller that depends on the difference has to wait for
    /// [`MembershipSettings::dead_after_ms`](crate::membership::MembershipSettings::dead_after_ms) first.
    pub fn has_incarnation(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.find(host).is_some_and(|member| member.incarnation == incarnation)
    }
}
