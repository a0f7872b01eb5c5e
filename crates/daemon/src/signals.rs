//! Signals: SIGTERM and SIGINT ask for a graceful stop, SIGHUP for another look at the settings.

use std::io;
use std::process;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code after a second signal: 128 and the number of SIGTERM, as shells report it.
const EXIT_AT_ONCE: i32 = 143;

/// What the process is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asked {
    /// Stop, and let every request in flight end.
    Stop,
    /// The same: another process runs under this host's name, and the other daemons listen to that one.
    Superseded,
    /// Read the settings again.
    Reload,
}

/// The signals as they arrive.
#[derive(Debug)]
pub struct Signals {
    arrivals: mpsc::Receiver<Asked>,
    sender: mpsc::Sender<Asked>,
}

/// Starts to watch SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
///
/// The system's error when a handler cannot be set.
pub fn watch() -> io::Result<Signals> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (mut terminate, mut interrupt, mut hangup) = runtime.block_on(async {
        let [terminate, interrupt, hangup] =
            [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
        Ok::<_, io::Error>((terminate?, interrupt?, hangup?))
    })?;
    let (sender, arrivals) = mpsc::channel();
    let signalled = sender.clone();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        runtime.block_on(async {
            loop {
                let asked = tokio::select! {
                    arrived = terminate.recv() => arrived.map(|()| Asked::Stop),
                    arrived = interrupt.recv() => arrived.map(|()| Asked::Stop),
                    arrived = hangup.recv() => arrived.map(|()| Asked::Reload),
                };
                let Some(asked) = asked else {
                    return;
                };
                if signalled.send(asked).is_err() {
                    return;
                }
            }
        });
    })?;
    Ok(Signals { arrivals, sender })
}

impl Signals {
    /// A way to ask for a stop from within.
    pub fn sender(&self) -> mpsc::Sender<Asked> {
        self.sender.clone()
    }

    /// Waits for a signal.
    pub fn wait(&self) -> Asked {
        self.arrivals.recv().unwrap_or(Asked::Stop)
    }

    /// Waits for a signal, but not longer than `limit`.
    pub fn wait_for(&self, limit: Duration) -> Option<Asked> {
        match self.arrivals.recv_timeout(limit) {
            Ok(asked) => Some(asked),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => Some(Asked::Stop),
        }
    }

    /// From here on a signal to stop ends the process: streams are cut off, and the other daemons release what it
    /// held on engines.
    pub fn end_at_once_on_the_next(self) {
        thread::spawn(move || {
            while let Ok(asked) = self.arrivals.recv() {
                if asked == Asked::Stop {
                    process::exit(EXIT_AT_ONCE);
                }
            }
        });
    }
}
