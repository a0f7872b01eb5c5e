//! Counts by a label of a closed set.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::RwLock;
use serde::Serialize;

/// A member of a closed set (a refusal reason, a cause of waste) that counters are split by. Implement it for
/// enums only: each value becomes a series that is scraped and kept.
pub trait Label: Copy {
    /// The value as it stands in a metric and in a log line.
    fn label(self) -> &'static str;
}

/// How often a label was counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct LabelCount {
    /// The label.
    pub label: &'static str,
    /// How often, or how much.
    pub count: u64,
}

#[derive(Debug)]
struct Slot {
    label: &'static str,
    count: AtomicU64,
}

/// Counts by label. A label takes memory from its first use on, because most classes meet few of the reasons
/// and there may be thousands of classes.
#[derive(Debug, Default)]
pub struct Tally {
    slots: RwLock<Vec<Slot>>,
}

impl Tally {
    /// Adds `amount` to the count of `label`.
    pub fn add<L>(&self, label: L, amount: u64)
    where
        L: Label,
    {
        let label = label.label();
        if add_existing(&self.slots.read(), label, amount) {
            return;
        }
        let mut slots = self.slots.write();
        // Another thread may have added the slot between the two locks.
        if !add_existing(&slots, label, amount) {
            slots.push(Slot { label, count: AtomicU64::new(amount) });
        }
    }

    /// The counts, in order of first use.
    pub fn counts(&self) -> Vec<LabelCount> {
        let slots = self.slots.read();
        slots
            .iter()
            .map(|slot| LabelCount { label: slot.label, count: slot.count.load(Ordering::Relaxed) })
            .collect()
    }
}

fn add_existing(slots: &[Slot], label: &'static str, amount: u64) -> bool {
    let Some(slot) = slots.iter().find(|slot| slot.label == label) else {
        return false;
    };
    slot.count.fetch_add(amount, Ordering::Relaxed);
    true
}
