//! Cost of the configuration fold, by number of partners.
//!
//! Run with `cargo bench -p hibiscusvale-core --bench config`. Record, checkpoint and memory sizes are
//! printed first.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use ed25519_dalek::SigningKey;
use hibiscusvale_core::config::{
    ChangeBody, CheckpointKey, ClassChange, ClassTarget, ConfigFold, ConfigState, HISTORY_PER_PARTNER,
    Record, SealedCheckpoint,
};
use hibiscusvale_core::ids::{ChangeId, ClassName, Offset, PartnerId};
use hibiscusvale_core::units::Millis;

const PARTNERS: [usize; 3] = [2, 28, 280];
const CLASSES: usize = 10;

fn key(partner: usize) -> SigningKey {
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&partner.to_le_bytes());
    SigningKey::from_bytes(&seed)
}

fn partner_id(partner: usize) -> PartnerId {
    format!("organisation-{partner}").parse().expect("a partner")
}

fn class(index: usize) -> ClassName {
    format!("class-of-work-{index}").parse().expect("a class")
}

fn publish(index: usize, target_ms: u64) -> ClassChange {
    ClassChange::Publish { class: class(index), target: ClassTarget::language(Millis(target_ms), Millis(31)) }
}

struct Bench {
    fold: ConfigFold,
    versions: Vec<Option<Offset>>,
}

impl Bench {
    /// Creates partners with all their classes and a full change history each.
    fn new(partners: usize) -> Self {
        let keys = (0..partners).map(|partner| (partner_id(partner), key(partner).verifying_key()));
        let mut fold = ConfigFold::new(keys.collect(), checkpoint_key());
        fold.allow_genesis();
        let mut bench = Self { fold, versions: vec![None; partners] };
        for partner in 0..partners {
            let all = (0..CLASSES).map(|index| publish(index, 800)).collect();
            bench.apply(partner, all);
            for round in 1..HISTORY_PER_PARTNER {
                bench.apply(partner, vec![publish(round % CLASSES, 800 + round as u64)]);
            }
        }
        bench
    }

    fn record(&self, partner: usize, changes: Vec<ClassChange>) -> Vec<u8> {
        let body = ChangeBody {
            made_from: self.versions[partner],
            author: "an operator".parse().expect("an author"),
            made_at_unix_ms: 1_700_000_000_000,
            changes,
        };
        let change_id = ChangeId(u128::from(self.fold.state().next_offset().0));
        Record::Change(body.sign(&partner_id(partner), change_id, &key(partner))).encode()
    }

    fn apply(&mut self, partner: usize, changes: Vec<ClassChange>) {
        let record = self.record(partner, changes);
        let offset = self.fold.state().next_offset();
        assert_eq!(self.fold.ingest(offset, &record).accepted, 1);
        self.versions[partner] = Some(offset);
    }
}

fn checkpoint_key() -> CheckpointKey {
    CheckpointKey::derive(b"shared")
}

/// Anonymous resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or_default()
}

fn fold(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config");
    for partners in PARTNERS {
        let before_kib = resident_kib();
        let bench = Bench::new(partners);
        let grown_kib = resident_kib().saturating_sub(before_kib);
        let state = Arc::clone(bench.fold.state());
        let record = bench.record(partners / 2, vec![publish(3, 900)]);
        let checkpoint = SealedCheckpoint::seal(&state, &checkpoint_key());
        println!(
            "{partners} partners, {} classes: record {} B, checkpoint {} B, memory grown by {grown_kib} KiB",
            state.classes_total(),
            record.len(),
            checkpoint.state_bytes()
        );
        let offset = state.next_offset();
        group.bench_function(
            BenchmarkId::new("fold one change while the old state is still read", partners),
            |bencher| {
                bencher.iter_batched_ref(
                    || bench.fold.clone(),
                    |fold| fold.ingest(offset, &record),
                    BatchSize::SmallInput,
                );
            },
        );
        group.bench_function(BenchmarkId::new("digest", partners), |bencher| {
            bencher.iter(|| black_box(&state).digest());
        });
        group.bench_function(BenchmarkId::new("seal", partners), |bencher| {
            bencher.iter(|| SealedCheckpoint::seal(black_box(&state), &checkpoint_key()));
        });
        group.bench_function(BenchmarkId::new("open", partners), |bencher| {
            bencher.iter(|| checkpoint.open(&checkpoint_key()));
        });
        look_up(&mut group, partners, &state);
    }
    group.finish();
}

fn look_up(
    group: &mut criterion::BenchmarkGroup<'_, criterion::measurement::WallTime>,
    partners: usize,
    state: &ConfigState,
) {
    let (partner, class) = (partner_id(partners / 2), class(3));
    group.bench_function(BenchmarkId::new("look up a class", partners), |bencher| {
        bencher.iter(|| state.class(black_box(&partner), black_box(&class)).copied());
    });
}

criterion_group!(benches, fold);
criterion_main!(benches);
