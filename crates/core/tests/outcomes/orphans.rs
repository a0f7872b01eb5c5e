use hibiscusvale_core::ids::{BackendServerId, Incarnation};
use hibiscusvale_core::orphan::{
    MemoryOwner, OrphanDetector, OrphanSettings, OwnerState, PendingReleases, ReleaseSettings, ReportedOwner,
};
use hibiscusvale_core::units::{Micros, MonoTime};

const START: MonoTime = MonoTime(1_000);

fn engine() -> BackendServerId {
    "engine-1".parse().expect("name")
}

fn owner(incarnation: u64) -> MemoryOwner {
    MemoryOwner { host: "a".parse().expect("name"), incarnation: Incarnation(incarnation.into()) }
}

fn seen(incarnation: u64, state: OwnerState) -> [ReportedOwner; 1] {
    [ReportedOwner { owner: owner(incarnation), state }]
}

/// A caller leaves while the engine does not answer. The release must be repeated, with growing delays, until
/// the engine confirms it.
#[test]
fn release_is_repeated_until_confirmed() {
    let settings = ReleaseSettings::default();
    let mut releases = PendingReleases::new(settings);
    releases.request(START, &engine(), 7);
    releases.request(START, &engine(), 7);
    assert_eq!(releases.due(START).len(), 1);
    assert_eq!(releases.due(START + Micros(1)).len(), 0, "no sooner than the first retry");
    let mut now_us = START;
    for _ in 0..20 {
        now_us = now_us + settings.longest_retry_ms;
        assert_eq!(releases.due(now_us).len(), 1, "an engine that recovers is asked in time");
    }
    releases.confirmed(&engine(), &7);
    assert!(releases.is_empty());
}

/// An engine is removed from the host list with releases pending. Its memory is gone, so the releases are
/// dropped.
#[test]
fn unlisted_engine_gets_no_releases() {
    let mut releases = PendingReleases::new(ReleaseSettings::default());
    releases.request(START, &engine(), 7);
    releases.remove_server(&engine());
    assert_eq!(releases.due(START), []);
}

/// A daemon is killed and replaced. The new incarnation proves its death, so its memory is released at once.
#[test]
fn memory_of_a_replaced_daemon_is_released_at_once() {
    let mut detector = OrphanDetector::new(OrphanSettings::default());
    assert_eq!(detector.orphans(START, false, seen(1, OwnerState::Replaced)), [owner(1)]);
}

/// Nothing is received from a daemon: it died, or is cut off and still streams to its callers. It gets a
/// grace period, shorter if the engine is full, that restarts after the daemon was heard.
#[test]
fn silent_daemon_gets_grace_period() {
    let settings = OrphanSettings::default();
    let mut detector = OrphanDetector::new(settings);
    assert_eq!(detector.orphans(START, true, seen(1, OwnerState::Silent)), []);
    let full = START + settings.full_grace_ms;
    assert_eq!(detector.orphans(full, false, seen(1, OwnerState::Silent)), []);
    assert_eq!(detector.orphans(full, true, seen(1, OwnerState::Silent)), [owner(1)]);
    assert_eq!(detector.orphans(full, true, seen(1, OwnerState::Live)), []);
    assert_eq!(
        detector.orphans(full, true, seen(1, OwnerState::Silent)),
        [],
        "the grace period starts again"
    );
    let late = full + settings.grace_ms;
    assert_eq!(detector.orphans(late, false, seen(1, OwnerState::Silent)), [owner(1)]);
}
