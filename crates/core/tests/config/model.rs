//! Replays the traces of `spec/config.pml` through the real fold. `spec/check` verifies that the traces match
//! the model.

use hibiscusvale_core::config::{ConfigFold, PartnerConfig, Record};
use hibiscusvale_core::ids::Offset;

use crate::support::{daemon, nadifa};

const TRACES: &str = include_str!("../../../../spec/traces/config.txt");

/// The version in force as the model numbers it: the offset of the accepted change plus one, or 0 for none.
fn version(fold: &ConfigFold) -> u64 {
    let partner = fold.state().partner(&nadifa().id);
    partner.and_then(PartnerConfig::version).map_or(0, |offset| offset.0 + 1)
}

/// A fold of all records ever appended before `position`.
fn full_fold(log: &[Vec<u8>], position: u64) -> ConfigFold {
    let mut fold = daemon();
    for (offset, record) in (0..position).zip(log) {
        fold.ingest(Offset(offset), record);
    }
    fold
}

/// Replays stale publishes, daemon replacements, record expiry, checkpoints and late states. After each step
/// the fold must have the same version in force as the model.
#[test]
fn code_and_model_agree_on_versions() {
    let mut log: Vec<Vec<u8>> = Vec::new();
    let mut daemons = [daemon(), daemon()];
    let mut compared = 0;
    for line in TRACES.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let number = |at: usize| words[at].parse::<u64>().expect("a number");
        let at = |number: u64| usize::try_from(number).expect("small");
        match words[0] {
            "seed" => {
                log.clear();
                daemons = [daemon(), daemon()];
            }
            "change" => {
                let made_from = number(1).checked_sub(1);
                let id = log.len() as u64 + 1;
                log.push(nadifa().publish(id.into(), made_from, "bookings", id));
            }
            "checkpoint" => {
                let sealed = full_fold(&log, number(1)).seal();
                log.push(Record::Checkpoint(sealed).encode());
            }
            "fold" => {
                let offset = number(2) - 1;
                daemons[at(number(1))].ingest(Offset(offset), &log[at(offset)]);
            }
            "load" => {
                let offset = number(2);
                daemons[at(number(1))].ingest(Offset(offset), &log[at(offset)]);
            }
            "adopt" => {
                let sealed = full_fold(&log, number(2)).seal();
                daemons[at(number(1))].adopt(&sealed).expect("sealed by a daemon");
            }
            "crash" => daemons[at(number(1))] = daemon(),
            "expire" => {}
            other => panic!("unknown move {other}"),
        }
        if matches!(words[0], "fold" | "load" | "adopt") {
            assert_eq!(version(&daemons[at(number(1))]), number(3), "{line}");
            compared += 1;
        }
    }
    assert!(compared > 500, "{compared} versions compared");
}
