//! Which statement of a server counts.

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::quota::{LimitStatement, ServerLimits};
use hibiscusvale_core::units::{Credit, CreditPerSecond, Millis, MonoTime};
use rstest::rstest;

use crate::world::{Trouble, World};

fn server() -> BackendServerId {
    "i-1".parse().unwrap()
}

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

fn limit(requests: u64) -> Option<CreditPerSecond> {
    Some(CreditPerSecond(requests * 1_000))
}

fn statement(requests: u64, age_ms: u64) -> LimitStatement {
    LimitStatement { server: server(), rate: limit(requests), age_ms: Millis(age_ms) }
}

#[test]
fn the_newest_answer_counts() {
    let mut limits = ServerLimits::default();
    assert!(!limits.answered(at(0), &server(), None));
    assert!(limits.answered(at(10), &server(), limit(5)));
    assert!(!limits.answered(at(20), &server(), limit(5)));
    assert!(limits.answered(at(30), &server(), limit(3)));
    assert_eq!(limits.rate(&server()), limit(3));
    assert!(limits.answered(at(40), &server(), None));
    assert_eq!((limits.rate(&server()), limits.limited()), (None, 0));
}

/// A limit was withdrawn; another daemon's word from before must not bring it back.
#[test]
fn an_older_word_changes_nothing() {
    let mut limits = ServerLimits::default();
    limits.answered(at(1_000), &server(), limit(5));
    limits.answered(at(1_500), &server(), None);
    assert!(!limits.merge(at(2_000), &statement(5, 900)));
    assert_eq!(limits.rate(&server()), None);
    assert!(limits.merge(at(2_000), &statement(4, 100)));
    assert_eq!(limits.rate(&server()), limit(4));
}

/// What is older than the process is older than whatever it heard itself.
#[test]
fn a_word_from_before_the_start_is_the_oldest() {
    let mut limits = ServerLimits::default();
    assert!(limits.merge(at(100), &statement(4, 9_000)));
    limits.answered(at(200), &server(), limit(6));
    assert!(!limits.merge(at(300), &statement(4, 9_000)));
    assert_eq!(limits.rate(&server()), limit(6));
}

#[test]
fn a_change_goes_out_in_three_messages() {
    let mut limits = ServerLimits::default();
    limits.answered(at(0), &server(), limit(5));
    let told: Vec<usize> = (0..5).map(|ms| limits.gossip(at(ms)).len()).collect();
    assert_eq!(told, [1, 1, 1, 0, 0]);
    limits.answered(at(10), &server(), limit(5));
    assert!(limits.gossip(at(11)).is_empty());
    limits.retain(|_| false);
    assert_eq!(limits.rate(&server()), None);
}

/// Changes go to hundreds of daemons.
#[test]
fn a_statement_is_small() {
    let statement =
        LimitStatement { server: "i-0123456789".parse().unwrap(), rate: limit(50), age_ms: Millis(900_000) };
    assert!(postcard::to_stdvec(&statement).unwrap().len() < 32);
}

const SURGE: f64 = 4.0;

/// From when on a limit has to be kept, after it was stated first.
const CONTACT_MS: u64 = 3_000;

/// One and a half times the limit in four seconds, and five requests.
fn allowed(rate: u64) -> Credit {
    Credit(rate * 4 * 3 / 2 + 5_000)
}

fn surge(daemons: usize, rate: u64, trouble: Trouble, seed: u64) -> World {
    let mut world = World::before_server(daemons, CreditPerSecond(rate), trouble, seed);
    world.play(20_000, |_| SURGE);
    world
}

/// All daemons send to one server that states a limit, four times as much as it takes.
#[rstest]
#[case::calm(Trouble::default())]
#[case::lossy(Trouble { lost: 10, ..Trouble::default() })]
#[case::very_lossy(Trouble { lost: 33, ..Trouble::default() })]
#[case::some_restart(Trouble { restart: Some((9_000, 30)), ..Trouble::default() })]
#[case::all_restart(Trouble { restart: Some((9_000, 100)), ..Trouble::default() })]
#[case::cut(Trouble { cut_ms: Some((7_000, 13_000)), ..Trouble::default() })]
#[case::frozen(Trouble { freeze_ms: Some((7_000, 12_000)), ..Trouble::default() })]
#[case::restart_in_a_cut(Trouble { cut_ms: Some((7_000, 13_000)), restart: Some((8_500, 100)), ..Trouble::default() })]
fn a_limit_is_kept(
    #[case] trouble: Trouble,
    #[values(4, 9, 58, 195)] daemons: usize,
    #[values(500, 5_000, 50_000)] rate: u64,
) {
    for seed in 0..3 {
        let worst = surge(daemons, rate, trouble, seed).most_in_window(CONTACT_MS);
        assert!(worst <= allowed(rate), "{worst} of {}, seed {seed}", allowed(rate));
    }
}

#[test]
fn a_limit_is_kept_by_hundreds_of_daemons() {
    let world = surge(413, 5_000, Trouble { lost: 10, ..Trouble::default() }, 1);
    assert!(world.most_in_window(CONTACT_MS) <= allowed(5_000), "{}", world.most_in_window(CONTACT_MS));
}

/// Callers are refused while the limit stands unused.
#[rstest]
fn a_limit_is_used(#[values(4, 9, 58, 195, 413)] daemons: usize, #[values(500, 5_000, 50_000)] rate: u64) {
    let used = surge(daemons, rate, Trouble::default(), 2).used_part();
    assert!(used >= 0.85, "{used:.3} used");
}
