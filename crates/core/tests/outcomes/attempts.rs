use hibiscusvale_core::outcome::{AttemptOutcome, Attempts, Outcome, Repeatability, RetryRefusal};
use rstest::rstest;

/// Guards against failing a request that can safely be retried: the connection is refused or the server
/// states that it is leaving, so it is proven that no server has the request.
#[rstest]
fn retries_when_proven_not_run(
    #[values(Repeatability::AtMostOnce, Repeatability::Repeatable)] repeatability: Repeatability,
    #[values(AttemptOutcome::NotSent, AttemptOutcome::Declined)] end: AttemptOutcome,
) {
    let mut attempts = Attempts::new(repeatability, 2);
    attempts.begin().expect("first");
    assert!(!attempts.end(end));
    attempts.begin().expect("second");
    assert!(attempts.end(AttemptOutcome::Answered));
    assert_eq!(attempts.report(), Outcome::Answered);
}

/// Guards against running a booking twice: the connection breaks after a byte was written, so the request may
/// have run and is retried only if it is repeatable.
#[rstest]
#[case(Repeatability::AtMostOnce, Err(RetryRefusal::MayHaveRun))]
#[case(Repeatability::Repeatable, Ok(()))]
fn retries_possibly_run_request_only_if_repeatable(
    #[case] repeatability: Repeatability,
    #[case] expected: Result<(), RetryRefusal>,
) {
    let mut attempts = Attempts::new(repeatability, 3);
    attempts.begin().expect("first");
    attempts.end(AttemptOutcome::MayHaveRun);
    assert_eq!(attempts.begin(), expected);
    assert_eq!(attempts.report(), Outcome::Unknown);
}

/// Guards against a false "not run": the last attempt was not sent, but an earlier one may have run.
#[test]
fn outcome_is_unknown_if_any_attempt_may_have_run() {
    let mut attempts = Attempts::new(Repeatability::Repeatable, 3);
    attempts.begin().expect("first");
    attempts.end(AttemptOutcome::MayHaveRun);
    attempts.begin().expect("second");
    attempts.end(AttemptOutcome::NotSent);
    assert_eq!(attempts.report(), Outcome::Unknown);
}

/// Guards against two outcomes for one request: the server answers after "unknown" was reported at the
/// caller's deadline.
#[test]
fn discards_answer_after_report() {
    let mut attempts = Attempts::new(Repeatability::Repeatable, 3);
    attempts.begin().expect("first");
    assert_eq!(attempts.report(), Outcome::Unknown);
    assert!(!attempts.end(AttemptOutcome::Answered));
    assert_eq!(attempts.report(), Outcome::Unknown);
    assert_eq!(attempts.begin(), Err(RetryRefusal::Reported));
}

/// Guards against two answers to the caller: two attempts of a repeatable request are answered.
#[test]
fn returns_only_first_answer() {
    let mut attempts = Attempts::new(Repeatability::Repeatable, 3);
    attempts.begin().expect("first");
    attempts.begin().expect("second");
    assert!(attempts.end(AttemptOutcome::Answered));
    assert!(!attempts.end(AttemptOutcome::Answered));
}

#[test]
fn refuses_attempts_beyond_limit() {
    let mut attempts = Attempts::new(Repeatability::AtMostOnce, 1);
    attempts.begin().expect("first");
    attempts.end(AttemptOutcome::Declined);
    assert_eq!(attempts.begin(), Err(RetryRefusal::Exhausted));
    assert_eq!(attempts.report(), Outcome::NotRun);
}

#[test]
fn reports_not_run_if_nothing_was_sent() {
    assert_eq!(Attempts::new(Repeatability::AtMostOnce, 1).report(), Outcome::NotRun);
}
