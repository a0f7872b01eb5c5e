//! Tests of the prefix affinity index and the retry budget.

use hibiscusvale_core::sched::{AffinityIndex, CacheEvent, CacheEventKind, PartnerRetryBudget};

fn stored(seq: u64, block: u64) -> CacheEvent {
    CacheEvent { seq, kind: CacheEventKind::Stored, block }
}

// The longest stored prefix is found, and an evicted block no longer counts.
#[test]
fn finds_the_longest_prefix() {
    let mut index = AffinityIndex::new(100);
    (0..3).for_each(|block| index.apply(7, stored(block, 10 + block)));
    assert_eq!(index.longest_prefix(&[10, 11, 12, 13]), (3, [Some(7), None, None]));
    index.apply(7, CacheEvent { seq: 3, kind: CacheEventKind::Evicted, block: 12 });
    assert_eq!(index.longest_prefix(&[10, 11, 12, 13]).0, 2);
}

// Guards against stale entries after lost events, among them evictions: requests would be sent to blocks no
// longer cached. Only the entries of the affected server are invalidated.
#[test]
fn wide_gap_invalidates_the_entries_of_one_server() {
    let mut index = AffinityIndex::new(100);
    index.apply(1, stored(1, 10));
    index.apply(2, stored(1, 20));
    index.apply(1, stored(500, 30));
    assert_eq!(index.longest_prefix(&[10]).0, 0);
    assert_eq!(index.longest_prefix(&[20]).0, 1);
    assert_eq!(index.longest_prefix(&[30]).0, 1);
}

// The index keeps its bound however many blocks the engines store.
#[test]
fn oldest_blocks_are_evicted_first() {
    let mut index = AffinityIndex::new(2);
    (0..3).for_each(|block| index.apply(1, stored(block, block)));
    assert_eq!(index.longest_prefix(&[0]).0, 0);
    assert_eq!(index.longest_prefix(&[2]).0, 1);
}

// When every request fails, retries stop once the budget is spent and resume only with new arrivals.
#[test]
fn arrivals_fund_retries() {
    let mut budget = PartnerRetryBudget::new(10, 3);
    let withdrawn = std::iter::from_fn(|| budget.withdraw().then_some(())).count();
    assert_eq!(withdrawn, 3);
    (0..9).for_each(|_| budget.deposit());
    assert!(!budget.withdraw());
    budget.deposit();
    assert!(budget.withdraw());
}
