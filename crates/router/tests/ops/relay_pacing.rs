//! Timing of the messages between daemons.

use std::time::Duration;

use hibiscusvale::relay::CapacitySettings;
use hibiscusvale::relay::pacing::{LinkUse, SentMessage, next_send_at, receive_pause};
use hibiscusvale_core::units::{Bytes, BytesPerSecond};
use rstest::rstest;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Rate of messages of a host with a link of 10 Gbit/s.
const FAST: BytesPerSecond = BytesPerSecond(312_500_000);

/// Nothing was sent over such a link.
fn unused(now: Instant) -> LinkUse {
    LinkUse::new(now, FAST)
}

fn sent(at: Instant, daemons: u32) -> SentMessage {
    SentMessage { at, daemons, size: Bytes(600) }
}

/// Among few daemons a change is sent as soon as it is wanted: otherwise two daemons would pick the same free
/// decode engine.
#[test]
fn few_daemons_get_changes_immediately() {
    let last = Instant::now();
    let wanted = last + 5 * MS;
    assert_eq!(next_send_at(Some(wanted), sent(last, 8), &unused(last)), wanted);
    assert_eq!(receive_pause(8), None);
}

/// A burst changes the state of each of some four hundred daemons every few milliseconds. With a message per
/// change every host would send and receive tens of thousands of messages a second and have no time for
/// callers.
#[test]
fn a_burst_among_hundreds_of_daemons_does_not_overload_hosts() {
    let daemons = 412;
    let begun = Instant::now();
    let (mut last, mut count) = (begun, 0_u32);
    while last < begun + Duration::from_secs(10) {
        last = next_send_at(Some(last + MS), sent(last, daemons), &unused(last));
        count += 1;
    }
    let per_s = count * daemons / 10;
    assert!(per_s <= 4_200, "{per_s} messages a second");
}

/// Nothing changes, and messages get lost: without periodic messages a daemon would be taken for dead, and
/// its holdings at the engines would no longer count.
#[test]
fn a_daemon_without_changes_sends_messages() {
    let last = Instant::now();
    assert!(next_send_at(None, sent(last, 412), &unused(last)) <= last + Duration::from_millis(800));
}

/// A change that may be sent late does not delay the periodic message.
#[test]
fn a_late_change_does_not_delay_the_periodic_message() {
    let last = Instant::now();
    assert!(
        next_send_at(Some(last + Duration::from_secs(5)), sent(last, 8), &unused(last))
            <= last + Duration::from_millis(800)
    );
}

/// A daemon that serves the callers of many others changes its state all the time: its own messages must not fill its link.
#[rstest]
#[case::small_host(10.0, 66)]
#[case::small_host_in_a_large_fleet(10.0, 255)]
#[case::larger_host(200.0, 255)]
fn messages_leave_the_link_to_callers(#[case] link_mbps: f64, #[case] daemons: u32) {
    let rate = CapacitySettings { link_mbps: Some(link_mbps), ..CapacitySettings::default() }.message_rate();
    let begun = Instant::now();
    let (mut last, mut bytes) = (begun, 0.0);
    let mut link_use = LinkUse::new(begun, rate);
    while last < begun + Duration::from_secs(30) {
        link_use.record(sent(last, daemons));
        last = next_send_at(Some(last + MS), sent(last, daemons), &link_use);
        bytes += f64::from(daemons) * 628.0;
    }
    let mbps = bytes * 8.0 / 1e6 / (last - begun).as_secs_f64();
    assert!(mbps <= link_mbps / 3.0, "{mbps} Mbit/s of {link_mbps}");
}

/// However slow the link, others must not take a daemon for dead.
#[test]
fn a_slow_link_does_not_delay_the_periodic_message() {
    let rate = CapacitySettings { link_mbps: Some(1.0), ..CapacitySettings::default() }.message_rate();
    let last = Instant::now();
    let message = SentMessage { size: Bytes(9_000), ..sent(last, 255) };
    let mut link_use = LinkUse::new(last, rate);
    link_use.record(message);
    assert!(next_send_at(None, message, &link_use) <= last + Duration::from_millis(800));
}

/// A daemon with few requests must announce each change at once, though its link is slow: others choose engines by it.
#[test]
fn rare_changes_are_not_delayed_by_a_slow_link() {
    let rate = CapacitySettings { link_mbps: Some(10.0), ..CapacitySettings::default() }.message_rate();
    let mut last = Instant::now();
    let mut link_use = LinkUse::new(last, rate);
    for _request in 0..10 {
        for _change in 0..5 {
            link_use.record(sent(last, 66));
            let wanted = last + 20 * MS;
            assert_eq!(next_send_at(Some(wanted), sent(last, 66), &link_use), wanted);
            last = wanted;
        }
        last += Duration::from_secs(2);
    }
}
