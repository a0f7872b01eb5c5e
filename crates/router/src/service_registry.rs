//! A registry of the in-process services, keyed by name.
//!
//! A service is a task with an inbox of typed messages. Other services look up its inbox by name, so that services
//! neither own nor construct each other and a test can register a fake under any name.

use std::any::Any;
use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::RwLock;
use tokio::sync::mpsc;

/// Capacity of a service's inbox, in messages. When an inbox is full, senders drop messages instead of buffering
/// them: control has a memory budget of 32 MB per host.
pub const INBOX_CAPACITY: usize = 4_096;

/// Name of a service. A closed set, so that a misspelt name does not compile.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ServiceName {
    /// Idempotency claims and answers.
    Claims,
    /// Configuration in force.
    Config,
    /// Backend servers from the platform's host list.
    Directory,
    /// Leases and orders to engines.
    Leases,
    /// Live daemons.
    Membership,
    /// Spreading of configuration, server statuses and load.
    Spread,
    /// Slot ledgers of the backend servers watched by this daemon.
    Watcher,
}

/// Error finding or registering a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RegistryError {
    /// No service is registered under this name.
    #[error("service {0:?} is not registered")]
    NotRegistered(ServiceName),
    /// The service under this name accepts another message type.
    #[error("service {0:?} accepts another message type")]
    MessageTypeMismatch(ServiceName),
    /// A service is already registered under this name.
    #[error("service {0:?} is already registered")]
    AlreadyRegistered(ServiceName),
}

/// Registry of the inboxes of the running services.
#[derive(Clone, Debug, Default)]
pub struct ServiceRegistry {
    inboxes: Arc<RwLock<HashMap<ServiceName, Box<dyn Any + Send + Sync>>>>,
}

impl ServiceRegistry {
    /// Registers a service and returns the receiver of its inbox.
    ///
    /// # Errors
    ///
    /// [`RegistryError::AlreadyRegistered`] if the name is taken.
    pub fn register<Message>(&self, name: ServiceName) -> Result<mpsc::Receiver<Message>, RegistryError>
    where
        Message: Send + 'static,
    {
        let mut inboxes = self.inboxes.write();
        if inboxes.contains_key(&name) {
            return Err(RegistryError::AlreadyRegistered(name));
        }
        let (sender, receiver) = mpsc::channel::<Message>(INBOX_CAPACITY);
        inboxes.insert(name, Box::new(sender));
        Ok(receiver)
    }

    /// Returns the sender to the inbox of a service.
    ///
    /// # Errors
    ///
    /// [`RegistryError::NotRegistered`] or [`RegistryError::MessageTypeMismatch`].
    pub fn find<Message>(&self, name: ServiceName) -> Result<mpsc::Sender<Message>, RegistryError>
    where
        Message: Send + 'static,
    {
        let inboxes = self.inboxes.read();
        let inbox = inboxes.get(&name).ok_or(RegistryError::NotRegistered(name))?;
        inbox.downcast_ref::<mpsc::Sender<Message>>().cloned().ok_or(RegistryError::MessageTypeMismatch(name))
    }
}
