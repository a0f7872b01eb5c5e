//! Configuration records: buffers those after a gap, delivers in log order and retains recent ones for peers.

use std::collections::BTreeMap;

use super::message::{ConfigRecord, RecordData};
use crate::ids::Offset;

/// Maximum number of records buffered after a gap. Further ones are pulled again once the gap is closed.
const MAX_PENDING_RECORDS: usize = 1_024;
/// Estimated memory per record in addition to its data.
const RECORD_OVERHEAD_BYTES: usize = 64;

fn record_bytes(record: &ConfigRecord) -> usize {
    match &record.data {
        RecordData::Full(data) => data.len() + RECORD_OVERHEAD_BYTES,
        RecordData::Elided => RECORD_OVERHEAD_BYTES,
    }
}

/// Pending and retained records by offset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// The first offset that was not delivered.
    next: Offset,
    retained: BTreeMap<Offset, ConfigRecord>,
    retained_bytes: usize,
    pending: BTreeMap<Offset, ConfigRecord>,
}

impl Records {
    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    /// Whether records are buffered after a missing one.
    pub(crate) fn has_gap(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the record is neither delivered nor buffered.
    pub(crate) fn is_new(&self, offset: Offset) -> bool {
        offset >= self.next && !self.pending.contains_key(&offset)
    }

    /// Buffers a record unless it is known or the buffer is full.
    pub(crate) fn insert(&mut self, record: ConfigRecord) {
        if self.is_new(record.offset) && self.pending.len() < MAX_PENDING_RECORDS {
            self.pending.insert(record.offset, record);
        }
    }

    /// Removes and returns the records that can be delivered, in order.
    pub(crate) fn deliver(&mut self, limit_bytes: usize) -> Vec<ConfigRecord> {
        let mut delivered = Vec::new();
        while let Some(record) = self.pending.remove(&self.next) {
            self.next = self.next.next();
            self.retain_record(record.clone(), limit_bytes);
            delivered.push(record);
        }
        delivered
    }

    fn retain_record(&mut self, record: ConfigRecord, limit_bytes: usize) {
        self.retained_bytes += record_bytes(&record);
        self.retained.insert(record.offset, record);
        while self.retained_bytes > limit_bytes {
            let Some((_, oldest)) = self.retained.pop_first() else {
                return;
            };
            self.retained_bytes -= record_bytes(&oldest);
        }
    }

    /// Skips to `next` after a state that covers all earlier offsets was adopted. Never moves backwards.
    pub(crate) fn advance(&mut self, next: Offset) {
        if next <= self.next {
            return;
        }
        self.next = next;
        self.pending = self.pending.split_off(&next);
        // Retained records must be contiguous; otherwise a peer would pull records that it cannot deliver.
        let last_retained = self.retained.last_key_value().map(|(offset, _)| offset.next());
        if last_retained != Some(next) {
            self.retained.clear();
            self.retained_bytes = 0;
        }
    }

    /// Records from `from` on, up to about `limit_bytes`; `None` if they are no longer retained.
    pub(crate) fn range_from(&self, from: Offset, limit_bytes: usize) -> Option<Vec<ConfigRecord>> {
        if !self.retained.contains_key(&from) {
            return None;
        }
        let mut bytes = 0;
        let records = self.retained.range(from..).map(|(_, record)| record).take_while(|record| {
            let fits = bytes == 0 || bytes + record_bytes(record) <= limit_bytes;
            bytes += record_bytes(record);
            fits
        });
        Some(records.cloned().collect())
    }
}
