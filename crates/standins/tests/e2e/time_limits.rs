//! Outcomes within the time for which callers state that they wait.

use std::time::Duration;

use http::{Request, StatusCode};
use rstest::rstest;
use serde_json::json;
use tokio::time::Instant;

use crate::cluster::{Caller, TestCluster, stop};

/// Engines that need 20 s for the answers below.
const SLOW_PLAN: &str = r#"
    [[engines]]
    place = {name = "prefill", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 1}
    settings = {role = "prefill"}
    [[engines]]
    place = {name = "decode", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 1}
    settings = {role = "decode", decode_step_us = 200000}
"#;

const LIMIT: Duration = Duration::from_secs(2);

fn with_limit<Body>(mut request: Request<Body>) -> Request<Body> {
    let wait = format!("respond-async, wait={}", LIMIT.as_secs());
    request.headers_mut().insert("prefer", wait.parse().expect("header"));
    request
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
        let last = answer.body.lines().filter(|line| line.starts_with("data: ")).next_back().expect("event");
        assert!(last.contains("time-limit") && last.contains("unknown"), "{last}");
    } else {
        assert_eq!((answer.status, answer.outcome()), (StatusCode::GATEWAY_TIMEOUT, "unknown"));
    }
    cluster.wait_engines_empty().await;
    stop(daemon).await;
}
