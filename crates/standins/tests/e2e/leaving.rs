//! Servers that drain while the host list still shows them as live.

use bytes::Bytes;
use hibiscusvale::daemon::Daemon;
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::OutcomesView;
use hibiscusvale_standins::FaultUpdate;
use hibiscusvale_standins::client::call;
use http::Method;
use http_body_util::Full;

use crate::cluster::{Answer, Caller, SMALL_PLAN, TestCluster, stop};

const CALLS: usize = 40;

async fn page(caller: &Caller) -> Answer {
    let request = caller.request("GET", "/booking/week").body(Full::new(Bytes::new())).expect("request");
    caller.fetch(request).await
}

/// Number of retries that the daemon made because a server was draining.
async fn retries_for_leaving(daemon: &Daemon) -> u64 {
    let client = OperatorClient::default();
    let view: OutcomesView =
        client.view(daemon.operators_address(), "/control/outcomes").await.expect("view");
    let retries = view.classes.iter().flat_map(|class| &class.retries);
    retries.filter(|count| count.label == "leaving").map(|count| count.count).sum()
}

/// Number of backend servers that the daemon considers live.
async fn servers_live(daemon: &Daemon) -> u64 {
    let (_, text) =
        call(daemon.operators_address(), Method::GET, "/metrics", Bytes::new()).await.expect("metrics");
    let text = String::from_utf8(text.to_vec()).expect("text");
    let line = text.lines().find(|line| line.starts_with("hibiscusvale_backend_servers_live"));
    line.and_then(|line| line.rsplit(' ').next()).map_or(0, |value| value.parse().expect("value"))
}

/// An instance starts draining before the host list shows it. The first daemon that is rejected must notify the others;
/// otherwise each daemon would call the instance until the list catches up.
#[tokio::test(flavor = "multi_thread")]
async fn draining_server_found_by_one_daemon_gets_no_work_from_another() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let second = cluster.daemon_with_peers("entry-2", &[&first]).await;
    cluster.standins.plain[0].1.update_faults(&FaultUpdate { leaving: Some(true), ..FaultUpdate::default() });

    let caller = Caller::new(first.callers_address());
    while retries_for_leaving(&first).await == 0 {
        assert_eq!(page(&caller).await.outcome(), "answered");
    }
    let all = cluster.standins.addresses.backend_servers.iter().filter(|entry| entry.peer_address.is_none());
    let left = all.count() as u64 - 1;
    while servers_live(&second).await != left {
        tokio::task::yield_now().await;
    }
    let caller = Caller::new(second.callers_address());
    for _ in 0..CALLS {
        assert_eq!(page(&caller).await.outcome(), "answered");
    }
    assert_eq!(retries_for_leaving(&second).await, 0, "the draining server was called");
    stop(first).await;
    stop(second).await;
}
