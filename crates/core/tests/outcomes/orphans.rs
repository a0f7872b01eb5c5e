use hibiscusvale_core::ids::{BackendServerId, Incarnation};
use hibiscusvale_core::orphan::{
    MemoryOwner, OrphanSettings, OrphanWatch, OwnerState, PendingReleases, ReleaseSettings, SeenOwner,
};
use hibiscusvale_core::units::{Micros, MonoTime};

const START: MonoTime = MonoTime(1_000);

fn engine() -> BackendServerId {
    "engine-1".parse().expect("name")
}

fn owner(life: u64) -> MemoryOwner {
    MemoryOwner { host: "a".parse().expect("name"), incarnation: Incarnation(life.into()) }
}

fn seen(life: u64, state: OwnerState) -> [SeenOwner; 1] {
    [SeenOwner { owner: owner(life), state }]
}

/// A caller leaves while the engine does not answer. The release is asked for again and again, each time
/// later, and no more once the engine has confirmed it.
#[test]
fn a_release_is_repeated_until_confirmed() {
    let settings = ReleaseSettings::default();
    let mut releases = PendingReleases::new(settings);
    releases.want(START, &engine(), 7);
    releases.want(START, &engine(), 7);
    assert_eq!(releases.due(START).len(), 1);
    assert_eq!(releases.due(START + Micros(1)).len(), 0, "no sooner than the first retry");
    let mut now_us = START;
    for _ in 0..20 {
        now_us = now_us + settings.longest_retry_ms;
        assert_eq!(releases.due(now_us).len(), 1, "an engine that comes back is asked in time");
    }
    releases.confirmed(&engine(), &7);
    assert!(releases.is_empty());
}

/// An engine is taken out of the host list with releases open. Its memory is gone, and nobody keeps asking.
#[test]
fn an_unlisted_engine_is_not_asked() {
    let mut releases = PendingReleases::new(ReleaseSettings::default());
    releases.want(START, &engine(), 7);
    releases.server_gone(&engine());
    assert_eq!(releases.due(START), []);
}

/// A daemon is killed and replaced. Its successor proves its death, and what it held is released at once.
#[test]
fn memory_of_a_replaced_daemon_is_released_at_once() {
    let mut watch = OrphanWatch::new(OrphanSettings::default());
    assert_eq!(watch.orphans(START, false, seen(1, OwnerState::Replaced)), [owner(1)]);
}

/// A daemon falls silent: it died, or is cut off and still streams to its callers. It is given time while the
/// engine has room, less when the engine is full, and all of it again when it was heard from in between.
#[test]
fn a_silent_daemon_is_given_time() {
    let settings = OrphanSettings::default();
    let mut watch = OrphanWatch::new(settings);
    assert_eq!(watch.orphans(START, true, seen(1, OwnerState::Silent)), []);
    let full = START + settings.full_patience_ms;
    assert_eq!(watch.orphans(full, false, seen(1, OwnerState::Silent)), []);
    assert_eq!(watch.orphans(full, true, seen(1, OwnerState::Silent)), [owner(1)]);
    assert_eq!(watch.orphans(full, true, seen(1, OwnerState::Live)), []);
    assert_eq!(watch.orphans(full, true, seen(1, OwnerState::Silent)), [], "counted anew");
    let late = full + settings.patience_ms;
    assert_eq!(watch.orphans(late, false, seen(1, OwnerState::Silent)), [owner(1)]);
}
