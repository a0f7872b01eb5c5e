//! Daemons that start together before a store that sends a limited number of bytes.

use hibiscusvale_core::relay::joining::{Joining, JoiningSettings, JoiningStep};
use hibiscusvale_core::units::{Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const STORE_BYTES_PER_MS: u64 = 80_000;
const ENTRY_BYTES: u64 = 200;

/// Time for which an answer of the store is waited for.
const TIMEOUT_MS: u64 = 800;

/// Answers that a daemon gives in a second to others.
const ANSWERS_PER_S: usize = 20;

const DATA_CENTRES: usize = 6;

/// Time from knowing the others until they have the first message, on hosts with a small part of a core.
const HEARD_AFTER_MS: u64 = 250;

struct Daemon {
    joining: Joining,
    starts_ms: u64,
    looks_ms: u64,
    /// When the answer of the store comes, if it is in time.
    reads: Option<(u64, bool)>,
    knows_ms: Option<u64>,
    answers: (u64, usize),
}

/// Plays a start; returns when the last daemon knew the others, and the bytes that the store sent.
fn play(daemons: usize, settings: JoiningSettings, seed: u64) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet: Vec<Daemon> = (0..daemons)
        .map(|_| {
            let starts_ms = rng.random_range(0..300);
            let joining = Joining::new(settings, MonoTime(starts_ms * 1_000), rng.random());
            Daemon { joining, starts_ms, looks_ms: starts_ms, reads: None, knows_ms: None, answers: (0, 0) }
        })
        .collect();
    let (mut busy_until_ms, mut bytes) = (0, 0);
    // Daemons that know all others, by data centre: all of these are heard by the rest.
    let mut knowing: Vec<Vec<(u64, usize)>> = vec![Vec::new(); DATA_CENTRES];
    for now_ms in 0..60_000 {
        let now_us = MonoTime(now_ms * 1_000);
        for number in 0..daemons {
            let daemon = &mut fleet[number];
            if daemon.knows_ms.is_some() || now_ms < daemon.starts_ms {
                continue;
            }
            if let Some((at_ms, is_in_time)) = daemon.reads {
                if now_ms < at_ms {
                    continue;
                }
                daemon.reads = None;
                if is_in_time {
                    daemon.knows_ms = Some(now_ms);
                    knowing[number % DATA_CENTRES].push((now_ms, number));
                    continue;
                }
                daemon.joining.failed(now_us, rng.random());
            }
            if now_ms < daemon.looks_ms {
                continue;
            }
            let knowing = &mut knowing[number % DATA_CENTRES];
            let heard = knowing.partition_point(|(at_ms, _)| now_ms >= at_ms + HEARD_AFTER_MS);
            match daemon.joining.step(now_us, heard > 0) {
                JoiningStep::AskPeer => {
                    daemon.looks_ms = now_ms + 2;
                    let peer = &mut fleet[knowing[rng.random_range(0..heard)].1];
                    if peer.answers.0 != now_ms / 1_000 {
                        peer.answers = (now_ms / 1_000, 0);
                    }
                    peer.answers.1 += 1;
                    if peer.answers.1 <= ANSWERS_PER_S {
                        fleet[number].knows_ms = Some(now_ms);
                        knowing.push((now_ms, number));
                    }
                }
                JoiningStep::ReadRegister => {
                    let size = daemons as u64 * ENTRY_BYTES;
                    bytes += size;
                    busy_until_ms = busy_until_ms.max(now_ms) + size / STORE_BYTES_PER_MS;
                    let is_in_time = busy_until_ms <= now_ms + TIMEOUT_MS;
                    daemon.reads = Some((busy_until_ms.min(now_ms + TIMEOUT_MS), is_in_time));
                }
                JoiningStep::Wait => daemon.looks_ms = now_ms + 50,
            }
        }
        if fleet.iter().all(|daemon| daemon.knows_ms.is_some()) {
            return (now_ms, bytes);
        }
    }
    panic!("not all daemons know the others after a minute");
}

/// 986 daemons read 986 entries each at once, 194 MB. Most of them gave up waiting and asked again, and nothing else could be
/// read from the store for the rest of the day.
#[rstest]
#[case(9)]
#[case(986)]
#[case(2_000)]
fn a_fleet_that_starts_at_once_does_not_overload_the_store(#[case] daemons: usize) {
    for seed in 0..3 {
        let (took_ms, bytes) = play(daemons, JoiningSettings::default(), seed);
        let all_bytes = (daemons * daemons) as u64 * ENTRY_BYTES;
        assert!(took_ms <= 5_000, "{took_ms} ms");
        assert!(daemons < 100 || bytes <= all_bytes / 4, "{bytes} of {all_bytes} bytes");
    }
}

/// The store failed, and the daemon is not heard by any other. It asks again, later each time by another span.
#[test]
fn a_failed_read_is_followed_by_a_pause() {
    let mut joining = Joining::new(JoiningSettings::default(), MonoTime(0), 0.0);
    assert_eq!(joining.step(MonoTime(0), false), JoiningStep::ReadRegister);
    joining.failed(MonoTime(0), 0.5);
    assert_eq!(joining.step(MonoTime::default() + Millis(1_499), false), JoiningStep::Wait);
    assert_eq!(joining.step(MonoTime::default() + Millis(1_500), false), JoiningStep::ReadRegister);
}
