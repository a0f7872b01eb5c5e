//! Reads the configuration stream, one page after another.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;

use crate::external::{Log, LogFailure, LogPage, Stream};

/// Records in one page: a quarter of a megabyte of the usual ones.
const PAGE_RECORDS: u32 = 256;

/// Pause after a failed read. A log that is down is not helped by being asked more often, and this is well
/// inside the seconds in which a change has to be in force.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A page, or why there is none.
pub(super) type ReadOutcome = Result<LogPage, LogFailure>;

/// The reading end of the configuration stream.
pub(super) struct LogReader {
    log: Arc<dyn Log>,
    poll_wait_ms: Millis,
    is_active: bool,
    pending: Option<BoxFuture<'static, ReadOutcome>>,
    has_failed: bool,
}

impl fmt::Debug for LogReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogReader").field("is_active", &self.is_active).finish_non_exhaustive()
    }
}

impl LogReader {
    pub(super) fn new(log: Arc<dyn Log>, poll_wait_ms: Millis, is_active: bool) -> Self {
        Self { log, poll_wait_ms, is_active, pending: None, has_failed: false }
    }

    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Starts or stops reading.
    pub(super) fn set_active(&mut self, is_active: bool) {
        self.is_active = is_active;
        if !is_active {
            self.pending = None;
        }
    }

    /// The next page. May be dropped and called again: a read under way goes on.
    pub(super) async fn next(&mut self, wanted: Offset) -> ReadOutcome {
        if !self.is_active {
            return std::future::pending().await;
        }
        let has_failed = self.has_failed;
        let pending = self.pending.get_or_insert_with(|| {
            let log = Arc::clone(&self.log);
            let wait_ms = self.poll_wait_ms;
            Box::pin(async move {
                if has_failed {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                log.read(Stream::Config, wanted, PAGE_RECORDS, wait_ms).await
            })
        });
        let outcome = pending.await;
        self.pending = None;
        self.has_failed = outcome.is_err();
        outcome
    }
}
