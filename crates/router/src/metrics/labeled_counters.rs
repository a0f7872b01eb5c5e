//! Counters keyed by labels from a closed set.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::RwLock;
use serde::Serialize;

/// Label from a closed set (such as a refusal reason) by which counters are split. Implement it for enums only: each
/// value becomes a time series.
pub trait Label: Copy {
    /// Text of the label in metrics and log lines.
    fn label(self) -> &'static str;
}

/// Count for one label.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct LabelCount {
    /// Text of the label.
    pub label: &'static str,
    /// Number of events or units.
    pub count: u64,
}

#[derive(Debug)]
struct LabeledCounter {
    label: &'static str,
    count: AtomicU64,
}

/// Set of counters by label. A counter is allocated at the first use of its label, because most classes use few labels
/// and there may be thousands of classes.
#[derive(Debug, Default)]
pub struct LabeledCounters {
    counters: RwLock<Vec<LabeledCounter>>,
}

impl LabeledCounters {
    /// Adds `amount` to the count of `label`.
    pub fn add<L>(&self, label: L, amount: u64)
    where
        L: Label,
    {
        let label = label.label();
        if add_existing(&self.counters.read(), label, amount) {
            return;
        }
        let mut counters = self.counters.write();
        // Another thread may have added the counter between the two locks.
        if !add_existing(&counters, label, amount) {
            counters.push(LabeledCounter { label, count: AtomicU64::new(amount) });
        }
    }

    /// Returns all counts in order of first use.
    pub fn counts(&self) -> Vec<LabelCount> {
        let counters = self.counters.read();
        counters
            .iter()
            .map(|counter| LabelCount { label: counter.label, count: counter.count.load(Ordering::Relaxed) })
            .collect()
    }
}

fn add_existing(counters: &[LabeledCounter], label: &'static str, amount: u64) -> bool {
    let Some(counter) = counters.iter().find(|counter| counter.label == label) else {
        return false;
    };
    counter.count.fetch_add(amount, Ordering::Relaxed);
    true
}
