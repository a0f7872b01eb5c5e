//! Writes log lines in a thread of their own.
//!
//! Standard output is a pipe that somebody reads. When that reader is slow or stands still the pipe fills up, and a write
//! to it waits: requests and control would stand still with it. So what does not fit is left out, counted, and said.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::Duration;

/// Blocks of lines that wait to be written; with the buffer in front of them at most some megabytes.
const BLOCKS_MAX: usize = 32;

/// How long a flush waits for the thread: the process is about to end and must not hang on a reader that stands still.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

enum Job {
    Write(Vec<u8>),
    /// Answered when everything before it was written.
    Flush(mpsc::Sender<()>),
}

/// The writing end: never waits for the reader, but for a moment in `flush`.
#[derive(Debug)]
pub struct BackgroundWriter {
    jobs: SyncSender<Job>,
    lost_bytes: Arc<AtomicU64>,
}

impl BackgroundWriter {
    /// Starts the thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// The system's error when it gives no thread.
    pub fn start<Target>(target: Target) -> io::Result<Self>
    where
        Target: Write + Send + 'static,
    {
        let (jobs, arrivals) = mpsc::sync_channel(BLOCKS_MAX);
        let lost_bytes = Arc::new(AtomicU64::new(0));
        let lost = Arc::clone(&lost_bytes);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_all(target, &arrivals, &lost))?;
        Ok(Self { jobs, lost_bytes })
    }
}

impl Write for BackgroundWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.jobs.try_send(Job::Write(buf.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost_bytes.fetch_add(buf.len() as u64, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, wait) = mpsc::channel();
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            // Not written in time: the reader stands still, and nobody may wait for it.
            let _ = wait.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

fn write_all<Target>(mut target: Target, arrivals: &Receiver<Job>, lost_bytes: &AtomicU64)
where
    Target: Write,
{
    while let Ok(job) = arrivals.recv() {
        match job {
            Job::Write(bytes) => {
                // Whoever reads has gone: there is nobody left to tell.
                if target.write_all(&bytes).is_err() {
                    return;
                }
                let lost = lost_bytes.swap(0, Ordering::Relaxed);
                if lost > 0 {
                    let _ = writeln!(
                        target,
                        r#"{{"level":"warn","payload":"log lines left out","kv":{{"bytes":{lost}}}}}"#
                    );
                }
            }
            Job::Flush(done) => {
                let _ = target.flush();
                let _ = done.send(());
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/log_background.rs"]
mod tests;
