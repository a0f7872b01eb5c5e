//! Writing log lines beside the requests.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::BackgroundWriter;

/// A reader that stands still until it is let go.
struct Still {
    go: Receiver<()>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for Still {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Closed once the test lets it go.
        let _ = self.go.recv();
        self.seen.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the log stands still and the pipe is full. Requests write on without waiting; what does not fit is left
/// out, and once the reader goes on it is told how much.
#[test]
fn a_reader_that_stands_still_holds_nobody() {
    let (release, go) = mpsc::channel();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut writer = BackgroundWriter::start(Still { go, seen: Arc::clone(&seen) }).unwrap();
    let begun = Instant::now();
    for _ in 0..1_000 {
        writer.write_all(b"a line\n").unwrap();
    }
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    drop(release);
    while !String::from_utf8_lossy(&seen.lock()).contains("left out") {
        assert!(begun.elapsed() < Duration::from_secs(20), "nothing was said");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_flush_waits_for_what_was_written() {
    let (release, go) = mpsc::channel();
    drop(release);
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut writer = BackgroundWriter::start(Still { go, seen: Arc::clone(&seen) }).unwrap();
    writer.write_all(b"the last line\n").unwrap();
    writer.flush().unwrap();
    assert_eq!(seen.lock().as_slice(), b"the last line\n");
}
