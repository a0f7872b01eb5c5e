//! What happens to the membership of a daemon, and what it wants done.

use std::net::SocketAddr;

use super::message::MembershipMessage;
use super::view::MembersView;
use crate::ids::{DataCentreId, HostId, Incarnation};

/// A daemon that may be reached at an address, from the settings or the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Its host, where known.
    pub host: Option<HostId>,
    /// Where it takes messages of other daemons.
    pub peer_address: SocketAddr,
    /// Its data centre, where known.
    pub data_centre: Option<DataCentreId>,
}

/// What happens to the membership of a daemon.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// [`MembershipSettings::tick_ms`] have passed.
    Tick,
    /// A message of another daemon.
    Message {
        /// Its host.
        from: HostId,
        /// Its life.
        incarnation: Incarnation,
        /// What it says.
        message: MembershipMessage,
    },
    /// The entry hosts of the platform's list. The list lags, so it only says whom to try.
    Listed(Vec<Contact>),
    /// This daemon begins to stop: its work is to move.
    Leave,
}

/// What membership wants done.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a message to a daemon.
    Send {
        /// Its host, where known.
        to: Option<HostId>,
        /// Where it takes messages of other daemons.
        address: SocketAddr,
        /// What to say.
        message: MembershipMessage,
    },
    /// The view changed.
    Publish(MembersView),
    /// A newer life of this very host is there: this process was replaced and has to stop.
    Superseded {
        /// The newer life.
        by: Incarnation,
    },
}

/// Counts of what happened, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipCounts {
    /// Daemons that were suspected.
    pub suspected: u64,
    /// Daemons that were taken for dead.
    pub died: u64,
    /// Daemons that were taken for dead and then heard of again in the same life.
    pub revived: u64,
    /// Pauses of this daemon.
    pub paused: u64,
}

impl MembershipCounts {
    /// The counts by name, for metrics.
    pub fn by_name(&self) -> [(&'static str, u64); 4] {
        [
            ("member-suspected", self.suspected),
            ("member-died", self.died),
            ("member-revived", self.revived),
            ("paused", self.paused),
        ]
    }
}
