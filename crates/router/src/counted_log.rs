//! Wraps the platform's log and counts calls to it.
//!
//! The log accepts several hundred appends a second over all hosts together. The counters show which component uses
//! them, and how many appends ended with an unknown result.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;

use crate::external::{AppendError, Log, LogFailure, LogPage, Stream};
use crate::metrics::{Label, Metrics};

/// Result of a call to the log, as counted.
#[derive(Clone, Copy, Debug)]
enum LogCallResult {
    ClaimsAppended,
    ConfigAppended,
    LeaseAppended,
    StreamOriginsAppended,
    AppendRefused,
    AppendUnknown,
    ReadFailed,
}

impl Label for LogCallResult {
    fn label(self) -> &'static str {
        match self {
            Self::ClaimsAppended => "log-append-claims",
            Self::ConfigAppended => "log-append-config",
            Self::LeaseAppended => "log-append-lease",
            Self::StreamOriginsAppended => "log-append-stream-origins",
            Self::AppendRefused => "log-append-refused",
            Self::AppendUnknown => "log-append-unknown",
            Self::ReadFailed => "log-read-failed",
        }
    }
}

/// [`Log`] that counts its calls.
#[derive(Debug)]
pub struct CountedLog {
    log: Arc<dyn Log>,
    metrics: Metrics,
}

impl CountedLog {
    /// Wraps `log` and counts its calls in `metrics`.
    pub fn new(log: Arc<dyn Log>, metrics: Metrics) -> Self {
        Self { log, metrics }
    }
}

impl Log for CountedLog {
    fn append(&self, stream: Stream, records: Vec<Bytes>) -> BoxFuture<'_, Result<Offset, AppendError>> {
        Box::pin(async move {
            let result = self.log.append(stream, records).await;
            self.metrics.count_event(match (&result, stream) {
                (Ok(_), Stream::Claims(_)) => LogCallResult::ClaimsAppended,
                (Ok(_), Stream::Config) => LogCallResult::ConfigAppended,
                (Ok(_), Stream::Leases) => LogCallResult::LeaseAppended,
                (Ok(_), Stream::StreamOrigins) => LogCallResult::StreamOriginsAppended,
                (Err(AppendError::NotAppended { .. }), _) => LogCallResult::AppendRefused,
                (Err(AppendError::Unknown { .. }), _) => LogCallResult::AppendUnknown,
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
                self.metrics.count_event(LogCallResult::ReadFailed);
            }
            result
        })
    }
}
