//! Tests of the background log writer.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::BackgroundWriter;

/// Target whose writes block until the test drops the sender of `resume`.
struct BlockedTarget {
    resume: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedTarget {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Fails at once after the test has dropped the sender.
        let _ = self.resume.recv();
        self.written.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of the log stalls and the pipe is full. Writes must not block; lines that do not fit are dropped, and the
/// number of dropped bytes is written once the reader resumes.
#[test]
fn stalled_reader_does_not_block_writes() {
    let (release, resume) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let mut writer =
        BackgroundWriter::start(BlockedTarget { resume, written: Arc::clone(&written) }).unwrap();
    let started = Instant::now();
    for _ in 0..1_000 {
        writer.write_all(b"a line\n").unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    drop(release);
    while !String::from_utf8_lossy(&written.lock()).contains("left out") {
        assert!(started.elapsed() < Duration::from_secs(20), "dropped lines were not reported");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn flush_waits_for_queued_lines() {
    let (release, resume) = mpsc::channel();
    drop(release);
    let written = Arc::new(Mutex::new(Vec::new()));
    let mut writer =
        BackgroundWriter::start(BlockedTarget { resume, written: Arc::clone(&written) }).unwrap();
    writer.write_all(b"the last line\n").unwrap();
    writer.flush().unwrap();
    assert_eq!(written.lock().as_slice(), b"the last line\n");
}
