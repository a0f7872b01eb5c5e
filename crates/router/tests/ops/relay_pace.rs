//! When daemons tell each other, and how often.

use std::time::Duration;

use hibiscusvale::relay::pace::{listen_pause, next_message};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Among few daemons a change is told as soon as it is wanted: a writer that others take for free is given twice.
#[test]
fn few_daemons_are_told_at_once() {
    let last = Instant::now();
    let wanted = last + 5 * MS;
    assert_eq!(next_message(Some(wanted), last, 8), wanted);
    assert_eq!(listen_pause(8), None);
}

/// A burst changes something at each of four hundred daemons every few milliseconds. Told one by one, every host would
/// send and receive tens of thousands of messages a second and have no time for its callers.
#[test]
fn a_burst_among_hundreds_of_daemons_leaves_their_hosts_time() {
    let daemons = 412;
    let begun = Instant::now();
    let (mut last, mut sent) = (begun, 0_u32);
    while last < begun + Duration::from_secs(10) {
        last = next_message(Some(last + MS), last, daemons);
        sent += 1;
    }
    let per_s = sent * daemons / 10;
    assert!(per_s <= 4_200, "{per_s} messages a second");
}

/// Nothing changes, and messages get lost: without a word now and then a daemon would be taken for dead, and what it has
/// at the engines would count no more.
#[test]
fn a_daemon_without_news_is_heard_of() {
    let last = Instant::now();
    assert!(next_message(None, last, 412) <= last + Duration::from_millis(800));
}

/// What is wanted late does not hold up the word that is due in any case.
#[test]
fn what_can_wait_does_not_delay_the_rest() {
    let last = Instant::now();
    assert!(next_message(Some(last + Duration::from_secs(5)), last, 8) <= last + Duration::from_millis(800));
}
