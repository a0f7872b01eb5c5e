//! The platform's log with its use counted.
//!
//! The log takes several hundred appends a second from all hosts together. Operators see here who uses them, and
//! how many ended without a word of their effect.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;

use crate::external::{AppendError, Log, LogFailure, LogPage, Stream};
use crate::metrics::{Label, Metrics};

/// What a call to the log came to.
#[derive(Clone, Copy, Debug)]
enum LogUse {
    ClaimsAppended,
    ConfigAppended,
    LeaseAppended,
    AppendRefused,
    AppendUnknown,
    ReadFailed,
}

impl Label for LogUse {
    fn label(self) -> &'static str {
        match self {
            Self::ClaimsAppended => "log-append-claims",
            Self::ConfigAppended => "log-append-config",
            Self::LeaseAppended => "log-append-lease",
            Self::AppendRefused => "log-append-refused",
            Self::AppendUnknown => "log-append-unknown",
            Self::ReadFailed => "log-read-failed",
        }
    }
}

/// A log whose calls are counted.
#[derive(Debug)]
pub struct CountedLog {
    log: Arc<dyn Log>,
    metrics: Metrics,
}

impl CountedLog {
    /// Counts the calls to `log` in `metrics`.
    pub fn new(log: Arc<dyn Log>, metrics: Metrics) -> Self {
        Self { log, metrics }
    }
}

impl Log for CountedLog {
    fn append(&self, stream: Stream, records: Vec<Bytes>) -> BoxFuture<'_, Result<Offset, AppendError>> {
        Box::pin(async move {
            let result = self.log.append(stream, records).await;
            self.metrics.event(match (&result, stream) {
                (Ok(_), Stream::Claims(_)) => LogUse::ClaimsAppended,
                (Ok(_), Stream::Config) => LogUse::ConfigAppended,
                (Ok(_), Stream::Leases) => LogUse::LeaseAppended,
                (Err(AppendError::NotAppended { .. }), _) => LogUse::AppendRefused,
                (Err(AppendError::Unknown { .. }), _) => LogUse::AppendUnknown,
            });
            result
        })
    }

    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limit: u32,
        wait_ms: Millis,
    ) -> BoxFuture<'_, Result<LogPage, LogFailure>> {
        Box::pin(async move {
            let result = self.log.read(stream, from, limit, wait_ms).await;
            if result.is_err() {
                self.metrics.event(LogUse::ReadFailed);
            }
            result
        })
    }
}
