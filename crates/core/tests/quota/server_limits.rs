//! Which statement of a server counts.

use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::quota::{LimitStatement, ServerLimits};
use hibiscusvale_core::units::{CreditPerSecond, Millis, MonoTime};

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
    assert!(!limits.heard(at(2_000), &statement(5, 900)));
    assert_eq!(limits.rate(&server()), None);
    assert!(limits.heard(at(2_000), &statement(4, 100)));
    assert_eq!(limits.rate(&server()), limit(4));
}

/// What is older than the process is older than whatever it heard itself.
#[test]
fn a_word_from_before_the_start_is_the_oldest() {
    let mut limits = ServerLimits::default();
    assert!(limits.heard(at(100), &statement(4, 9_000)));
    limits.answered(at(200), &server(), limit(6));
    assert!(!limits.heard(at(300), &statement(4, 9_000)));
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
