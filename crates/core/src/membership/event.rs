//! Events and actions of the membership state machine.

use std::net::SocketAddr;

use super::message::MembershipMessage;
use super::view::MembersView;
use crate::ids::{DataCentreId, HostId, Incarnation};

/// Address of a potential daemon, from the settings or the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Host name, if known.
    pub host: Option<HostId>,
    /// Address for peer messages.
    pub peer_address: SocketAddr,
    /// Data centre, if known.
    pub data_centre: Option<DataCentreId>,
}

/// Input to the membership state machine.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// [`MembershipSettings::tick_ms`] have elapsed.
    Tick,
    /// A message from another daemon.
    Message {
        /// Host of the sender.
        from: HostId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        message: MembershipMessage,
    },
    /// Entry hosts from the platform's host list. The list lags, so it only names hosts to contact.
    Listed(Vec<Contact>),
    /// This daemon starts to shut down; its jobs have to be reassigned.
    Leave,
}

/// Output of the membership state machine.
#[derive(Clone, Debug)]
pub enum MembershipAction {
    /// Send a message to a daemon.
    Send {
        /// Host of the receiver, if known.
        to: Option<HostId>,
        /// Address for peer messages.
        address: SocketAddr,
        /// The message.
        message: MembershipMessage,
    },
    /// The membership view changed.
    Publish(MembersView),
    /// A newer incarnation runs on this host: this process was replaced and has to stop.
    Superseded {
        /// The newer incarnation.
        by: Incarnation,
    },
}

/// Event counters, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipCounts {
    /// Number of times that a daemon became suspect.
    pub suspected: u64,
    /// Number of times that a daemon was declared dead.
    pub died: u64,
    /// Number of times that a daemon declared dead was heard again in the same incarnation.
    pub revived: u64,
    /// Number of times that this daemon was paused.
    pub paused: u64,
}

impl MembershipCounts {
    /// Counter values by metric label.
    pub fn by_name(&self) -> [(&'static str, u64); 4] {
        [
            ("member-suspected", self.suspected),
            ("member-died", self.died),
            ("member-revived", self.revived),
            ("paused", self.paused),
        ]
    }
}
