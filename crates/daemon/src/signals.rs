//! Signals: the first asks for a graceful stop, the second ends the process at once.

use std::io;
use std::process;
use std::sync::mpsc;
use std::thread;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code after a second signal: 128 and the number of SIGTERM, as shells report it.
const EXIT_AT_ONCE: i32 = 143;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// Let every request in flight end.
    Graceful,
    /// The same: another process runs under this host's name, and the other daemons listen to that one.
    Superseded,
}

/// The signals as they arrive.
#[derive(Debug)]
pub struct Signals {
    arrivals: mpsc::Receiver<Stop>,
    sender: mpsc::Sender<Stop>,
}

/// Starts to watch SIGTERM and SIGINT.
///
/// # Errors
///
/// The system's error when a handler cannot be set.
pub fn watch() -> io::Result<Signals> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (mut terminate, mut interrupt) = runtime.block_on(async {
        Ok::<_, io::Error>((signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?))
    })?;
    let (sender, arrivals) = mpsc::channel();
    let signalled = sender.clone();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        runtime.block_on(async {
            loop {
                let arrived = tokio::select! {
                    arrived = terminate.recv() => arrived,
                    arrived = interrupt.recv() => arrived,
                };
                if arrived.is_none() || signalled.send(Stop::Graceful).is_err() {
                    return;
                }
            }
        });
    })?;
    Ok(Signals { arrivals, sender })
}

impl Signals {
    /// A way to ask for a stop from within.
    pub fn sender(&self) -> mpsc::Sender<Stop> {
        self.sender.clone()
    }

    /// Waits for a signal.
    pub fn wait(&self) -> Stop {
        self.arrivals.recv().unwrap_or(Stop::Graceful)
    }

    /// From here on a signal ends the process: streams are cut off, and the other daemons release what it
    /// held on engines.
    pub fn end_at_once_on_the_next(self) {
        thread::spawn(move || {
            if self.arrivals.recv().is_ok() {
                process::exit(EXIT_AT_ONCE);
            }
        });
    }
}
