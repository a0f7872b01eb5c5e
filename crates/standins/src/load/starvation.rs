//! Time in which this process was not scheduled. A request that a starved caller gives up on tells nothing about the
//! daemons.

use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

const TICK: Duration = Duration::from_millis(5);
/// Gaps between two ticks up to this length are ordinary scheduling.
const MIN_GAP: Duration = Duration::from_millis(50);

/// Records the gaps in the ticks of a thread that does nothing else.
#[derive(Clone, Debug)]
pub struct StarvationMeter {
    gaps: Arc<Mutex<Vec<(Instant, Duration)>>>,
}

impl StarvationMeter {
    /// Starts the thread; it ends when the last clone of the meter is dropped.
    pub fn start() -> Self {
        let gaps = Arc::default();
        let weak = Arc::downgrade(&gaps);
        thread::spawn(move || record_gaps(&weak));
        Self { gaps }
    }

    /// Total length of the gaps that ended after `since`.
    pub fn starved_since(&self, since: Instant) -> Duration {
        let gaps = self.gaps.lock();
        gaps.iter().filter(|(end, _)| *end > since).map(|(_, length)| *length).sum()
    }
}

fn record_gaps(gaps: &Weak<Mutex<Vec<(Instant, Duration)>>>) {
    let mut last_tick = Instant::now();
    while let Some(gaps) = gaps.upgrade() {
        thread::sleep(TICK);
        let now = Instant::now();
        let gap = now.duration_since(last_tick);
        if gap > MIN_GAP {
            gaps.lock().push((now, gap));
        }
        last_tick = now;
    }
}
