//! Checkpoints, expired records, log loss and host replacement.

use hibiscusvale_core::config::{
    Adopted, CheckpointError, CheckpointKey, CheckpointSchedule, CheckpointScheduleSettings, ConfigFold,
    LogBounds, LogView, MAX_RECORD_BYTES, Record, RejectReason, SealedCheckpoint,
};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::{Millis, MonoTime};

use crate::support::{InMemoryLog, checkpoint_key, daemon, keys, nadifa, registry, target_ms};

fn checkpoint_of(fold: &ConfigFold) -> Vec<u8> {
    Record::Checkpoint(fold.seal()).encode()
}

/// The records that defined the classes have expired. A new host that reads only a checkpoint and the later
/// records must reach the same state as hosts that read everything, including the records between the offset
/// that the checkpoint covers and the checkpoint's own offset.
#[test]
fn a_checkpoint_covers_expired_records_and_uncovered_ones_still_count() {
    let mut log = InMemoryLog::default();
    let mut old = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.append(registry().publish(2, None, "launch", 300));
    log.read_all(&mut old);
    let checkpoint = checkpoint_of(&old);
    log.append(nadifa().publish(3, Some(0), "summary", 5_000));
    log.append(checkpoint);
    log.append(registry().publish(4, Some(1), "launch", 250));
    log.read_all(&mut old);
    log.expire_to(2);

    let mut new = daemon();
    log.read_all(&mut new);
    assert_eq!(target_ms(new.state(), &nadifa(), "summary"), Some(5_000));
    assert_eq!(target_ms(new.state(), &registry(), "launch"), Some(250));
    assert_eq!(new.state().digest(), old.state().digest());
    assert_eq!(new.log_view(), LogView::CaughtUp);
}

/// A checkpoint was appended late, and records directly after the offset it covers have expired. Treating it
/// as complete would skip an accepted change. The new host must keep the proven state and report a gap.
#[test]
fn a_checkpoint_before_a_gap_does_not_skip_the_gap() {
    let mut log = InMemoryLog::default();
    let mut old = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.read_all(&mut old);
    let checkpoint = checkpoint_of(&old);
    log.append(nadifa().publish(2, Some(0), "summary", 5_000));
    log.append(nadifa().publish(3, Some(1), "summary", 4_000));
    log.append(checkpoint);
    log.read_all(&mut old);
    log.expire_to(2);

    let mut new = daemon();
    log.read_all(&mut new);
    assert_eq!(new.log_view(), LogView::Gap);
    assert_eq!(new.state().next_offset(), Offset(1));
    log.append(checkpoint_of(&old));
    log.read_all(&mut old);
    log.read_all(&mut new);
    assert_eq!(new.log_view(), LogView::CaughtUp);
    assert_eq!(new.state().digest(), old.state().digest());
}

/// All records have expired and the log is empty. The classes must stay in force, and a new host must not
/// treat the empty log as a configuration without classes.
#[test]
fn an_empty_log_is_not_an_empty_configuration() {
    let mut log = InMemoryLog::default();
    let mut old = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.read_all(&mut old);
    log.expire_to(1);
    log.read_all(&mut old);
    assert_eq!(target_ms(old.state(), &nadifa(), "summary"), Some(9_000));
    assert_eq!(old.log_view(), LogView::CaughtUp);

    let mut new = daemon();
    log.read_all(&mut new);
    assert!(!new.state().is_known());
    assert_eq!(new.log_view(), LogView::Gap);
    assert_eq!(new.adopt(&old.seal()), Ok(Adopted::Newer));
    assert_eq!(target_ms(new.state(), &nadifa(), "summary"), Some(9_000));
}

/// The platform restores the log from an older copy and loses the latest records. Hosts that have them must
/// keep them in force and report the truncation; new records at the same offsets must not replace them.
#[test]
fn a_truncated_log_reverts_nothing() {
    let mut log = InMemoryLog::default();
    let mut old = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    let shorter = log.clone();
    log.append(nadifa().publish(2, Some(0), "summary", 5_000));
    log.read_all(&mut old);
    let mut log = shorter;
    log.read_all(&mut old);
    assert_eq!(old.log_view(), LogView::Shorter);
    log.append(nadifa().publish(3, Some(0), "summary", 1));
    log.read_all(&mut old);
    assert_eq!(target_ms(old.state(), &nadifa(), "summary"), Some(5_000));
}

/// The platform recreates the log, and a new host reads it before its peers responded. Until then it must not
/// take the few records for the complete configuration.
#[test]
fn a_recreated_log_is_not_folded_before_peers_were_asked() {
    let mut before = InMemoryLog::default();
    let mut old = daemon();
    before.append(nadifa().publish(1, None, "summary", 9_000));
    before.append(nadifa().publish(2, Some(0), "summary", 5_000));
    before.read_all(&mut old);
    let mut recreated = InMemoryLog::default();
    recreated.append(registry().publish(3, None, "launch", 300));

    let mut new = ConfigFold::new(keys(), checkpoint_key());
    recreated.read_all(&mut new);
    assert!(!new.state().is_known());
    assert_eq!(new.adopt(&old.seal()), Ok(Adopted::Newer));
    new.allow_genesis();
    recreated.read_all(&mut new);
    assert_eq!(new.state().digest(), old.state().digest());
}

/// A lagging peer, or an old checkpoint that is read again, offers a state from before the last change.
#[test]
fn an_older_state_is_not_adopted() {
    let mut log = InMemoryLog::default();
    let mut fold = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.read_all(&mut fold);
    let older = fold.seal();
    log.append(nadifa().publish(2, Some(0), "summary", 5_000));
    log.read_all(&mut fold);
    assert_eq!(fold.adopt(&older), Ok(Adopted::NotNewer));
    log.append(Record::Checkpoint(older).encode());
    log.read_all(&mut fold);
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(5_000));
}

/// A partner forges a checkpoint to replace another partner's classes.
#[test]
fn a_checkpoint_with_a_foreign_key_is_rejected() {
    let mut attacker = daemon();
    let mut log = InMemoryLog::default();
    log.append(registry().publish(1, None, "launch", 1));
    log.read_all(&mut attacker);
    let forged = SealedCheckpoint::seal(attacker.state(), &CheckpointKey::derive(b"a guess"));

    let mut fold = daemon();
    assert_eq!(fold.adopt(&forged), Err(CheckpointError::Forged));
    let mut log = InMemoryLog::default();
    log.append(nadifa().publish(2, None, "summary", 9_000));
    log.append(Record::Checkpoint(forged.clone()).encode());
    let outcomes = log.read_all(&mut fold);
    assert_eq!(outcomes[1].rejected[0].reason, RejectReason::ForgedCheckpoint);
    assert_eq!(target_ms(fold.state(), &registry(), "launch"), None);
    log.expire_to(1);
    let mut new = daemon();
    log.read_all(&mut new);
    assert!(!new.state().is_known(), "a new host adopted the forged checkpoint");
}

/// The log is unavailable for hours while every host is replaced in turn, each adopting the state of a peer.
/// When the log returns, all its old records have expired.
#[test]
fn classes_survive_a_log_outage_in_which_every_host_is_replaced() {
    let mut log = InMemoryLog::default();
    let mut host = daemon();
    log.append(nadifa().publish(1, None, "summary", 9_000));
    log.append(registry().publish(2, None, "launch", 300));
    log.read_all(&mut host);
    let digest = host.state().digest();
    for _ in 0..20 {
        let mut replacement = daemon();
        assert_eq!(replacement.adopt(&host.seal()), Ok(Adopted::Newer));
        host = replacement;
    }
    log.expire_to(2);
    log.read_all(&mut host);
    assert_eq!(host.state().digest(), digest);
    log.append(checkpoint_of(&host));
    log.append(nadifa().publish(3, Some(0), "summary", 8_000));
    let mut new = daemon();
    log.read_all(&mut new);
    assert_eq!(target_ms(new.state(), &nadifa(), "summary"), Some(8_000));
    assert_eq!(target_ms(new.state(), &registry(), "launch"), Some(300));
}

/// Relayed records may arrive out of order and more than once.
#[test]
fn records_out_of_order_reach_the_same_state() {
    let mut log = InMemoryLog::default();
    for index in 0..6_u64 {
        let made_from = index.checked_sub(1);
        log.append(nadifa().publish(u128::from(index), made_from, "summary", index + 1));
    }
    let mut fold = daemon();
    for offset in [5, 2, 2, 0, 1, 4, 3, 0, 5] {
        fold.ingest(Offset(offset), log.get(Offset(offset)).expect("a record"));
    }
    assert_eq!(fold.state().next_offset(), Offset(6));
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(6));
}

/// One host reads an oversized record, a forged checkpoint or invalid data from the log; another receives it
/// from a relay that elides the content. If the first kept any of the content, the two would diverge
/// permanently.
#[test]
fn a_record_relayed_without_content_gives_the_same_state() {
    let mut huge = daemon();
    let mut classes = InMemoryLog::default();
    classes.append(registry().publish(1, None, "launch", 1));
    classes.read_all(&mut huge);
    let forged = Record::Checkpoint(SealedCheckpoint::seal(huge.state(), &CheckpointKey::derive(b"a guess")));
    let mut padded = forged.encode();
    padded.resize(MAX_RECORD_BYTES + 1, 7);
    for content in [padded, vec![1; MAX_RECORD_BYTES + 1]] {
        let (mut reader, mut relayed) = (daemon(), daemon());
        let class = nadifa().publish(2, None, "summary", 9_000);
        assert_eq!(reader.ingest(Offset(0), &content).rejected.len(), 1);
        relayed.ingest(Offset(1), &class);
        relayed.ingest_elided(Offset(0));
        reader.ingest(Offset(1), &class);
        assert_eq!(reader.state().digest(), relayed.state().digest());
        assert_eq!(target_ms(relayed.state(), &nadifa(), "summary"), Some(9_000));
    }
}

/// The log starts after the new host's state and holds many records before the next checkpoint. The buffer
/// must stay bounded, and reading must reach the checkpoint instead of looping.
#[test]
fn waiting_for_a_checkpoint_is_bounded_and_ends() {
    let mut log = InMemoryLog::default();
    let mut old = daemon();
    log.append(nadifa().publish(0, None, "summary", 1));
    for _ in 0..9_000 {
        log.append(vec![0]);
    }
    log.read_all(&mut old);
    log.append(checkpoint_of(&old));
    log.append(nadifa().publish(9, Some(0), "summary", 7));
    log.expire_to(1);
    let mut new = daemon();
    log.read_all(&mut new);
    assert_eq!(new.log_view(), LogView::CaughtUp);
    assert_eq!(target_ms(new.state(), &nadifa(), "summary"), Some(7));
}

fn schedule() -> (CheckpointSchedule, CheckpointScheduleSettings) {
    let settings =
        CheckpointScheduleSettings { interval_ms: Millis(60_000), step_ms: Millis(2_000), max_records: 100 };
    (CheckpointSchedule::new(settings, MonoTime(0)), settings)
}

/// If every daemon wrote a due checkpoint at once, 410 copies of the state would go to a log that handles
/// several hundred appends per second.
#[test]
fn the_first_rank_writes_and_the_others_see_it() {
    let (mut first, settings) = schedule();
    let mut second = first.clone();
    let due = MonoTime(0) + settings.interval_ms;
    assert!(!first.is_due(Offset(5), 0, MonoTime(due.0 - 1)));
    assert!(first.is_due(Offset(5), 0, due));
    assert!(!second.is_due(Offset(5), 1, due));
    second.record_checkpoint(Offset(5), due + Millis(500));
    assert!(!second.is_due(Offset(6), 1, due + Millis(10_000)));
}

/// The daemon with the first rank is dead. The next one writes after its delay.
#[test]
fn the_next_rank_writes_when_the_first_does_not() {
    let (mut second, settings) = schedule();
    let due = MonoTime(0) + settings.interval_ms;
    assert!(!second.is_due(Offset(5), 1, due));
    assert!(second.is_due(Offset(5), 1, due + settings.step_ms));
    second.record_attempt(2, due + settings.step_ms);
    assert!(!second.is_due(Offset(5), 1, due + Millis(2_100)), "a failed append is not repeated at once");
    assert!(second.is_due(Offset(5), 1, due + Millis(60_000)));
}

/// After many records, or when the log lost its last checkpoint in an outage, a new host has much to read or
/// nothing to start from. A checkpoint must then be due before the interval ends.
#[test]
fn many_records_or_a_lost_checkpoint_make_it_due_early() {
    let (mut busy, _) = schedule();
    busy.record_checkpoint(Offset(1), MonoTime(1));
    assert!(!busy.is_due(Offset(100), 0, MonoTime(2)));
    assert!(busy.is_due(Offset(101), 0, MonoTime(3)));
    let (mut lost, _) = schedule();
    lost.record_checkpoint(Offset(1), MonoTime(1));
    lost.mark_lost(MonoTime(2));
    assert!(lost.is_due(Offset(2), 0, MonoTime(2)));
    let (mut empty, settings) = schedule();
    assert!(
        !empty.is_due(Offset(0), 0, MonoTime(0) + settings.interval_ms),
        "an empty state needs no checkpoint"
    );
}

#[test]
fn the_log_is_unread_before_the_first_bounds() {
    let mut fold = daemon();
    assert_eq!(fold.log_view(), LogView::Unread);
    fold.observe_log(LogBounds { start_offset: Offset(0), next_offset: Offset(0) });
    assert_eq!(fold.log_view(), LogView::Behind, "an empty log does not make an empty state current");
}
