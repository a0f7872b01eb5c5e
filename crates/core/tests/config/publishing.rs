//! Changes that are accepted, and changes that must not be.

use hibiscusvale_core::config::{
    ClassChange, HISTORY_PER_PARTNER, MAX_CLASSES_PER_PARTNER, Record, RejectReason, UNATTRIBUTED_KEPT,
    Verdict,
};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;
use rstest::rstest;

use crate::support::{FakeLog, Publisher, class, daemon, nadifa, registry, set, target_ms};

#[test]
fn a_published_class_is_in_force() {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    assert!(!fold.state().is_known());
    let intakes = log.read_all(&mut fold);
    assert_eq!(intakes[0].accepted, 1);
    assert!(fold.state().is_known());
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(9_000));
    assert_eq!(target_ms(fold.state(), &registry(), "summary"), None, "a class belongs to one partner");
}

/// Two operators of one partner change a class at the same moment, each from the version that they see. The
/// later record would silently undo the earlier one. The first in the log wins on every daemon and the second
/// operator is told which version to look at.
#[test]
fn of_two_changes_from_one_version_the_first_wins() {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.append(nadifa().publish(2, Some(0), "summary", 5_000));
    log.append(nadifa().publish(3, Some(0), "summary", 7_000));
    let intakes = log.read_all(&mut fold);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(5_000));
    let conflict = RejectReason::Conflict { made_from: Some(Offset(0)), in_force: Some(Offset(1)) };
    assert_eq!(intakes[2].rejected[0].reason, conflict);
    let partner = fold.state().partner(&nadifa().id).expect("nadifa");
    let last = partner.history().last().expect("a history");
    assert_eq!(last.verdict, Verdict::Rejected(conflict));
    assert_eq!(last.author.as_ref().map(ToString::to_string).as_deref(), Some("salma"));
}

/// The reply to an append is lost and the client appends the change again, or an old record is copied back
/// into the log by somebody else. The change must count once, also when others came in between.
#[test]
fn a_change_that_stands_twice_counts_once() {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    let first = nadifa().publish(1, None, "summary", 9_000);
    log.append(first.clone());
    log.append(first.clone());
    log.append(nadifa().publish(2, Some(0), "summary", 5_000));
    log.append(first);
    let intakes = log.read_all(&mut fold);
    assert_eq!(intakes[1].rejected[0].reason, RejectReason::Duplicate { first: Offset(0) });
    assert_eq!(intakes[3].rejected[0].reason, RejectReason::Duplicate { first: Offset(0) });
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(5_000));
}

/// Changes of the two partners meet in the log. One's change must not make the other's a conflict.
#[test]
fn partners_do_not_conflict_with_each_other() {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.append(registry().publish(2, None, "launch", 300));
    log.append(nadifa().publish(3, Some(0), "summary", 8_000));
    log.read_all(&mut fold);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(8_000));
    assert_eq!(target_ms(fold.state(), &registry(), "launch"), Some(300));
}

/// The log is shared, so either partner can append whatever it likes, also a record that names the other. Only
/// the other's own key may change the other's classes; the attempt is shown apart from the histories.
#[test]
fn a_record_signed_by_another_changes_nothing() {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    let thief = Publisher { id: nadifa().id, key: registry().key };
    log.append(thief.publish(2, Some(0), "summary", 1));
    let before = fold.state().partner(&nadifa().id).cloned();
    let intakes = log.read_all(&mut fold);
    assert_eq!(before, None);
    assert_eq!(intakes[1].rejected[0].reason, RejectReason::BadSignature);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(9_000));
    let partner = fold.state().partner(&nadifa().id).expect("nadifa");
    assert_eq!(partner.version(), Some(Offset(0)));
    assert_eq!(partner.history().count(), 1);
    let unattributed = fold.state().unattributed().next().expect("the attempt is shown");
    assert_eq!(unattributed.claimed_publisher, Some(nadifa().id));
}

/// A change is altered on its way: a byte of the content, the change id, or the publisher's name.
#[test]
fn an_altered_change_is_not_its_signers() {
    let genuine = nadifa().change(1, None, vec![set("summary", 9_000)]);
    let mut altered = [genuine.clone(), genuine.clone(), genuine];
    *altered[0].body.last_mut().expect("a body") ^= 1;
    altered[1].change_id.0 += 1;
    altered[2].publisher = registry().id;
    for change in altered {
        let mut log = FakeLog::default();
        let mut fold = daemon();
        log.append(Record::Change(change).encode());
        let intakes = log.read_all(&mut fold);
        assert_eq!(intakes[0].rejected[0].reason, RejectReason::BadSignature);
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
fn a_mistaken_change_changes_nothing_and_is_told_to_its_publisher(
    #[case] changes: Vec<ClassChange>,
    #[case] reason: RejectReason,
) {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    log.append(registry().publish(1, None, "launch", 300));
    log.append(Record::Change(nadifa().change(2, None, changes)).encode());
    let intakes = log.read_all(&mut fold);
    assert_eq!(intakes[1].rejected[0].reason, reason);
    assert_eq!(intakes[1].rejected[0].publisher, Some(nadifa().id));
    let partner = fold.state().partner(&nadifa().id).expect("nadifa's history");
    assert_eq!(partner.classes().count(), 0);
    assert_eq!(partner.version(), None);
    assert_eq!(partner.history().last().map(|entry| &entry.verdict), Some(&Verdict::Rejected(reason)));
    assert_eq!(target_ms(fold.state(), &registry(), "launch"), Some(300), "the other's stands");
}

/// A script of one partner publishes class after class. Without a bound it would fill the memory of every
/// daemon, and with it the other partner's.
#[test]
fn a_partner_cannot_have_classes_without_end() {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    let first = (0..MAX_CLASSES_PER_PARTNER).map(|index| set(&format!("c{index}"), 1)).collect();
    log.append(Record::Change(nadifa().change(1, None, first)).encode());
    log.append(nadifa().publish(2, Some(0), "one-more", 1));
    log.append(nadifa().publish(3, Some(0), "c0", 2));
    let intakes = log.read_all(&mut fold);
    assert_eq!(intakes[0].accepted, 1);
    assert_eq!(intakes[1].rejected[0].reason, RejectReason::TooManyClasses { found: 65, limit: 64 });
    assert_eq!(intakes[2].accepted, 1, "those that exist can still be changed");
}

/// Somebody writes garbage to the shared log, or a release that this one does not know does. The garbage takes
/// an offset and nothing else; what follows still counts.
#[rstest]
#[case::empty(&[])]
#[case::other_format(&[9, 1, 2, 3])]
#[case::cut_off(&[1, 0, 6, b'n', b'a'])]
fn garbage_is_stepped_over(#[case] garbage: &[u8]) {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    log.append(garbage.to_vec());
    log.append(nadifa().publish(1, None, "summary", 9_000));
    let intakes = log.read_all(&mut fold);
    assert_eq!(intakes[0].rejected[0].reason, RejectReason::Malformed);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(9_000));
}

/// Forged records come in thousands. They must neither grow a daemon's memory nor push a partner's own changes
/// out of its history.
#[test]
fn a_flood_of_forgeries_costs_a_bounded_ring() {
    let mut log = FakeLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    for index in 0..200 {
        let mut forged = nadifa().change(1_000 + index, Some(0), vec![set("summary", 1)]);
        forged.signature = vec![0; 64];
        log.append(Record::Change(forged).encode());
    }
    log.read_all(&mut fold);
    assert_eq!(fold.state().unattributed().count(), UNATTRIBUTED_KEPT);
    let partner = fold.state().partner(&nadifa().id).expect("nadifa");
    assert_eq!(partner.history().count(), 1);
}

#[test]
fn the_history_keeps_the_latest_changes() {
    let mut log = FakeLog::default();
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
