//! Takes messages of other daemons to the services that they are for.

use std::sync::{Arc, OnceLock};

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::Event;
use hibiscusvale_core::spread::SpreadEvent;
use tokio::sync::mpsc;

use crate::claims::ClaimsCommand;
use crate::control::Hubs;
use crate::kernel::{Kernel, KernelError, ServiceName};
use crate::listing_service::ListingRequest;
use crate::membership::MembershipRequest;
use crate::peer::{Inbound, PeerBody, PeerMessage};
use crate::watcher::WatcherCommand;

/// The way of a message from the link to an inbox.
pub fn to_services(kernel: Kernel, hubs: Arc<OnceLock<Hubs>>) -> Inbound {
    Arc::new(move |message| {
        // A service that is behind sheds: whoever needs an answer asks again.
        let _ = deliver(&kernel, &hubs, message);
    })
}

/// A message of another daemon found no inbox.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
enum DeliverError {
    #[error(transparent)]
    Kernel(#[from] KernelError),
    #[error("inbox is full or closed")]
    Full,
}

impl<Message> From<mpsc::error::TrySendError<Message>> for DeliverError {
    fn from(_: mpsc::error::TrySendError<Message>) -> Self {
        Self::Full
    }
}

fn deliver(kernel: &Kernel, hubs: &OnceLock<Hubs>, message: PeerMessage) -> Result<(), DeliverError> {
    let PeerMessage { from, incarnation, body } = message;
    match body {
        PeerBody::Claims(message) => {
            kernel.find(ServiceName::Claims)?.try_send(ClaimsCommand::Peer { from, message })?;
        }
        PeerBody::Listing(message) => {
            let request = ListingRequest::Peer { from, message };
            kernel.find(ServiceName::Directory)?.try_send(request)?;
        }
        PeerBody::Membership(message) => {
            let request = MembershipRequest::Peer { from, incarnation, message };
            kernel.find(ServiceName::Membership)?.try_send(request)?;
        }
        PeerBody::Slots(message) if message.is_for_watcher() => {
            let command = WatcherCommand::Slot { from, incarnation, message };
            kernel.find(ServiceName::Watcher)?.try_send(command)?;
        }
        PeerBody::Slots(message) => {
            if let Some(hubs) = hubs.get() {
                hubs.language.feed(Event::Slot(message));
            }
        }
        PeerBody::Spread(message) => {
            kernel.find(ServiceName::Spread)?.try_send(SpreadEvent::Message { from, message })?;
        }
        PeerBody::Watching(servers) => register(hubs, servers),
    }
    Ok(())
}

/// Tells a new watcher what this daemon holds at its servers. The view may have told of the new watcher before it
/// was one; what was sent to it then found no ledger, and without this its servers would stand idle until old
/// grants have run out.
fn register(hubs: &OnceLock<Hubs>, servers: Vec<BackendServerId>) {
    let Some(hubs) = hubs.get() else { return };
    for server in servers {
        hubs.language.feed(Event::WatcherChanged { server });
    }
}
