//! Configuration of real daemons while the log is unavailable or partitioned.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscusvale::daemon::{Daemon, ExternalSystems, new_incarnation};
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{ConfigView, StatusView, TargetView};
use hibiscusvale_core::config::{ClassTarget, Record};
use hibiscusvale_core::units::Millis;
use hibiscusvale_standins::control::FaultUpdate;

use crate::cluster::{Caller, SMALL_PLAN, TestCluster, stop, streamed_text};

const PROMPT: &str = "The glider came back with a loose canopy latch.";

/// Timeout of each wait. The required bound is seconds; the margin avoids false failures on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn outage(is_down: bool) -> FaultUpdate {
    FaultUpdate { outage: Some(is_down), ..FaultUpdate::default() }
}

/// Waits until the daemon's class `booking` has the target `response_ms`.
async fn wait_in_force(daemon: &Daemon, response_ms: u64) {
    let client = OperatorClient::default();
    let wanted = TargetView::Plain { response_ms: Millis(response_ms) };
    let seen = async {
        loop {
            let view: ConfigView = client
                .view(daemon.operators_address(), "/control/config?partner=nadifa")
                .await
                .expect("a view");
            let mut classes = view.partners.iter().flat_map(|partner| &partner.classes);
            if classes.any(|class| class.class.as_str() == "booking" && class.target == wanted) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let seen = tokio::time::timeout(WAIT_TIMEOUT, seen).await;
    assert_eq!(seen, Ok(()), "not in force in time");
}

async fn status(address: SocketAddr) -> StatusView {
    OperatorClient::default().view(address, "/control/status").await.expect("a view")
}

async fn assert_serves(daemon: &Daemon) {
    let answer = Caller::new(daemon.callers_address()).complete(PROMPT, 8, true).await;
    assert!(streamed_text(&answer.body).is_some(), "{} {}", answer.status, answer.body);
}

/// All hosts are replaced one by one during a log outage, as in a rolling replacement within a day. Each new daemon
/// must copy the classes from a live one; otherwise ever more hosts would reject callers with an unknown class. Once
/// the log is back and all its records have expired, the daemons must write a checkpoint, so that a host can start
/// from the log alone.
#[tokio::test(flavor = "multi_thread")]
async fn classes_survive_replacement_of_all_hosts_during_log_outage() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let mut oldest = cluster.daemon("entry-1").await;
    cluster.standins.log.update_faults(&outage(true));
    for host in ["entry-2", "entry-3"] {
        let replacement = cluster.daemon_with_peers(host, &[&oldest]).await;
        stop(oldest).await;
        assert_serves(&replacement).await;
        oldest = replacement;
    }
    let records = cluster.standins.log.records("config").len();
    cluster.standins.log.expire("config", records);
    cluster.standins.log.update_faults(&outage(false));
    let written = async {
        while !has_checkpoint(&cluster) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert_eq!(tokio::time::timeout(WAIT_TIMEOUT, written).await, Ok(()), "no checkpoint in time");
    stop(oldest).await;

    let alone = cluster.daemon("entry-4").await;
    assert_serves(&alone).await;
    stop(alone).await;
}

fn has_checkpoint(cluster: &TestCluster) -> bool {
    let records = cluster.standins.log.records("config");
    let is_checkpoint = |bytes: &[u8]| matches!(Record::decode(bytes), Ok(Record::Checkpoint(_)));
    records.iter().any(|(_, bytes)| is_checkpoint(bytes))
}

/// One host is partitioned from the log but still reaches the other daemons. A change must take effect there, too;
/// otherwise the outcome of a request would depend on the host that the balancer picks.
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_daemon_partitioned_from_log() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let partitioned_log =
        cluster.standins.log.serve_at("127.0.0.1:0".parse().expect("an address")).await.expect("a log");
    partitioned_log.update_faults(&FaultUpdate { mute: Some(true), ..FaultUpdate::default() });
    let mut settings = cluster.settings("entry-2", &[first.peer_address()]);
    settings.platform.log = partitioned_log.address;
    let incarnation = new_incarnation();
    let second =
        Daemon::start(&settings, ExternalSystems::new(&settings, incarnation), incarnation).expect("daemon");
    second.ready().await;
    cluster.publish("booking", ClassTarget::plain(Millis(777))).await;
    wait_in_force(&first, 777).await;
    wait_in_force(&second, 777).await;
    let (first_status, second_status) =
        (status(first.operators_address()).await, status(second.operators_address()).await);
    assert_eq!(first_status.state, second_status.state, "the same classes at the same offset");
    stop(second).await;
    stop(first).await;
}
