//! Accepted and rejected changes.

use hibiscusvale_core::config::{
    ClassChange, HISTORY_PER_PARTNER, MAX_CLASSES_PER_PARTNER, MAX_UNATTRIBUTED_RECORDS, Record,
    RejectReason, Verdict,
};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;
use rstest::rstest;

use crate::support::{InMemoryLog, Publisher, class, daemon, nadifa, registry, set, target_ms};

#[test]
fn a_published_class_is_in_force() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    assert!(!fold.state().is_known());
    let outcomes = log.read_all(&mut fold);
    assert_eq!(outcomes[0].accepted, 1);
    assert!(fold.state().is_known());
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(9_000));
    assert_eq!(target_ms(fold.state(), &registry(), "summary"), None, "a class belongs to one partner");
}

/// Two operators of one partner change a class concurrently from the same version. The later record must not
/// silently undo the earlier one: the first in the log wins on every daemon, and the second operator gets the
/// conflicting version.
#[test]
fn of_two_changes_from_one_version_the_first_wins() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.append(nadifa().publish(2, Some(0), "summary", 5_000));
    log.append(nadifa().publish(3, Some(0), "summary", 7_000));
    let outcomes = log.read_all(&mut fold);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(5_000));
    let conflict = RejectReason::Conflict { made_from: Some(Offset(0)), in_force: Some(Offset(1)) };
    assert_eq!(outcomes[2].rejected[0].reason, conflict);
    let partner = fold.state().partner(&nadifa().id).expect("nadifa");
    let last = partner.history().last().expect("a history");
    assert_eq!(last.verdict, Verdict::Rejected(conflict));
    assert_eq!(last.author.as_ref().map(ToString::to_string).as_deref(), Some("salma"));
}

/// A client repeats an append after a lost reply, or an old record is copied into the log by a third party.
/// The change must count once, also if other changes came in between.
#[test]
fn a_repeated_change_counts_once() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    let first = nadifa().publish(1, None, "summary", 9_000);
    log.append(first.clone());
    log.append(first.clone());
    log.append(nadifa().publish(2, Some(0), "summary", 5_000));
    log.append(first);
    let outcomes = log.read_all(&mut fold);
    assert_eq!(outcomes[1].rejected[0].reason, RejectReason::Duplicate { first: Offset(0) });
    assert_eq!(outcomes[3].rejected[0].reason, RejectReason::Duplicate { first: Offset(0) });
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(5_000));
}

/// Changes of two partners interleave in the log and must not conflict with each other.
#[test]
fn partners_do_not_conflict_with_each_other() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.append(registry().publish(2, None, "launch", 300));
    log.append(nadifa().publish(3, Some(0), "summary", 8_000));
    log.read_all(&mut fold);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(8_000));
    assert_eq!(target_ms(fold.state(), &registry(), "launch"), Some(300));
}

/// Either partner can append to the shared log, including records that name the other partner. Only the named
/// partner's key may change its classes; the attempt is stored outside the histories.
#[test]
fn a_record_signed_by_another_changes_nothing() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    let attacker = Publisher { id: nadifa().id, key: registry().key };
    log.append(attacker.publish(2, Some(0), "summary", 1));
    let before = fold.state().partner(&nadifa().id).cloned();
    let outcomes = log.read_all(&mut fold);
    assert_eq!(before, None);
    assert_eq!(outcomes[1].rejected[0].reason, RejectReason::BadSignature);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(9_000));
    let partner = fold.state().partner(&nadifa().id).expect("nadifa");
    assert_eq!(partner.version(), Some(Offset(0)));
    assert_eq!(partner.history().count(), 1);
    let unattributed =
        fold.state().unattributed().next().expect("the forged record is listed as unattributed");
    assert_eq!(unattributed.claimed_publisher, Some(nadifa().id));
}

/// The content, the change id or the publisher of a signed change was altered in transit.
#[test]
fn an_altered_change_is_rejected() {
    let genuine = nadifa().change(1, None, vec![set("summary", 9_000)]);
    let mut altered = [genuine.clone(), genuine.clone(), genuine];
    *altered[0].body.last_mut().expect("a body") ^= 1;
    altered[1].change_id.0 += 1;
    altered[2].publisher = registry().id;
    for change in altered {
        let mut log = InMemoryLog::default();
        let mut fold = daemon();
        log.append(Record::Change(change).encode());
        let outcomes = log.read_all(&mut fold);
        assert_eq!(outcomes[0].rejected[0].reason, RejectReason::BadSignature);
        assert_eq!(fold.state().classes_total(), 0);
    }
}

#[rstest]
#[case::nothing(vec![], RejectReason::Empty)]
#[case::twice(vec![set("a", 1), set("a", 2)], RejectReason::RepeatedClass { class: class("a") })]
#[case::not_there(vec![ClassChange::Delete { class: class("b") }], RejectReason::UnknownClass { class: class("b") })]
#[case::zero_target(vec![set("a", 1), set("b", 0)], RejectReason::BadTarget {
    class: class("b"),
    error: hibiscusvale_core::config::TargetError { found_ms: Millis(0) },
})]
#[case::too_many(
    (0..65).map(|index| set(&format!("c{index}"), 1)).collect(),
    RejectReason::TooManyChanges { found: 65, limit: 64 }
)]
fn an_invalid_change_is_rejected_and_reported_to_its_publisher(
    #[case] changes: Vec<ClassChange>,
    #[case] reason: RejectReason,
) {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    log.append(registry().publish(1, None, "launch", 300));
    log.append(Record::Change(nadifa().change(2, None, changes)).encode());
    let outcomes = log.read_all(&mut fold);
    assert_eq!(outcomes[1].rejected[0].reason, reason);
    assert_eq!(outcomes[1].rejected[0].publisher, Some(nadifa().id));
    let partner = fold.state().partner(&nadifa().id).expect("nadifa's history");
    assert_eq!(partner.classes().count(), 0);
    assert_eq!(partner.version(), None);
    assert_eq!(partner.history().last().map(|entry| &entry.verdict), Some(&Verdict::Rejected(reason)));
    assert_eq!(
        target_ms(fold.state(), &registry(), "launch"),
        Some(300),
        "the other partner's class changed"
    );
}

/// A partner's script publishes an unlimited number of classes. Without a bound it would exhaust the memory
/// of every daemon, to the harm of all partners.
#[test]
fn a_partner_cannot_exceed_the_class_limit() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    let first = (0..MAX_CLASSES_PER_PARTNER).map(|index| set(&format!("c{index}"), 1)).collect();
    log.append(Record::Change(nadifa().change(1, None, first)).encode());
    log.append(nadifa().publish(2, Some(0), "one-more", 1));
    log.append(nadifa().publish(3, Some(0), "c0", 2));
    let outcomes = log.read_all(&mut fold);
    assert_eq!(outcomes[0].accepted, 1);
    assert_eq!(outcomes[1].rejected[0].reason, RejectReason::TooManyClasses { found: 65, limit: 64 });
    assert_eq!(outcomes[2].accepted, 1, "an existing class can still be changed at the limit");
}

/// Invalid data, or a record of an unknown release, is appended to the shared log. It must only advance the
/// offset, and later records must still count.
#[rstest]
#[case::empty(&[])]
#[case::other_format(&[9, 1, 2, 3])]
#[case::cut_off(&[1, 0, 6, b'n', b'a'])]
fn invalid_records_are_skipped(#[case] invalid: &[u8]) {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    log.append(invalid.to_vec());
    log.append(nadifa().publish(1, None, "summary", 9_000));
    let outcomes = log.read_all(&mut fold);
    assert_eq!(outcomes[0].rejected[0].reason, RejectReason::Malformed);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(9_000));
}

/// Thousands of forged records must neither grow a daemon's memory nor evict a partner's own changes from its
/// history.
#[test]
fn forged_records_use_bounded_memory() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    for index in 0..200 {
        let mut forged = nadifa().change(1_000 + index, Some(0), vec![set("summary", 1)]);
        forged.signature = vec![0; 64];
        log.append(Record::Change(forged).encode());
    }
    log.read_all(&mut fold);
    assert_eq!(fold.state().unattributed().count(), MAX_UNATTRIBUTED_RECORDS);
    let partner = fold.state().partner(&nadifa().id).expect("nadifa");
    assert_eq!(partner.history().count(), 1);
}

#[test]
fn the_history_keeps_the_latest_changes() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    let mut made_from = None;
    for index in 0..HISTORY_PER_PARTNER as u64 + 5 {
        made_from = Some(log.append(nadifa().publish(u128::from(index), made_from, "summary", index + 1)));
    }
    log.read_all(&mut fold);
    let partner = fold.state().partner(&nadifa().id).expect("nadifa");
    let offsets: Vec<u64> = partner.history().map(|entry| entry.offset.0).collect();
    assert_eq!(offsets, (5..21).collect::<Vec<u64>>());
}
