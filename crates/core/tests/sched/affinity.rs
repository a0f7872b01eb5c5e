//! Prefix affinity and the retry budget.

use hibiscusvale_core::sched::{AffinityIndex, CacheEvent, CacheEventKind, RetryBudget};

fn stored(seq: u64, block: u64) -> CacheEvent {
    CacheEvent { seq, kind: CacheEventKind::Stored, block }
}

// The longest stored prefix counts, and a block that was evicted no longer does.
#[test]
fn finds_the_longest_prefix() {
    let mut index = AffinityIndex::new(100);
    (0..3).for_each(|block| index.apply(7, stored(block, 10 + block)));
    assert_eq!(index.longest_prefix(&[10, 11, 12, 13]), (3, [Some(7), None, None]));
    index.apply(7, CacheEvent { seq: 3, kind: CacheEventKind::Evicted, block: 12 });
    assert_eq!(index.longest_prefix(&[10, 11, 12, 13]).0, 2);
}

// Events were lost, among them evictions. Requests would be sent to a cache that is gone, so what was known
// of that server is dropped, and only of that one.
#[test]
fn wide_gap_drops_what_was_known() {
    let mut index = AffinityIndex::new(100);
    index.apply(1, stored(1, 10));
    index.apply(2, stored(1, 20));
    index.apply(1, stored(500, 30));
    assert_eq!(index.longest_prefix(&[10]).0, 0);
    assert_eq!(index.longest_prefix(&[20]).0, 1);
    assert_eq!(index.longest_prefix(&[30]).0, 1);
}

// The index of a daemon stays within its bound whatever the engines store.
#[test]
fn oldest_blocks_go_first() {
    let mut index = AffinityIndex::new(2);
    (0..3).for_each(|block| index.apply(1, stored(block, block)));
    assert_eq!(index.longest_prefix(&[0]).0, 0);
    assert_eq!(index.longest_prefix(&[2]).0, 1);
}

// Everything fails at once. Retries end when the budget is spent, and come back with new arrivals only.
#[test]
fn retries_are_paid_for_by_arrivals() {
    let mut budget = RetryBudget::new(10, 3);
    let spent = std::iter::from_fn(|| budget.withdraw().then_some(())).count();
    assert_eq!(spent, 3);
    (0..9).for_each(|_| budget.deposit());
    assert!(!budget.withdraw());
    budget.deposit();
    assert!(budget.withdraw());
}
