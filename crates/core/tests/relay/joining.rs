//! Simulation of a fleet of daemons that start at the same time, with a store of limited bandwidth.

use hibiscusvale_core::relay::joining::{Joining, JoiningSettings, JoiningStep};
use hibiscusvale_core::units::{Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const STORE_BYTES_PER_MS: u64 = 80_000;
const ENTRY_BYTES: u64 = 200;

/// Time after which a read of the store times out.
const TIMEOUT_MS: u64 = 800;

/// Maximum number of queries from other daemons that a daemon answers per second.
const ANSWERS_PER_S: usize = 20;

const DATA_CENTRES: usize = 6;

/// Time from a daemon's receipt of the member list until its first message reaches the other daemons, on
/// hosts with a fraction of a core.
const FIRST_MESSAGE_DELAY_MS: u64 = 250;

struct Daemon {
    joining: Joining,
    starts_ms: u64,
    next_step_ms: u64,
    /// End of the pending read, and whether it succeeds before the timeout.
    read: Option<(u64, bool)>,
    /// Time at which the daemon received the member list.
    informed_ms: Option<u64>,
    /// Current second, and number of queries received in it.
    queries: (u64, usize),
}

/// Simulates the start of a fleet. Returns the time at which the last daemon received the member list, and
/// the number of bytes that the store sent.
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
                read: None,
                informed_ms: None,
                queries: (0, 0),
            }
        })
        .collect();
    let (mut busy_until_ms, mut bytes) = (0, 0);
    // Daemons that have the member list, by data centre. They send messages to the daemons that lack it.
    let mut informed: Vec<Vec<(u64, usize)>> = vec![Vec::new(); DATA_CENTRES];
    for now_ms in 0..60_000 {
        let now_us = MonoTime(now_ms * 1_000);
        for number in 0..daemons {
            let daemon = &mut fleet[number];
            if daemon.informed_ms.is_some() || now_ms < daemon.starts_ms {
                continue;
            }
            if let Some((at_ms, is_in_time)) = daemon.read {
                if now_ms < at_ms {
                    continue;
                }
                daemon.read = None;
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
            let reachable = informed.partition_point(|(at_ms, _)| now_ms >= at_ms + FIRST_MESSAGE_DELAY_MS);
            match daemon.joining.step(now_us, reachable > 0) {
                JoiningStep::AskPeer => {
                    daemon.next_step_ms = now_ms + 2;
                    let peer = &mut fleet[informed[rng.random_range(0..reachable)].1];
                    if peer.queries.0 != now_ms / 1_000 {
                        peer.queries = (now_ms / 1_000, 0);
                    }
                    peer.queries.1 += 1;
                    if peer.queries.1 <= ANSWERS_PER_S {
                        fleet[number].informed_ms = Some(now_ms);
                        informed.push((now_ms, number));
                    }
                }
                JoiningStep::ReadRegistry => {
                    let size = daemons as u64 * ENTRY_BYTES;
                    bytes += size;
                    busy_until_ms = busy_until_ms.max(now_ms) + size / STORE_BYTES_PER_MS;
                    let is_in_time = busy_until_ms <= now_ms + TIMEOUT_MS;
                    daemon.read = Some((busy_until_ms.min(now_ms + TIMEOUT_MS), is_in_time));
                }
                JoiningStep::Wait => daemon.next_step_ms = now_ms + 50,
            }
        }
        if fleet.iter().all(|daemon| daemon.informed_ms.is_some()) {
            return (now_ms, bytes);
        }
    }
    panic!("some daemons lack the member list after 60 s");
}

/// Guards against overload of the store when a fleet starts: 986 daemons that each read 986 entries at once
/// requested 194 MB. Most reads timed out and were repeated, and all other reads of the store failed for the
/// rest of the run.
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

/// A read of the store fails before any message of another daemon arrives. It is retried after a random
/// pause.
#[test]
fn a_failed_read_is_retried_after_a_pause() {
    let mut joining = Joining::new(JoiningSettings::default(), MonoTime(0), 0.0);
    assert_eq!(joining.step(MonoTime(0), false), JoiningStep::ReadRegistry);
    joining.failed(MonoTime(0), 0.5);
    assert_eq!(joining.step(MonoTime::default() + Millis(1_499), false), JoiningStep::Wait);
    assert_eq!(joining.step(MonoTime::default() + Millis(1_500), false), JoiningStep::ReadRegistry);
}
