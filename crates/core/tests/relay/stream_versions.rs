//! Records of streams, and what the server list has shown of versions.

use hibiscusvale_core::ids::{DataCentreId, HostId, PartnerId, ServiceId, SoftwareVersion};
use hibiscusvale_core::quarantine::CallerIdentity;
use hibiscusvale_core::relay::stream_versions::{
    Confirmation, STREAM_TTL_MS, SeenVersions, StreamKey, StreamLookup, StreamOrigin, StreamRecord,
    StreamVersions, VersionHistory, keepers, only_version,
};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rstest::rstest;

fn at(ms: u64) -> MonoTime {
    MonoTime::default() + Millis(ms)
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "llm".parse().unwrap(), version: version.parse().unwrap() }
}

fn record(key: u64, version: &str) -> StreamRecord {
    StreamRecord { key: StreamKey(key), origin: Some(origin(version)) }
}

fn llm() -> ServiceId {
    "llm".parse().unwrap()
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

#[test]
fn recorded_stream_is_found_until_its_time_is_over() {
    let mut streams = StreamVersions::new(10);
    streams.record(at(5), &record(1, "v1"));
    let last = at(5) + Millis(STREAM_TTL_MS.0 - 1);
    assert_eq!(streams.find(last, StreamKey(1)), (StreamLookup::Known(origin("v1")), Some(at(5))));
    assert_eq!(streams.find(at(5) + STREAM_TTL_MS, StreamKey(1)), (StreamLookup::Unknown, None));
}

/// A stream is recorded again each time it is resumed, so that it can be resumed for as long again.
#[test]
fn repeated_record_keeps_a_stream_for_longer() {
    let mut streams = StreamVersions::new(10);
    streams.record(at(0), &record(1, "v1"));
    streams.record(at(40_000), &record(1, "v1"));
    streams.record(at(61_000), &record(2, "v2"));
    assert_eq!(streams.find(at(99_999), StreamKey(1)).0, StreamLookup::Known(origin("v1")));
    assert_eq!(streams.len(), 2);
}

/// Two streams under one id, or an engine that had other software than listed: any version would be a guess.
#[rstest]
#[case(&record(1, "v2"))]
#[case(&StreamRecord { key: StreamKey(1), origin: None })]
fn contradictory_records_make_a_stream_ambiguous(#[case] other: &StreamRecord) {
    let mut streams = StreamVersions::new(10);
    streams.record(at(0), &record(1, "v1"));
    streams.record(at(1), other);
    assert_eq!(streams.find(at(2), StreamKey(1)).0, StreamLookup::Ambiguous);
    streams.record(at(3), &record(1, "v1"));
    assert_eq!(streams.find(at(4), StreamKey(1)).0, StreamLookup::Ambiguous);
}

/// The same version string of another service is other software.
#[test]
fn version_of_another_service_is_another_origin() {
    let mut streams = StreamVersions::new(10);
    let other = StreamOrigin { service: "other".parse().unwrap(), version: version("v1") };
    streams.record(at(0), &record(1, "v1"));
    streams.record(at(1), &StreamRecord { key: StreamKey(1), origin: Some(other) });
    assert_eq!(streams.find(at(2), StreamKey(1)).0, StreamLookup::Ambiguous);
}

/// Callers that begin many streams must not fill the memory.
#[test]
fn records_are_limited_in_number() {
    let mut streams = StreamVersions::new(100);
    for key in 0..10_000 {
        streams.record(at(key), &record(key, "v1"));
        streams.record(at(key), &record(key, "v1"));
    }
    assert!(streams.len() <= 100);
    assert_eq!(streams.find(at(10_000), StreamKey(9_999)).0, StreamLookup::Known(origin("v1")));
    assert_eq!(streams.find(at(10_000), StreamKey(0)).0, StreamLookup::Unknown);
}

/// A caller must not learn of another caller's stream by naming its attempt.
#[test]
fn streams_of_different_callers_have_different_keys() {
    let (one, other): (PartnerId, PartnerId) = ("one".parse().unwrap(), "other".parse().unwrap());
    let callers = [
        CallerIdentity::Partner(&one),
        CallerIdentity::Partner(&other),
        CallerIdentity::Credentials(b"one"),
        CallerIdentity::Anonymous,
    ];
    let mut keys: Vec<StreamKey> =
        callers.iter().map(|caller| StreamKey::of(*caller, "shop.example", "c-1")).collect();
    keys.push(StreamKey::of(CallerIdentity::Anonymous, "other.example", "c-1"));
    keys.push(StreamKey::of(CallerIdentity::Anonymous, "shop.example", "c-2"));
    let count = keys.len();
    keys.sort_unstable();
    keys.dedup();
    assert_eq!(keys.len(), count);
    let upper = StreamKey::of(CallerIdentity::Anonymous, "SHOP.example", "c-1");
    assert_eq!(upper, StreamKey::of(CallerIdentity::Anonymous, "shop.example", "c-1"));
}

/// A history whose list is current from `from_ms` on, observed until `until_ms`.
fn history(listed: &[(u64, &[&str])], from_ms: u64, until_ms: u64) -> VersionHistory {
    let mut history = VersionHistory::default();
    for now_ms in (0..=until_ms).step_by(250) {
        for (_, versions) in listed.iter().filter(|(listed_ms, _)| *listed_ms == now_ms) {
            let versions: Vec<SoftwareVersion> = versions.iter().map(|text| version(text)).collect();
            history.adopt(at(now_ms), versions.iter().map(|version| ("llm", version)));
        }
        history.observe(at(now_ms), (now_ms >= from_ms).then_some(Micros(100_000)));
    }
    history
}

fn only(history: &VersionHistory, now_ms: u64) -> Option<SoftwareVersion> {
    only_version(Some(Confirmation::AllDaemons), [&history.seen(at(now_ms), &llm())].into_iter())
}

#[rstest]
#[case::one_version_for_long(&[(0, &["v1"][..])], 61_000, Some("v1"))]
#[case::one_version_since_a_short_time(&[(0, &["v1"][..])], 59_000, None)]
#[case::two_versions(&[(0, &["v1", "v2"][..])], 61_000, None)]
#[case::a_version_left_a_short_time_ago(&[(0, &["v1", "v2"][..]), (10_000, &["v1"][..])], 69_000, None)]
#[case::a_version_left_long_ago(&[(0, &["v1", "v2"][..]), (10_000, &["v1"][..])], 70_500, Some("v1"))]
#[case::a_version_came(&[(0, &["v1"][..]), (61_000, &["v1", "v2"][..])], 61_250, None)]
#[case::a_version_came_back(
    &[(0, &["v1"][..]), (10_000, &["v1", "v2"][..]), (20_000, &["v1"][..]), (70_000, &["v2", "v1"][..]),
      (71_000, &["v1"][..])], 90_000, None
)]
#[case::replaced_at_once(&[(0, &["v1"][..]), (61_000, &["v2"][..])], 61_250, None)]
fn only_version_is_known_by_the_list(
    #[case] listed: &[(u64, &[&str])],
    #[case] now_ms: u64,
    #[case] expected: Option<&str>,
) {
    let history = history(listed, 0, now_ms);
    assert_eq!(only(&history, now_ms), expected.map(version));
}

/// While the list is old, versions may come and go unseen.
#[test]
fn history_starts_anew_after_a_gap() {
    let mut history = history(&[(0, &["v1"][..])], 0, 70_000);
    assert_eq!(only(&history, 70_000), Some(version("v1")));
    history.observe(at(70_250), Some(Micros::from(Millis(6_000))));
    assert_eq!(only(&history, 70_250), None);
    history.observe(at(70_500), Some(Micros(0)));
    assert_eq!(only(&history, 70_500), None);
}

/// A daemon that was suspended has not seen what was listed meanwhile.
#[test]
fn history_starts_anew_after_a_suspension() {
    let mut history = history(&[(0, &["v1"][..])], 0, 70_000);
    history.observe(at(80_000), Some(Micros(0)));
    assert_eq!(only(&history, 80_000), None);
}

/// A daemon that has just started learns which versions were listed before.
#[test]
fn saved_versions_complete_the_history_of_a_new_daemon() {
    let mut new = history(&[(0, &["v1"][..])], 0, 1_000);
    new.adopt_earlier(at(1_000), &llm(), &[version("v1")]);
    assert_eq!(only(&new, 1_000), Some(version("v1")));
    let mut after_release = history(&[(0, &["v1"][..])], 0, 1_000);
    after_release.adopt_earlier(at(1_000), &llm(), &[version("v1"), version("v0")]);
    assert_eq!(only(&after_release, 1_000), None);
    let mut of_another_service = history(&[(0, &["v1"][..])], 0, 1_000);
    of_another_service.adopt_earlier(at(1_000), &"other".parse().unwrap(), &[version("v1")]);
    assert_eq!(only(&of_another_service, 1_000), None);
}

/// What was saved proves nothing while the list is not current.
#[test]
fn saved_versions_do_not_complete_an_old_list() {
    let mut history = history(&[(0, &["v1"][..])], 10_000, 1_000);
    history.adopt_earlier(at(1_000), &llm(), &[version("v1")]);
    assert_eq!(only(&history, 1_000), None);
}

/// Before the first daemon of an installation no stream can have begun.
#[test]
fn history_of_the_first_daemon_is_complete_until_a_gap() {
    let mut first = VersionHistory::new(true);
    first.observe(at(0), None);
    first.adopt(at(100), [("llm", &version("v1"))].into_iter());
    first.observe(at(250), Some(Micros(0)));
    assert_eq!(only(&first, 250), Some(version("v1")));
    first.observe(at(9_000), Some(Micros(0)));
    assert_eq!(only(&first, 9_000), None);
}

#[test]
fn another_daemon_completes_what_a_new_one_has_seen() {
    let seen = |versions: &[&str], is_complete| SeenVersions {
        versions: versions.iter().map(|text| version(text)).collect(),
        is_complete,
    };
    let only = |seen: &[&SeenVersions]| only_version(Some(Confirmation::AllDaemons), seen.iter().copied());
    let (new, old) = (seen(&["v1"], false), seen(&["v1"], true));
    assert_eq!(only(&[&new, &old]), Some(version("v1")));
    assert_eq!(only(&[&new]), None);
    let released = seen(&["v1", "v2"], true);
    assert_eq!(only(&[&new, &released]), None);
    assert_eq!(only(&[&seen(&["v2"], false), &old]), None);
    assert_eq!(only(&[&seen(&[], true)]), None);
}

/// A list that was current a moment ago does not show a version that has come since.
#[test]
fn versions_seen_prove_nothing_without_a_confirmation() {
    let seen = SeenVersions { versions: vec![version("v1")], is_complete: true };
    assert_eq!(only_version(None, [&seen].into_iter()), None);
    for confirmation in [Confirmation::AllDaemons, Confirmation::Saved] {
        assert_eq!(only_version(Some(confirmation), [&seen].into_iter()), Some(version("v1")));
    }
}

fn daemons(data_centres: usize, each: usize) -> Vec<(HostId, DataCentreId)> {
    let daemon = |number: usize| {
        let data_centre = format!("z-{}", number % data_centres).parse().unwrap();
        (format!("entry-{number}").parse().unwrap(), data_centre)
    };
    (0..data_centres * each).map(daemon).collect()
}

fn keepers_at(daemons: &[(HostId, DataCentreId)], own: usize, key: u64, count: usize) -> Vec<&HostId> {
    let others = daemons.iter().enumerate().filter(|(number, _)| *number != own);
    let others = others.map(|(_, (host, data_centre))| (host, data_centre));
    keepers(StreamKey(key), &daemons[own].1, others, count)
}

#[test]
fn all_daemons_of_a_small_fleet_keep_the_record() {
    let daemons = daemons(3, 3);
    assert_eq!(keepers_at(&daemons, 4, 1, 2).len(), 8);
}

/// The number of records must not grow with the fleet, and each daemon has to ask those that got it.
#[rstest]
#[case(4, 75)]
#[case(6, 164)]
fn daemons_ask_those_that_keep_the_record(#[case] data_centres: usize, #[case] each: usize) {
    let daemons = daemons(data_centres, each);
    for key in 0..200 {
        let recipients = keepers_at(&daemons, 0, key, 2);
        assert!((2..=4).contains(&recipients.len()));
        let is_local = |host: &&&HostId| daemons.iter().any(|(it, at)| it == **host && *at == daemons[0].1);
        assert!(recipients.iter().filter(is_local).count() >= 2);
        for asker in [data_centres, 2 * data_centres, 1, 2] {
            let asked = keepers_at(&daemons, asker, key, 3);
            let shared = recipients.iter().filter(|host| asked.contains(host) || daemons[asker].0 == ***host);
            assert!(shared.count() >= 1, "daemon {asker} finds nobody who knows stream {key}");
        }
    }
}

/// A second version comes, and the records of streams from before must reach the log: those of this service that can still be
/// resumed, and none whose version is not known.
#[test]
fn records_of_a_service_are_those_that_can_still_be_resumed() {
    let mut streams = StreamVersions::new(10);
    let other = StreamOrigin { service: "other".parse().unwrap(), version: version("v1") };
    streams.record(at(0), &record(1, "v1"));
    streams.record(at(30_000), &record(2, "v1"));
    streams.record(at(30_000), &record(3, "v1"));
    streams.record(at(30_001), &StreamRecord { key: StreamKey(3), origin: None });
    streams.record(at(30_001), &StreamRecord { key: StreamKey(4), origin: Some(other) });
    let found: Vec<StreamRecord> = streams.records_of(at(70_000), &llm()).collect();
    assert_eq!(found, [record(2, "v1")]);
}

/// A release begins with its second version, and is over a minute after the first one has left.
#[test]
fn service_has_several_versions_until_no_stream_of_the_first_can_be_resumed() {
    let (v1, v2) = (version("v1"), version("v2"));
    let mut history = VersionHistory::new(true);
    history.adopt(at(0), [("llm", &v1)].into_iter());
    assert!(history.services_with_several(at(1)).is_empty());
    history.adopt(at(1_000), [("llm", &v1), ("llm", &v2)].into_iter());
    history.adopt(at(2_000), [("llm", &v2)].into_iter());
    assert!(history.services_with_several(at(61_999)).contains(&llm()));
    assert!(history.services_with_several(at(62_000)).is_empty());
}
