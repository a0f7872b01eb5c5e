//! Dispatches messages from other daemons to the control services.

use std::sync::{Arc, OnceLock};

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::sched::Event;
use hibiscusvale_core::spread::SpreadEvent;
use tokio::sync::mpsc;

use crate::claims::ClaimsCommand;
use crate::control::SharedSchedulers;
use crate::listing_service::ListingRequest;
use crate::membership::MembershipRequest;
use crate::peer::{Inbound, PeerBody, PeerMessage};
use crate::service_registry::{RegistryError, ServiceName, ServiceRegistry};
use crate::watcher::WatcherCommand;

/// Returns a handler that dispatches each message of the link to the inbox of its service.
pub fn service_dispatcher(registry: ServiceRegistry, schedulers: Arc<OnceLock<SharedSchedulers>>) -> Inbound {
    Arc::new(move |message| {
        // Messages to a full inbox are dropped; senders that need an answer retry.
        let _ = deliver(&registry, &schedulers, message);
    })
}

/// Error dispatching a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
enum DeliverError {
    #[error(transparent)]
    ServiceRegistry(#[from] RegistryError),
    #[error("service inbox is full or closed")]
    Full,
}

impl<Message> From<mpsc::error::TrySendError<Message>> for DeliverError {
    fn from(_: mpsc::error::TrySendError<Message>) -> Self {
        Self::Full
    }
}

fn deliver(
    registry: &ServiceRegistry,
    schedulers: &OnceLock<SharedSchedulers>,
    message: PeerMessage,
) -> Result<(), DeliverError> {
    let PeerMessage { from, incarnation, body } = message;
    match body {
        PeerBody::Claims(message) => {
            registry.find(ServiceName::Claims)?.try_send(ClaimsCommand::Peer { from, message })?;
        }
        PeerBody::Listing(message) => {
            let request = ListingRequest::Peer { from, message };
            registry.find(ServiceName::Directory)?.try_send(request)?;
        }
        PeerBody::Membership(message) => {
            let request = MembershipRequest::Peer { from, incarnation, message };
            registry.find(ServiceName::Membership)?.try_send(request)?;
        }
        PeerBody::Slots(message) if message.is_for_watcher() => {
            let command = WatcherCommand::Slot { from, incarnation, message };
            registry.find(ServiceName::Watcher)?.try_send(command)?;
        }
        PeerBody::Slots(message) => {
            if let Some(schedulers) = schedulers.get() {
                schedulers.language.feed(Event::Slot(message));
            }
        }
        PeerBody::Spread(message) => {
            registry.find(ServiceName::Spread)?.try_send(SpreadEvent::Message { from, message })?;
        }
        PeerBody::Watching(servers) => register_grants(schedulers, servers),
    }
    Ok(())
}

/// Registers the slots that this daemon holds with a new watcher. A registration sent when the membership view
/// changed may have arrived before the watcher had opened its ledger; without this one, its servers would stay
/// idle until the old grants have expired.
fn register_grants(schedulers: &OnceLock<SharedSchedulers>, servers: Vec<BackendServerId>) {
    let Some(schedulers) = schedulers.get() else { return };
    for server in servers {
        schedulers.language.feed(Event::WatcherChanged { server });
    }
}
