//! The ledger of one decode server with two slots.

use hibiscusvale_core::ids::{HostId, Incarnation, RequestId};
use hibiscusvale_core::slots::{
    Ask, AskId, DenyReason, GrantOutcome, GrantPhase, HeldGrant, HeldReport, Ledger, LedgerAction,
    LedgerSettings, Role, SlotMessage,
};
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Micros, MonoTime, Tokens};
use rstest::rstest;

const LINK: BytesPerSecond = BytesPerSecond(1_000);
const TTL_US: u64 = 3_000_000;

fn id(life: u64, sequence: u64) -> RequestId {
    RequestId { incarnation: Incarnation(life.into()), sequence }
}

fn ask(request_id: RequestId) -> SlotMessage {
    SlotMessage::Ask(Ask {
        request_id,
        ask: AskId(request_id.sequence),
        server: "d0".parse().unwrap(),
        partner: "a".parse().unwrap(),
        work_tokens: Tokens(100),
        kv_bytes: Bytes(1_000),
        charge_us: Micros(1_000),
        slack_us: Some(Micros(1_000_000)),
        copies: 1,
        needed_in_us: None,
    })
}

fn release(request_id: RequestId, outcome: GrantOutcome) -> SlotMessage {
    let (server, ask) = ("d0".parse().unwrap(), AskId(request_id.sequence));
    SlotMessage::Release { server, request_id, ask, outcome }
}

fn ready(request_id: RequestId) -> SlotMessage {
    let (server, ask) = ("d0".parse().unwrap(), AskId(request_id.sequence));
    SlotMessage::Ready { server, request_id, ask, work_us: Micros(0), work_tokens: Tokens(0) }
}

fn held(request_id: RequestId) -> HeldGrant {
    HeldGrant {
        request_id,
        ask: AskId(request_id.sequence),
        partner: "a".parse().unwrap(),
        phase: GrantPhase::Moved,
        rate_bytes_per_s: LINK,
        work_tokens: Tokens(10),
        token_us: Micros(0),
    }
}

fn renew(held: Vec<HeldGrant>) -> SlotMessage {
    SlotMessage::Renew { server: "d0".parse().unwrap(), held }
}

struct Bench {
    ledger: Ledger,
    now_us: u64,
}

impl Bench {
    fn new(role: Role, others: &[Incarnation]) -> Self {
        let server = "d0".parse().unwrap();
        let ledger = Ledger::new(MonoTime(0), LedgerSettings::default(), server, role, 2, LINK, others);
        Self { ledger, now_us: 0 }
    }

    fn say(&mut self, life: u64, message: SlotMessage) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        let host = format!("h{life}").parse::<HostId>().unwrap();
        self.ledger.handle(MonoTime(self.now_us), &host, Incarnation(life.into()), message, &mut actions);
        actions
    }

    fn report(&mut self, held: &[RequestId]) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        let report = HeldReport { as_of_us: Micros(0), held: held.to_vec() };
        self.ledger.report(MonoTime(self.now_us), &report, &mut actions);
        actions
    }

    fn tick(&mut self) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        self.ledger.tick(MonoTime(self.now_us), &mut actions);
        actions
    }
}

fn granted(actions: &[LedgerAction]) -> Vec<u64> {
    let grant = |action: &LedgerAction| match action {
        LedgerAction::Send { message: SlotMessage::Grant { request_id, .. }, .. } => {
            Some(request_id.sequence)
        }
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn denied(actions: &[LedgerAction]) -> Vec<DenyReason> {
    let deny = |action: &LedgerAction| match action {
        LedgerAction::Send { message: SlotMessage::Deny { reason, .. }, .. } => Some(*reason),
        _ => None,
    };
    actions.iter().filter_map(deny).collect()
}

// Three requests want two slots. The third has to wait for a release, not for a report.
#[test]
fn grants_exactly_its_slots() {
    let mut bench = Bench::new(Role::Decode, &[]);
    assert_eq!(granted(&bench.say(1, ask(id(1, 1)))), [1]);
    assert_eq!(granted(&bench.say(1, ask(id(1, 2)))), [2]);
    assert_eq!(granted(&bench.say(2, ask(id(2, 3)))), [] as [u64; 0]);
    assert_eq!(granted(&bench.say(1, release(id(1, 1), GrantOutcome::Done))), [3]);
}

// The message with the grant is lost and the daemon asks again: it must get the same slot, not a second.
#[test]
fn repeated_ask_gets_the_same_grant() {
    let mut bench = Bench::new(Role::Decode, &[]);
    bench.say(1, ask(id(1, 1)));
    assert_eq!(granted(&bench.say(1, ask(id(1, 1)))), [1]);
    assert_eq!(bench.ledger.held_len(), 1);
}

// A release is lost. The next list of held grants lacks the request, and its slot is free again; a grant
// that may have crossed the list on its way is kept.
#[rstest]
#[case::old_enough(400_000, 0)]
#[case::crossing(100_000, 1)]
fn list_mends_a_lost_release(#[case] at_us: u64, #[case] left: usize) {
    let mut bench = Bench::new(Role::Decode, &[]);
    bench.say(1, ask(id(1, 1)));
    bench.now_us = at_us;
    bench.say(1, renew(Vec::new()));
    assert_eq!(bench.ledger.held_len(), left);
}

// A daemon dies with its grant. The grant runs out, the engine is told to release, and the slot is given
// again only when the engine no longer reports it: until then it may still be working on it.
#[test]
fn slot_of_a_dead_daemon_waits_for_the_engine() {
    let mut bench = Bench::new(Role::Decode, &[]);
    bench.say(1, ask(id(1, 1)));
    bench.say(1, ask(id(1, 2)));
    bench.say(2, ask(id(2, 3)));
    bench.now_us = TTL_US + 1;
    let cancelled = bench.tick().into_iter().filter(|action| matches!(action, LedgerAction::Cancel { .. }));
    assert_eq!(cancelled.count(), 2);
    bench.now_us += 1_000;
    assert_eq!(granted(&bench.report(&[id(1, 1), id(1, 2)])), [] as [u64; 0]);
    assert_eq!(granted(&bench.report(&[id(1, 1)])), [3]);
}

// The watcher changed. The earlier one granted a slot that this one does not know: it may grant nothing
// until each daemon has said what it holds and the engine has reported.
#[test]
fn new_watcher_waits_for_old_grants() {
    let mut bench = Bench::new(Role::Decode, &[Incarnation(1), Incarnation(2)]);
    assert_eq!(denied(&bench.say(1, ask(id(1, 9)))), [DenyReason::Unhealthy]);
    bench.say(1, renew(vec![held(id(1, 1))]));
    bench.say(2, renew(vec![held(id(2, 2))]));
    assert!(bench.ledger.is_quiet(MonoTime(0)));
    bench.report(&[id(1, 1), id(2, 2)]);
    assert!(!bench.ledger.is_quiet(MonoTime(0)));
    assert_eq!(granted(&bench.say(1, ask(id(1, 9)))), [] as [u64; 0]);
    assert_eq!(bench.ledger.counters().over_committed, 0);
}

// One daemon never registers. The quiet time ends with the life of the longest grant it can have.
#[test]
fn quiet_time_ends_by_itself() {
    let mut bench = Bench::new(Role::Decode, &[Incarnation(1)]);
    bench.now_us = TTL_US;
    assert_eq!(granted(&bench.say(2, ask(id(2, 1)))), [1]);
}

// Two watchers granted the same slots for a moment. The excess is counted when the grants are registered.
#[test]
fn over_commitment_is_counted() {
    let mut bench = Bench::new(Role::Decode, &[]);
    bench.say(1, ask(id(1, 1)));
    bench.say(1, ask(id(1, 2)));
    bench.say(2, renew(vec![held(id(2, 3))]));
    assert_eq!(bench.ledger.counters().over_committed, 1);
}

// The share of the link is given when the transfer can start, and never more than there is.
#[test]
fn transfers_share_the_link() {
    let mut bench = Bench::new(Role::Decode, &[]);
    let rates = [1, 2].map(|sequence| {
        bench.say(1, ask(id(1, sequence)));
        let actions = bench.say(1, ready(id(1, sequence)));
        let confirm = |action: &LedgerAction| match action {
            LedgerAction::Send { message: SlotMessage::Confirm { rate_bytes_per_s, .. }, .. } => {
                Some(rate_bytes_per_s.0)
            }
            _ => None,
        };
        actions.iter().find_map(confirm).unwrap()
    });
    assert_eq!(rates, [500, 250]);
}

// A server takes two requests and answers neither. It is closed, those who wait are sent elsewhere, and
// after a while one request tries it; the next is let in only when that one succeeded.
#[test]
fn mute_server_is_closed_and_tried() {
    let mut bench = Bench::new(Role::Decode, &[]);
    (1..=3).for_each(|sequence| drop(bench.say(1, ask(id(1, sequence)))));
    bench.say(1, release(id(1, 1), GrantOutcome::TimedOut));
    let actions = bench.say(1, ask(id(1, 4)));
    assert!(denied(&actions).is_empty());
    let actions = bench.say(1, release(id(1, 2), GrantOutcome::TimedOut));
    assert_eq!(denied(&actions), [DenyReason::Unhealthy]);
    bench.say(1, release(id(1, 3), GrantOutcome::Abandoned));
    bench.now_us = 1_100_000;
    assert_eq!(granted(&bench.say(1, ask(id(1, 5)))), [5]);
    assert_eq!(denied(&bench.say(1, ask(id(1, 6)))), [DenyReason::Unhealthy]);
    bench.say(1, release(id(1, 5), GrantOutcome::Done));
    assert_eq!(granted(&bench.say(1, ask(id(1, 6)))), [6]);
}

// A leaving server is given nothing more, and those who wait are told at once.
#[test]
fn leaving_server_sends_waiters_away() {
    let mut bench = Bench::new(Role::Decode, &[]);
    (1..=3).for_each(|sequence| drop(bench.say(1, ask(id(1, sequence)))));
    let mut actions = Vec::new();
    bench.ledger.set_leaving(MonoTime(0), true, &mut actions);
    assert_eq!(denied(&actions), [DenyReason::Leaving]);
    assert_eq!(denied(&bench.say(1, ask(id(1, 4)))), [DenyReason::Leaving]);
}

// A prefill server works on one prompt; a request that cannot be in time behind it is refused at once.
#[test]
fn prefill_ask_that_would_be_late_is_denied() {
    let mut bench = Bench::new(Role::Prefill, &[]);
    let long = |sequence, tokens, slack_us| {
        let SlotMessage::Ask(ask) = ask(id(1, sequence)) else { unreachable!() };
        SlotMessage::Ask(Ask { work_tokens: Tokens(tokens), slack_us: Some(Micros(slack_us)), ..ask })
    };
    assert_eq!(granted(&bench.say(1, long(1, 8_000, 0))), [1]);
    assert_eq!(denied(&bench.say(1, long(2, 8_000, 900_000))), [DenyReason::WouldMissTarget]);
    assert!(denied(&bench.say(1, long(3, 8_000, 1_100_000))).is_empty());
}
