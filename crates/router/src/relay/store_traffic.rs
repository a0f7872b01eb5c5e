//! Calls to the store and their sizes, by kind of call and topic.

use std::collections::BTreeMap;

use hibiscusvale_core::units::Bytes;
use parking_lot::Mutex;

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreCall {
    /// Appends records to a topic.
    Append,
    /// Reads the newest record of each key of a topic, one page at a time.
    Newest,
    /// Reads the records of a topic from an offset on.
    Read,
}

impl StoreCall {
    /// Name of the kind in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::Newest => "newest",
            Self::Read => "read",
        }
    }
}

/// Totals of the calls of one kind to one topic since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreTotals {
    /// Number of calls, including failed ones.
    pub calls: u64,
    /// Number of calls without a complete answer; what was received of it is not counted.
    pub failed_calls: u64,
    /// Size of the bodies sent.
    pub sent_bytes: Bytes,
    /// Size of the bodies received.
    pub received_bytes: Bytes,
}

/// Traffic of this daemon with the store.
#[derive(Debug, Default)]
pub struct StoreTraffic {
    totals: Mutex<BTreeMap<(StoreCall, String), StoreTotals>>,
}

impl StoreTraffic {
    /// Records a call that sent `sent_bytes` and received `received_bytes`; `None` without a complete answer.
    pub fn record(&self, call: StoreCall, topic: &str, sent_bytes: Bytes, received_bytes: Option<Bytes>) {
        let mut totals = self.totals.lock();
        let totals = totals.entry((call, topic.to_owned())).or_default();
        totals.calls += 1;
        totals.sent_bytes = Bytes(totals.sent_bytes.0 + sent_bytes.0);
        match received_bytes {
            Some(received_bytes) => {
                totals.received_bytes = Bytes(totals.received_bytes.0 + received_bytes.0);
            }
            None => totals.failed_calls += 1,
        }
    }

    /// Totals by kind of call and topic.
    pub fn totals(&self) -> Vec<(StoreCall, String, StoreTotals)> {
        let totals = self.totals.lock();
        totals.iter().map(|((call, topic), totals)| (*call, topic.clone(), *totals)).collect()
    }
}
