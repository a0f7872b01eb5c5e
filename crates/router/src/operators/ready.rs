//! Whether the balancer is to send callers to this daemon.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;

/// Why the balancer is to look elsewhere, if it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadyState {
    /// Callers are served.
    Ready,
    /// The daemon stops; requests in flight end in their time.
    Draining,
    /// Configuration is not known yet; every class would look unknown.
    NoConfiguration,
    /// The host list has not been read yet; there is nowhere to send a request.
    NoHostList,
}

impl ReadyState {
    /// The state in an answer.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::NoConfiguration => "configuration is not known yet",
            Self::NoHostList => "host list is not known yet",
        }
    }
}

/// Gathers what readiness depends on.
#[derive(Debug)]
pub struct Readiness {
    config: watch::Receiver<bool>,
    has_host_list: AtomicBool,
    is_draining: AtomicBool,
}

impl Readiness {
    /// Not ready until `config` says so and the host list was read.
    pub fn new(config: watch::Receiver<bool>) -> Self {
        Self { config, has_host_list: AtomicBool::new(false), is_draining: AtomicBool::new(false) }
    }

    /// The host list was read.
    pub fn host_list_known(&self) {
        self.has_host_list.store(true, Ordering::Relaxed);
    }

    /// The daemon begins to stop.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// The state now.
    pub fn state(&self) -> ReadyState {
        if self.is_draining.load(Ordering::Relaxed) {
            ReadyState::Draining
        } else if !*self.config.borrow() {
            ReadyState::NoConfiguration
        } else if !self.has_host_list.load(Ordering::Relaxed) {
            ReadyState::NoHostList
        } else {
            ReadyState::Ready
        }
    }
}
