//! Duration of one decision. On a shared machine the instruction counts of `scripts/decision-cost` are more
//! stable.
#![allow(clippy::pedantic, missing_docs, reason = "shares the fakes of the tests")]

#[path = "../tests/sched/cost.rs"]
mod cost;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for replicas in [10, 100, 1_000] {
        let mut placement = cost::PlacementBench::new(replicas, 2);
        group
            .bench_function(BenchmarkId::new("place", replicas), |bencher| bencher.iter(|| placement.step()));
    }
    for partners in [2, 28, 280] {
        let mut grants = cost::GrantBench::new(partners);
        group.bench_function(BenchmarkId::new("grant", partners), |bencher| bencher.iter(|| grants.step()));
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
