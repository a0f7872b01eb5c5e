use std::sync::Arc;

use hibiscusvale_core::claim::{BodyDigest, FinishedAs, StoredAnswer};
use hibiscusvale_core::ids::{HostId, Incarnation, PartnerId};
use hibiscusvale_core::ticket::{Ticket, TicketDecision, TicketDesk, TicketSettings, TooManyTickets};
use hibiscusvale_core::units::{Bytes, Millis, MonoTime};
use rstest::rstest;

const START: MonoTime = MonoTime(1_000);

fn host(name: &str) -> HostId {
    name.parse().expect("name")
}

fn desk(life: u64) -> TicketDesk {
    let settings = TicketSettings { partner_tickets: 3, answer_bytes: Bytes(8), ..TicketSettings::default() };
    TicketDesk::new(host("a"), Incarnation(life.into()), settings)
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

fn begin(desk: &mut TicketDesk, ticket: &Ticket, text: &str) -> TicketDecision {
    desk.begin(START, ticket, &nadifa(), body(text))
}

#[rstest]
#[case(FinishedAs::Answered(Some(answer("ok"))), TicketDecision::Answered(answer("ok")))]
#[case(FinishedAs::Answered(Some(answer("longer than 8"))), TicketDecision::AnswerGone)]
#[case(FinishedAs::Answered(None), TicketDecision::AnswerGone)]
#[case(FinishedAs::Unknown, TicketDecision::Unknown)]
#[case(FinishedAs::NotRun, TicketDecision::Run)]
fn a_ticket_runs_once(#[case] finished: FinishedAs, #[case] second: TicketDecision) {
    let mut desk = desk(1);
    let ticket = desk.give(START, &nadifa()).expect("room");
    assert_eq!(begin(&mut desk, &ticket, "x"), TicketDecision::Run);
    assert_eq!(begin(&mut desk, &ticket, "x"), TicketDecision::InProgress);
    assert_eq!(begin(&mut desk, &ticket, "y"), TicketDecision::OtherBody);
    desk.finish(&ticket, finished);
    assert_eq!(begin(&mut desk, &ticket, "x"), second);
}

/// The balancer sends a caller's retry to another host. That host knows at once that it may not run it, with
/// the log down and without a word to the first.
#[test]
fn another_daemon_never_runs_it() {
    let ticket = desk(1).give(START, &nadifa()).expect("room");
    let mut other = TicketDesk::new(host("b"), Incarnation(2), TicketSettings::default());
    assert_eq!(begin(&mut other, &ticket, "x"), TicketDecision::Elsewhere);
}

/// The host was replaced after it gave the ticket. Its new daemon has the same name and knows nothing, so the
/// caller is told that the request may have run.
#[test]
fn a_later_life_never_runs_it() {
    let ticket = desk(1).give(START, &nadifa()).expect("room");
    assert_eq!(begin(&mut desk(2), &ticket, "x"), TicketDecision::HolderGone);
}

#[test]
fn tickets_belong_to_their_partner() {
    let mut desk = desk(1);
    let ticket = desk.give(START, &nadifa()).expect("room");
    let registry: PartnerId = "registry".parse().expect("partner");
    assert_eq!(desk.begin(START, &ticket, &registry, body("x")), TicketDecision::NotGiven);
    let made_up = Ticket { sequence: 9, ..ticket };
    assert_eq!(begin(&mut desk, &made_up, "x"), TicketDecision::NotGiven);
}

/// A partner asks for tickets without end. It is refused; the other partner still gets one.
#[test]
fn a_flood_takes_only_its_own_tickets() {
    let mut desk = desk(1);
    for _ in 0..3 {
        desk.give(START, &nadifa()).expect("room");
    }
    assert_eq!(desk.give(START, &nadifa()), Err(TooManyTickets));
    desk.give(START, &"registry".parse().expect("partner")).expect("room of its own");
    let settings = TicketSettings::default();
    let later = START + settings.start_within_ms + settings.remember_ms + Millis(1);
    desk.give(later, &nadifa()).expect("the old ones are forgotten");
}

/// A caller comes with a ticket long after. Before it was used it is expired, and nothing ran; once the daemon
/// has forgotten whether it was used, the request may have run.
#[test]
fn an_old_ticket_does_not_run() {
    let mut desk = desk(1);
    let ticket = desk.give(START, &nadifa()).expect("room");
    let settings = TicketSettings::default();
    let late = START + settings.start_within_ms;
    assert_eq!(desk.begin(late, &ticket, &nadifa(), body("x")), TicketDecision::Expired);
    let forgotten = late + settings.remember_ms;
    desk.give(forgotten, &nadifa()).expect("room");
    assert_eq!(desk.begin(forgotten, &ticket, &nadifa(), body("x")), TicketDecision::Unknown);
}

#[test]
fn tickets_read_back_from_text() {
    let ticket = desk(77).give(START, &nadifa()).expect("room");
    assert_eq!(ticket.to_string().parse(), Ok(ticket));
    "a~1".parse::<Ticket>().expect_err("a part is missing");
}
