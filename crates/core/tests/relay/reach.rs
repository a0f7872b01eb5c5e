//! Detection that the servers of a service are out of reach.

use std::collections::HashMap;

use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::relay::reach::{HelperState, Reach, ReachChange, Reached, choose_helper};
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::units::{Millis, MonoTime};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SERVICE: &str = "app";

fn server(number: usize) -> BackendServerId {
    format!("i-{number}").parse().unwrap()
}

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

fn fail(reach: &mut Reach, now_ms: u64, number: usize) {
    reach.failed(at(now_ms), SERVICE, &server(number), FailureCause::NotSent);
}

/// A daemon with an answer at 1 s and failures at servers at 1.4 s.
fn failed_at(servers: &[usize]) -> Reach {
    let mut reach = Reach::default();
    reach.answered(at(1_000), SERVICE);
    for number in servers {
        fail(&mut reach, 1_400, *number);
    }
    reach
}

/// A daemon whose servers count as out of reach from 1.9 s on.
fn lost() -> Reach {
    let mut reach = failed_at(&[1, 2]);
    reach.checked(at(1_800), SERVICE, false);
    reach.checked(at(1_900), SERVICE, false);
    reach
}

fn due(reach: &mut Reach, now_ms: u64) -> Vec<(String, bool)> {
    let due = reach.due_checks(at(now_ms)).into_iter();
    due.map(|check| (check.service, check.is_first)).collect()
}

#[test]
fn checks_without_an_answer_are_a_loss() {
    let mut reach = failed_at(&[1, 2, 1]);
    assert_eq!(reach.reached(at(1_400), SERVICE), Reached::Partly);
    assert_eq!(due(&mut reach, 1_400), [(SERVICE.to_owned(), true)]);
    assert_eq!(reach.checked(at(1_800), SERVICE, false), None);
    assert_eq!(reach.reached(at(3_400), SERVICE), Reached::Doubtful);
    assert_eq!(due(&mut reach, 1_850), []);
    assert_eq!(due(&mut reach, 1_900), [(SERVICE.to_owned(), false)]);
    let lost = ReachChange::Lost {
        servers: vec![server(1), server(2)],
        failures: 3,
        cause: Some(FailureCause::NotSent),
        last_answer_ms: Some(Millis(1_300)),
    };
    assert_eq!(reach.checked(at(2_300), SERVICE, false), Some(lost));
    assert_eq!(reach.reached(at(2_300), SERVICE), Reached::No);
    assert_eq!(reach.lost().collect::<Vec<_>>(), [SERVICE]);
}

/// A daemon with few requests must not need several failures of its own to find that it is cut off.
#[test]
fn one_failure_is_followed_by_a_check() {
    let mut reach = failed_at(&[1]);
    assert_eq!(due(&mut reach, 1_400), [(SERVICE.to_owned(), true)]);
}

/// Servers that crash or fall silent, however many, must not make the service count as out of reach while one answers.
#[test]
fn failures_beside_an_answered_check_are_no_loss() {
    let mut reach = failed_at(&[1, 2, 3, 4, 5]);
    reach.checked(at(1_500), SERVICE, true);
    assert_eq!(reach.reached(at(1_500), SERVICE), Reached::Yes);
    assert!(!reach.has_checks());
    fail(&mut reach, 1_510, 1);
    assert_eq!(due(&mut reach, 1_600), [], "checks of servers that answer are limited");
    assert_eq!(due(&mut reach, 2_000), [(SERVICE.to_owned(), true)]);
}

/// An answer may come over a connection that is still open while no new one can be made.
#[test]
fn an_answer_between_failures_does_not_end_the_suspicion() {
    let mut reach = failed_at(&[1]);
    reach.answered(at(1_410), SERVICE);
    assert_eq!(reach.reached(at(1_420), SERVICE), Reached::Partly);
    assert_eq!(due(&mut reach, 1_420), [(SERVICE.to_owned(), true)]);
    reach.checked(at(1_800), SERVICE, false);
    reach.answered(at(1_810), SERVICE);
    assert!(reach.checked(at(1_900), SERVICE, false).is_some());
}

/// A check without an answer may be due to a daemon that stood still; one that is answered starts anew.
#[test]
fn checks_without_an_answer_have_to_be_in_a_row() {
    let mut reach = failed_at(&[1]);
    assert_eq!(reach.checked(at(1_800), SERVICE, false), None);
    assert_eq!(reach.checked(at(1_900), SERVICE, true), None);
    fail(&mut reach, 2_500, 1);
    assert_eq!(reach.checked(at(2_900), SERVICE, false), None);
}

/// A cut often takes the links to all services: one with few requests is checked as soon as another is lost.
#[test]
fn loss_of_a_service_has_the_others_checked() {
    let mut reach = failed_at(&[1]);
    reach.answered(at(1_400), "llm");
    reach.checked(at(1_800), SERVICE, false);
    reach.checked(at(1_900), SERVICE, false);
    assert_eq!(due(&mut reach, 1_900), [("llm".to_owned(), true)]);
    assert_eq!(reach.reached(at(1_900), "llm"), Reached::Yes);
    reach.checked(at(2_300), "llm", false);
    let lost =
        ReachChange::Lost { servers: vec![], failures: 0, cause: None, last_answer_ms: Some(Millis(1_000)) };
    assert_eq!(reach.checked(at(2_400), "llm", false), Some(lost));
}

/// Open connections may live on while no new one can be made: an answer over one of them must not end the loss.
#[test]
fn only_checks_in_a_row_end_a_loss() {
    let mut reach = lost();
    reach.answered(at(1_950), SERVICE);
    assert_eq!(reach.reached(at(1_950), SERVICE), Reached::No);
    assert_eq!(due(&mut reach, 2_400), [(SERVICE.to_owned(), false)]);
    assert_eq!(reach.checked(at(2_400), SERVICE, true), None);
    assert_eq!(reach.checked(at(2_900), SERVICE, false), None);
    assert_eq!(reach.checked(at(3_400), SERVICE, true), None);
    let regained = ReachChange::Regained { lost_ms: Millis(2_000) };
    assert_eq!(reach.checked(at(3_900), SERVICE, true), Some(regained));
    assert_eq!(reach.reached(at(3_900), SERVICE), Reached::Yes);
}

#[test]
fn an_old_answer_shows_nothing() {
    let mut reach = Reach::default();
    reach.answered(at(1_000), SERVICE);
    assert_eq!(reach.reached(at(3_000), SERVICE), Reached::Unknown);
}

/// Each question goes to several daemons: a single failure of a service with few requests must not cause them for long.
#[test]
fn doubts_end_unless_requests_go_on_failing() {
    let reach = failed_at(&[1]);
    assert_eq!(reach.doubted(at(1_500)).collect::<Vec<_>>(), [SERVICE]);
    assert_eq!(reach.doubted(at(3_400)).count(), 0);
    assert_eq!(lost().doubted(at(60_000)).collect::<Vec<_>>(), [SERVICE], "the servers are out of reach");
}

fn helper(number: usize, data_centre: &str, reached: Reached, open_requests: u64) -> HelperState {
    HelperState {
        host: format!("entry-{number}").parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        reached: vec![(SERVICE.to_owned(), reached)],
        open_requests,
    }
}

fn chosen(states: &[HelperState], tried: &[HostId], seed: u64) -> Option<HostId> {
    let (own, mut rng) = ("z-1".parse().unwrap(), StdRng::seed_from_u64(seed));
    choose_helper(states.iter(), SERVICE, &own, tried, &mut rng).map(|state| state.host.clone())
}

#[test]
fn daemons_without_answers_are_no_helpers() {
    let states = [helper(1, "z-1", Reached::No, 0), helper(2, "z-1", Reached::Doubtful, 0)];
    assert_eq!(chosen(&states, &[], 1), None);
    let other =
        HelperState { reached: vec![("llm".to_owned(), Reached::Yes)], ..helper(3, "z-1", Reached::Yes, 0) };
    assert_eq!(chosen(&[other], &[], 1), None);
}

#[test]
fn daemon_with_answers_is_preferred_to_an_idle_one() {
    let states = [
        helper(1, "z-1", Reached::Unknown, 0),
        helper(2, "z-2", Reached::Yes, 50),
        helper(3, "z-1", Reached::Partly, 0),
    ];
    let hosts: Vec<HostId> = states.iter().map(|state| state.host.clone()).collect();
    for seed in 0..20 {
        assert_eq!(chosen(&states, &[], seed).as_ref(), Some(&hosts[1]));
        assert_eq!(chosen(&states, &hosts[1..2], seed).as_ref(), Some(&hosts[2]));
        assert_eq!(chosen(&states, &hosts[1..], seed).as_ref(), Some(&hosts[0]));
    }
}

/// Half of the daemons are cut off and choose at the same time by states of the same age: no daemon of the other half may
/// get more than three times its share.
#[test]
fn forwarded_requests_are_spread() {
    let helpers = 20;
    let states: Vec<_> =
        (0..helpers).map(|number| helper(number, "z-1", Reached::Yes, (number % 5) as u64)).collect();
    let mut counts = HashMap::new();
    for seed in 0..2_000 {
        *counts.entry(chosen(&states, &[], seed).unwrap()).or_insert(0) += 1;
    }
    let most = counts.values().max().unwrap();
    assert!(*most <= 3 * 2_000 / helpers, "{counts:?}");
}

#[test]
fn own_data_centre_is_preferred_at_like_load() {
    let states = [helper(1, "z-1", Reached::Yes, 3), helper(2, "z-2", Reached::Yes, 0)];
    for seed in 0..20 {
        assert_eq!(chosen(&states, &[], seed), Some(states[0].host.clone()));
    }
    let busy = [helper(1, "z-1", Reached::Yes, 9), helper(2, "z-2", Reached::Yes, 0)];
    assert_eq!(chosen(&busy, &[], 1), Some(busy[1].host.clone()));
}

/// A daemon that is asked by others must find out whether it reaches the servers, without a request of its own.
#[test]
fn question_of_another_daemon_is_followed_by_a_check() {
    let mut reach = Reach::default();
    reach.asked(at(1_000), SERVICE);
    assert_eq!(reach.reached(at(1_000), SERVICE), Reached::Unknown);
    assert_eq!(due(&mut reach, 1_000), [(SERVICE.to_owned(), true)]);
    reach.checked(at(1_400), SERVICE, false);
    assert_eq!(reach.reached(at(1_400), SERVICE), Reached::Doubtful);
    assert_eq!(due(&mut reach, 1_500), [(SERVICE.to_owned(), false)]);
    reach.checked(at(1_900), SERVICE, false);
    assert_eq!(reach.reached(at(1_900), SERVICE), Reached::No);
}

/// Answers over open connections must not keep a daemon that is asked from checking new ones.
#[test]
fn answers_do_not_replace_the_check_that_a_question_asks_for() {
    let mut reach = Reach::default();
    reach.answered(at(900), SERVICE);
    reach.asked(at(1_000), SERVICE);
    assert_eq!(due(&mut reach, 1_000), [(SERVICE.to_owned(), true)]);
    assert_eq!(reach.reached_for_others(at(1_000), SERVICE), Reached::Partly);
    reach.checked(at(1_010), SERVICE, true);
    assert_eq!(reach.reached_for_others(at(1_010), SERVICE), Reached::Yes);
}

/// Many daemons may ask at a time: servers are checked only now and then.
#[test]
fn questions_do_not_flood_servers_with_checks() {
    let mut reach = Reach::default();
    let mut checks = 0;
    for now_ms in (1_000..11_000).step_by(10) {
        reach.asked(at(now_ms), SERVICE);
        for _ in due(&mut reach, now_ms) {
            checks += 1;
            reach.checked(at(now_ms), SERVICE, true);
        }
    }
    assert!(checks <= 5, "{checks} checks in 10 s");
}

/// A loss is followed by checks of services that had no request yet, too.
#[test]
fn loss_of_one_service_has_unused_ones_checked() {
    let mut reach = failed_at(&[1]);
    reach.include(["unused"].into_iter());
    reach.checked(at(1_800), SERVICE, false);
    reach.checked(at(1_900), SERVICE, false);
    assert!(due(&mut reach, 1_950).iter().any(|(service, _)| service == "unused"));
}
