//! Outcomes within the time for which callers state that they wait.

use std::time::Duration;

use hibiscusvale_standins::FaultUpdate;
use http::{Request, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use serde_json::json;
use tokio::time::Instant;

use crate::cluster::{Caller, TestCluster, stop};

/// Engines that need 20 s for the answers below, and a service.
const SLOW_PLAN: &str = r#"
    [[engines]]
    place = {name = "prefill", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 1}
    settings = {role = "prefill"}
    [[engines]]
    place = {name = "decode", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 1}
    settings = {role = "decode", decode_step_us = 200000}
    [[plain]]
    place = {name = "booking", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 1}
    settings = {service = "booking", service_time_us = 250000}
"#;

const LIMIT: Duration = Duration::from_secs(2);

fn with_limit<Body>(mut request: Request<Body>) -> Request<Body> {
    let wait = format!("respond-async, wait={}", LIMIT.as_secs());
    request.headers_mut().insert("prefer", wait.parse().expect("header"));
    request
}

/// Makes a call, so that the daemon allows for the usual duration of calls, and then slows the service down to 2.5 s.
async fn slow_service_down(cluster: &TestCluster, caller: &Caller) {
    let request = caller.request("GET", "/booking/week").body(Full::default()).expect("request");
    assert_eq!(caller.fetch(request).await.status, StatusCode::OK);
    for (_, plain) in &cluster.standins.plain {
        plain.update_faults(&FaultUpdate { slow_factor: Some(10.0), ..FaultUpdate::default() });
    }
}

/// A streamed or complete answer that outlasts its caller's limit must end with an outcome before the caller leaves,
/// and the engines must hold nothing of it.
#[rstest]
#[case::streamed(true)]
#[case::complete(false)]
#[tokio::test(flavor = "multi_thread")]
async fn slow_answer_ends_within_the_stated_limit(#[case] stream: bool) {
    let cluster = TestCluster::start(SLOW_PLAN).await;
    let daemon = cluster.daemon("entry-1").await;
    let caller = Caller::new(daemon.callers_address());
    let body = json!({"model": "small", "prompt": "a long history", "max_tokens": 100, "stream": stream});
    let called_at = Instant::now();
    let answer = caller.fetch(with_limit(caller.completion(&body))).await;
    assert!(called_at.elapsed() < LIMIT, "took {:?}", called_at.elapsed());
    if stream {
        let last = answer.body.lines().rfind(|line| line.starts_with("data: ")).expect("event");
        assert!(last.contains("time-limit") && last.contains("unknown"), "{last}");
    } else {
        assert_eq!((answer.status, answer.outcome()), (StatusCode::GATEWAY_TIMEOUT, "unknown"));
    }
    cluster.wait_engines_empty().await;
    stop(daemon).await;
}

/// A call that may be repeated must end with an outcome before its caller leaves.
#[tokio::test(flavor = "multi_thread")]
async fn slow_page_ends_within_the_stated_limit() {
    let cluster = TestCluster::start(SLOW_PLAN).await;
    let daemon = cluster.daemon("entry-1").await;
    let caller = Caller::new(daemon.callers_address());
    slow_service_down(&cluster, &caller).await;
    let request = caller.request("GET", "/booking/week").body(Full::default()).expect("request");
    let called_at = Instant::now();
    let answer = caller.fetch(with_limit(request)).await;
    assert!(called_at.elapsed() < LIMIT, "took {:?}", called_at.elapsed());
    assert_eq!(
        (answer.status, answer.outcome()),
        (StatusCode::GATEWAY_TIMEOUT, "unknown"),
        "{}",
        answer.body
    );
    assert!(answer.body.contains("time-limit"), "{}", answer.body);
    stop(daemon).await;
}

/// A booking that outlasts its caller's limit must run on, and the caller's next attempt must get its answer.
#[tokio::test(flavor = "multi_thread")]
async fn slow_booking_is_answered_to_the_next_attempt() {
    let cluster = TestCluster::start(SLOW_PLAN).await;
    let daemon = cluster.daemon("entry-1").await;
    let caller = Caller::new(daemon.callers_address());
    slow_service_down(&cluster, &caller).await;
    let request = caller.request("POST", "/booking/new?flat=7").header("idempotency-key", "flat-7");
    let called_at = Instant::now();
    let answer = caller.fetch(with_limit(request.body(Full::default()).expect("request"))).await;
    assert!(called_at.elapsed() < LIMIT, "took {:?}", called_at.elapsed());
    assert_eq!((answer.status, answer.outcome()), (StatusCode::CONFLICT, "unknown"), "{}", answer.body);
    assert!(answer.headers.contains_key("retry-after"));
    let again = loop {
        let request = caller.request("POST", "/booking/new?flat=7").header("idempotency-key", "flat-7");
        let again = caller.fetch(request.body(Full::default()).expect("request")).await;
        if again.status != StatusCode::CONFLICT {
            break again;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_eq!((again.status, again.outcome()), (StatusCode::OK, "answered"), "{}", again.body);
    let executions = cluster.standins.plain.iter().map(|(_, plain)| plain.ledger().len()).sum::<usize>();
    assert_eq!(executions, 2, "the first call and one booking");
    stop(daemon).await;
}
