//! Timing of the messages between daemons.

use std::time::Duration;

use hibiscusvale::relay::pacing::{next_send_at, receive_pause};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Among few daemons a change is sent as soon as it is wanted: otherwise two daemons would pick the same free
/// decode engine.
#[test]
fn few_daemons_get_changes_immediately() {
    let last = Instant::now();
    let wanted = last + 5 * MS;
    assert_eq!(next_send_at(Some(wanted), last, 8), wanted);
    assert_eq!(receive_pause(8), None);
}

/// A burst changes the state of each of some four hundred daemons every few milliseconds. With a message per
/// change every host would send and receive tens of thousands of messages a second and have no time for
/// callers.
#[test]
fn a_burst_among_hundreds_of_daemons_does_not_overload_hosts() {
    let daemons = 412;
    let begun = Instant::now();
    let (mut last, mut sent) = (begun, 0_u32);
    while last < begun + Duration::from_secs(10) {
        last = next_send_at(Some(last + MS), last, daemons);
        sent += 1;
    }
    let per_s = sent * daemons / 10;
    assert!(per_s <= 4_200, "{per_s} messages a second");
}

/// Nothing changes, and messages get lost: without periodic messages a daemon would be taken for dead, and
/// its holdings at the engines would no longer count.
#[test]
fn a_daemon_without_changes_sends_messages() {
    let last = Instant::now();
    assert!(next_send_at(None, last, 412) <= last + Duration::from_millis(800));
}

/// A change that may be sent late does not delay the periodic message.
#[test]
fn a_late_change_does_not_delay_the_periodic_message() {
    let last = Instant::now();
    assert!(next_send_at(Some(last + Duration::from_secs(5)), last, 8) <= last + Duration::from_millis(800));
}
