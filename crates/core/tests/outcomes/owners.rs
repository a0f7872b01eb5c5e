//! The usual appender of a partition is asked first, unless it has just given no answer.

use hibiscusvale_core::claim::{
    BodyDigest, ClaimAction, ClaimKey, ClaimMessage, ClaimSettings, Claims, UnixMillis,
};
use hibiscusvale_core::ids::{HostId, Incarnation, RequestId};
use hibiscusvale_core::units::{Millis, MonoTime};

const NOW_UNIX_MS: UnixMillis = UnixMillis(1_000_000_000);

fn asks(actions: &[ClaimAction]) -> usize {
    actions.iter().filter(|action| matches!(action, ClaimAction::Send { .. })).count()
}

/// Begins requests under keys of their own; returns how many of them the other daemon was asked about.
fn begin(claims: &mut Claims, at: MonoTime, names: std::ops::Range<u64>) -> usize {
    for name in names {
        let request = RequestId { incarnation: Incarnation(1), sequence: name };
        let partner = "nadifa".parse().expect("partner");
        let key = ClaimKey::new(&partner, &format!("key-{name}").parse().expect("key"));
        claims.begin(at, NOW_UNIX_MS, request, key, BodyDigest::new("POST", "/", b""));
    }
    asks(&claims.take_actions())
}

/// The host that usually appends for half of the keys dies. Its death is certain only ten seconds later; were each
/// launch entry until then to wait for its answer first, half of them would miss their target.
#[test]
fn an_owner_that_gave_no_answer_is_passed_over_for_a_while() {
    let settings = ClaimSettings::default();
    let own: HostId = "entry-a".parse().expect("host");
    let other: HostId = "entry-b".parse().expect("host");
    let mut claims = Claims::new(own.clone(), Incarnation(1), settings);
    claims.set_members(&[own, other]);

    let start = MonoTime(1_000_000);
    let asked = begin(&mut claims, start, 0..64);
    assert!(asked > 0, "no key belongs to the other daemon");
    let timed_out = start + settings.peer_timeout_ms;
    claims.tick(timed_out, NOW_UNIX_MS);
    claims.take_actions();

    assert_eq!(begin(&mut claims, timed_out + Millis(10), 100..164), 0);
    assert!(begin(&mut claims, timed_out + settings.silent_ms, 200..264) > 0);
}

/// The log answers each append after a second. The owner has said that it took the claims in, so the other daemons
/// leave them to it: if all of them appended as well, a slow log would get the more to do.
#[test]
fn a_slow_log_is_not_taken_for_a_silent_owner() {
    let settings = ClaimSettings::default();
    let (own, other): (HostId, HostId) = ("entry-a".parse().expect("host"), "entry-b".parse().expect("host"));
    let mut asker = Claims::new(own.clone(), Incarnation(1), settings);
    let mut owner = Claims::new(other.clone(), Incarnation(2), settings);
    for claims in [&mut asker, &mut owner] {
        claims.set_members(std::slice::from_ref(&other));
    }
    let start = MonoTime(1_000_000);
    let request = RequestId { incarnation: Incarnation(1), sequence: 1 };
    asker.begin(start, NOW_UNIX_MS, request, ClaimKey([3; 16]), BodyDigest([3; 16]));
    for action in asker.take_actions() {
        let ClaimAction::Send { message, .. } = action else { panic!("unexpected {action:?}") };
        owner.peer(start, NOW_UNIX_MS, &own, message);
    }
    let mut taken = 0;
    for action in owner.take_actions() {
        if let ClaimAction::Send { message, .. } = action {
            asker.peer(start, NOW_UNIX_MS, &other, message);
            taken += 1;
        }
    }
    assert_eq!(taken, 1);
    asker.tick(start + settings.peer_timeout_ms + Millis(1), NOW_UNIX_MS);
    assert_eq!(asker.take_actions(), [], "it leaves the claim to the owner");
    asker.tick(start + settings.taken_timeout_ms, NOW_UNIX_MS);
    assert!(
        matches!(asker.take_actions()[..], [ClaimAction::Read { .. }]),
        "it claims through the log itself"
    );
}

/// The host that usually appends for half of the keys is stopped on purpose. It says so, and nobody waits for it after
/// it has gone.
#[test]
fn an_owner_that_said_that_it_stops_is_not_waited_for() {
    let own: HostId = "entry-a".parse().expect("host");
    let other: HostId = "entry-b".parse().expect("host");
    let mut claims = Claims::new(own.clone(), Incarnation(1), ClaimSettings::default());
    claims.set_members(&[own, other.clone()]);
    let start = MonoTime(1_000_000);
    claims.peer(start, NOW_UNIX_MS, &other, ClaimMessage::Leaving);
    assert_eq!(begin(&mut claims, start, 0..64), 0);
    assert!(begin(&mut claims, start + ClaimSettings::default().leaving_ms, 100..164) > 0);
}
