//! Tests of replay protection.

use super::*;

fn host() -> HostId {
    "entry-1".parse().unwrap()
}

/// A duplicated or recorded frame arrives again. Handling it twice could release a slot that was granted again in
/// the meantime.
#[test]
fn drops_a_replayed_frame() {
    let now = Instant::now();
    let mut guard = ReplayGuard::default();
    let incarnation = Incarnation::new(1_000, 1);
    assert_eq!(guard.check(now, &host(), incarnation, 10), Ok(()));
    assert_eq!(guard.check(now, &host(), incarnation, 12), Ok(()));
    assert_eq!(guard.check(now, &host(), incarnation, 11), Ok(()));
    assert_eq!(guard.check(now, &host(), incarnation, 11), Err(StaleFrame::Replayed));
    assert_eq!(guard.check(now, &host(), incarnation, 500), Ok(()));
    assert_eq!(guard.check(now, &host(), incarnation, 12), Err(StaleFrame::Replayed));
}

/// A host was replaced under its own address, and the old process resumes from a pause and keeps sending. Its
/// messages are outdated.
#[test]
fn drops_frames_of_an_old_incarnation() {
    let now = Instant::now();
    let mut guard = ReplayGuard::default();
    let (old, new) = (Incarnation::new(1_000, 1), Incarnation::new(2_000, 1));
    assert_eq!(guard.check(now, &host(), old, 10), Ok(()));
    assert_eq!(guard.check(now, &host(), new, 1), Ok(()));
    assert_eq!(guard.check(now, &host(), old, 11), Err(StaleFrame::OldIncarnation));
}

/// A host whose clock was a year ahead restarts with the correct time. Its new incarnation compares smaller, but
/// must not be locked out for a year.
#[test]
fn accepts_a_smaller_incarnation_after_long_silence() {
    let now = Instant::now();
    let mut guard = ReplayGuard::default();
    let (ahead, right) = (Incarnation::new(9_000, 1), Incarnation::new(2_000, 1));
    assert_eq!(guard.check(now, &host(), ahead, 10), Ok(()));
    let later = now + INCARNATION_TTL + Duration::from_secs(1);
    assert_eq!(guard.check(later, &host(), right, 1), Ok(()));
}
