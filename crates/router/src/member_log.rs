//! Logs membership changes, so that operators can relate requests to the daemons that were available at the time.

use std::sync::Arc;

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::membership::{MemberState, MembersView};

use crate::logging::Log;
use crate::membership::MembershipHandle;
use crate::metrics::Label;

/// A membership change as seen by this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// The daemon was not known before.
    Joined,
    /// Another incarnation runs on the host.
    Replaced,
    /// The state of the daemon changed.
    Became(MemberState),
    /// The daemon is considered dead.
    Gone,
}

impl Label for MemberEvent {
    fn label(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Replaced => "replaced",
            Self::Became(MemberState::Live) => "live",
            Self::Became(MemberState::Suspect) => "suspect",
            Self::Became(MemberState::Leaving) => "leaving",
            Self::Became(MemberState::Unreachable) => "unreachable",
            Self::Gone => "gone",
        }
    }
}

/// A membership change with its host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// Host of the daemon.
    pub host: HostId,
    /// The change.
    pub event: MemberEvent,
}

/// Changes between two membership views.
pub fn changes(before: &MembersView, after: &MembersView) -> Vec<MemberChange> {
    let mut changes = Vec::new();
    for member in after.all() {
        let event = match before.find(&member.host) {
            None => MemberEvent::Joined,
            Some(known) if known.incarnation != member.incarnation => MemberEvent::Replaced,
            Some(known) if known.state != member.state => MemberEvent::Became(member.state),
            Some(_) => continue,
        };
        changes.push(MemberChange { host: member.host.clone(), event });
    }
    let gone = before.all().filter(|member| after.find(&member.host).is_none());
    changes.extend(gone.map(|member| MemberChange { host: member.host.clone(), event: MemberEvent::Gone }));
    changes
}

/// Logs each change until the membership service stops.
pub async fn follow(mut members: MembershipHandle, log: Log) {
    let mut known = Arc::new(MembersView::default());
    loop {
        let view = members.view.load_full();
        for change in changes(&known, &view) {
            log.member_changed(&change.host, change.event);
        }
        known = view;
        if members.changes.changed().await.is_err() {
            return;
        }
    }
}
