//! Counts the requests of callers whose answer has not begun, and tells the listener when to take in more.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use hibiscusvale_core::relay::admission::{AdmissionLimit, Attribution, OpenRequests};
use hibiscusvale_core::relay::congestion::HostLoad;
use hibiscusvale_core::units::{Millis, MonoTime};
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Requests whose answer has not begun, and connections that have not sent their first one.
#[derive(Debug, Default)]
pub struct Admission {
    open: AtomicU32,
    limit: Mutex<AdmissionLimit>,
    /// Notified when the listener may take in more.
    room: Notify,
    closings: AtomicU64,
    closed_ms: AtomicU64,
}

impl Admission {
    /// Counts a request or a new connection until the slot is dropped.
    pub fn enter(self: &Arc<Self>) -> AdmissionSlot {
        self.open.fetch_add(1, Ordering::Relaxed);
        AdmissionSlot(Arc::clone(self))
    }

    /// Number of open requests and new connections.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// The limit in force; `None` if there is none.
    pub fn limit(&self) -> Option<u32> {
        self.limit.lock().get()
    }

    /// Whether one more connection may be taken in.
    pub fn admits(&self) -> bool {
        self.limit.lock().admits(self.open())
    }

    /// Whether one more connection may be taken in that the operating system has accepted.
    pub fn admits_pending(&self) -> bool {
        self.limit.lock().admits_pending(self.open())
    }

    /// Waits until connections may be taken in again, `longest` at most.
    pub async fn wait_for_room(&self, longest: Duration) {
        let room = async {
            loop {
                // Created before the check, so that a release in between is not missed.
                let released = self.room.notified();
                if self.limit.lock().admits_again(self.open()) {
                    return;
                }
                released.await;
            }
        };
        // After the longest time one connection is taken in regardless.
        let _ = tokio::time::timeout(longest, room).await;
    }

    /// Adapts the limit to an assessment of the host, where `all` requests are open, with the streams that have begun.
    pub fn update(&self, now_us: MonoTime, load: &HostLoad, all: u64) -> Attribution {
        let open = OpenRequests { not_begun: self.open(), all };
        let attribution = self.limit.lock().update(now_us, load, open);
        self.room.notify_one();
        attribution
    }

    /// Counts a time for which the listener was closed.
    pub fn record_closed(&self, lasted_ms: Millis) {
        self.closings.fetch_add(1, Ordering::Relaxed);
        self.closed_ms.fetch_add(lasted_ms.0, Ordering::Relaxed);
    }

    /// How often the listener was closed since the start, and for how long in all.
    pub fn closed(&self) -> (u64, Millis) {
        (self.closings.load(Ordering::Relaxed), Millis(self.closed_ms.load(Ordering::Relaxed)))
    }
}

/// One open request, or a connection that has not sent its first one.
#[derive(Debug)]
pub struct AdmissionSlot(Arc<Admission>);

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.0.room.notify_one();
    }
}
