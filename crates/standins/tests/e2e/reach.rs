//! A daemon that reaches no instance of a plain service while another daemon does.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hibiscusvale::daemon::{Daemon, ExternalSystems, new_incarnation};
use hibiscusvale_standins::hosts::{HostChange, HostEntry, HostState, Kind};
use hibiscusvale_standins::ports::free_address;
use http_body_util::Full;
use rstest::rstest;

use crate::cluster::{Answer, Caller, SMALL_PLAN, TestCluster, stop};

/// Time within which callers of the daemon have to be served.
const CONTACT: Duration = Duration::from_secs(3);

/// Mock servers of the list of the daemon that is cut off.
const LIST_PLAN: &str = r#"
    [[engines]]
    place = {name = "decode", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 1}
    settings = {role = "decode"}
"#;

/// Number of calls that have to be served in a row after that.
const CALLS: usize = 30;

fn host(id: &str, kind: Kind) -> HostEntry {
    HostEntry {
        id: id.to_owned(),
        kind,
        address: free_address().expect("address"),
        peer_address: None,
        data_centre: "casa-1".to_owned(),
        region: "ma-north".to_owned(),
        partner: Some("nadifa".to_owned()),
        state: HostState::Live,
        service: Some("booking".to_owned()),
        models: Vec::new(),
        role: None,
        slots_total: 8,
        checks_fencing: false,
        link_bytes_per_s: 0,
    }
}

/// A daemon whose list names instances at addresses that refuse connections, beside the daemon `other`.
async fn cut_off_daemon(cluster: &TestCluster, list: &TestCluster, other: &Daemon) -> Daemon {
    let instances = ["booking-7", "booking-8"].map(|id| host(id, Kind::Plain));
    let other = HostEntry {
        address: other.callers_address(),
        peer_address: Some(other.peer_address()),
        partner: None,
        service: None,
        ..host("entry-1", Kind::Entry)
    };
    let set = instances.into_iter().chain([other]).collect();
    list.standins.hosts.change(HostChange { set, remove: Vec::new() });
    let mut settings = cluster.settings("entry-2", &[]);
    settings.platform.hosts = list.standins.addresses.hosts;
    let incarnation = new_incarnation();
    let daemon = Daemon::start(&settings, ExternalSystems::new(&settings, incarnation), incarnation);
    let daemon = daemon.expect("daemon");
    daemon.ready().await;
    daemon
}

async fn call(caller: &Caller, method: &str) -> Answer {
    let request = caller.request(method, "/booking/week");
    caller.fetch(request.body(Full::new(Bytes::new())).expect("request")).await
}

/// Calls that may be repeated and calls that may not must be answered through the other daemon, each executed once.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_at_a_cut_off_daemon_are_answered(#[values("GET", "POST")] method: &str) {
    let (cluster, list) = (TestCluster::start(SMALL_PLAN).await, TestCluster::start(LIST_PLAN).await);
    let other = cluster.daemon("entry-1").await;
    let daemon = cut_off_daemon(&cluster, &list, &other).await;
    let caller = Caller::new(daemon.callers_address());
    let started_at = Instant::now();
    while call(&caller, method).await.outcome() != "answered" {
        assert!(started_at.elapsed() < CONTACT, "no call was answered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let executed = || cluster.standins.plain.iter().map(|(_, service)| service.ledger().len()).sum::<usize>();
    let before = executed();
    for number in 0..CALLS {
        let answer = call(&caller, method).await;
        assert_eq!(answer.outcome(), "answered", "call {number}: {}", answer.body);
    }
    assert_eq!(executed() - before, CALLS);
    stop(daemon).await;
    stop(other).await;
}
