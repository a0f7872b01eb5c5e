use std::sync::Arc;
use std::time::Duration;

use hibiscusvale::claims::{self, ClaimDecision, ClaimsCommand, ClaimsHandle};
use hibiscusvale::clock;
use hibiscusvale::kernel::{Kernel, ServiceName};
use hibiscusvale_core::claim::{BodyDigest, ClaimSettings, StoredAnswer};
use hibiscusvale_core::ids::{HostId, IdempotencyKey, Incarnation, PartnerId, RequestId};
use hibiscusvale_core::units::Millis;
use tokio_util::sync::CancellationToken;

use super::fake::{FakeLog, Fault, Network};

struct Node {
    host: HostId,
    incarnation: Incarnation,
    handle: ClaimsHandle,
    kernel: Kernel,
    stop: CancellationToken,
    sequence: std::cell::Cell<u64>,
}

impl Node {
    fn start(name: &str, life: u64, log: &FakeLog, network: &Network) -> Self {
        let host: HostId = name.parse().expect("name");
        let kernel = Kernel::default();
        let link = network.join(&host, kernel.clone());
        let stop = CancellationToken::new();
        let settings = ClaimSettings {
            begin_timeout_ms: Millis(500),
            peer_timeout_ms: Millis(50),
            append_interval_ms: Millis(5),
            ..ClaimSettings::default()
        };
        let incarnation = Incarnation(life.into());
        let handle = claims::start(
            &kernel,
            host.clone(),
            incarnation,
            settings,
            Arc::new(log.clone()),
            link,
            stop.clone(),
        )
        .expect("first of its name");
        Self { host, incarnation, handle, kernel, stop, sequence: std::cell::Cell::new(0) }
    }

    async fn know(&self, members: &[&Self]) {
        let members = members.iter().map(|node| node.host.clone()).collect();
        let inbox = self.kernel.find::<ClaimsCommand>(ServiceName::Claims).expect("service runs");
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

fn run(decision: ClaimDecision) -> claims::ClaimGuard {
    let ClaimDecision::Run(guard) = decision else { panic!("expected to run, got {decision:?}") };
    assert!(guard.may_start(clock::now()));
    guard
}

#[tokio::test]
async fn second_call_gets_the_first_answer() {
    let log = FakeLog::default();
    let node = Node::start("a", 1, &log, &Network::default());
    let guard = run(node.begin("nadifa", "k", "flat 3").await);
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
    run(node.begin("nadifa", "k", "flat 3").await).answered(None);
    let other = node.begin("nadifa", "k", "flat 4").await;
    assert!(matches!(other, ClaimDecision::OtherBody), "{other:?}");
    let gone = node.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(gone, ClaimDecision::AnswerGone), "{gone:?}");
}

#[tokio::test]
async fn two_partners_may_use_the_same_key() {
    let node = Node::start("a", 1, &FakeLog::default(), &Network::default());
    run(node.begin("nadifa", "k", "flat 3").await).answered(Some(answer("booked")));
    run(node.begin("registry", "k", "flat 3").await).answered(None);
}

/// The log is down. A caller with a key is refused at once and told when to come back; nothing ran, and the
/// same key works once the log is up.
#[tokio::test]
async fn log_outage_refuses_and_frees_the_key() {
    let log = FakeLog::default();
    let node = Node::start("a", 1, &log, &Network::default());
    log.set_fault(Fault::Down);
    let refused = node.begin("nadifa", "k", "flat 3").await;
    let ClaimDecision::Unavailable { retry_after_ms } = refused else { panic!("{refused:?}") };
    log.set_fault(Fault::None);
    tokio::time::sleep(Duration::from(retry_after_ms)).await;
    run(node.begin("nadifa", "k", "flat 3").await).not_run();
}

/// The log takes an append and its answer is lost. The caller notices nothing: the record is found by
/// reading, and the request runs once.
#[tokio::test]
async fn lost_append_answer_is_read_back() {
    let log = FakeLog::default();
    let node = Node::start("a", 1, &log, &Network::default());
    log.set_fault(Fault::LosesAnswers);
    run(node.begin("nadifa", "k", "flat 3").await).answered(None);
    assert_eq!(log.appends(), 1);
}

/// Appends vanish without a word. The caller is refused in time, and may come back with the same key.
#[tokio::test]
async fn lost_appends_end_in_a_refusal() {
    let log = FakeLog::default();
    let node = Node::start("a", 1, &log, &Network::default());
    log.set_fault(Fault::LosesAppends);
    let refused = node.begin("nadifa", "k", "flat 3").await;
    assert!(matches!(refused, ClaimDecision::Unavailable { .. }), "{refused:?}");
    log.set_fault(Fault::None);
    run(node.begin("nadifa", "k", "flat 3").await).answered(None);
}

/// A log that was set up anew is empty, and with it every claim is gone. A caller's retry must not run a
/// second time because of that; all are refused.
#[tokio::test]
async fn emptied_log_refuses() {
    let log = FakeLog::default();
    let network = Network::default();
    let a = Node::start("a", 1, &log, &network);
    for key in 0..200 {
        run(a.begin("nadifa", &format!("before-{key}"), "flat 3").await).not_run();
    }
    log.empty();
    let mut refused = 0;
    for key in 0..200 {
        match a.begin("nadifa", &format!("after-{key}"), "flat 3").await {
            ClaimDecision::Unavailable { .. } => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(refused, 200);
}

/// A caller retries at another host while the first still runs its request, and again when that has ended,
/// and again when the first host was killed and replaced.
#[tokio::test]
async fn retry_at_another_host_never_runs_again() {
    let log = FakeLog::default();
    let network = Network::default();
    let (a, b) = (Node::start("a", 1, &log, &network), Node::start("b", 2, &log, &network));
    for node in [&a, &b] {
        node.know(&[&a, &b]).await;
    }
    let guard = run(a.begin("nadifa", "k", "flat 3").await);
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

/// Two hosts are cut off from each other, though both reach the log. Each may claim through the log, and the
/// log's order lets one of them run.
#[tokio::test]
async fn cut_between_hosts_is_decided_by_the_log() {
    let log = FakeLog::default();
    let network = Network::default();
    let (a, b) = (Node::start("a", 1, &log, &network), Node::start("b", 2, &log, &network));
    for node in [&a, &b] {
        node.know(&[&a, &b]).await;
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

/// Many callers at once share appends: the log takes only several hundred a second in all.
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
