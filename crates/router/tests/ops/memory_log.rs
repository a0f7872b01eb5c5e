//! In-memory implementation of the log trait.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale::external::{AppendError, Log, LogFailure, LogPage, LogRecord, Stream};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;
use parking_lot::Mutex;
use tokio::sync::watch;

#[derive(Debug, Default)]
struct State {
    start_offset: u64,
    records: Vec<Bytes>,
    is_down: bool,
}

/// Log with a single stream, which all stream names refer to.
#[derive(Clone, Debug)]
pub struct MemoryLog {
    state: Arc<Mutex<State>>,
    appended: Arc<watch::Sender<u64>>,
}

impl MemoryLog {
    pub fn new() -> Self {
        Self { state: Arc::default(), appended: Arc::new(watch::Sender::new(0)) }
    }

    pub fn push(&self, record: Vec<u8>) -> Offset {
        let mut state = self.state.lock();
        state.records.push(Bytes::from(record));
        let next = state.start_offset + state.records.len() as u64;
        drop(state);
        self.appended.send_replace(next);
        Offset(next - 1)
    }

    pub fn set_down(&self, is_down: bool) {
        self.state.lock().is_down = is_down;
        self.appended.send_modify(|_| ());
    }

    /// Expires all records except the last `kept`.
    pub fn expire_all_but(&self, kept: usize) {
        let mut state = self.state.lock();
        let expired = state.records.len() - kept;
        state.records.drain(..expired);
        state.start_offset += expired as u64;
    }

    /// Removes the last `count` records, as when a log is restored from an older backup.
    pub fn truncate(&self, count: usize) {
        let mut state = self.state.lock();
        let kept = state.records.len() - count;
        state.records.truncate(kept);
        drop(state);
        self.appended.send_modify(|_| ());
    }

    /// Waits until `count` records have been appended in total, expired ones included.
    pub async fn wait_for_appends(&self, count: u64) {
        let mut appended = self.appended.subscribe();
        appended.wait_for(|next| *next >= count).await.expect("the log outlives the test");
    }

    pub fn records(&self) -> Vec<Bytes> {
        self.state.lock().records.clone()
    }

    fn page(&self, from: Offset) -> Result<LogPage, LogFailure> {
        let state = self.state.lock();
        if state.is_down {
            return Err(LogFailure::Down);
        }
        let records = state.records.iter().zip(state.start_offset..);
        Ok(LogPage {
            start_offset: Offset(state.start_offset),
            next_offset: Offset(state.start_offset + state.records.len() as u64),
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
            if self.state.lock().is_down {
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
            // A timeout returns the page without new records.
            let _ = tokio::time::timeout(wait_ms.into(), appended.changed()).await;
            self.page(from)
        })
    }
}
