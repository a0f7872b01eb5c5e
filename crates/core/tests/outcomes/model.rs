//! Replays the traces of `spec/claim.pml` against the real state machines. `spec/check` verifies that the
//! traces match the model.

use hibiscusvale_core::claim::{
    AppendOutcome, BodyDigest, Claim, ClaimAction, ClaimEntry, ClaimFold, ClaimGroup, ClaimKey, ClaimMessage,
    ClaimPage, ClaimRecord, ClaimSettings, Claims, UnixMillis, Verdict,
};
use hibiscusvale_core::ids::{HostId, Incarnation, Offset, RequestId};
use hibiscusvale_core::units::MonoTime;

const TRACES: &str = include_str!("../../../../spec/traces/claim.txt");
const NOW: MonoTime = MonoTime(1_000);
const UNIX: UnixMillis = UnixMillis(1_000);

fn host(name: &str) -> HostId {
    name.parse().expect("name")
}

/// Daemon 0 receives calls 0 and 2, daemon 1 receives call 1.
fn claim(call: u64) -> Claim {
    let daemon = call % 2;
    Claim {
        key: ClaimKey([7; 16]),
        digest: BodyDigest([7; 16]),
        request: RequestId { incarnation: Incarnation((daemon + 1).into()), sequence: call + 1 },
        host: host(&format!("daemon-{daemon}")),
    }
}

fn group(entry: ClaimEntry) -> ClaimGroup {
    ClaimGroup { appended_unix_ms: UNIX, entries: vec![entry] }
}

fn page(log: &[ClaimGroup], next: usize) -> ClaimPage {
    let records = (0..).zip(&log[..next]);
    ClaimPage {
        start: Offset(0),
        next: Offset(next as u64),
        records: records
            .map(|(offset, group)| ClaimRecord { offset: Offset(offset), group: Some(group.clone()) })
            .collect(),
    }
}

/// Verdict of a daemon without prior state that is asked to claim for `call`, with a log whose first `prefix`
/// records are given. If the last of them is the call's claim, it is the record that this daemon appends.
fn verdict(log: &[ClaimGroup], prefix: usize, call: u64) -> Verdict {
    let mut daemon = Claims::new(host("owner"), Incarnation(9), ClaimSettings::default());
    daemon.handle_message(NOW, UNIX, &host("asker"), ClaimMessage::Request(claim(call)));
    let partition = claim(call).key.partition(ClaimSettings::default().partitions);
    let own = log[prefix - 1] == group(ClaimEntry::Claim(claim(call)));
    let known = if own { prefix - 1 } else { prefix };
    let mut verdict = None;
    for _ in 0..4 {
        for action in daemon.take_actions() {
            match action {
                ClaimAction::Read { .. } => daemon.read_ended(NOW, UNIX, partition, Some(page(log, known))),
                ClaimAction::Append { group: appended, .. } => {
                    assert!(own, "the model decided without an append");
                    assert_eq!(appended, log[prefix - 1]);
                    daemon.append_ended(NOW, UNIX, partition, AppendOutcome::Appended(Offset(known as u64)));
                }
                ClaimAction::Send { message: ClaimMessage::Verdict { verdict: reported, .. }, .. } => {
                    verdict = Some(reported);
                }
                ClaimAction::Send { message: ClaimMessage::Accepted { .. }, .. } => {}
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    verdict.expect("a verdict")
}

/// The fold finds the same holder in the same log as the model, and a daemon reaches the model's verdict by
/// its own reads and appends.
#[test]
fn code_and_model_agree_on_verdicts() {
    let mut log = Vec::new();
    let mut verdicts = 0;
    for line in TRACES.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let number = |at: usize| words[at].parse::<u64>().expect("a number");
        match words[0] {
            "seed" => log.clear(),
            "claim" => log.push(group(ClaimEntry::Claim(claim(number(1))))),
            "release" => {
                let Claim { key, request, .. } = claim(number(1));
                log.push(group(ClaimEntry::Release { key, request }));
            }
            "verdict" => {
                let (call, holder, prefix) = (number(1), claim(number(2)), number(3));
                let prefix = usize::try_from(prefix).expect("small");
                let mut fold = ClaimFold::new(ClaimSettings::default().hold_ms(), Offset(0));
                for (offset, group) in (0..).zip(&log[..prefix]) {
                    fold.apply(Offset(offset), Some(group)).expect("in order");
                }
                assert_eq!(fold.holder(&holder.key), Some(&holder), "{line}");
                let expected =
                    if holder == claim(call) { Verdict::Won } else { Verdict::Held(holder.clone()) };
                assert_eq!(verdict(&log, prefix, call), expected, "{line}");
                verdicts += 1;
            }
            other => panic!("unknown trace step {other}"),
        }
    }
    assert!(verdicts > 100, "{verdicts} verdicts in the traces");
}
