use std::sync::Arc;

use hibiscusvale_core::claim::{BodyDigest, RunOutcome, StoredAnswer};
use hibiscusvale_core::ids::{HostId, Incarnation, PartnerId};
use hibiscusvale_core::ticket::{Ticket, TicketDecision, TicketIssuer, TicketSettings, TooManyTickets};
use hibiscusvale_core::units::{Bytes, Millis, MonoTime};
use rstest::rstest;

const START: MonoTime = MonoTime(1_000);

fn host(name: &str) -> HostId {
    name.parse().expect("name")
}

fn issuer(incarnation: u64) -> TicketIssuer {
    let settings = TicketSettings { partner_tickets: 3, answer_bytes: Bytes(8), ..TicketSettings::default() };
    TicketIssuer::new(host("a"), Incarnation(incarnation.into()), settings)
}

fn nadifa() -> PartnerId {
    "nadifa".parse().expect("partner")
}

fn body(text: &str) -> BodyDigest {
    BodyDigest::new("POST", "/book", text.as_bytes())
}

fn answer(text: &str) -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer { status: 200, headers: Vec::new(), body: text.as_bytes().to_vec() })
}

fn begin(issuer: &mut TicketIssuer, ticket: &Ticket, text: &str) -> TicketDecision {
    issuer.begin(START, ticket, &nadifa(), body(text))
}

#[rstest]
#[case(RunOutcome::Answered(Some(answer("ok"))), TicketDecision::Answered(answer("ok")))]
#[case(RunOutcome::Answered(Some(answer("longer than 8"))), TicketDecision::AnswerEvicted)]
#[case(RunOutcome::Answered(None), TicketDecision::AnswerEvicted)]
#[case(RunOutcome::Unknown, TicketDecision::Unknown)]
#[case(RunOutcome::NotRun, TicketDecision::Run)]
fn ticket_runs_once(#[case] finished: RunOutcome, #[case] second: TicketDecision) {
    let mut issuer = issuer(1);
    let ticket = issuer.issue(START, &nadifa()).expect("room");
    assert_eq!(begin(&mut issuer, &ticket, "x"), TicketDecision::Run);
    assert_eq!(begin(&mut issuer, &ticket, "x"), TicketDecision::InProgress);
    assert_eq!(begin(&mut issuer, &ticket, "y"), TicketDecision::BodyMismatch);
    issuer.finish(&ticket, finished);
    assert_eq!(begin(&mut issuer, &ticket, "x"), second);
}

/// The load balancer sends a caller's retry to another host. That host must refuse to run it, without the log
/// and without contacting the first host.
#[test]
fn other_daemon_does_not_run_ticket() {
    let ticket = issuer(1).issue(START, &nadifa()).expect("room");
    let mut other = TicketIssuer::new(host("b"), Incarnation(2), TicketSettings::default());
    assert_eq!(begin(&mut other, &ticket, "x"), TicketDecision::OtherHost);
}

/// The host was replaced after it issued the ticket. Its new daemon has the same host name but does not know
/// what ran, so the caller must be told that the request may have run.
#[test]
fn later_incarnation_does_not_run_ticket() {
    let ticket = issuer(1).issue(START, &nadifa()).expect("room");
    assert_eq!(begin(&mut issuer(2), &ticket, "x"), TicketDecision::IssuerReplaced);
}

#[test]
fn tickets_belong_to_their_partner() {
    let mut issuer = issuer(1);
    let ticket = issuer.issue(START, &nadifa()).expect("room");
    let registry: PartnerId = "registry".parse().expect("partner");
    assert_eq!(issuer.begin(START, &ticket, &registry, body("x")), TicketDecision::NotIssued);
    let unissued = Ticket { sequence: 9, ..ticket };
    assert_eq!(begin(&mut issuer, &unissued, "x"), TicketDecision::NotIssued);
}

/// A partner that requests tickets without end is refused at its limit; another partner still gets one.
#[test]
fn ticket_limit_is_per_partner() {
    let mut issuer = issuer(1);
    for _ in 0..3 {
        issuer.issue(START, &nadifa()).expect("room");
    }
    assert_eq!(issuer.issue(START, &nadifa()), Err(TooManyTickets));
    issuer.issue(START, &"registry".parse().expect("partner")).expect("each partner has a limit of its own");
    let settings = TicketSettings::default();
    let later = START + settings.start_within_ms + settings.remember_ms + Millis(1);
    issuer.issue(later, &nadifa()).expect("the old ones are removed");
}

/// A caller uses a ticket long after its issue. While the daemon retains it the ticket is expired and nothing
/// ran; after that the daemon no longer knows whether it was used, so the request may have run.
#[test]
fn expired_ticket_does_not_run() {
    let mut issuer = issuer(1);
    let ticket = issuer.issue(START, &nadifa()).expect("room");
    let settings = TicketSettings::default();
    let late = START + settings.start_within_ms;
    assert_eq!(issuer.begin(late, &ticket, &nadifa(), body("x")), TicketDecision::Expired);
    let removed_at = late + settings.remember_ms;
    issuer.issue(removed_at, &nadifa()).expect("room");
    assert_eq!(issuer.begin(removed_at, &ticket, &nadifa(), body("x")), TicketDecision::Unknown);
}

#[test]
fn tickets_round_trip_through_text() {
    let ticket = issuer(77).issue(START, &nadifa()).expect("room");
    assert_eq!(ticket.to_string().parse(), Ok(ticket));
    "a~1".parse::<Ticket>().expect_err("a part is missing");
}
