//! What is sent beyond a quota, and what is refused within it.

use rstest::rstest;

use crate::world::{Trouble, Way, World};

const SURGE: f64 = 7.5;
const USUAL: f64 = 0.55;

fn played(way: Way, daemons: usize, trouble: Trouble, load: impl Fn(u64) -> f64) -> World {
    let mut world = World::new(way, daemons, trouble, 7);
    world.play(20_000, load);
    world
}

/// A tenant sends several times its quota through many daemons. In no window more runs than is tolerated, whatever
/// happens to daemons and messages meanwhile.
#[rstest]
#[case::calm(Trouble::default())]
#[case::lossy(Trouble { lost: 10, ..Trouble::default() })]
#[case::some_restart(Trouble { restart: Some((9_000, 30)), ..Trouble::default() })]
#[case::all_restart(Trouble { restart: Some((9_000, 100)), ..Trouble::default() })]
#[case::cut(Trouble { cut_ms: Some((7_000, 13_000)), ..Trouble::default() })]
#[case::cut_and_lossy(Trouble { cut_ms: Some((7_000, 13_000)), lost: 5, ..Trouble::default() })]
#[case::frozen(Trouble { freeze_ms: Some((7_000, 12_000)), ..Trouble::default() })]
#[case::restart_in_a_cut(Trouble { cut_ms: Some((7_000, 13_000)), restart: Some((8_500, 100)), ..Trouble::default() })]
fn no_window_is_overspent(#[case] trouble: Trouble, #[values(9, 58, 195)] daemons: usize) {
    let world = played(Way::Ledger, daemons, trouble, |_| SURGE);
    assert!(world.worst_window(0) <= 1.0, "{:.3} of what is tolerated", world.worst_window(0));
}

/// A quota is lowered to a quarter in the middle of a surge: it binds from the next window on.
#[rstest]
fn a_lowered_quota_binds(#[values(9, 58)] daemons: usize) {
    let trouble = Trouble { lower: Some((6_000, 4)), ..Trouble::default() };
    let world = played(Way::Ledger, daemons, trouble, |_| SURGE);
    assert!(world.worst_window(6_400) <= 1.0, "{:.3} of what is tolerated", world.worst_window(6_400));
}

/// Requests within the quota come through a few of many daemons. With the same part for each daemon most of them
/// would be refused while the quota is hardly used.
#[rstest]
fn hardly_a_request_within_the_quota_is_refused(#[values(9, 58, 195, 413)] daemons: usize) {
    let burst = |at_ms: u64| if (8_000..10_000).contains(&at_ms) { 1.5 } else { USUAL };
    let world = played(Way::Ledger, daemons, Trouble::default(), burst);
    assert!(world.refused_part() < 0.02, "{:.3} refused", world.refused_part());
    let parts = played(Way::EvenParts, daemons, Trouble::default(), burst);
    assert!(parts.refused_part() > 4.0 * world.refused_part(), "{:.3} refused", parts.refused_part());
}

/// The daemon in charge stands still at the usual load. Others stand in for it until it is known to be silent.
#[rstest]
fn requests_go_on_without_the_daemon_in_charge(#[values(9, 58)] daemons: usize) {
    let trouble = Trouble { freeze_ms: Some((7_000, 12_000)), ..Trouble::default() };
    let world = played(Way::Ledger, daemons, trouble, |_| USUAL);
    assert!(world.refused_part() < 0.05, "{:.3} refused", world.refused_part());
}
