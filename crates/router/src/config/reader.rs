//! Reads the configuration stream page by page.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;

use crate::external::{Log, LogFailure, LogPage, Stream};

/// Records per page: about 256 KB at the usual record size.
const PAGE_RECORDS: u32 = 256;

/// Delay after a failed read. Limits the load on a failing log, and is well below the few seconds within which a
/// change has to be in force.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Result of one page read.
pub(super) type ReadOutcome = Result<LogPage, LogFailure>;

/// Long-polling reader of the configuration stream.
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

    /// Enables or disables reading. Disabling cancels the pending read.
    pub(super) fn set_active(&mut self, is_active: bool) {
        self.is_active = is_active;
        if !is_active {
            self.pending = None;
        }
    }

    /// Next page. Cancel-safe: the pending read continues if the future is dropped.
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
                    tokio::time::sleep(RETRY_DELAY).await;
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
