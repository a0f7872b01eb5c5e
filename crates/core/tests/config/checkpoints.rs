//! Records that expire, logs that are lost, hosts that are replaced.

use hibiscusvale_core::config::{
    Adopted, CheckpointDuty, CheckpointDutySettings, CheckpointError, CheckpointKey, ConfigFold, LogBounds,
    LogView, MAX_RECORD_BYTES, Record, RejectReason, SealedCheckpoint,
};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::{Millis, MonoTime};

use crate::support::{FakeLog, checkpoint_key, daemon, keys, nadifa, registry, target_ms};

fn checkpoint_of(fold: &ConfigFold) -> Vec<u8> {
    Record::Checkpoint(fold.seal()).encode()
}

/// The records that made the classes have expired. A new host that finds only a checkpoint and what followed
/// must come to the same state as the hosts that read it all, with the records between the offset that the
/// checkpoint stands for and its own.
#[test]
fn a_checkpoint_stands_for_expired_records_and_those_before_it_still_count() {
    let mut log = FakeLog::default();
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

/// A checkpoint is late and the records right behind what it stands for have expired. Whoever takes it for the
/// whole would leave out an accepted change. The new host keeps what is proved and says that there is a hole.
#[test]
fn a_checkpoint_before_a_hole_does_not_skip_the_hole() {
    let mut log = FakeLog::default();
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

/// All records expired and the log is empty. The classes must stay in force, and a new host must not take the
/// emptiness for a configuration without classes.
#[test]
fn an_empty_log_is_not_an_empty_configuration() {
    let mut log = FakeLog::default();
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

/// The platform restores its log from an older copy: the latest records are gone. Hosts that have them keep
/// them in force and report it; other records at the same offsets do not replace them.
#[test]
fn a_shortened_log_takes_nothing_back() {
    let mut log = FakeLog::default();
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

/// The platform starts the log afresh and a new host reads it before it has heard from its peers. Until they
/// were asked it must not believe that the few records there are all.
#[test]
fn a_fresh_log_is_not_believed_before_peers_were_asked() {
    let mut before = FakeLog::default();
    let mut old = daemon();
    before.append(nadifa().publish(1, None, "summary", 9_000));
    before.append(nadifa().publish(2, Some(0), "summary", 5_000));
    before.read_all(&mut old);
    let mut afresh = FakeLog::default();
    afresh.append(registry().publish(3, None, "launch", 300));

    let mut new = ConfigFold::new(keys(), checkpoint_key());
    afresh.read_all(&mut new);
    assert!(!new.state().is_known());
    assert_eq!(new.adopt(&old.seal()), Ok(Adopted::Newer));
    new.allow_genesis();
    afresh.read_all(&mut new);
    assert_eq!(new.state().digest(), old.state().digest());
}

/// A peer that lags, or an old checkpoint that is read again, offers a state from before the last change.
#[test]
fn an_older_state_is_not_adopted() {
    let mut log = FakeLog::default();
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

/// A partner writes a checkpoint of its own making, to change the other's classes all at once.
#[test]
fn a_checkpoint_that_no_daemon_sealed_is_refused() {
    let mut thief = daemon();
    let mut log = FakeLog::default();
    log.append(registry().publish(1, None, "launch", 1));
    log.read_all(&mut thief);
    let forged = SealedCheckpoint::seal(thief.state(), &CheckpointKey::derive(b"a guess"));

    let mut fold = daemon();
    assert_eq!(fold.adopt(&forged), Err(CheckpointError::Forged));
    let mut log = FakeLog::default();
    log.append(nadifa().publish(2, None, "summary", 9_000));
    log.append(Record::Checkpoint(forged.clone()).encode());
    let intakes = log.read_all(&mut fold);
    assert_eq!(intakes[1].rejected[0].reason, RejectReason::ForgedCheckpoint);
    assert_eq!(target_ms(fold.state(), &registry(), "launch"), None);
    log.expire_to(1);
    let mut new = daemon();
    log.read_all(&mut new);
    assert!(!new.state().is_known(), "a new host is not fooled either");
}

/// The log is down for hours and every host is replaced meanwhile, one after another. Each new one takes the
/// state from a peer; when the log is back, all its old records have expired.
#[test]
fn classes_outlive_a_log_outage_in_which_every_host_is_replaced() {
    let mut log = FakeLog::default();
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

/// Relays deliver records out of order and twice.
#[test]
fn records_out_of_order_come_to_the_same_state() {
    let mut log = FakeLog::default();
    for index in 0..6_u64 {
        let made_from = index.checked_sub(1);
        log.append(nadifa().publish(u128::from(index), made_from, "summary", index + 1));
    }
    let mut fold = daemon();
    for offset in [5, 2, 2, 0, 1, 4, 3, 0, 5] {
        fold.take(Offset(offset), log.get(Offset(offset)).expect("a record"));
    }
    assert_eq!(fold.state().next_offset(), Offset(6));
    assert_eq!(target_ms(fold.state(), &nadifa(), "summary"), Some(6));
}

/// One host reads the log itself and meets a huge record, a forged checkpoint or plain garbage; another gets it
/// from a relay that leaves such content out. If either kept anything of it the two would differ for good.
#[test]
fn a_record_that_is_not_relayed_leaves_the_same_state_behind() {
    let mut huge = daemon();
    let mut classes = FakeLog::default();
    classes.append(registry().publish(1, None, "launch", 1));
    classes.read_all(&mut huge);
    let forged = Record::Checkpoint(SealedCheckpoint::seal(huge.state(), &CheckpointKey::derive(b"a guess")));
    let mut padded = forged.encode();
    padded.resize(MAX_RECORD_BYTES + 1, 7);
    for content in [padded, vec![1; MAX_RECORD_BYTES + 1]] {
        let (mut reader, mut relayed) = (daemon(), daemon());
        let class = nadifa().publish(2, None, "summary", 9_000);
        assert_eq!(reader.take(Offset(0), &content).rejected.len(), 1);
        relayed.take(Offset(1), &class);
        relayed.take_elided(Offset(0));
        reader.take(Offset(1), &class);
        assert_eq!(reader.state().digest(), relayed.state().digest());
        assert_eq!(target_ms(relayed.state(), &nadifa(), "summary"), Some(9_000));
    }
}

/// A log of many records begins after what a new host can use and no checkpoint has come yet. What is held for
/// it must stay bounded, and reading must go on to the checkpoint instead of turning in a circle.
#[test]
fn a_long_wait_for_a_checkpoint_is_bounded_and_ends() {
    let mut log = FakeLog::default();
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

fn duty() -> (CheckpointDuty, CheckpointDutySettings) {
    let settings =
        CheckpointDutySettings { interval_ms: Millis(60_000), step_ms: Millis(2_000), max_records: 100 };
    (CheckpointDuty::new(settings, MonoTime(0)), settings)
}

/// Every daemon could write the checkpoint. If all did at once, 410 copies of the whole state would go to a log
/// that takes several hundred appends a second.
#[test]
fn the_first_rank_writes_and_the_others_see_it() {
    let (mut first, settings) = duty();
    let mut second = first.clone();
    let due = MonoTime(0) + settings.interval_ms;
    assert!(!first.is_due(Offset(5), 0, MonoTime(due.0 - 1)));
    assert!(first.is_due(Offset(5), 0, due));
    assert!(!second.is_due(Offset(5), 1, due));
    second.seen(Offset(5), due + Millis(500));
    assert!(!second.is_due(Offset(6), 1, due + Millis(10_000)));
}

/// The daemon whose turn it is has died. The next one writes after its wait.
#[test]
fn the_next_rank_writes_when_the_first_does_not() {
    let (mut second, settings) = duty();
    let due = MonoTime(0) + settings.interval_ms;
    assert!(!second.is_due(Offset(5), 1, due));
    assert!(second.is_due(Offset(5), 1, due + settings.step_ms));
    second.tried(2, due + settings.step_ms);
    assert!(!second.is_due(Offset(5), 1, due + Millis(2_100)), "a failed append is not repeated at once");
    assert!(second.is_due(Offset(5), 1, due + Millis(60_000)));
}

/// Records come fast, or the log lost its last checkpoint in an outage: a new host would have much to read, or
/// nothing to start from. Then the checkpoint is not left to its age.
#[test]
fn many_records_or_a_lost_checkpoint_make_it_due_early() {
    let (mut busy, _) = duty();
    busy.seen(Offset(1), MonoTime(1));
    assert!(!busy.is_due(Offset(100), 0, MonoTime(2)));
    assert!(busy.is_due(Offset(101), 0, MonoTime(3)));
    let (mut lost, _) = duty();
    lost.seen(Offset(1), MonoTime(1));
    lost.lost(MonoTime(2));
    assert!(lost.is_due(Offset(2), 0, MonoTime(2)));
    let (mut empty, settings) = duty();
    assert!(
        !empty.is_due(Offset(0), 0, MonoTime(0) + settings.interval_ms),
        "nothing known, nothing to write"
    );
}

#[test]
fn bounds_before_the_first_read_are_unread() {
    let mut fold = daemon();
    assert_eq!(fold.log_view(), LogView::Unread);
    fold.observe_log(LogBounds { start_offset: Offset(0), next_offset: Offset(0) });
    assert_eq!(fold.log_view(), LogView::Behind, "an empty log proves nothing to a host that knows nothing");
}
