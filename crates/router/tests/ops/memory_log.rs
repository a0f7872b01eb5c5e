//! A log in memory, behind the same trait as the real one.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale::external::{AppendError, Log, LogFailure, LogPage, LogRecord, Stream};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;
use tokio::sync::watch;

#[derive(Debug, Default)]
struct Inner {
    start: u64,
    records: Vec<Bytes>,
    is_down: bool,
}

/// One stream, whatever the name asked for.
#[derive(Clone, Debug)]
pub struct MemoryLog {
    inner: Arc<Mutex<Inner>>,
    appended: Arc<watch::Sender<u64>>,
}

impl MemoryLog {
    pub fn new() -> Self {
        Self { inner: Arc::default(), appended: Arc::new(watch::Sender::new(0)) }
    }

    pub fn push(&self, record: Vec<u8>) -> Offset {
        let mut inner = self.inner.lock();
        inner.records.push(Bytes::from(record));
        let next = inner.start + inner.records.len() as u64;
        drop(inner);
        self.appended.send_replace(next);
        Offset(next - 1)
    }

    pub fn set_down(&self, is_down: bool) {
        self.inner.lock().is_down = is_down;
        self.appended.send_modify(|_| ());
    }

    /// Lets all records but the last `kept` expire.
    pub fn expire_all_but(&self, kept: usize) {
        let mut inner = self.inner.lock();
        let expired = inner.records.len() - kept;
        inner.records.drain(..expired);
        inner.start += expired as u64;
    }

    /// Takes the last `count` records back, as a log does that is restored from an older copy.
    pub fn shorten(&self, count: usize) {
        let mut inner = self.inner.lock();
        let kept = inner.records.len() - count;
        inner.records.truncate(kept);
        drop(inner);
        self.appended.send_modify(|_| ());
    }

    /// Waits until `count` records were appended over all time.
    pub async fn reached(&self, count: u64) {
        let mut appended = self.appended.subscribe();
        appended.wait_for(|next| *next >= count).await.expect("the log lives as long as the test");
    }

    pub fn all(&self) -> Vec<Bytes> {
        self.inner.lock().records.clone()
    }

    fn page(&self, from: Offset) -> Result<LogPage, LogFailure> {
        let inner = self.inner.lock();
        if inner.is_down {
            return Err(LogFailure::Down);
        }
        let records = inner.records.iter().zip(inner.start..);
        Ok(LogPage {
            start_offset: Offset(inner.start),
            next_offset: Offset(inner.start + inner.records.len() as u64),
            records: records
                .filter(|(_, offset)| *offset >= from.0)
                .map(|(data, offset)| LogRecord { offset: Offset(offset), data: data.clone() })
                .collect(),
        })
    }
}

impl Log for MemoryLog {
    fn append(&self, _stream: Stream, records: Vec<Bytes>) -> BoxFuture<'_, Result<Offset, AppendError>> {
        Box::pin(async move {
            if self.inner.lock().is_down {
                return Err(AppendError::NotAppended { cause: LogFailure::Down, retry_after_ms: None });
            }
            let mut offsets = records.into_iter().map(|record| self.push(record.to_vec()));
            Ok(offsets.next().expect("a record"))
        })
    }

    fn read(
        &self,
        _stream: Stream,
        from: Offset,
        _limit: u32,
        wait_ms: Millis,
    ) -> BoxFuture<'_, Result<LogPage, LogFailure>> {
        Box::pin(async move {
            let mut appended = self.appended.subscribe();
            let page = self.page(from)?;
            if !page.records.is_empty() {
                return Ok(page);
            }
            // Running out of time is no news.
            let _ = tokio::time::timeout(wait_ms.into(), appended.changed()).await;
            self.page(from)
        })
    }
}
