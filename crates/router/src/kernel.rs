//! The micro-kernel: a registry of in-process services that find each other by name.
//!
//! A service is a task with an inbox of typed messages. Whoever wants something of it asks the kernel for
//! the inbox by the service's name, so that services neither own nor construct each other and a test can
//! put a fake under any name.

use std::any::Any;
use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::RwLock;
use tokio::sync::mpsc;

/// Messages that wait in a service's inbox at most. A service this far behind sheds, and counts, rather than
/// holding memory: control has 32 MB on each host.
pub const INBOX_CAPACITY: usize = 4_096;

/// The services of a daemon. The names are a closed set, so that a misspelt one does not compile.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ServiceName {
    /// Idempotency claims and answers.
    Claims,
    /// Accepted configuration.
    Config,
    /// Backend servers from the platform's host list.
    Directory,
    /// Leases and orders to engines.
    Leases,
    /// Which daemons live.
    Membership,
    /// Spreading of configuration, signs and load.
    Spread,
    /// Slot ledgers of the backend servers that this daemon watches.
    Watcher,
}

/// A service could not be found or registered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KernelError {
    /// No service of that name is registered.
    #[error("service {0:?} is not registered")]
    Missing(ServiceName),
    /// The service of that name takes other messages.
    #[error("service {0:?} does not take this kind of message")]
    OtherMessage(ServiceName),
    /// A service of that name is registered already.
    #[error("service {0:?} is registered twice")]
    Twice(ServiceName),
}

/// Registry of the inboxes of the running services.
#[derive(Clone, Debug, Default)]
pub struct Kernel {
    inboxes: Arc<RwLock<HashMap<ServiceName, Box<dyn Any + Send + Sync>>>>,
}

impl Kernel {
    /// Registers a service and returns the receiving end of its inbox.
    ///
    /// # Errors
    ///
    /// [`KernelError::Twice`] when the name is taken.
    pub fn register<Message>(&self, name: ServiceName) -> Result<mpsc::Receiver<Message>, KernelError>
    where
        Message: Send + 'static,
    {
        let mut inboxes = self.inboxes.write();
        if inboxes.contains_key(&name) {
            return Err(KernelError::Twice(name));
        }
        let (sender, receiver) = mpsc::channel::<Message>(INBOX_CAPACITY);
        inboxes.insert(name, Box::new(sender));
        Ok(receiver)
    }

    /// Finds the inbox of a service.
    ///
    /// # Errors
    ///
    /// [`KernelError::Missing`] or [`KernelError::OtherMessage`].
    pub fn find<Message>(&self, name: ServiceName) -> Result<mpsc::Sender<Message>, KernelError>
    where
        Message: Send + 'static,
    {
        let inboxes = self.inboxes.read();
        let inbox = inboxes.get(&name).ok_or(KernelError::Missing(name))?;
        inbox.downcast_ref::<mpsc::Sender<Message>>().cloned().ok_or(KernelError::OtherMessage(name))
    }
}
