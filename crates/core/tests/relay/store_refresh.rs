//! Who reads the store, and what a vanished entry proves.

use hibiscusvale_core::ids::{BackendServerId, HostId};
use hibiscusvale_core::relay::expired_entries::Lapses;
use hibiscusvale_core::relay::store_refresh::{Reading, ReadingSettings, Told, is_reader};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};

use crate::simulation::server;

/// Place of a daemon that reads for others, and of the first that does not.
const READER: usize = 0;
const OTHER: usize = 2;

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

fn told(is_same: bool, age_ms: u64) -> Told {
    Told { is_same, age_us: Micros::from(Millis(age_ms)) }
}

fn host(number: u32) -> HostId {
    format!("entry-{number}").parse().unwrap()
}

fn read(reading: &mut Reading, at_ms: u64) {
    reading.begin(at(at_ms));
    reading.done(at(at_ms));
}

#[test]
fn a_new_daemon_reads_at_once() {
    assert_eq!(Reading::new(ReadingSettings::default()).next_us(OTHER), at(0));
}

/// A fleet starts at once. Each of hundreds of daemons read the list of ten thousand servers, page by page, and the store
/// turned them away.
#[test]
fn first_reads_are_left_to_the_readers_for_a_while() {
    let mut reading = Reading::new(ReadingSettings::default());
    reading.leave_first_read(at(5_000));
    assert_eq!(reading.next_us(READER), at(0), "a reader reads at once");
    assert_eq!(reading.next_us(OTHER), at(5_000), "the others when nobody has handed on anything");
    reading.begin(at(1_000));
    assert_eq!(
        reading.next_us(OTHER),
        at(5_000),
        "a question to another daemon that was in vain changes nothing"
    );
    reading.handed(at(1_200), Micros::from(Millis(300)));
    assert!(reading.next_us(OTHER) < at(5_000), "from then on it goes by the age of what it knows");
}

/// It was told what is in force before it has read anything. Reading all the same, each of hundreds would make 51 calls.
#[test]
fn whoever_was_told_before_its_first_read_does_not_read() {
    let mut reading = Reading::new(ReadingSettings::default());
    reading.leave_first_read(at(5_000));
    for now_ms in (500..20_000).step_by(500) {
        reading.heard(at(now_ms), told(true, 3));
        assert!(reading.next_us(OTHER) > at(now_ms + 500), "at {now_ms} ms");
    }
}

#[test]
fn a_reader_reads_again_and_again() {
    let mut reading = Reading::new(ReadingSettings::default());
    read(&mut reading, 1_000);
    assert_eq!(reading.next_us(READER), at(1_500));
}

#[test]
fn whoever_hears_of_fresh_and_equal_knowledge_does_not_read() {
    let mut reading = Reading::new(ReadingSettings::default());
    read(&mut reading, 1_000);
    for now_ms in (1_500..20_000).step_by(500) {
        assert!(!reading.heard(at(now_ms), told(true, 3)));
        assert!(reading.next_us(OTHER) > at(now_ms + 500));
    }
}

/// Both readers were cut off with their data centre. The others hear nothing any more and read themselves before their
/// knowledge is two seconds old: a leaving server must be known by then.
#[test]
fn whoever_hears_nothing_reads_in_time() {
    let mut reading = Reading::new(ReadingSettings::default());
    read(&mut reading, 1_000);
    reading.heard(at(5_000), told(true, 500));
    assert!(reading.next_us(OTHER) <= at(4_500 + 1_500));
    assert!(reading.next_us(OTHER) > at(5_500));
}

/// The store turns both readers away, and nobody reads any more. The others tell each other what they know every few
/// milliseconds, and each telling takes some. If ages that were heard were told on, each would look a little younger
/// than it is, and the daemons would keep each other from reading for seconds: new routes come into force late.
#[test]
fn what_others_tell_does_not_keep_daemons_from_reading() {
    let settings = ReadingSettings::default();
    let mut daemons: Vec<Reading> = (0..20).map(|_| Reading::new(settings)).collect();
    for reading in &mut daemons {
        read(reading, 1_000);
    }
    let mut now_ms = 1_000;
    while daemons.iter().all(|reading| reading.next_us(OTHER) > at(now_ms)) {
        let told_us: Vec<_> = daemons.iter().map(|reading| reading.read_age_us(at(now_ms))).collect();
        now_ms += LATENCY_MS;
        for age_us in told_us.into_iter().flatten() {
            for reading in &mut daemons {
                reading.heard(at(now_ms), Told { is_same: true, age_us });
            }
        }
        assert!(now_ms < 10_000, "nobody reads any more");
    }
    assert!(now_ms <= 1_000 + settings.stale_ms.0 + 2 * LATENCY_MS, "the first read after {now_ms} ms");
}

/// Time from one daemon to another, with a slow host's share.
const LATENCY_MS: u64 = 4;

/// The store turns this daemon away at once, again and again. Asking without a growing pause it would ask twenty times
/// a second, and each call is paid for.
#[test]
fn a_store_that_refuses_is_asked_less_and_less_often() {
    let mut reading = Reading::new(ReadingSettings { period_ms: Millis(50), ..ReadingSettings::default() });
    read(&mut reading, 1_000);
    reading.heard(at(1_010), told(false, 0));
    let mut tries = 0;
    for now_ms in 1_010..11_010 {
        if reading.next_us(READER) <= at(now_ms) {
            tries += 1;
            reading.begin(at(now_ms));
            reading.failed();
        }
    }
    assert!((10..=16).contains(&tries), "{tries} tries in ten seconds");
    read(&mut reading, 12_000);
    assert_eq!(reading.next_us(READER), at(12_050), "once it answers, the pause is as before");
}

/// A reader knows of a change. Waiting for its own turn a daemon would send requests to a server that is leaving.
#[test]
fn whoever_hears_of_something_newer_reads_at_once() {
    let mut reading = Reading::new(ReadingSettings::default());
    read(&mut reading, 1_000);
    assert!(reading.heard(at(1_200), told(false, 10)));
    assert!(reading.next_us(OTHER) <= at(1_200));
}

/// Both readers of a data centre with 164 daemons are late. When all others read at once, the store was late for that reason,
/// for the rest of the day; one after the other, the first that comes through keeps the rest quiet.
#[test]
fn daemons_stand_in_for_late_readers_one_after_the_other() {
    let due = |place: usize| {
        let mut reading = Reading::new(ReadingSettings::default());
        reading.leave_first_read(at(500));
        reading.heard(at(1_000), told(true, 0));
        reading.next_us(place)
    };
    let due: Vec<MonoTime> = (2..164).map(due).collect();
    assert!(due[0] <= at(2_500), "the first is in time for a leaving server");
    for (one, next) in due.iter().zip(&due[1..]) {
        assert!(next.since(*one) >= Micros::from(Millis(50)), "no two at once");
    }
}

/// The store is in need, and hundreds of daemons could not read it. As long as all of them asked as often as the readers, it
/// never recovered.
#[test]
fn whoever_does_not_read_for_others_asks_a_failing_store_seldom() {
    let tries = |place: usize| {
        let mut reading = Reading::new(ReadingSettings::default());
        reading.leave_first_read(at(1_000));
        let mut tries = 0;
        for now_ms in 1_000..31_000 {
            if reading.next_us(place) <= at(now_ms) {
                tries += 1;
                reading.begin(at(now_ms));
                reading.failed();
            }
        }
        tries
    };
    assert!(tries(READER) >= 30, "a reader has to know soon that the store is back");
    assert!(tries(OTHER) <= 10, "{} tries in half a minute", tries(OTHER));
}

/// A daemon that is behind itself says something else than this one. Believing it would make everybody read for as long
/// as it is cut off.
#[test]
fn older_knowledge_of_others_is_no_reason_to_read() {
    let mut reading = Reading::new(ReadingSettings::default());
    read(&mut reading, 9_000);
    assert!(!reading.heard(at(9_100), told(false, 4_000)));
    assert!(reading.next_us(OTHER) > at(10_000));
}

/// The store is down and each read fails. Daemons ask again at the readers' pace, not in a circle.
#[test]
fn failed_reads_are_not_repeated_in_a_circle() {
    let mut reading = Reading::new(ReadingSettings::default());
    reading.begin(at(100));
    assert_eq!(reading.next_us(OTHER), at(600));
    read(&mut reading, 600);
    reading.begin(at(5_000));
    assert_eq!(reading.next_us(OTHER), at(5_500));
}

/// The store was away, and is back: another daemon has read newer routes there. A daemon that went on waiting as after its
/// own failures put them in force four seconds late.
#[test]
fn what_another_daemon_told_ends_the_pause_after_failures() {
    let mut reading = Reading::new(ReadingSettings::default());
    read(&mut reading, 0);
    for now_ms in (2_000..6_000).step_by(1_000) {
        reading.begin(at(now_ms));
        reading.failed();
    }
    assert_eq!(reading.next_us(OTHER), at(5_800));
    assert!(reading.heard(at(5_010), told(false, 0)));
    assert_eq!(reading.next_ask_us(), at(5_050));
    reading.begin(at(5_050));
    reading.caught_up();
    assert!(reading.next_us(OTHER) <= at(5_550), "it knows nothing as of the outage's end yet");
}

#[test]
fn two_of_all_daemons_read_and_all_agree_on_them() {
    let settings = ReadingSettings::default();
    for count in [1, 2, 6, 90] {
        let hosts: Vec<HostId> = (0..count).map(host).collect();
        let readers = hosts
            .iter()
            .filter(|own| is_reader(&settings, own, hosts.iter().filter(|other| other != own)))
            .count();
        assert_eq!(readers, 2.min(count as usize));
    }
}

#[test]
fn the_duty_moves_when_a_reader_is_gone() {
    let settings = ReadingSettings::default();
    let mut hosts: Vec<HostId> = (0..6).map(host).collect();
    let reads = |own: &HostId, hosts: &[HostId]| {
        is_reader(&settings, own, hosts.iter().filter(|other| *other != own))
    };
    let first = hosts.iter().position(|own| reads(own, &hosts)).unwrap();
    hosts.remove(first);
    assert_eq!(hosts.iter().filter(|own| reads(own, &hosts)).count(), 2);
}

fn gone(lapses: &mut Lapses, at_ms: u64, vanished: &[&str], listed: &[&str]) -> Vec<String> {
    let listed: Vec<BackendServerId> = listed.iter().map(|name| server(name)).collect();
    let vanished = vanished.iter().map(|name| server(name)).collect();
    lapses.filter(at(at_ms), vanished, listed.iter()).iter().map(ToString::to_string).collect()
}

#[test]
fn an_entry_that_vanishes_in_quiet_times_is_gone() {
    let mut lapses = Lapses::default();
    lapses.read(at(1_000));
    assert_eq!(gone(&mut lapses, 1_000, &["w-1"], &[]), ["w-1"]);
}

/// The store was down for longer than entries live. Every server lapsed, and all are back within two seconds of its
/// return; callers would have been refused meanwhile.
#[test]
fn entries_that_lapsed_in_an_outage_are_kept_until_their_servers_had_time_to_return() {
    let mut lapses = Lapses::default();
    lapses.lost();
    lapses.read(at(10_000));
    assert!(gone(&mut lapses, 10_000, &["w-1", "w-2"], &[]).is_empty());
    lapses.read(at(11_000));
    assert!(gone(&mut lapses, 11_000, &[], &["w-1"]).is_empty());
    assert!(gone(&mut lapses, 11_900, &[], &[]).is_empty());
    assert_eq!(gone(&mut lapses, 12_000, &[], &[]), ["w-2"]);
}

/// A server died while the store was down. Kept longer than the two seconds it would get requests that nobody answers.
#[test]
fn an_entry_still_missing_after_that_is_gone_for_good() {
    let mut lapses = Lapses::default();
    lapses.lost();
    lapses.read(at(10_000));
    gone(&mut lapses, 10_000, &["w-1"], &[]);
    assert_eq!(gone(&mut lapses, 12_500, &[], &[]), ["w-1"]);
    assert!(gone(&mut lapses, 13_000, &[], &[]).is_empty());
    assert_eq!(gone(&mut lapses, 13_000, &["w-2"], &[]), ["w-2"], "the doubt is over");
}
