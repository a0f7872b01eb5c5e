//! When daemons read the store, and when a vanished entry counts as gone.

use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::relay::server_list::ExpiredEntries;
use hibiscusvale_core::relay::store_refresh::{
    PeerReport, RefreshSchedule, RefreshSettings, first_reader, is_reader, reader_rank,
};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rstest::rstest;

use crate::simulation::server;

/// Rank of a reader, and of the first daemon that is none.
const READER: usize = 0;
const OTHER: usize = 2;

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

fn report(is_same: bool, age_ms: u64) -> PeerReport {
    PeerReport { is_same, age_us: Micros::from(Millis(age_ms)) }
}

fn host(number: u32) -> HostId {
    format!("entry-{number}").parse().unwrap()
}

fn read(schedule: &mut RefreshSchedule, at_ms: u64) {
    schedule.read_started(at(at_ms));
    schedule.read_succeeded(at(at_ms));
}

#[test]
fn a_new_daemon_reads_at_once() {
    assert_eq!(RefreshSchedule::new(RefreshSettings::default()).next_read_us(OTHER), at(0));
}

/// Guards against a daemon that reports its copy as lost for as long as others keep it up to date, and against one that
/// counts a confirmation of before the failure.
#[test]
fn copy_is_confirmed_since_a_failure_by_a_later_report() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    read(&mut schedule, 1_000);
    schedule.read_failed();
    assert!(!schedule.is_confirmed_since(at(1_500)));
    schedule.peer_reported(at(2_000), report(true, 600));
    assert!(!schedule.is_confirmed_since(at(1_500)), "the report is of before the failure");
    schedule.peer_reported(at(2_000), report(false, 0));
    assert!(!schedule.is_confirmed_since(at(1_500)), "the other daemon has another copy");
    schedule.peer_reported(at(2_000), report(true, 400));
    assert!(schedule.is_confirmed_since(at(1_500)));
}

/// A fleet starts at once. Each of hundreds of daemons read the list of ten thousand servers page by page,
/// and the store refused them.
#[test]
fn first_reads_are_deferred_to_the_readers() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    schedule.defer_first_read(at(5_000));
    assert_eq!(schedule.next_read_us(READER), at(0), "a reader reads at once");
    assert_eq!(schedule.next_read_us(OTHER), at(5_000), "the others once no copy has arrived");
    schedule.read_started(at(1_000));
    assert_eq!(schedule.next_read_us(OTHER), at(5_000), "a failed query to another daemon changes nothing");
    schedule.adopted_from_peer(at(1_200), Micros::from(Millis(300)));
    assert!(schedule.next_read_us(OTHER) < at(5_000), "from then on the age of the copy counts");
}

/// A daemon is told what is in force before it has read anything. Reading all the same, each of hundreds
/// would make 51 calls.
#[test]
fn a_daemon_informed_before_its_first_read_does_not_read() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    schedule.defer_first_read(at(5_000));
    for now_ms in (500..20_000).step_by(500) {
        schedule.peer_reported(at(now_ms), report(true, 3));
        assert!(schedule.next_read_us(OTHER) > at(now_ms + 500), "at {now_ms} ms");
    }
}

#[test]
fn a_reader_reads_periodically() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    read(&mut schedule, 1_000);
    assert_eq!(schedule.next_read_us(READER), at(1_500));
}

#[test]
fn fresh_equal_reports_prevent_reads() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    read(&mut schedule, 1_000);
    for now_ms in (1_500..20_000).step_by(500) {
        assert!(!schedule.peer_reported(at(now_ms), report(true, 3)));
        assert!(schedule.next_read_us(OTHER) > at(now_ms + 500));
    }
}

/// Both readers were cut off with their data centre. Daemons that receive no report any more must read before
/// their copy is two seconds old: a leaving server must be known by then.
#[test]
fn a_daemon_without_reports_reads_in_time() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    read(&mut schedule, 1_000);
    schedule.peer_reported(at(5_000), report(true, 500));
    assert!(schedule.next_read_us(OTHER) <= at(4_500 + 1_500));
    assert!(schedule.next_read_us(OTHER) > at(5_500));
}

/// The store refuses both readers, so that nobody reads. The others report to each other every few
/// milliseconds, and each message takes time in transit. If received ages were passed on, each copy would
/// look a little younger than it is, and the daemons would keep each other from reading for seconds: new
/// routes would come into force late.
#[test]
fn relayed_ages_do_not_suppress_reads() {
    let settings = RefreshSettings::default();
    let mut daemons: Vec<RefreshSchedule> = (0..20).map(|_| RefreshSchedule::new(settings)).collect();
    for schedule in &mut daemons {
        read(schedule, 1_000);
    }
    let mut now_ms = 1_000;
    while daemons.iter().all(|schedule| schedule.next_read_us(OTHER) > at(now_ms)) {
        let ages_us: Vec<_> = daemons.iter().map(|schedule| schedule.read_age_us(at(now_ms))).collect();
        now_ms += LATENCY_MS;
        for age_us in ages_us.into_iter().flatten() {
            for schedule in &mut daemons {
                schedule.peer_reported(at(now_ms), PeerReport { is_same: true, age_us });
            }
        }
        assert!(now_ms < 10_000, "no daemon reads any more");
    }
    assert!(now_ms <= 1_000 + settings.stale_ms.0 + 2 * LATENCY_MS, "the first read after {now_ms} ms");
}

/// Transit time between daemons, on a host with a small part of a core.
const LATENCY_MS: u64 = 4;

/// The store refuses this daemon at once, again and again. Without a growing pause it would be asked twenty
/// times a second, and each call is paid for.
#[test]
fn reads_back_off_while_the_store_refuses() {
    let mut schedule =
        RefreshSchedule::new(RefreshSettings { period_ms: Millis(50), ..RefreshSettings::default() });
    read(&mut schedule, 1_000);
    schedule.peer_reported(at(1_010), report(false, 0));
    let mut attempts = 0;
    for now_ms in 1_010..11_010 {
        if schedule.next_read_us(READER) <= at(now_ms) {
            attempts += 1;
            schedule.read_started(at(now_ms));
            schedule.read_failed();
        }
    }
    assert!((10..=16).contains(&attempts), "{attempts} attempts in ten seconds");
    read(&mut schedule, 12_000);
    assert_eq!(schedule.next_read_us(READER), at(12_050), "once the store answers, the pause is as before");
}

/// A reader knows of a change. A daemon that waited for its own turn would send requests to a server that is
/// leaving.
#[test]
fn a_report_of_a_newer_copy_triggers_a_read() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    read(&mut schedule, 1_000);
    assert!(schedule.peer_reported(at(1_200), report(false, 10)));
    assert!(schedule.next_read_us(OTHER) <= at(1_200));
}

/// Both readers of a data centre with 164 daemons are late. When all others read at once, the store was late
/// for that reason for the rest of the run; one after the other, the first successful read holds off the
/// rest.
#[test]
fn daemons_take_over_from_late_readers_one_by_one() {
    let due = |rank: usize| {
        let mut schedule = RefreshSchedule::new(RefreshSettings::default());
        schedule.defer_first_read(at(500));
        schedule.peer_reported(at(1_000), report(true, 0));
        schedule.next_read_us(rank)
    };
    let due: Vec<MonoTime> = (2..164).map(due).collect();
    assert!(due[0] <= at(2_500), "the first is in time for a leaving server");
    for (one, next) in due.iter().zip(&due[1..]) {
        assert!(next.since(*one) >= Micros::from(Millis(50)), "no two at the same time");
    }
}

/// The store is overloaded, and hundreds of daemons cannot read it. When all of them asked as often as the
/// readers, it never recovered.
#[test]
fn other_daemons_back_off_further_than_readers() {
    let attempts = |rank: usize| {
        let mut schedule = RefreshSchedule::new(RefreshSettings::default());
        schedule.defer_first_read(at(1_000));
        let mut attempts = 0;
        for now_ms in 1_000..31_000 {
            if schedule.next_read_us(rank) <= at(now_ms) {
                attempts += 1;
                schedule.read_started(at(now_ms));
                schedule.read_failed();
            }
        }
        attempts
    };
    assert!(attempts(READER) >= 30, "a reader has to know soon that the store is back");
    assert!(attempts(OTHER) <= 10, "{} attempts in half a minute", attempts(OTHER));
}

/// A daemon that is behind reports another copy than this one. If it counted as newer, all daemons would read
/// for as long as that daemon is cut off.
#[test]
fn reports_of_an_older_copy_trigger_no_read() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    read(&mut schedule, 9_000);
    assert!(!schedule.peer_reported(at(9_100), report(false, 4_000)));
    assert!(schedule.next_read_us(OTHER) > at(10_000));
}

/// The store is down and each read fails. Daemons must retry at the readers' interval, not in a tight loop.
#[test]
fn failed_reads_are_not_retried_in_a_tight_loop() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    schedule.read_started(at(100));
    assert_eq!(schedule.next_read_us(OTHER), at(600));
    read(&mut schedule, 600);
    schedule.read_started(at(5_000));
    assert_eq!(schedule.next_read_us(OTHER), at(5_500));
}

/// The store was down and is back: another daemon has read newer routes. A daemon that kept the pause of its
/// own failures put them in force four seconds late.
#[test]
fn an_update_from_a_peer_ends_the_pause_after_failures() {
    let mut schedule = RefreshSchedule::new(RefreshSettings::default());
    read(&mut schedule, 0);
    for now_ms in (2_000..6_000).step_by(1_000) {
        schedule.read_started(at(now_ms));
        schedule.read_failed();
    }
    assert_eq!(schedule.next_read_us(OTHER), at(5_800));
    assert!(schedule.peer_reported(at(5_010), report(false, 0)));
    assert_eq!(schedule.next_peer_query_us(), at(5_050));
    schedule.read_started(at(5_050));
    schedule.caught_up();
    assert!(schedule.next_read_us(OTHER) <= at(5_550), "it has no copy of the time after the outage yet");
}

#[test]
fn all_daemons_agree_on_two_readers() {
    let settings = RefreshSettings::default();
    for count in [1, 2, 6, 90] {
        let hosts: Vec<HostId> = (0..count).map(host).collect();
        let readers = hosts
            .iter()
            .filter(|own| is_reader(&settings, own, hosts.iter().filter(|other| other != own)))
            .count();
        assert_eq!(readers, 2.min(count as usize));
    }
}

/// Records of streams are sent to the daemon that keeps them for the log, which is the one that counts itself first.
#[test]
fn first_reader_is_the_daemon_before_which_no_other_ranks() {
    for count in [1, 2, 6, 90] {
        let hosts: Vec<HostId> = (0..count).map(host).collect();
        let first = first_reader(hosts.iter()).unwrap();
        assert_eq!(reader_rank(first, hosts.iter().filter(|other| *other != first)), 0);
    }
}

#[test]
fn another_daemon_takes_over_when_a_reader_is_gone() {
    let settings = RefreshSettings::default();
    let mut hosts: Vec<HostId> = (0..6).map(host).collect();
    let reads = |own: &HostId, hosts: &[HostId]| {
        is_reader(&settings, own, hosts.iter().filter(|other| *other != own))
    };
    let first = hosts.iter().position(|own| reads(own, &hosts)).unwrap();
    hosts.remove(first);
    assert_eq!(hosts.iter().filter(|own| reads(own, &hosts)).count(), 2);
}

/// Age of a list after an outage, and of one that was confirmed a moment ago.
const OLD: Option<Micros> = Some(Micros(8_000_000));
const CURRENT: Option<Micros> = Some(Micros(600_000));

fn gone(expired: &mut ExpiredEntries, at_ms: u64, vanished: &[&str], listed: &[&str]) -> Vec<String> {
    let listed: Vec<BackendServerId> = listed.iter().map(|name| server(name)).collect();
    let vanished = vanished.iter().map(|name| server(name)).collect();
    expired.confirm_gone(at(at_ms), vanished, listed.iter()).iter().map(ToString::to_string).collect()
}

#[test]
fn an_entry_that_vanishes_in_normal_operation_is_gone() {
    let mut expired = ExpiredEntries::default();
    expired.read_succeeded(at(1_000));
    assert_eq!(gone(&mut expired, 1_000, &["w-1"], &[]), ["w-1"]);
}

/// The store was down for longer than entries live. Every server's entry expired, and all are back within two
/// seconds of the store's return; callers would have been refused meanwhile.
#[test]
fn entries_that_expired_in_an_outage_are_kept_until_servers_can_register_again() {
    let mut expired = ExpiredEntries::default();
    expired.read_failed();
    expired.read_succeeded(at(10_000));
    assert!(gone(&mut expired, 10_000, &["w-1", "w-2"], &[]).is_empty());
    expired.read_succeeded(at(11_000));
    assert!(gone(&mut expired, 11_000, &[], &["w-1"]).is_empty());
    assert!(gone(&mut expired, 11_900, &[], &[]).is_empty());
    assert_eq!(gone(&mut expired, 12_000, &[], &[]), ["w-2"]);
}

/// A server crashed while the store was down. Kept for longer than two seconds, it would get requests that
/// are never answered.
#[test]
fn an_entry_still_missing_after_the_grace_period_is_gone() {
    let mut expired = ExpiredEntries::default();
    expired.read_failed();
    expired.read_succeeded(at(10_000));
    gone(&mut expired, 10_000, &["w-1"], &[]);
    assert_eq!(gone(&mut expired, 12_500, &[], &[]), ["w-1"]);
    assert!(gone(&mut expired, 13_000, &[], &[]).is_empty());
    assert_eq!(gone(&mut expired, 13_000, &["w-2"], &[]), ["w-2"], "the grace period is over");
}

/// A daemon that was cut off read again first, kept what had vanished, and announced the rest. The other daemons, whose
/// lists were current all the while, took its list for complete, kept a server that had left, and sent it requests.
#[test]
fn a_server_that_vanished_while_another_daemon_was_cut_off_is_gone_at_once() {
    let mut expired = ExpiredEntries::default();
    expired.observe_age(at(10_400), CURRENT);
    assert_eq!(gone(&mut expired, 10_400, &["w-1"], &[]), ["w-1"]);
}

/// After an outage of the store one daemon reads for all. The others have not read themselves, and must not take all
/// servers out of use with its change either, also if another daemon has confirmed their lists just before.
#[test]
fn entries_that_expired_in_an_outage_are_kept_by_daemons_that_did_not_read() {
    let mut expired = ExpiredEntries::default();
    expired.observe_age(at(10_000), OLD);
    expired.observe_age(at(10_100), CURRENT);
    assert!(gone(&mut expired, 10_100, &["w-1", "w-2"], &[]).is_empty());
    assert_eq!(expired.next_due_us(at(10_100)), Some(at(12_500)));
    assert!(gone(&mut expired, 11_000, &[], &["w-1"]).is_empty());
    assert_eq!(gone(&mut expired, 12_500, &[], &[]), ["w-2"]);
}

/// After an outage another daemon read first and confirmed the list, which is young since. The own first read must keep
/// what has vanished all the same: on a hunted day 73 daemons took all servers out of use at once.
#[test]
fn a_confirmed_list_does_not_end_the_grace_period() {
    let mut expired = ExpiredEntries::default();
    expired.read_failed();
    expired.observe_age(at(9_900), CURRENT);
    expired.read_succeeded(at(10_000));
    assert!(gone(&mut expired, 10_000, &["w-1"], &[]).is_empty());
    assert_eq!(gone(&mut expired, 12_000, &[], &[]), ["w-1"]);
}

/// A read fails, others go on confirming the list, and this daemon reads again when a reader has stopped, seconds later or at
/// once. It must not keep servers that leave just then, since the list was current all the while.
#[rstest]
#[case::at_once(10_300)]
#[case::long_after(29_000)]
fn a_failed_read_beside_a_current_list_is_no_outage(#[case] read_at_ms: u64) {
    let mut expired = ExpiredEntries::default();
    for at_ms in (1_000..=read_at_ms).step_by(100) {
        expired.observe_age(at(at_ms), CURRENT);
        if at_ms == 10_000 {
            expired.read_failed();
        }
    }
    expired.read_succeeded(at(read_at_ms));
    assert_eq!(gone(&mut expired, read_at_ms, &["w-1"], &[]), ["w-1"]);
}

/// The whole list of another daemon replaced the own one. Servers that it has must not be removed later because they had
/// vanished before.
#[test]
fn entries_of_a_replaced_list_are_not_pending_any_more() {
    let mut expired = ExpiredEntries::default();
    expired.observe_age(at(10_000), OLD);
    gone(&mut expired, 10_000, &["w-1"], &[]);
    expired.replaced(at(10_100), Vec::new());
    assert!(gone(&mut expired, 12_500, &[], &[]).is_empty());
}

/// Another daemon's change comes first and the own first read later, which must not keep an entry past its time.
#[test]
fn an_entry_that_is_due_is_gone_whatever_is_read_meanwhile() {
    let mut expired = ExpiredEntries::default();
    expired.read_failed();
    expired.observe_age(at(10_000), OLD);
    assert!(gone(&mut expired, 10_100, &["w-1"], &[]).is_empty());
    expired.read_succeeded(at(11_000));
    assert_eq!(gone(&mut expired, 12_500, &[], &[]), ["w-1"]);
}

/// A daemon was cut off while others read the list all the time, and kept servers that had left for 2.5 s after the cut.
#[test]
fn a_daemon_that_was_cut_off_alone_keeps_no_server() {
    let mut expired = ExpiredEntries::default();
    expired.read_failed();
    expired.observe_age(at(10_000), OLD);
    expired.other_is_current(at(10_050), Micros(60_000_000));
    expired.read_succeeded(at(10_100));
    assert_eq!(gone(&mut expired, 10_100, &["w-1"], &[]), ["w-1"]);
}

/// The report of another daemon arrives after the own read.
#[test]
fn kept_servers_are_gone_once_another_daemon_reports_that_there_was_no_outage() {
    let mut expired = ExpiredEntries::default();
    expired.observe_age(at(10_000), OLD);
    assert!(gone(&mut expired, 10_100, &["w-1"], &[]).is_empty());
    expired.other_is_current(at(10_300), Micros(60_000_000));
    assert!(expired.next_due_us(at(10_300)).is_some_and(|due_us| due_us <= at(10_300)));
    assert_eq!(gone(&mut expired, 10_300, &[], &[]), ["w-1"]);
}

/// A daemon learned of the end of an outage three seconds late, and kept servers for as long again as all others had.
#[test]
fn servers_are_kept_from_the_end_of_an_outage_and_not_from_when_it_is_noticed() {
    let mut expired = ExpiredEntries::default();
    expired.observe_age(at(13_000), OLD);
    expired.other_is_current(at(13_050), Micros(1_050_000));
    assert!(gone(&mut expired, 13_100, &["w-1"], &[]).is_empty());
    expired.other_is_current(at(14_000), Micros(2_000_000));
    assert!(gone(&mut expired, 14_400, &[], &[]).is_empty());
    assert_eq!(gone(&mut expired, 14_500, &[], &[]), ["w-1"]);
}

/// Others read the list until the store failed for all. What they reported before must not take live servers out of use.
#[test]
fn reports_from_before_an_outage_do_not_end_the_grace_period() {
    let mut expired = ExpiredEntries::default();
    expired.other_is_current(at(5_000), Micros(60_000_000));
    expired.observe_age(at(10_000), OLD);
    assert!(gone(&mut expired, 10_100, &["w-1"], &[]).is_empty());
    expired.other_is_current(at(10_200), Micros(200_000));
    assert_eq!(gone(&mut expired, 11_000, &[], &["w-1"]), [""; 0]);
    assert_eq!(expired.next_due_us(at(11_000)), None);
}

/// What a daemon reports of its own list: nothing while it is old, and nothing of the time before it was old or unobserved.
#[rstest]
#[case::old(&[(1_000, CURRENT), (1_500, OLD)], 1_500, None)]
#[case::current_again(&[(1_000, CURRENT), (1_500, OLD), (2_000, CURRENT), (2_100, CURRENT)], 2_400, Some(400_000))]
#[case::process_stopped(&[(1_000, CURRENT), (4_000, CURRENT)], 4_100, Some(100_000))]
#[case::message_after_a_stop(&[(1_000, CURRENT)], 4_000, None)]
fn a_gap_ends_the_time_for_which_a_list_is_reported_current(
    #[case] observed: &[(u64, Option<Micros>)],
    #[case] at_ms: u64,
    #[case] reported: Option<u64>,
) {
    let mut expired = ExpiredEntries::default();
    observed.iter().for_each(|(at_ms, age_us)| expired.observe_age(at(*at_ms), *age_us));
    assert_eq!(expired.current_for_us(at(at_ms)), reported.map(Micros));
}

/// A list was passed on with servers that its sender only kept, and the recipient took them for listed for good.
#[test]
fn servers_that_the_sender_of_a_list_keeps_are_kept_as_long_by_its_recipient() {
    let mut sender = ExpiredEntries::default();
    sender.observe_age(at(10_000), OLD);
    gone(&mut sender, 10_100, &["w-1", "w-2"], &[]);
    let kept = sender.kept(at(11_000)).map(|(id, left_us)| (id.clone(), left_us)).collect();
    // The clocks of two daemons have nothing in common.
    let mut recipient = ExpiredEntries::default();
    recipient.replaced(at(500), kept);
    assert!(gone(&mut recipient, 1_000, &[], &["w-2"]).is_empty());
    assert_eq!(gone(&mut recipient, 2_000, &[], &[]), ["w-1"]);
}
