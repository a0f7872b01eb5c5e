//! Tests of the ledger of one server; decode servers have two slots.

use hibiscusvale_core::ids::{HostId, Incarnation, RequestId};
use hibiscusvale_core::slots::{
    DenyReason, GrantId, GrantOutcome, GrantPhase, GrantRequest, HeldGrant, HeldReport, Ledger, LedgerAction,
    LedgerSettings, Role, SlotMessage,
};
use hibiscusvale_core::units::{Bytes, BytesPerSecond, Micros, MonoTime, Tokens};
use rstest::rstest;

const LINK: BytesPerSecond = BytesPerSecond(1_000);
const TTL_US: u64 = 3_000_000;

fn id(incarnation: u64, sequence: u64) -> RequestId {
    RequestId { incarnation: Incarnation(incarnation.into()), sequence }
}

fn request_grant(request_id: RequestId) -> SlotMessage {
    SlotMessage::Request(GrantRequest {
        request_id,
        grant_id: GrantId(request_id.sequence),
        server: "d0".parse().unwrap(),
        partner: "a".parse().unwrap(),
        work_tokens: Tokens(100),
        kv_bytes: Bytes(1_000),
        charge_us: Micros(1_000),
        slack_us: Some(Micros(1_000_000)),
        copies: 1,
        needed_in_us: None,
        wait_max_us: None,
    })
}

fn release(request_id: RequestId, outcome: GrantOutcome) -> SlotMessage {
    let (server, grant_id) = ("d0".parse().unwrap(), GrantId(request_id.sequence));
    SlotMessage::Release { server, request_id, grant_id, outcome }
}

fn ready(request_id: RequestId) -> SlotMessage {
    let (server, grant_id) = ("d0".parse().unwrap(), GrantId(request_id.sequence));
    SlotMessage::Ready { server, request_id, grant_id, work_us: Micros(0), work_tokens: Tokens(0) }
}

fn held(request_id: RequestId) -> HeldGrant {
    HeldGrant {
        request_id,
        grant_id: GrantId(request_id.sequence),
        partner: "a".parse().unwrap(),
        phase: GrantPhase::Transferred,
        rate_bytes_per_s: LINK,
        work_tokens: Tokens(10),
        token_us: Micros(0),
    }
}

fn renew(held: Vec<HeldGrant>) -> SlotMessage {
    SlotMessage::Renew { server: "d0".parse().unwrap(), held }
}

struct LedgerFixture {
    ledger: Ledger,
    now_us: u64,
}

impl LedgerFixture {
    fn new(role: Role, others: &[Incarnation]) -> Self {
        let server = "d0".parse().unwrap();
        let ledger = Ledger::new(MonoTime(0), LedgerSettings::default(), server, role, 2, LINK, others);
        Self { ledger, now_us: 0 }
    }

    fn send(&mut self, incarnation: u64, message: SlotMessage) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        let host = format!("h{incarnation}").parse::<HostId>().unwrap();
        self.ledger.handle(
            MonoTime(self.now_us),
            &host,
            Incarnation(incarnation.into()),
            message,
            &mut actions,
        );
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

// Three requests ask for two slots. The third gets one after a release, without waiting for a load report.
#[test]
fn grants_exactly_its_slots() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[]);
    assert_eq!(granted(&fixture.send(1, request_grant(id(1, 1)))), [1]);
    assert_eq!(granted(&fixture.send(1, request_grant(id(1, 2)))), [2]);
    assert_eq!(granted(&fixture.send(2, request_grant(id(2, 3)))), [] as [u64; 0]);
    assert_eq!(granted(&fixture.send(1, release(id(1, 1), GrantOutcome::Done))), [3]);
}

// When a grant message is lost and the daemon asks again, it must get the same slot, not a second one.
#[test]
fn repeated_ask_gets_the_same_grant() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[]);
    fixture.send(1, request_grant(id(1, 1)));
    assert_eq!(granted(&fixture.send(1, request_grant(id(1, 1)))), [1]);
    assert_eq!(fixture.ledger.held_len(), 1);
}

// When a release is lost, the next list of held grants lacks the request and its slot is freed. A grant that
// may have been sent after the list was built is kept.
#[rstest]
#[case::old_enough(400_000, 0)]
#[case::crossing(100_000, 1)]
fn renewal_frees_the_slot_of_a_lost_release(#[case] at_us: u64, #[case] left: usize) {
    let mut fixture = LedgerFixture::new(Role::Decode, &[]);
    fixture.send(1, request_grant(id(1, 1)));
    fixture.now_us = at_us;
    fixture.send(1, renew(Vec::new()));
    assert_eq!(fixture.ledger.held_len(), left);
}

// When a daemon fails, its grant expires and the engine is told to release it. The slot is granted again only
// when the engine no longer reports the request: until then it may still be working on it.
#[test]
fn slot_of_a_failed_daemon_waits_for_the_engine() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[]);
    fixture.send(1, request_grant(id(1, 1)));
    fixture.send(1, request_grant(id(1, 2)));
    fixture.send(2, request_grant(id(2, 3)));
    fixture.now_us = TTL_US + 1;
    let cancelled = fixture.tick().into_iter().filter(|action| matches!(action, LedgerAction::Cancel { .. }));
    assert_eq!(cancelled.count(), 2);
    fixture.now_us += 1_000;
    assert_eq!(granted(&fixture.report(&[id(1, 1), id(1, 2)])), [] as [u64; 0]);
    assert_eq!(granted(&fixture.report(&[id(1, 1)])), [3]);
}

// After a change of watcher, slots granted by the previous watcher are unknown to the new one. It must not
// grant until each daemon has listed its grants and the engine has reported.
#[test]
fn new_watcher_waits_for_old_grants() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[Incarnation(1), Incarnation(2)]);
    assert_eq!(denied(&fixture.send(1, request_grant(id(1, 9)))), [DenyReason::Unhealthy]);
    fixture.send(1, renew(vec![held(id(1, 1))]));
    fixture.send(2, renew(vec![held(id(2, 2))]));
    assert!(fixture.ledger.is_taking_over(MonoTime(0)));
    fixture.report(&[id(1, 1), id(2, 2)]);
    assert!(!fixture.ledger.is_taking_over(MonoTime(0)));
    assert_eq!(granted(&fixture.send(1, request_grant(id(1, 9)))), [] as [u64; 0]);
    assert_eq!(fixture.ledger.counters().over_committed, 0);
}

// If a daemon never registers, the new watcher starts to grant when the longest possible grant of that daemon
// has expired.
#[test]
fn grants_resume_when_unknown_grants_have_expired() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[Incarnation(1)]);
    fixture.now_us = TTL_US;
    assert_eq!(granted(&fixture.send(2, request_grant(id(2, 1)))), [1]);
}

// When two watchers granted the same slots for a moment, the excess is counted once the grants are
// registered.
#[test]
fn over_commitment_is_counted() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[]);
    fixture.send(1, request_grant(id(1, 1)));
    fixture.send(1, request_grant(id(1, 2)));
    fixture.send(2, renew(vec![held(id(2, 3))]));
    assert_eq!(fixture.ledger.counters().over_committed, 1);
}

// Link shares are granted when the transfer can start and never exceed the link.
#[test]
fn transfers_share_the_link() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[]);
    let rates = [1, 2].map(|sequence| {
        fixture.send(1, request_grant(id(1, sequence)));
        let actions = fixture.send(1, ready(id(1, sequence)));
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

// A server accepts two requests and answers neither. It is closed and waiting requests are denied; after a
// delay one request probes it, and the next is admitted only after that one succeeded.
#[test]
fn unresponsive_server_is_closed_and_probed() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[]);
    (1..=3).for_each(|sequence| drop(fixture.send(1, request_grant(id(1, sequence)))));
    fixture.send(1, release(id(1, 1), GrantOutcome::TimedOut));
    let actions = fixture.send(1, request_grant(id(1, 4)));
    assert!(denied(&actions).is_empty());
    let actions = fixture.send(1, release(id(1, 2), GrantOutcome::TimedOut));
    assert_eq!(denied(&actions), [DenyReason::Unhealthy]);
    fixture.send(1, release(id(1, 3), GrantOutcome::Abandoned));
    fixture.now_us = 1_100_000;
    assert_eq!(granted(&fixture.send(1, request_grant(id(1, 5)))), [5]);
    assert_eq!(denied(&fixture.send(1, request_grant(id(1, 6)))), [DenyReason::Unhealthy]);
    fixture.send(1, release(id(1, 5), GrantOutcome::Done));
    assert_eq!(granted(&fixture.send(1, request_grant(id(1, 6)))), [6]);
}

// A leaving server grants nothing more, and waiting requests are denied at once.
#[test]
fn leaving_server_denies_waiting_requests() {
    let mut fixture = LedgerFixture::new(Role::Decode, &[]);
    (1..=3).for_each(|sequence| drop(fixture.send(1, request_grant(id(1, sequence)))));
    let mut actions = Vec::new();
    fixture.ledger.set_leaving(MonoTime(0), true, &mut actions);
    assert_eq!(denied(&actions), [DenyReason::Leaving]);
    assert_eq!(denied(&fixture.send(1, request_grant(id(1, 4)))), [DenyReason::Leaving]);
}

// A prefill server processes one prompt at a time; a request that would miss its target behind it is denied
// at once.
#[test]
fn prefill_ask_that_would_be_late_is_denied() {
    let mut fixture = LedgerFixture::new(Role::Prefill, &[]);
    let long = |sequence, tokens, slack_us| {
        let SlotMessage::Request(message) = request_grant(id(1, sequence)) else { unreachable!() };
        SlotMessage::Request(GrantRequest {
            work_tokens: Tokens(tokens),
            slack_us: Some(Micros(slack_us)),
            ..message
        })
    };
    assert_eq!(granted(&fixture.send(1, long(1, 8_000, 0))), [1]);
    assert_eq!(denied(&fixture.send(1, long(2, 8_000, 900_000))), [DenyReason::WouldMissTarget]);
    assert!(denied(&fixture.send(1, long(3, 8_000, 1_100_000))).is_empty());
}
