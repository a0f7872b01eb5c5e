//! Requests that run at most once, over keys, tickets and several daemons.

use bytes::Bytes;
use hibiscusvale::daemon::Daemon;
use hibiscusvale_standins::client::call;
use http::Method;
use http_body_util::Full;

use crate::world::{Caller, SMALL_PLAN, Served, World, stop};

fn executions(world: &World) -> usize {
    world.standins.plain.iter().map(|(_, plain)| plain.ledger().len()).sum()
}

/// A caller's connection breaks before the answer arrives, and the balancer takes its second try to another
/// host. The caller sees the first answer; the flat is booked once.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_used_again_at_another_host_gets_the_first_answer() {
    let world = World::start(SMALL_PLAN).await;
    let first = world.daemon("entry-1").await;
    let second = world.daemon_beside("entry-2", &[&first]).await;

    let booked = Caller::new(first.callers_address()).book("7", ("idempotency-key", "flat-7")).await;
    assert_eq!((booked.status.as_u16(), booked.outcome()), (200, "answered"), "{}", booked.body);
    let again = Caller::new(second.callers_address()).book("7", ("idempotency-key", "flat-7")).await;
    assert_eq!((again.status.as_u16(), again.outcome()), (200, "answered"), "{}", again.body);
    assert_eq!(again.body, booked.body);
    assert_eq!(executions(&world), 1);
    let counted = appends_of_claims(&first).await + appends_of_claims(&second).await;
    let log = &world.standins.log;
    let taken: u64 =
        log.appends().iter().filter(|(name, _)| name.starts_with("claims")).map(|(_, n)| n).sum();
    assert_eq!((counted, taken), (1, 1), "the second call found the key without an append of its own");
    stop(first).await;
    stop(second).await;
}

/// Appends of claims that a daemon has counted.
async fn appends_of_claims(daemon: &Daemon) -> u64 {
    let (_, text) =
        call(daemon.operators_address(), Method::GET, "/metrics", Bytes::new()).await.expect("metrics");
    let text = String::from_utf8(text.to_vec()).expect("text");
    let line = text.lines().find(|line| line.contains("event=\"log-append-claims\""));
    line.and_then(|line| line.rsplit(' ').next()).map_or(0, |count| count.parse().expect("count"))
}

/// Two different bookings carry the same key by a mistake of the caller's program. The second is refused, and
/// its caller is told that it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_used_for_another_request_is_refused() {
    let Served { world, daemon, caller } = Served::start().await;

    caller.book("7", ("idempotency-key", "one")).await;
    let other = caller.book("8", ("idempotency-key", "one")).await;
    assert_eq!((other.status.as_u16(), other.outcome()), (422, "not-run"), "{}", other.body);
    assert_eq!(executions(&world), 1);
    stop(daemon).await;
}

/// The log is down for hours. A caller with a ticket is served all the same, also at a host that did not give
/// the ticket; a caller with a key alone is told when to come back, and nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_is_honoured_while_the_log_is_down() {
    let world = World::start(SMALL_PLAN).await;
    let first = world.daemon("entry-1").await;
    let second = world.daemon_beside("entry-2", &[&first]).await;
    let caller = Caller::new(first.callers_address());
    world.standins.log.steer(&hibiscusvale_standins::Steer { outage: Some(true), ..Default::default() });

    let request = caller.request("POST", "/v1/tickets").body(Full::new(Bytes::new())).expect("request");
    let given: serde_json::Value = serde_json::from_str(&caller.ask(request).await.body).expect("ticket");
    let ticket = given["ticket"].as_str().expect("ticket").to_owned();
    let elsewhere = Caller::new(second.callers_address());
    let booked = elsewhere.book("7", ("x-ticket", &ticket)).await;
    assert_eq!((booked.status.as_u16(), booked.outcome()), (200, "answered"), "{}", booked.body);
    let again = caller.book("7", ("x-ticket", &ticket)).await;
    assert_eq!(again.body, booked.body);
    assert_eq!(executions(&world), 1);

    let keyed = caller.book("8", ("idempotency-key", "flat-8")).await;
    assert_eq!((keyed.status.as_u16(), keyed.outcome()), (503, "not-run"), "{}", keyed.body);
    assert!(keyed.headers.contains_key("retry-after"));
    assert_eq!(executions(&world), 1);
    stop(first).await;
    stop(second).await;
}
