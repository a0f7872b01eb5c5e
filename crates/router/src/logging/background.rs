//! Writes log lines from a background thread.
//!
//! Standard output is usually a pipe. When its reader stalls, the pipe fills up and writes block, which would stall
//! requests and control. Lines that do not fit into the queue are therefore dropped, and the number of dropped bytes is
//! logged.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::Duration;

/// Capacity of the queue in blocks of lines. Together with the buffer before it, it holds a few megabytes at most.
const QUEUE_CAPACITY: usize = 32;

/// Longest time that a flush waits for the writer thread, so that a stalled reader cannot block process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Job {
    Write(Vec<u8>),
    /// Acknowledged when all preceding blocks have been written.
    Flush(mpsc::Sender<()>),
}

/// Writer that never blocks on its target, except for up to `FLUSH_TIMEOUT` in `flush`.
#[derive(Debug)]
pub struct BackgroundWriter {
    jobs: SyncSender<Job>,
    dropped_bytes: Arc<AtomicU64>,
}

impl BackgroundWriter {
    /// Starts the background thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// The I/O error when the thread cannot be started.
    pub fn start<Target>(target: Target) -> io::Result<Self>
    where
        Target: Write + Send + 'static,
    {
        let (jobs, queue) = mpsc::sync_channel(QUEUE_CAPACITY);
        let dropped_bytes = Arc::new(AtomicU64::new(0));
        let thread_dropped_bytes = Arc::clone(&dropped_bytes);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(target, &queue, &thread_dropped_bytes))?;
        Ok(Self { jobs, dropped_bytes })
    }
}

impl Write for BackgroundWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.jobs.try_send(Job::Write(buf.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped_bytes.fetch_add(buf.len() as u64, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, acknowledged) = mpsc::channel();
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            // A timeout means that the reader is stalled; callers must not block on it.
            let _ = acknowledged.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_all<Target>(mut target: Target, queue: &Receiver<Job>, dropped_bytes: &AtomicU64)
where
    Target: Write,
{
    while let Ok(job) = queue.recv() {
        match job {
            Job::Write(bytes) => {
                // The reader is gone, so there is nowhere left to report to.
                if target.write_all(&bytes).is_err() {
                    return;
                }
                let lost = dropped_bytes.swap(0, Ordering::Relaxed);
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
