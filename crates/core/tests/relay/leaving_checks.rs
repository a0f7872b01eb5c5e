//! Which servers are asked whether they leave, and which get no requests.

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::relay::leaving_checks::{Finding, LeavingChecks, ListAge, ServerState};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rstest::rstest;

const STALE: ListAge = ListAge { age_us: Some(Micros(1_500_000)), current_for_us: Some(Micros(9_000_000)) };

fn server() -> BackendServerId {
    "i-1".parse().unwrap()
}

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(100_000 + ms)
}

fn current(age_ms: u64, for_ms: u64) -> ListAge {
    ListAge { age_us: Some(Millis(age_ms).into()), current_for_us: Some(Millis(for_ms).into()) }
}

fn due(checks: &mut LeavingChecks, now_ms: u64, list: &ListAge) -> usize {
    checks.due(at(now_ms), list, |_| false).len()
}

/// Sound servers close connections now and then. While the list tells who leaves, nothing is asked for it.
#[rstest]
#[case::current(current(300, 60_000), 0)]
#[case::stale(STALE, 1)]
#[case::none(ListAge::default(), 1)]
fn closing_server_is_asked_only_while_the_list_is_old(#[case] list: ListAge, #[case] expected: usize) {
    let mut checks = LeavingChecks::default();
    checks.hinted(at(0), &server());
    assert_eq!(due(&mut checks, 1, &list), expected);
}

/// The store goes away between a server's statement and the next read: the answers that it gave before count later.
#[test]
fn answer_from_before_the_list_was_old_counts() {
    let mut checks = LeavingChecks::default();
    checks.hinted(at(0), &server());
    assert!(checks.release(at(900), &current(900, 60_000)).is_empty());
    assert_eq!(due(&mut checks, 1_300, &current(1_300, 60_000)), 1);
}

#[test]
fn answer_that_the_list_has_overtaken_is_forgotten() {
    let mut checks = LeavingChecks::default();
    checks.hinted(at(0), &server());
    assert!(checks.release(at(1_500), &current(400, 60_000)).is_empty());
    assert!(checks.is_empty());
}

/// A vanished server that is kept may have left: the list does not tell.
#[test]
fn kept_server_is_asked_although_the_list_is_current() {
    let mut checks = LeavingChecks::default();
    checks.hinted(at(0), &server());
    assert_eq!(checks.due(at(1), &current(100, 300), |_| true), [server()]);
}

/// Questions are priced, and each takes a slot of a plain server.
#[test]
fn questions_are_bounded() {
    let mut checks = LeavingChecks::default();
    let mut asked = 0;
    for ms in 0..5_000 {
        checks.hinted(at(ms), &server());
        asked += due(&mut checks, ms, &STALE);
    }
    assert_eq!(asked, 10);
    assert_eq!(checks.replied(at(5_000), &server(), ServerState::Leaving), Finding::Held);
    let asked: usize = (5_000..10_000).map(|ms| due(&mut checks, ms, &STALE)).sum();
    assert_eq!(asked, 5);
}

/// In an outage under overload, each of hundreds of daemons has a reason to ask each of thousands of servers.
#[test]
fn questions_of_a_moment_are_bounded_and_reach_all_in_turn() {
    let mut checks = LeavingChecks::default();
    let servers: Vec<BackendServerId> =
        (0..40).map(|number| format!("i-{number}").parse().unwrap()).collect();
    servers.iter().for_each(|server| checks.hinted(at(0), server));
    let mut asked = Vec::new();
    for tick in 0..10 {
        let due = checks.due(at(1 + tick * 100), &STALE, |_| false);
        assert!(due.len() <= 4, "{due:?}");
        asked.extend(due);
    }
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), servers.len());
}

/// A server whose health check failed for a moment, or whose shutdown was called off, must not be lost for the whole outage.
#[test]
fn server_that_serves_again_is_released() {
    let mut checks = LeavingChecks::default();
    assert_eq!(checks.replied(at(0), &server(), ServerState::Leaving), Finding::Held);
    assert_eq!(checks.replied(at(0), &server(), ServerState::Leaving), Finding::Unchanged);
    assert_eq!(checks.replied(at(1_000), &server(), ServerState::Serving), Finding::Released);
    assert_eq!(checks.replied(at(1_000), &server(), ServerState::Serving), Finding::Unchanged);
}

/// The list just after an outage may still show a server as ready that could not state its leaving.
#[rstest]
#[case::old(3_500, STALE, false)]
#[case::just_current(4_000, current(100, 300), false)]
#[case::settled(4_000, current(100, 2_600), true)]
#[case::as_of_the_statement(1_000, current(100, 60_000), false)]
fn held_server_is_released_once_the_list_is_settled(
    #[case] now_ms: u64,
    #[case] list: ListAge,
    #[case] expected: bool,
) {
    let mut checks = LeavingChecks::default();
    checks.replied(at(0), &server(), ServerState::Leaving);
    assert_eq!(!checks.release(at(now_ms), &list).is_empty(), expected);
    assert_eq!(checks.found().is_empty(), expected);
}

/// What another daemon has found holds without a question of one's own, and not for longer than it is repeated.
#[test]
fn finding_of_another_daemon_holds_while_it_is_repeated() {
    let mut checks = LeavingChecks::default();
    assert!(checks.found_by_other(at(0), &server(), &STALE));
    assert!(!checks.found_by_other(at(1_000), &server(), &STALE));
    assert!(checks.found().is_empty(), "it is not passed on as the own finding");
    assert_eq!(due(&mut checks, 3_900, &STALE), 0);
    assert_eq!(due(&mut checks, 4_100, &STALE), 1);
}

/// A daemon whose list is current knows better.
#[test]
fn finding_of_another_daemon_does_not_hold_at_one_whose_list_is_current() {
    let mut checks = LeavingChecks::default();
    assert!(!checks.found_by_other(at(0), &server(), &current(300, 60_000)));
}
