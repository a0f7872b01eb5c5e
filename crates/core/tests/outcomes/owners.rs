//! A partition's owner is asked first, unless it recently did not answer or announced its shutdown.

use hibiscusvale_core::claim::{
    BodyDigest, ClaimAction, ClaimKey, ClaimMessage, ClaimSettings, Claims, UnixMillis,
};
use hibiscusvale_core::ids::{HostId, Incarnation, RequestId};
use hibiscusvale_core::units::{Millis, MonoTime};

const NOW_UNIX_MS: UnixMillis = UnixMillis(1_000_000_000);

fn requests_sent(actions: &[ClaimAction]) -> usize {
    actions.iter().filter(|action| matches!(action, ClaimAction::Send { .. })).count()
}

/// Starts requests with a key each; returns for how many of them the other daemon was asked.
fn begin(claims: &mut Claims, at: MonoTime, numbers: std::ops::Range<u64>) -> usize {
    for number in numbers {
        let request = RequestId { incarnation: Incarnation(1), sequence: number };
        let partner = "nadifa".parse().expect("partner");
        let key = ClaimKey::new(&partner, &format!("key-{number}").parse().expect("key"));
        claims.begin(at, NOW_UNIX_MS, request, key, BodyDigest::new("POST", "/", b""));
    }
    requests_sent(&claims.take_actions())
}

/// The owner of half of the keys dies. Membership declares it dead only ten seconds later; if each launch
/// entry until then waited for its answer, half of them would miss their target.
#[test]
fn unresponsive_owner_is_bypassed_temporarily() {
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
    assert!(begin(&mut claims, timed_out + settings.unresponsive_ms, 200..264) > 0);
}

/// The log takes a second per append. The owner has accepted the claims, so other daemons must leave them to
/// it: if all of them appended as well, they would load the slow log further.
#[test]
fn slow_log_is_not_taken_for_unresponsive_owner() {
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
        owner.handle_message(start, NOW_UNIX_MS, &own, message);
    }
    let mut accepted = 0;
    for action in owner.take_actions() {
        if let ClaimAction::Send { message, .. } = action {
            asker.handle_message(start, NOW_UNIX_MS, &other, message);
            accepted += 1;
        }
    }
    assert_eq!(accepted, 1);
    asker.tick(start + settings.peer_timeout_ms + Millis(1), NOW_UNIX_MS);
    assert_eq!(asker.take_actions(), [], "the claim is left to the owner");
    asker.tick(start + settings.accepted_timeout_ms, NOW_UNIX_MS);
    assert!(
        matches!(asker.take_actions()[..], [ClaimAction::Read { .. }]),
        "the daemon claims through the log itself"
    );
}

/// The owner of half of the keys is stopped and announces it. No claim may wait for it afterwards.
#[test]
fn leaving_owner_is_bypassed() {
    let own: HostId = "entry-a".parse().expect("host");
    let other: HostId = "entry-b".parse().expect("host");
    let mut claims = Claims::new(own.clone(), Incarnation(1), ClaimSettings::default());
    claims.set_members(&[own, other.clone()]);
    let start = MonoTime(1_000_000);
    claims.handle_message(start, NOW_UNIX_MS, &other, ClaimMessage::Leaving);
    assert_eq!(begin(&mut claims, start, 0..64), 0);
    assert!(begin(&mut claims, start + ClaimSettings::default().leaving_ms, 100..164) > 0);
}
