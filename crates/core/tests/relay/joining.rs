//! Daemons that start together, with a store that sends a limited number of bytes.

use hibiscusvale_core::relay::joining::{Joining, JoiningSettings, JoiningStep};
use hibiscusvale_core::units::{Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const STORE_BYTES_PER_MS: u64 = 80_000;
const ENTRY_BYTES: u64 = 200;

/// Time after which a read of the store times out.
const TIMEOUT_MS: u64 = 800;

/// Answers that a daemon gives per second to others.
const ANSWERS_PER_S: usize = 20;

const DATA_CENTRES: usize = 6;

/// Time from knowing the others until the first message reaches them, on hosts with a small part of a core.
const HEARD_AFTER_MS: u64 = 250;

struct Daemon {
    joining: Joining,
    starts_ms: u64,
    next_step_ms: u64,
    /// When the read ends, and whether the answer was in time.
    reads: Option<(u64, bool)>,
    informed_ms: Option<u64>,
    answers: (u64, usize),
}

/// Simulates a start; returns when the last daemon knew the others, and the bytes that the store sent.
fn simulate(daemons: usize, settings: JoiningSettings, seed: u64) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet: Vec<Daemon> = (0..daemons)
        .map(|_| {
            let starts_ms = rng.random_range(0..300);
            let joining = Joining::new(settings, MonoTime(starts_ms * 1_000), rng.random());
            Daemon {
                joining,
                starts_ms,
                next_step_ms: starts_ms,
                reads: None,
                informed_ms: None,
                answers: (0, 0),
            }
        })
        .collect();
    let (mut busy_until_ms, mut bytes) = (0, 0);
    // Daemons that know all others, by data centre: the rest receive messages from them.
    let mut informed: Vec<Vec<(u64, usize)>> = vec![Vec::new(); DATA_CENTRES];
    for now_ms in 0..60_000 {
        let now_us = MonoTime(now_ms * 1_000);
        for number in 0..daemons {
            let daemon = &mut fleet[number];
            if daemon.informed_ms.is_some() || now_ms < daemon.starts_ms {
                continue;
            }
            if let Some((at_ms, is_in_time)) = daemon.reads {
                if now_ms < at_ms {
                    continue;
                }
                daemon.reads = None;
                if is_in_time {
                    daemon.informed_ms = Some(now_ms);
                    informed[number % DATA_CENTRES].push((now_ms, number));
                    continue;
                }
                daemon.joining.failed(now_us, rng.random());
            }
            if now_ms < daemon.next_step_ms {
                continue;
            }
            let informed = &mut informed[number % DATA_CENTRES];
            let heard = informed.partition_point(|(at_ms, _)| now_ms >= at_ms + HEARD_AFTER_MS);
            match daemon.joining.step(now_us, heard > 0) {
                JoiningStep::AskPeer => {
                    daemon.next_step_ms = now_ms + 2;
                    let peer = &mut fleet[informed[rng.random_range(0..heard)].1];
                    if peer.answers.0 != now_ms / 1_000 {
                        peer.answers = (now_ms / 1_000, 0);
                    }
                    peer.answers.1 += 1;
                    if peer.answers.1 <= ANSWERS_PER_S {
                        fleet[number].informed_ms = Some(now_ms);
                        informed.push((now_ms, number));
                    }
                }
                JoiningStep::ReadRegistry => {
                    let size = daemons as u64 * ENTRY_BYTES;
                    bytes += size;
                    busy_until_ms = busy_until_ms.max(now_ms) + size / STORE_BYTES_PER_MS;
                    let is_in_time = busy_until_ms <= now_ms + TIMEOUT_MS;
                    daemon.reads = Some((busy_until_ms.min(now_ms + TIMEOUT_MS), is_in_time));
                }
                JoiningStep::Wait => daemon.next_step_ms = now_ms + 50,
            }
        }
        if fleet.iter().all(|daemon| daemon.informed_ms.is_some()) {
            return (now_ms, bytes);
        }
    }
    panic!("not all daemons know the others after a minute");
}

/// 986 daemons read 986 entries each at once, 194 MB. Most reads timed out and were repeated, and nothing
/// else could be read from the store for the rest of the run.
#[rstest]
#[case(9)]
#[case(986)]
#[case(2_000)]
fn a_fleet_that_starts_at_once_does_not_overload_the_store(#[case] daemons: usize) {
    for seed in 0..3 {
        let (took_ms, bytes) = simulate(daemons, JoiningSettings::default(), seed);
        let all_bytes = (daemons * daemons) as u64 * ENTRY_BYTES;
        assert!(took_ms <= 5_000, "{took_ms} ms");
        assert!(daemons < 100 || bytes <= all_bytes / 4, "{bytes} of {all_bytes} bytes");
    }
}

/// The store failed, and no message of another daemon has arrived. The read is repeated after a random pause.
#[test]
fn a_failed_read_is_retried_after_a_pause() {
    let mut joining = Joining::new(JoiningSettings::default(), MonoTime(0), 0.0);
    assert_eq!(joining.step(MonoTime(0), false), JoiningStep::ReadRegistry);
    joining.failed(MonoTime(0), 0.5);
    assert_eq!(joining.step(MonoTime::default() + Millis(1_499), false), JoiningStep::Wait);
    assert_eq!(joining.step(MonoTime::default() + Millis(1_500), false), JoiningStep::ReadRegistry);
}
