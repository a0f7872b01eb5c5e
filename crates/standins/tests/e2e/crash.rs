//! Daemons killed during at-most-once requests while the log is unreachable.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale::daemon::Daemon;
use hibiscusvale_standins::FaultUpdate;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use tokio::sync::Barrier;

use crate::cluster::{Caller, TOKEN, TestCluster, stop};

/// The service time is long enough that requests are in flight when the daemon is killed.
const PLAN: &str = r#"
    [[plain]]
    place = {name = "booking", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 2}
    settings = {service = "booking", service_time_us = 40000}
"#;

const CALLERS: usize = 48;

/// Attempts of each caller before and after the log recovers.
const ATTEMPTS_WITHOUT_LOG: usize = 3;
const ATTEMPTS_WITH_LOG: usize = 6;

/// Delay between the attempts of a caller.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Outcome that a caller observed in one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Observed {
    Answered,
    NotRun,
    Unknown,
    /// The connection failed or could not be established.
    NoResponse,
}

/// Makes one attempt with the idempotency key on a new connection.
async fn book(to: SocketAddr, key: &str) -> Observed {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{to}/booking/new?flat={key}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("x-class", "booking")
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from_static(b"{}")))
        .expect("request");
    let Ok(answer) = client.request(request).await else {
        return Observed::NoResponse;
    };
    let (parts, body) = answer.into_parts();
    let Ok(body) = body.collect().await else {
        return Observed::NoResponse;
    };
    let body = String::from_utf8(body.to_bytes().to_vec()).expect("text");
    match parts.headers.get("x-outcome").map(http::HeaderValue::as_bytes) {
        // An answer that is no longer stored also counts as answered, but has no execution in its body.
        Some(b"answered") if parts.status.is_success() => {
            assert!(body.contains(&format!("\"{key}\"")), "the answer to another request: {body}");
            Observed::Answered
        }
        Some(b"answered") => Observed::Answered,
        Some(b"not-run") => Observed::NotRun,
        Some(b"unknown") => Observed::Unknown,
        other => panic!("{other:?}: {body}"),
    }
}

async fn call(number: usize, hosts: [SocketAddr; 3], phase: Arc<Barrier>) -> (String, Vec<Observed>) {
    let key = format!("flat-{number}");
    let mut observed = Vec::new();
    for attempt in 0..ATTEMPTS_WITHOUT_LOG + ATTEMPTS_WITH_LOG {
        if attempt == ATTEMPTS_WITHOUT_LOG {
            phase.wait().await;
        }
        if observed.last() != Some(&Observed::Answered) {
            observed.push(book(hosts[(number + attempt) % hosts.len()], &key).await);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    (key, observed)
}

fn executions(cluster: &TestCluster) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, plain) in &cluster.standins.plain {
        for execution in plain.ledger() {
            *counts.entry(execution.idempotency_key.expect("a key")).or_default() += 1;
        }
    }
    counts
}

fn log_fault(muted: bool, failing: bool) -> FaultUpdate {
    if muted {
        FaultUpdate { mute: Some(failing), ..FaultUpdate::default() }
    } else {
        FaultUpdate { outage: Some(failing), ..FaultUpdate::default() }
    }
}

/// Bookings are in flight when the log becomes unreachable (rejecting or not responding) and one of three hosts is
/// killed. Callers retry on the others, also after the log recovers. No flat may be booked twice, and every outcome
/// reported to a caller must match the service's ledger.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn daemon_crash_during_log_outage_causes_no_double_booking(#[values(false, true)] muted: bool) {
    let cluster = TestCluster::start(PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let second = cluster.daemon_with_peers("entry-2", &[&first]).await;
    let third = cluster.daemon_with_peers("entry-3", &[&first, &second]).await;
    let hosts = [&first, &second, &third].map(Daemon::callers_address);

    // A booking completed before the outage must still be known to all hosts afterwards.
    let early = Caller::new(hosts[1]).book("early", ("idempotency-key", "early")).await;
    assert_eq!(early.outcome(), "answered", "{}", early.body);

    let phase = Arc::new(Barrier::new(CALLERS + 1));
    let calls: Vec<_> =
        (0..CALLERS).map(|number| tokio::spawn(call(number, hosts, Arc::clone(&phase)))).collect();
    let (_, plain) = &cluster.standins.plain[0];
    plain.wait_executed(4).await;
    cluster.standins.log.update_faults(&log_fault(muted, true));
    tokio::task::spawn_blocking(move || first.kill()).await.expect("killed");
    phase.wait().await;
    cluster.standins.log.update_faults(&log_fault(muted, false));

    let mut observed = BTreeMap::new();
    for call in calls {
        let (key, outcomes) = call.await.expect("caller");
        observed.insert(key, outcomes);
    }
    let again = Caller::new(hosts[2]).book("early", ("idempotency-key", "early")).await;
    assert_eq!((again.outcome(), &again.body), ("answered", &early.body));

    let ran = executions(&cluster);
    assert!(ran.values().all(|&times| times == 1), "booked twice: {ran:?}");
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for (key, outcomes) in &observed {
        let times = ran.get(key).copied().unwrap_or_default();
        let kind = if outcomes.contains(&Observed::Answered) {
            assert_eq!(times, 1, "{key}: {outcomes:?}");
            "answered"
        } else if outcomes.iter().all(|outcome| *outcome == Observed::NotRun) {
            assert_eq!(times, 0, "{key}: {outcomes:?}");
            "not run"
        } else {
            "unknown"
        };
        *kinds.entry(kind).or_default() += 1;
    }
    assert!(kinds.get("answered").copied().unwrap_or_default() >= CALLERS / 4, "{kinds:?}");
    println!("outcomes by kind: {kinds:?}");
    stop(second).await;
    stop(third).await;
}
