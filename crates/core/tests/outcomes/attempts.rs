use hibiscusvale_core::outcome::{AttemptEnd, Attempts, NoRetry, Outcome, Repeatability};
use rstest::rstest;

/// A connection is refused, or a server says that it is leaving. The caller notices nothing: another server
/// gets the request, for it is proven that none has it.
#[rstest]
fn proof_permits_another_attempt(
    #[values(Repeatability::AtMostOnce, Repeatability::Repeatable)] repeatability: Repeatability,
    #[values(AttemptEnd::NotSent, AttemptEnd::Declined)] end: AttemptEnd,
) {
    let mut attempts = Attempts::new(repeatability, 2);
    attempts.begin().expect("first");
    assert!(!attempts.end(end));
    attempts.begin().expect("second");
    assert!(attempts.end(AttemptEnd::Answered));
    assert_eq!(attempts.report(), Outcome::Answered);
}

/// The connection breaks after a byte was written. A booking may stand, so it is not sent again, and the caller
/// is told that the outcome is unknown. A summary is asked for again.
#[rstest]
#[case(Repeatability::AtMostOnce, Err(NoRetry::MayHaveRun))]
#[case(Repeatability::Repeatable, Ok(()))]
fn what_may_have_run_is_sent_again_only_if_repeatable(
    #[case] repeatability: Repeatability,
    #[case] expected: Result<(), NoRetry>,
) {
    let mut attempts = Attempts::new(repeatability, 3);
    attempts.begin().expect("first");
    attempts.end(AttemptEnd::MayHaveRun);
    assert_eq!(attempts.begin(), expected);
    assert_eq!(attempts.report(), Outcome::Unknown);
}

/// One attempt was refused, another may have run. "Not run" would be a lie, though the last one did not run.
#[test]
fn one_attempt_that_may_have_run_makes_all_unknown() {
    let mut attempts = Attempts::new(Repeatability::Repeatable, 3);
    attempts.begin().expect("first");
    attempts.end(AttemptEnd::MayHaveRun);
    attempts.begin().expect("second");
    attempts.end(AttemptEnd::NotSent);
    assert_eq!(attempts.report(), Outcome::Unknown);
}

/// The caller is told "unknown" at its deadline, and then the server answers. The late answer goes nowhere and
/// no further attempt is made.
#[test]
fn late_answer_goes_nowhere() {
    let mut attempts = Attempts::new(Repeatability::Repeatable, 3);
    attempts.begin().expect("first");
    assert_eq!(attempts.report(), Outcome::Unknown);
    assert!(!attempts.end(AttemptEnd::Answered));
    assert_eq!(attempts.report(), Outcome::Unknown);
    assert_eq!(attempts.begin(), Err(NoRetry::Reported));
}

/// Two attempts of a repeatable request are answered. The caller gets one answer.
#[test]
fn only_the_first_answer_counts() {
    let mut attempts = Attempts::new(Repeatability::Repeatable, 3);
    attempts.begin().expect("first");
    attempts.begin().expect("second");
    assert!(attempts.end(AttemptEnd::Answered));
    assert!(!attempts.end(AttemptEnd::Answered));
}

#[test]
fn attempts_run_out() {
    let mut attempts = Attempts::new(Repeatability::AtMostOnce, 1);
    attempts.begin().expect("first");
    attempts.end(AttemptEnd::Declined);
    assert_eq!(attempts.begin(), Err(NoRetry::Exhausted));
    assert_eq!(attempts.report(), Outcome::NotRun);
}

#[test]
fn nothing_sent_did_not_run() {
    assert_eq!(Attempts::new(Repeatability::AtMostOnce, 1).report(), Outcome::NotRun);
}
