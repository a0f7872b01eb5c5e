//! Configuration on real daemons, with the log gone or cut off.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscusvale::daemon::{Daemon, ExternalSystems, new_incarnation};
use hibiscusvale::operators::OperatorClient;
use hibiscusvale::operators::views::{ConfigView, StatusView, TargetView};
use hibiscusvale_core::config::{ClassTarget, Record};
use hibiscusvale_core::units::Millis;
use hibiscusvale_standins::control::Steer;

use crate::world::{Caller, SMALL_PLAN, World, stop, streamed_text};

const PROMPT: &str = "The glider came back with a loose canopy latch.";

/// How long anything may take before the test gives up. The bound of the brief is seconds; a busy machine must
/// not fail the test.
const PATIENCE: Duration = Duration::from_mins(1);

const PAUSE: Duration = Duration::from_millis(50);

fn outage(is_down: bool) -> Steer {
    Steer { outage: Some(is_down), ..Steer::default() }
}

/// Waits until the class `booking` has this target on the daemon.
async fn in_force(daemon: &Daemon, response_ms: u64) {
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
            tokio::time::sleep(PAUSE).await;
        }
    };
    let seen = tokio::time::timeout(PATIENCE, seen).await;
    assert_eq!(seen, Ok(()), "not in force in time");
}

async fn status(address: SocketAddr) -> StatusView {
    OperatorClient::default().view(address, "/control/status").await.expect("a view")
}

async fn assert_serves(daemon: &Daemon) {
    let answer = Caller::new(daemon.callers_address()).complete(PROMPT, 8, true).await;
    assert!(streamed_text(&answer.body).is_some(), "{} {}", answer.status, answer.body);
}

/// The log is down, and all hosts are replaced one after another meanwhile, as happens within any day. Each new
/// one takes the classes from a daemon that still lives. Without that, callers would hear from more and more
/// hosts that their class does not exist. When the log is back and all its records have expired, the daemons
/// write the state down, so that a host can start from the log alone again.
#[tokio::test(flavor = "multi_thread")]
async fn classes_outlive_a_log_outage_in_which_every_host_is_replaced() {
    let world = World::start(SMALL_PLAN).await;
    let mut eldest = world.daemon("entry-1").await;
    world.standins.log.steer(&outage(true));
    for host in ["entry-2", "entry-3"] {
        let replacement = world.daemon_beside(host, &[&eldest]).await;
        stop(eldest).await;
        assert_serves(&replacement).await;
        eldest = replacement;
    }
    let records = world.standins.log.records("config").len();
    world.standins.log.expire("config", records);
    world.standins.log.steer(&outage(false));
    let written = async {
        while !has_checkpoint(&world) {
            tokio::time::sleep(PAUSE).await;
        }
    };
    assert_eq!(tokio::time::timeout(PATIENCE, written).await, Ok(()), "no checkpoint in time");
    stop(eldest).await;

    let alone = world.daemon("entry-4").await;
    assert_serves(&alone).await;
    stop(alone).await;
}

fn has_checkpoint(world: &World) -> bool {
    let records = world.standins.log.records("config");
    let is_checkpoint = |bytes: &[u8]| matches!(Record::decode(bytes), Ok(Record::Checkpoint(_)));
    records.iter().any(|(_, bytes)| is_checkpoint(bytes))
}

/// One host's way to the log is cut while its way to the other daemons works. A change must come into force there
/// too; otherwise what a caller gets would depend on the host that the balancer picks.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_a_daemon_that_is_cut_off_from_the_log() {
    let world = World::start(SMALL_PLAN).await;
    let first = world.daemon("entry-1").await;
    let cut = world.standins.log.share("127.0.0.1:0".parse().expect("an address")).await.expect("a log");
    cut.steer(&Steer { mute: Some(true), ..Steer::default() });
    let mut settings = world.settings("entry-2", &[first.peer_address()]);
    settings.platform.log = cut.address;
    let incarnation = new_incarnation();
    let second =
        Daemon::start(&settings, ExternalSystems::new(&settings, incarnation), incarnation).expect("daemon");
    second.ready().await;
    world.publish("booking", ClassTarget::plain(Millis(777))).await;
    in_force(&first, 777).await;
    in_force(&second, 777).await;
    let (first_status, second_status) =
        (status(first.operators_address()).await, status(second.operators_address()).await);
    assert_eq!(first_status.state, second_status.state, "the same classes at the same offset");
    stop(second).await;
    stop(first).await;
}
