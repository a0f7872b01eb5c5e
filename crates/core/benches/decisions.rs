//! Time of one decision. On a shared machine the instruction counts of `scripts/decision-cost` hold better.
#![allow(clippy::pedantic, missing_docs, reason = "shares the fakes of the tests")]

#[path = "../tests/sched/cost.rs"]
mod cost;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for replicas in [10, 100, 1_000] {
        let mut placing = cost::Placing::new(replicas, 2);
        group.bench_function(BenchmarkId::new("place", replicas), |bencher| bencher.iter(|| placing.step()));
    }
    for partners in [2, 28, 280] {
        let mut granting = cost::Granting::new(partners);
        group.bench_function(BenchmarkId::new("grant", partners), |bencher| bencher.iter(|| granting.step()));
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
