//! Configuration records on their way: kept for those who lack them, delivered in the order of the log.

use std::collections::BTreeMap;

use super::message::{ConfigRecord, RecordData};
use crate::ids::Offset;

/// Records waiting behind a gap at most; what comes beyond is fetched again when the gap is closed.
const PENDING_RECORDS: usize = 1_024;
/// What one record costs beside its data, for the bound on memory.
const RECORD_OVERHEAD_BYTES: usize = 64;

fn size(record: &ConfigRecord) -> usize {
    match &record.data {
        RecordData::Whole(data) => data.len() + RECORD_OVERHEAD_BYTES,
        RecordData::Elided => RECORD_OVERHEAD_BYTES,
    }
}

/// Records by offset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// The first offset that was not delivered.
    next: Offset,
    kept: BTreeMap<Offset, ConfigRecord>,
    kept_bytes: usize,
    pending: BTreeMap<Offset, ConfigRecord>,
}

impl Records {
    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    /// Whether records wait behind one that is missing.
    pub(crate) fn has_gap(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the record is neither delivered nor waiting.
    pub(crate) fn is_new(&self, offset: Offset) -> bool {
        offset >= self.next && !self.pending.contains_key(&offset)
    }

    /// Takes a record in.
    pub(crate) fn insert(&mut self, record: ConfigRecord) {
        if self.is_new(record.offset) && self.pending.len() < PENDING_RECORDS {
            self.pending.insert(record.offset, record);
        }
    }

    /// The records that can be delivered now, in order.
    pub(crate) fn deliver(&mut self, limit_bytes: usize) -> Vec<ConfigRecord> {
        let mut delivered = Vec::new();
        while let Some(record) = self.pending.remove(&self.next) {
            self.next = self.next.next();
            self.keep(record.clone(), limit_bytes);
            delivered.push(record);
        }
        delivered
    }

    fn keep(&mut self, record: ConfigRecord, limit_bytes: usize) {
        self.kept_bytes += size(&record);
        self.kept.insert(record.offset, record);
        while self.kept_bytes > limit_bytes {
            let Some((_, oldest)) = self.kept.pop_first() else {
                return;
            };
            self.kept_bytes -= size(&oldest);
        }
    }

    /// Goes on behind a state that lacks nothing before `next`. Never goes back.
    pub(crate) fn advance(&mut self, next: Offset) {
        if next <= self.next {
            return;
        }
        self.next = next;
        self.pending = self.pending.split_off(&next);
        // What is kept must have no gap, or a puller would be given records that it cannot deliver.
        let last_kept = self.kept.last_key_value().map(|(offset, _)| offset.next());
        if last_kept != Some(next) {
            self.kept.clear();
            self.kept_bytes = 0;
        }
    }

    /// Records from `from` on, up to about `limit_bytes`; none when they are no longer kept.
    pub(crate) fn from(&self, from: Offset, limit_bytes: usize) -> Option<Vec<ConfigRecord>> {
        if !self.kept.contains_key(&from) {
            return None;
        }
        let mut bytes = 0;
        let records = self.kept.range(from..).map(|(_, record)| record).take_while(|record| {
            let fits = bytes == 0 || bytes + size(record) <= limit_bytes;
            bytes += size(record);
            fits
        });
        Some(records.cloned().collect())
    }
}
