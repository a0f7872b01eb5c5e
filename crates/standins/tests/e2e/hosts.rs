//! Entry hosts that crash, are replaced or shut down.

use std::time::{Duration, Instant};

use hibiscusvale_standins::{FaultUpdate, text};

use crate::cluster::{Caller, SMALL_PLAN, TestCluster, stop, streamed_text};

const PROMPT: &str = "The client keeps a large dog and is allergic to bleach.";

/// A host crashes while engines generate answers for its callers, and is replaced under the same name. Unless another
/// daemon cancels its requests, the engines keep slots for disconnected callers and lose capacity with each crash.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_crashed_daemon_are_released_when_host_is_replaced() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let second = cluster.daemon_with_peers("entry-2", &[&first]).await;
    let caller = Caller::new(second.callers_address());
    let body = serde_json::json!({"model": "small", "prompt": PROMPT, "max_tokens": 30_000, "stream": true});
    let pending = tokio::spawn({
        let caller = caller.clone();
        let request = caller.completion(&body);
        async move { caller.send(request).await }
    });
    cluster.wait_decoding().await;
    tokio::task::spawn_blocking(move || second.kill()).await.expect("killed");
    pending.abort();

    let replaced = cluster.daemon_with_peers("entry-2", &[&first]).await;
    cluster.wait_engines_empty().await;
    let answer = Caller::new(replaced.callers_address()).complete(PROMPT, 12, true).await;
    assert!(streamed_text(&answer.body).is_some(), "{}", answer.body);
    stop(first).await;
    stop(replaced).await;
}

/// A host is replaced while the log and the host list are unavailable for hours. Unless the new daemon copies classes
/// and servers from its peers, each replaced host is lost for callers.
#[tokio::test(flavor = "multi_thread")]
async fn host_replaced_during_platform_outage_copies_state_from_peers() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let unavailable = FaultUpdate { outage: Some(true), ..FaultUpdate::default() };
    cluster.standins.log.update_faults(&unavailable);
    cluster.standins.hosts.update_faults(&unavailable);

    let replaced = cluster.daemon_with_peers("entry-2", &[&first]).await;
    let answer = Caller::new(replaced.callers_address()).complete(PROMPT, 12, true).await;
    assert_eq!(streamed_text(&answer.body).as_deref(), Some(text::expected_answer(PROMPT, 12).as_str()));
    stop(first).await;
    stop(replaced).await;
}

/// Two of the three hosts that monitor a data centre's engines crash at once. Until the engines are reassigned, nobody
/// may use them and callers are rejected with `retry-after`; the reassignment must complete.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_crashed_watchers_are_reassigned() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let second = cluster.daemon_with_peers("entry-2", &[&first]).await;
    let third = cluster.daemon_with_peers("entry-3", &[&first, &second]).await;
    let killed = Instant::now();
    for daemon in [second, third] {
        tokio::task::spawn_blocking(move || daemon.kill()).await.expect("killed");
    }
    let caller = Caller::new(first.callers_address());
    loop {
        let answer = caller.complete(PROMPT, 12, false).await;
        if answer.status.is_success() {
            break;
        }
        assert_eq!(answer.outcome(), "not-run", "{}", answer.body);
        assert!(answer.headers.contains_key("retry-after"), "{}", answer.body);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("reassigned after {:?}", killed.elapsed());
    stop(first).await;
}
