//! At-most-once requests with idempotency keys and tickets on several daemons.

use bytes::Bytes;
use hibiscusvale::daemon::Daemon;
use hibiscusvale_standins::client::call;
use http::Method;
use http_body_util::Full;

use crate::cluster::{Caller, SMALL_PLAN, SingleDaemon, TestCluster, stop};

fn executions(cluster: &TestCluster) -> usize {
    cluster.standins.plain.iter().map(|(_, plain)| plain.ledger().len()).sum()
}

/// A caller loses its connection before the answer arrives and retries on another host. It must get the first answer,
/// and the flat must be booked once.
#[tokio::test(flavor = "multi_thread")]
async fn retry_with_same_key_on_another_host_gets_first_answer() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let second = cluster.daemon_with_peers("entry-2", &[&first]).await;

    let booked = Caller::new(first.callers_address()).book("7", ("idempotency-key", "flat-7")).await;
    assert_eq!((booked.status.as_u16(), booked.outcome()), (200, "answered"), "{}", booked.body);
    let again = Caller::new(second.callers_address()).book("7", ("idempotency-key", "flat-7")).await;
    assert_eq!((again.status.as_u16(), again.outcome()), (200, "answered"), "{}", again.body);
    assert_eq!(again.body, booked.body);
    assert_eq!(executions(&cluster), 1);
    let counted = claim_append_count(&first).await + claim_append_count(&second).await;
    let log = &cluster.standins.log;
    let taken: u64 =
        log.appends().iter().filter(|(name, _)| name.starts_with("claims")).map(|(_, n)| n).sum();
    assert_eq!((counted, taken), (1, 1), "the second call found the key without a further append");
    stop(first).await;
    stop(second).await;
}

/// Number of claim appends counted by a daemon.
async fn claim_append_count(daemon: &Daemon) -> u64 {
    let (_, text) =
        call(daemon.operators_address(), Method::GET, "/metrics", Bytes::new()).await.expect("metrics");
    let text = String::from_utf8(text.to_vec()).expect("text");
    let line = text.lines().find(|line| line.contains("event=\"log-append-claims\""));
    line.and_then(|line| line.rsplit(' ').next()).map_or(0, |count| count.parse().expect("count"))
}

/// A faulty client uses one key for two different bookings. The second must be rejected with outcome `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn key_reused_for_another_request_is_rejected() {
    let SingleDaemon { cluster, daemon, caller } = SingleDaemon::start().await;

    caller.book("7", ("idempotency-key", "one")).await;
    let other = caller.book("8", ("idempotency-key", "one")).await;
    assert_eq!((other.status.as_u16(), other.outcome()), (422, "not-run"), "{}", other.body);
    assert_eq!(executions(&cluster), 1);
    stop(daemon).await;
}

/// The log is unavailable for hours. A caller with a ticket must be served, also by a host that did not issue it; a
/// caller with only a key must be rejected with `retry-after`, and nothing may run.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_is_accepted_during_log_outage() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let second = cluster.daemon_with_peers("entry-2", &[&first]).await;
    let caller = Caller::new(first.callers_address());
    cluster
        .standins
        .log
        .update_faults(&hibiscusvale_standins::FaultUpdate { outage: Some(true), ..Default::default() });

    let request = caller.request("POST", "/v1/tickets").body(Full::new(Bytes::new())).expect("request");
    let given: serde_json::Value = serde_json::from_str(&caller.fetch(request).await.body).expect("ticket");
    let ticket = given["ticket"].as_str().expect("ticket").to_owned();
    let other_caller = Caller::new(second.callers_address());
    let booked = other_caller.book("7", ("x-ticket", &ticket)).await;
    assert_eq!((booked.status.as_u16(), booked.outcome()), (200, "answered"), "{}", booked.body);
    let again = caller.book("7", ("x-ticket", &ticket)).await;
    assert_eq!(again.body, booked.body);
    assert_eq!(executions(&cluster), 1);

    let keyed = caller.book("8", ("idempotency-key", "flat-8")).await;
    assert_eq!((keyed.status.as_u16(), keyed.outcome()), (503, "not-run"), "{}", keyed.body);
    assert!(keyed.headers.contains_key("retry-after"));
    assert_eq!(executions(&cluster), 1);
    stop(first).await;
    stop(second).await;
}
