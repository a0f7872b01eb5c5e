//! What a request that crashes servers can do among many daemons.

use rstest::rstest;

use crate::world::{CALM, Trouble, World};

/// Times that a crashing request may be sent to servers by daemons that had the time to know.
const SENT_LATE_MAX: usize = 3;

const SECOND_MS: u64 = 1_000;

fn play(daemons: usize, servers: usize, trouble: Trouble, seed: u64, end_ms: u64) -> World {
    let mut world = World::new(daemons, servers, trouble, seed);
    world.play(end_ms);
    for (number, harm) in world.harms.iter().enumerate() {
        println!(
            "{daemons} daemons, seed {seed}, request {number}: {} crashes, {} late; innocent refused {} of {}",
            harm.crashed_ms.len(),
            harm.sent_late(),
            world.innocent_refused,
            world.innocent_sent,
        );
        assert!(harm.sent_late() <= SENT_LATE_MAX, "sent {} times more: {harm:?}", harm.sent_late());
    }
    world
}

/// Each crash is seen by another daemon, and none sees three.
#[rstest]
#[case(9, 11)]
#[case(58, 40)]
#[case(195, 60)]
#[case(413, 80)]
fn all_daemons_know_within_the_bound(#[case] daemons: usize, #[case] servers: usize) {
    let world = play(daemons, servers, CALM, 1, 9 * SECOND_MS);
    assert!(world.harms[0].crashed_ms.len() <= 4, "{:?}", world.harms[0].crashed_ms);
    assert_eq!(world.innocent_refused, 0);
}

/// Messages are lost by the tenth or by the third; a lost report is noticed by the digest.
#[rstest]
fn lost_messages_delay_what_is_known(#[values(9, 58, 195)] daemons: usize, #[values(10, 33)] lost: u32) {
    for seed in 0..3 {
        play(daemons, 40, Trouble { lost, ..CALM }, seed, 9 * SECOND_MS);
    }
}

/// A third of the daemons is cut off while the request crashes servers on the other side, and knows once it is back.
#[rstest]
fn daemons_that_were_cut_off_know_when_they_are_back(#[values(9, 58, 195)] daemons: usize) {
    for seed in 0..3 {
        let trouble = Trouble { cut_ms: Some((500, 8 * SECOND_MS)), lost: 10, ..CALM };
        play(daemons, 40, trouble, seed, 14 * SECOND_MS);
    }
}

/// Every second daemon starts again after the verdict, and has forgotten it.
#[rstest]
fn daemons_that_start_again_learn_it(#[values(9, 58, 195)] daemons: usize) {
    for seed in 0..3 {
        let trouble = Trouble { restart_ms: Some(5 * SECOND_MS), lost: 10, ..CALM };
        play(daemons, 40, trouble, seed, 12 * SECOND_MS);
    }
}

/// It comes seldom, seconds apart.
#[test]
fn a_request_that_comes_seldom_is_remembered() {
    let world = play(9, 11, Trouble { comes_each_ms: 7_000, ..CALM }, 5, 90 * SECOND_MS);
    assert!(world.harms[0].crashed_ms.len() <= 4, "{:?}", world.harms[0].crashed_ms);
}

/// Servers are killed for another reason all the while. Requests that were at several of them are not to blame.
#[rstest]
fn innocent_requests_are_served_while_servers_are_killed(#[values(0, 1, 4)] crashing: usize) {
    let mut refused = 0;
    for seed in 0..20 {
        let trouble = Trouble { kill_each_ms: Some(900), crashing, lost: 3, ..CALM };
        refused += play(9, 11, trouble, seed, 30 * SECOND_MS).innocent_refused;
    }
    assert_eq!(refused, 0);
}

/// The same with so many kills and crashing requests at once that crashes coincide.
#[rstest]
fn innocent_requests_are_served_while_crashes_coincide(#[values(67, 128, 235, 457)] seed: u64) {
    let trouble = Trouble { kill_each_ms: Some(900), crashing: 4, lost: 3, ..CALM };
    assert_eq!(play(9, 11, trouble, seed, 30 * SECOND_MS).innocent_refused, 0);
}

/// Several requests crash servers at once; each is found.
#[test]
fn several_at_once_are_each_found() {
    for seed in 0..10 {
        let world = play(9, 11, Trouble { crashing: 4, ..CALM }, seed, 20 * SECOND_MS);
        assert_eq!(world.innocent_refused, 0);
    }
}
