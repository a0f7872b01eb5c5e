//! Readiness of this daemon as reported to the load balancer.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;

/// Whether the daemon accepts callers, and if not, why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadyState {
    /// The daemon serves callers.
    Ready,
    /// The daemon is stopping; requests in flight run to completion.
    Draining,
    /// No configuration is loaded yet, so every request would be refused for an unknown class.
    NoConfiguration,
    /// The host list has not been read yet, so no backend server is known.
    NoHostList,
}

impl ReadyState {
    /// Text of the state in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::NoConfiguration => "configuration is not known yet",
            Self::NoHostList => "host list is not known yet",
        }
    }
}

/// Tracks the conditions for readiness.
#[derive(Debug)]
pub struct Readiness {
    is_config_known: watch::Receiver<bool>,
    has_host_list: AtomicBool,
    is_draining: AtomicBool,
}

impl Readiness {
    /// Becomes ready once `is_config_known` is true and the host list has been read.
    pub fn new(is_config_known: watch::Receiver<bool>) -> Self {
        Self { is_config_known, has_host_list: AtomicBool::new(false), is_draining: AtomicBool::new(false) }
    }

    /// Records that the host list has been read.
    pub fn set_host_list_known(&self) {
        self.has_host_list.store(true, Ordering::Relaxed);
    }

    /// Marks the daemon as draining. This cannot be undone.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Current readiness.
    pub fn state(&self) -> ReadyState {
        if self.is_draining.load(Ordering::Relaxed) {
            ReadyState::Draining
        } else if !*self.is_config_known.borrow() {
            ReadyState::NoConfiguration
        } else if !self.has_host_list.load(Ordering::Relaxed) {
            ReadyState::NoHostList
        } else {
            ReadyState::Ready
        }
    }
}
