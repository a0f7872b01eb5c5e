use std::sync::Arc;
use std::time::Duration;

use hibiscusvale::claims::{self, ClaimDecision, ClaimsCommand, ClaimsHandle};
use hibiscusvale::clock;
use hibiscusvale::service_registry::{ServiceName, ServiceRegistry};
use hibiscusvale_core::claim::{BodyDigest, ClaimSettings, StoredAnswer};
use hibiscusvale_core::ids::{HostId, IdempotencyKey, Incarnation, PartnerId, RequestId};
use hibiscusvale_core::units::Millis;
use tokio_util::sync::CancellationToken;

use super::fake::{FakeLog, Fault, Network};

struct Node {
    host: HostId,
    incarnation: Incarnation,
    handle: ClaimsHandle,
    registry: ServiceRegistry,
    stop: CancellationToken,
    sequence: std::cell::Cell<u64>,
}

impl Node {
    fn start(name: &str, incarnation: u64, log: &FakeLog, network: &Network) -> Self {
        let host: HostId = name.parse().expect("name");
        let registry = ServiceRegistry::default();
        let link = network.join(&host, registry.clone());
        let stop = CancellationToken::new();
        let settings = ClaimSettings {
            begin_timeout_ms: Millis(500),
            peer_timeout_ms: Millis(50),
            append_interval_ms: Millis(5),
            ..ClaimSettings::default()
        };
        let incarnation = Incarnation(incarnation.into());
        let handle = claims::start(
            &registry,
            host.clone(),
            incarnation,
            settings,
            Arc::new(log.clone()),
            link,
            stop.clone(),
        )
        .expect("first of its name");
        Self { host, incarnation, handle, registry, stop, sequence: std::cell::Cell::new(0) }
    }

    async fn set_members(&self, members: &[&Self]) {
        let members = members.iter().map(|node| node.host.clone()).collect();
        let inbox = self.registry.find::<ClaimsCommand>(ServiceName::Claims).expect("service runs");
        inbox.send(ClaimsCommand::Members(members)).await.expect("service runs");
    }

    async fn begin(&self, partner: &str, key: &str, body: &str) -> ClaimDecision {
        self.sequence.set(self.sequence.get() + 1);
        let request = RequestId { incarnation: self.incarnation, sequence: self.sequence.get() };
        let partner: PartnerId = partner.parse().expect("partner");
        let key: IdempotencyKey = key.parse().expect("key");
        self.handle.begin(request, &partner, &key, BodyDigest::new("POST", "/book", body.as_bytes())).await
    }
}

fn answer(text: &str) -> StoredAnswer {
    StoredAnswer { status: 201, headers: Vec::new(), body: text.as_bytes().to_vec() }
}

fn expect_run(decision: ClaimDecision) -> claims::ClaimGuard {
    let ClaimDecision::Run(guard) = decision else { panic!("expected to run, got {decision:?}") };
    assert!(guard.may_start(clock::now()));
    guard
}

#[tokio::test]
async fn second_call_gets_the_first_answer() {
    let log = FakeLog::default();
    let node = Node::start("a", 1, &log, &Network::default());
    let guard = expect_run(node.begin("nadifa", "k", "flat 3").await);
    let second = node.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(second, ClaimDecision::InProgress), "{second:?}");
    guard.answered(Some(answer("booked")));
    let third = node.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(&third, ClaimDecision::Answered(kept) if **kept == answer("booked")), "{third:?}");
    assert_eq!(log.appends(), 1);
}

#[tokio::test]
async fn same_key_with_another_body_is_refused() {
    let node = Node::start("a", 1, &FakeLog::default(), &Network::default());
    expect_run(node.begin("nadifa", "k", "flat 3").await).answered(None);
    let other = node.begin("nadifa", "k", "flat 4").await;
    assert!(matches!(other, ClaimDecision::BodyMismatch), "{other:?}");
    let gone = node.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(gone, ClaimDecision::AnswerEvicted), "{gone:?}");
}

#[tokio::test]
async fn two_partners_may_use_the_same_key() {
    let node = Node::start("a", 1, &FakeLog::default(), &Network::default());
    expect_run(node.begin("nadifa", "k", "flat 3").await).answered(Some(answer("booked")));
    expect_run(node.begin("registry", "k", "flat 3").await).answered(None);
}

/// During a log outage, a request with a key is refused immediately with a retry time. Nothing has run, and the
/// same key works once the log is available.
#[tokio::test]
async fn log_outage_refuses_and_frees_the_key() {
    let log = FakeLog::default();
    let node = Node::start("a", 1, &log, &Network::default());
    log.set_fault(Fault::Down);
    let refused = node.begin("nadifa", "k", "flat 3").await;
    let ClaimDecision::Unavailable { retry_after_ms } = refused else { panic!("{refused:?}") };
    log.set_fault(Fault::None);
    tokio::time::sleep(Duration::from(retry_after_ms)).await;
    expect_run(node.begin("nadifa", "k", "flat 3").await).not_run();
}

/// The log appends a record but its response is lost. The record is found by reading back, and the request runs
/// once without the caller noticing.
#[tokio::test]
async fn lost_append_response_is_read_back() {
    let log = FakeLog::default();
    let node = Node::start("a", 1, &log, &Network::default());
    log.set_fault(Fault::LosesResponses);
    expect_run(node.begin("nadifa", "k", "flat 3").await).answered(None);
    assert_eq!(log.appends(), 1);
}

/// Appends are lost without a response. The caller is refused in time and may retry with the same key.
#[tokio::test]
async fn lost_appends_end_in_a_refusal() {
    let log = FakeLog::default();
    let node = Node::start("a", 1, &log, &Network::default());
    log.set_fault(Fault::LosesAppends);
    let refused = node.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(refused, ClaimDecision::Unavailable { .. }), "{refused:?}");
    log.set_fault(Fault::None);
    expect_run(node.begin("nadifa", "k", "flat 3").await).answered(None);
}

/// A reset log is empty, and all claims are lost. A retry must not run a second time because of that, so all
/// requests are refused.
#[tokio::test]
async fn reset_log_refuses_all_claims() {
    let log = FakeLog::default();
    let network = Network::default();
    let a = Node::start("a", 1, &log, &network);
    for key in 0..200 {
        expect_run(a.begin("nadifa", &format!("before-{key}"), "flat 3").await).not_run();
    }
    log.reset();
    let mut refused = 0;
    for key in 0..200 {
        match a.begin("nadifa", &format!("after-{key}"), "flat 3").await {
            ClaimDecision::Unavailable { .. } => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(refused, 200);
}

/// A caller retries at another host: while the first host still runs the request, after the request has ended, and
/// after the first host was killed and replaced.
#[tokio::test]
async fn retry_at_another_host_never_runs_again() {
    let log = FakeLog::default();
    let network = Network::default();
    let (a, b) = (Node::start("a", 1, &log, &network), Node::start("b", 2, &log, &network));
    for node in [&a, &b] {
        node.set_members(&[&a, &b]).await;
    }
    let guard = expect_run(a.begin("nadifa", "k", "flat 3").await);
    let during = b.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(during, ClaimDecision::InProgress), "{during:?}");
    guard.answered(Some(answer("booked")));
    tokio::task::yield_now().await;
    let after = b.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(&after, ClaimDecision::Answered(kept) if **kept == answer("booked")), "{after:?}");
    a.stop.cancel();
    let replaced = Node::start("a", 3, &log, &network);
    let late = b.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(late, ClaimDecision::Unknown), "{late:?}");
    let late = replaced.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(late, ClaimDecision::Unknown), "{late:?}");
}

/// Two hosts are cut off from each other, but both reach the log. Both may append a claim, and the log's order
/// decides which one runs.
#[tokio::test]
async fn claims_across_a_partition_are_decided_by_the_log() {
    let log = FakeLog::default();
    let network = Network::default();
    let (a, b) = (Node::start("a", 1, &log, &network), Node::start("b", 2, &log, &network));
    for node in [&a, &b] {
        node.set_members(&[&a, &b]).await;
    }
    network.cut(&a.host);
    log.set_latency(Duration::from_millis(5));
    for key in 0..20 {
        let key = format!("k{key}");
        let (first, second) = tokio::join!(a.begin("nadifa", &key, "x"), b.begin("nadifa", &key, "x"));
        let ran = [&first, &second].into_iter().filter(|d| matches!(d, ClaimDecision::Run(_))).count();
        let unknown = [&first, &second].into_iter().filter(|d| matches!(d, ClaimDecision::Unknown)).count();
        assert_eq!((ran, unknown), (1, 1), "{first:?} {second:?}");
    }
}

/// Concurrent claims share appends: the log accepts only several hundred appends per second in total.
#[tokio::test]
async fn claims_are_appended_in_groups() {
    let log = FakeLog::default();
    log.set_latency(Duration::from_millis(10));
    let node = Node::start("a", 1, &log, &Network::default());
    let keys: Vec<String> = (0..500).map(|key| format!("k{key}")).collect();
    let begun = futures_util::future::join_all(keys.iter().map(|key| node.begin("nadifa", key, "x"))).await;
    assert!(begun.iter().all(|decision| matches!(decision, ClaimDecision::Run(_))));
    assert!(log.appends() <= 100, "{} appends for 500 claims", log.appends());
}
