//! Parts of the allowance: never overspent together, and used where they are needed.

use hibiscusvale_core::allowance::{Allowance, AllowanceSettings, TRY};
use hibiscusvale_core::units::{Credit, Millis, MonoTime};
use rstest::rstest;

use crate::world::{QUESTION_MS, Trouble, World};

/// Slack of all daemons for each of them, as installations of today have it: between one try and seven.
const SLACK_PER_DAEMON: f64 = 1.76;

const END_MS: u64 = 34_000;

/// When the parts are in use: a window and the life of a loan after the start.
const OPEN_MS: u64 = 12_000;

const USUAL_LOSSES: Trouble = Trouble { lost: 1, doubled: 2, late: 1, cut_ms: None, restart_ms: None };

fn bad_network() -> Trouble {
    Trouble { lost: 10, doubled: 10, late: 10, ..Trouble::default() }
}

/// Engines fail in numbers and every daemon has many requests that want another try. All of them lend and borrow over a
/// network that loses, delays and doubles messages, is cut for seconds, or all hosts lose power. Whatever happens, servers
/// must not get more in any window than all parts together and what requests earned: they would be overrun by tries when
/// they are weakest.
#[rstest]
fn no_window_is_overspent(
    #[values(9, 23, 71, 195)] daemons: usize,
    #[values(
        Trouble::default(),
        bad_network(),
        Trouble { cut_ms: Some((14_000, 22_000)), ..bad_network() },
        Trouble { restart_ms: Some(19_000), ..bad_network() },
    )]
    trouble: Trouble,
    #[values(1, 2, 3)] seed: u64,
) {
    let slack = SLACK_PER_DAEMON * daemons as f64;
    let mut world = World::new(daemons, slack, trouble, seed, END_MS);
    world.requests(daemons as u64 * 6);
    world.tries((slack * 12.0) as u64, 0, END_MS);
    world.run();
    let (beyond, parts) = (world.most_beyond_earned(), world.parts());
    assert!(beyond <= parts.0 as i64, "{beyond} of {parts} in one window");
    assert!(world.spent_ms.len() as f64 > slack, "{} tries in all", world.spent_ms.len());
}

/// One engine of many dies and the requests that were there want another try, at daemons that own about one each. Told
/// that the allowance is spent, their callers would be refused though it is hardly touched.
#[rstest]
fn nobody_is_denied_while_others_have_some_left(
    #[values(9, 23, 71, 195)] daemons: usize,
    #[values(Trouble::default(), USUAL_LOSSES)] trouble: Trouble,
    #[values(1, 2)] seed: u64,
) {
    assert_nobody_is_denied(daemons, trouble, seed);
}

/// The same among as many daemons as are aimed at.
#[test]
fn nobody_is_denied_among_four_hundred_daemons() {
    assert_nobody_is_denied(413, USUAL_LOSSES, 1);
}

fn assert_nobody_is_denied(daemons: usize, trouble: Trouble, seed: u64) {
    let slack = SLACK_PER_DAEMON * daemons as f64;
    let mut world = World::new(daemons, slack, trouble, seed, 16_000);
    world.requests(daemons as u64);
    world.tries((slack * 0.7) as u64, OPEN_MS, OPEN_MS + 1_500);
    world.run();
    let tenth = Credit(world.parts().0 / 10);
    let in_vain: Vec<_> = world.denied.iter().filter(|(_, unused)| *unused > tenth).collect();
    assert!(in_vain.is_empty(), "{} of {} tries: {in_vain:?}", in_vain.len(), world.spent_ms.len());
}

/// The slack is less than one try for each daemon. Divided alone, nobody could ever try again.
#[test]
fn parts_below_one_try_are_put_together() {
    let mut world = World::new(80, 28.7, Trouble::default(), 7, 16_000);
    world.tries(10, OPEN_MS, OPEN_MS + 1_000);
    world.run();
    assert_eq!((world.spent_ms.len(), world.denied.len()), (10, 0));
}

/// All daemons that one knows are gone, or cut off. Its requests must not wait for loans that cannot come.
#[test]
fn a_daemon_whose_lenders_are_silent_denies_within_moments() {
    let settings = AllowanceSettings { part: Credit(500), ..AllowanceSettings::default() };
    let mut allowance = Allowance::new(settings, 1);
    for lender in ["entry-2", "entry-3"] {
        allowance.told(&lender.parse().unwrap(), TRY);
    }
    let mut now_us = MonoTime::default() + Millis(60_000);
    let mut asked = Vec::new();
    while allowance.may_borrow() && asked.len() < 9 {
        asked.extend(allowance.ask(now_us, 1).map(|ask| ask.lender));
        now_us = now_us + Millis(QUESTION_MS);
        let _ = allowance.ask(now_us, 1).map(|ask| asked.push(ask.lender));
    }
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(now_us < MonoTime::default() + Millis(61_200));
}

/// A daemon is killed and started again over and over. Each life knows nothing of what the one before has spent; with a
/// full part at each start it would spend as many parts as it has lives.
#[test]
fn a_daemon_that_starts_again_has_no_new_part() {
    let settings = AllowanceSettings { part: Credit(4 * TRY.0), ..AllowanceSettings::default() };
    let allowance = Allowance::new(settings, 1);
    assert!(!allowance.has(MonoTime::default() + Millis(9_999), 1));
    assert!(allowance.has(MonoTime::default() + Millis(11_000), 1));
}
