//! Tests of the guard against frames told again.

use super::*;

fn host() -> HostId {
    "entry-1".parse().unwrap()
}

/// A device on the way, or an attacker who recorded it, sends a frame again. Acting on it twice could release
/// a slot that was granted anew in between.
#[test]
fn drops_a_frame_told_again() {
    let now = Instant::now();
    let mut guard = Guard::default();
    let life = Incarnation::new(1_000, 1);
    assert_eq!(guard.check(now, &host(), life, 10), Ok(()));
    assert_eq!(guard.check(now, &host(), life, 12), Ok(()));
    assert_eq!(guard.check(now, &host(), life, 11), Ok(()));
    assert_eq!(guard.check(now, &host(), life, 11), Err(Stale::Replayed));
    assert_eq!(guard.check(now, &host(), life, 500), Ok(()));
    assert_eq!(guard.check(now, &host(), life, 12), Err(Stale::Replayed));
}

/// A host was replaced under its own address, and the old process wakes from a pause and goes on sending. What
/// it says was true once.
#[test]
fn drops_frames_of_a_life_that_is_over() {
    let now = Instant::now();
    let mut guard = Guard::default();
    let (old, new) = (Incarnation::new(1_000, 1), Incarnation::new(2_000, 1));
    assert_eq!(guard.check(now, &host(), old, 10), Ok(()));
    assert_eq!(guard.check(now, &host(), new, 1), Ok(()));
    assert_eq!(guard.check(now, &host(), old, 11), Err(Stale::OldLife));
}

/// A host whose clock was a year ahead is restarted with the right time. Its new life compares smaller; it
/// must not be locked out for a year.
#[test]
fn believes_a_smaller_life_after_long_silence() {
    let now = Instant::now();
    let mut guard = Guard::default();
    let (ahead, right) = (Incarnation::new(9_000, 1), Incarnation::new(2_000, 1));
    assert_eq!(guard.check(now, &host(), ahead, 10), Ok(()));
    let later = now + OLD_LIFE_AFTER + Duration::from_secs(1);
    assert_eq!(guard.check(later, &host(), right, 1), Ok(()));
}
