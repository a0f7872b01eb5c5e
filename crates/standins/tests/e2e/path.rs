//! One request of each kind from start to end.

use bytes::Bytes;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{OutcomesView, RequestView};
use hibiscusvale_standins::FaultUpdate;
use hibiscusvale_standins::text;
use http_body_util::Full;

use crate::cluster::{Caller, SMALL_PLAN, SingleDaemon, TestCluster, stop, streamed_text};

const PROMPT: &str = "The client keeps a large dog and is allergic to bleach.";

#[tokio::test(flavor = "multi_thread")]
async fn completion_is_answered_with_and_without_streaming() {
    let SingleDaemon { cluster, daemon, caller } = SingleDaemon::start().await;

    let whole = caller.complete(PROMPT, 12, false).await;
    assert_eq!((whole.status.as_u16(), whole.outcome()), (200, "answered"), "{}", whole.body);
    let json: serde_json::Value = serde_json::from_str(&whole.body).expect("json");
    assert_eq!(json["choices"][0]["text"], text::expected_answer(PROMPT, 12));

    let streamed = caller.complete(PROMPT, 12, true).await;
    assert_eq!(streamed_text(&streamed.body).as_deref(), Some(text::expected_answer(PROMPT, 12).as_str()));

    cluster.wait_engines_empty().await;
    stop(daemon).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_reaches_service_unchanged() {
    let SingleDaemon { cluster, daemon, caller } = SingleDaemon::start().await;

    let request = caller
        .request("POST", "/booking/new?flat=7")
        .header("idempotency-key", "flat-7")
        .body(Full::new(Bytes::from_static(b"{\"cleaner\":\"Amal\"}")))
        .expect("request");
    let answer = caller.fetch(request).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "answered"), "{}", answer.body);

    let ledger: Vec<_> = cluster.standins.plain.iter().flat_map(|(_, plain)| plain.ledger()).collect();
    assert_eq!(ledger.len(), 1);
    assert_eq!(ledger[0].path, "/booking/new?flat=7");
    assert_eq!(ledger[0].idempotency_key.as_deref(), Some("flat-7"));
    stop(daemon).await;
}

/// A middlebox drops the state of the connection between router and engine during an answer. The caller may see a
/// pause, but must receive the same bytes as without the failure.
#[tokio::test(flavor = "multi_thread")]
async fn stream_with_stalled_connection_is_resumed_by_index() {
    let SingleDaemon { cluster, daemon, caller } = SingleDaemon::start().await;

    let pending = tokio::spawn({
        let caller = caller.clone();
        async move { caller.complete(PROMPT, 40, true).await }
    });
    for (name, engine) in &cluster.standins.engines {
        if name.starts_with("decode") {
            let engine = engine.clone();
            tokio::spawn(async move {
                engine.wait_until(|state| !state.held.is_empty()).await;
                engine.update_faults(&FaultUpdate { silence: true, ..FaultUpdate::default() });
            });
        }
    }
    let answer = pending.await.expect("answer");
    assert_eq!(streamed_text(&answer.body).as_deref(), Some(text::expected_answer(PROMPT, 40).as_str()));
    cluster.wait_engines_empty().await;
    stop(daemon).await;
}

/// A caller disconnects while its answer is generated. Unless the router cancels the request, the engine keeps an
/// unused slot.
#[tokio::test(flavor = "multi_thread")]
async fn engine_memory_is_released_when_caller_disconnects() {
    let SingleDaemon { cluster, daemon, caller } = SingleDaemon::start().await;

    let body = serde_json::json!({"model": "small", "prompt": PROMPT, "max_tokens": 4000, "stream": true});
    let response = caller.send(caller.completion(&body)).await;
    assert_eq!(response.status().as_u16(), 200);
    drop(response);
    drop(caller);
    cluster.wait_engines_empty().await;
    stop(daemon).await;
}

/// A daemon shuts down gracefully while an answer is generated. The caller must still receive the complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_completes_streams() {
    let SingleDaemon { cluster, daemon, caller } = SingleDaemon::start().await;

    let pending = tokio::spawn({
        let caller = caller.clone();
        async move { caller.complete(PROMPT, 40, true).await }
    });
    cluster.wait_decoding().await;
    stop(daemon).await;
    let answer = pending.await.expect("answer");
    assert!(answer.whole);
    assert_eq!(streamed_text(&answer.body).as_deref(), Some(text::expected_answer(PROMPT, 40).as_str()));
    cluster.wait_engines_empty().await;
}

/// A caller disconnects before the booking page has loaded. The request must be counted; otherwise the metrics would
/// show fewer requests than callers sent.
#[tokio::test(flavor = "multi_thread")]
async fn page_whose_caller_disconnects_is_counted() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = cluster.daemon("entry-1").await;
    for (_, service) in &cluster.standins.plain {
        service.update_faults(&FaultUpdate { mute: Some(true), ..FaultUpdate::default() });
    }
    let caller = Caller::new(daemon.callers_address());
    let request = caller.request("GET", "/booking/week").body(Full::new(Bytes::new())).expect("request");
    let pending = tokio::spawn(async move { caller.fetch(request).await.status });
    let left = |view: &OutcomesView| {
        let outcomes = view.classes.iter().flat_map(|class| &class.outcomes);
        outcomes.filter(|count| count.label == "caller-left").map(|count| count.count).sum::<u64>()
    };
    let client = OperatorClient::default();
    let view = || client.view::<OutcomesView>(daemon.operators_address(), "/control/outcomes");
    while view().await.expect("view").classes.is_empty() {
        tokio::task::yield_now().await;
    }
    pending.abort();
    while left(&view().await.expect("view")) == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(left(&view().await.expect("view")), 1);
    stop(daemon).await;
}

/// A booking is rejected because no instance accepts work. An operator must be able to look up the reason by request
/// id, and the refusal must not be counted a second time as a disconnected caller, which would falsify the metrics.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_counted_once_and_explained() {
    let SingleDaemon { cluster, daemon, caller } = SingleDaemon::start().await;
    for (_, service) in &cluster.standins.plain {
        service.update_faults(&FaultUpdate { leaving: Some(true), ..FaultUpdate::default() });
    }
    let request = caller.request("GET", "/booking/week").body(Full::new(Bytes::new())).expect("request");
    let answer = caller.fetch(request).await;
    assert_eq!(answer.outcome(), "not-run", "{}", answer.body);

    let id = answer.headers["x-request-id"].to_str().expect("text");
    let client = OperatorClient::default();
    let why: RequestView =
        client.view(daemon.operators_address(), &format!("/control/why/{id}")).await.expect("view");
    assert_eq!(why.outcome, "not-run");
    assert!(why.refusal.is_some(), "{why:?}");
    let outcomes: OutcomesView =
        client.view(daemon.operators_address(), "/control/outcomes").await.expect("view");
    let counts = outcomes.classes.iter().flat_map(|class| &class.outcomes);
    assert_eq!(counts.map(|count| count.count).sum::<u64>(), 1, "{outcomes:?}");
    stop(daemon).await;
}
