//! Signal handling: SIGTERM and SIGINT request a graceful stop, SIGHUP a reload of the settings.

use std::io;
use std::process;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code after a second stop signal: 128 plus the number of SIGTERM, as shells report it.
const EXIT_SIGTERM: i32 = 143;

/// Request to the daemon process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifecycleRequest {
    /// Stop once all requests in flight have ended.
    Stop,
    /// Stop in the same way, because another process runs under this host's name and the other daemons follow that one.
    Superseded,
    /// Reload the settings.
    Reload,
}

/// Receiver of stop and reload requests, from signals and from within the process.
#[derive(Debug)]
pub struct Signals {
    requests: mpsc::Receiver<LifecycleRequest>,
    sender: mpsc::Sender<LifecycleRequest>,
}

/// Installs the handlers for SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
///
/// The system's error if a handler cannot be installed.
pub fn watch() -> io::Result<Signals> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (mut terminate, mut interrupt, mut hangup) = runtime.block_on(async {
        let [terminate, interrupt, hangup] =
            [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
        Ok::<_, io::Error>((terminate?, interrupt?, hangup?))
    })?;
    let (sender, requests) = mpsc::channel();
    let signal_sender = sender.clone();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        runtime.block_on(async {
            loop {
                let request = tokio::select! {
                    received = terminate.recv() => received.map(|()| LifecycleRequest::Stop),
                    received = interrupt.recv() => received.map(|()| LifecycleRequest::Stop),
                    received = hangup.recv() => received.map(|()| LifecycleRequest::Reload),
                };
                let Some(request) = request else {
                    return;
                };
                if signal_sender.send(request).is_err() {
                    return;
                }
            }
        });
    })?;
    Ok(Signals { requests, sender })
}

impl Signals {
    /// Sender for requests from within the process.
    pub fn sender(&self) -> mpsc::Sender<LifecycleRequest> {
        self.sender.clone()
    }

    /// Waits for the next request.
    pub fn wait(&self) -> LifecycleRequest {
        self.requests.recv().unwrap_or(LifecycleRequest::Stop)
    }

    /// Waits for the next request; `None` after `limit`.
    pub fn wait_for(&self, limit: Duration) -> Option<LifecycleRequest> {
        match self.requests.recv_timeout(limit) {
            Ok(request) => Some(request),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => Some(LifecycleRequest::Stop),
        }
    }

    /// Exits the process on the next stop request: open streams break, and the other daemons release its resources on
    /// engines.
    pub fn exit_on_next_stop(self) {
        thread::spawn(move || {
            while let Ok(request) = self.requests.recv() {
                if request == LifecycleRequest::Stop {
                    process::exit(EXIT_SIGTERM);
                }
            }
        });
    }
}
