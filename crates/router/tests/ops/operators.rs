//! Tests of the operator API.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale::backend::{BackendHttp, ConnectionReuse, read_body, uri};
use hibiscusvale::metrics::{Gauge, Label, Metrics};
use hibiscusvale::operators::views::{
    ConfigView, LogStateView, MembersListView, OutcomesView, RequestView, StatusView, TargetView, VerdictView,
};
use hibiscusvale::operators::{
    OperatorClient, OperatorClientError, OperatorListener, OperatorSources, Readiness, RecentRequests,
    RequestRecord, RequestStep,
};
use hibiscusvale::settings::HostSettings;
use hibiscusvale_core::ids::{Incarnation, RequestId};
use hibiscusvale_core::units::Millis;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use tokio_util::sync::CancellationToken;

use crate::config::{Host, change, host_id, nadifa, only_member, start, summary};
use crate::memory_log::MemoryLog;

#[derive(Clone, Copy)]
struct Answered;

impl Label for Answered {
    fn label(self) -> &'static str {
        "answered"
    }
}

struct TestServer {
    address: SocketAddr,
    sources: OperatorSources,
    log: MemoryLog,
    host: Host,
}

fn start_server() -> TestServer {
    let log = MemoryLog::new();
    let host = start(&log, false);
    let sources = OperatorSources {
        host: HostSettings {
            id: host_id(),
            data_centre: "casablanca-1".parse().expect("a data centre"),
            region: "ma-north".parse().expect("a region"),
        },
        incarnation: Incarnation(5),
        config: host.handle.clone(),
        metrics: Metrics::new().expect("metrics"),
        members: Arc::new(ArcSwap::from_pointee(only_member())),
        recent: Arc::new(RecentRequests::new(2)),
        readiness: Arc::new(Readiness::new(host.handle.is_ready.clone())),
    };
    let listener = OperatorListener::bind("127.0.0.1:0".parse().expect("an address")).expect("a socket");
    let address = listener.address().expect("an address");
    tokio::spawn(listener.serve(sources.clone(), CancellationToken::new()));
    TestServer { address, sources, log, host }
}

struct HttpReply {
    status: StatusCode,
    text: String,
}

async fn call(address: SocketAddr, method: Method, path: &str) -> HttpReply {
    let request = Request::builder()
        .method(method)
        .uri(uri(address, path).expect("a path"))
        .body(Full::default())
        .expect("a request");
    let timeout = std::time::Duration::from_secs(5);
    let response =
        BackendHttp::new().send(ConnectionReuse::Fresh, request, timeout).await.expect("an answer");
    let status = response.status();
    let body = read_body(response.into_body(), 1 << 20, timeout).await.expect("a body");
    HttpReply { status, text: String::from_utf8_lossy(&body).into_owned() }
}

/// The load balancer must not send callers to a daemon that has no configuration or host list yet, or that is draining,
/// because every request would be refused. The liveness check succeeds all the time.
#[tokio::test]
async fn readiness_depends_on_configuration_host_list_and_draining() {
    let mut server = start_server();
    let state = async || call(server.address, Method::GET, "/readyz").await;
    let first = state().await;
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(first.text, "configuration is not known yet");
    server.log.push(change(1, None, 9_000));
    server.host.wait_until_ready().await;
    assert_eq!(state().await.text, "host list is not known yet");
    server.sources.readiness.set_host_list_known();
    assert_eq!(state().await.status, StatusCode::OK);
    server.sources.readiness.start_draining();
    assert_eq!(state().await.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(call(server.address, Method::GET, "/healthz").await.status, StatusCode::OK);
}

#[tokio::test]
async fn views_show_configuration_history_status_and_members() {
    let mut server = start_server();
    server.log.push(change(1, None, 9_000));
    server.log.push(change(2, None, 7_000));
    server.host.wait_for_offset(2).await;
    let client = OperatorClient::default();
    let view: ConfigView =
        client.view(server.address, "/control/config?partner=nadifa").await.expect("a view");
    let partner = &view.partners[0];
    assert_eq!((&partner.partner, partner.classes[0].class.clone()), (&nadifa(), summary()));
    let target = TargetView::Language { first_token_ms: Millis(9_000), per_token_ms: Millis(31) };
    assert_eq!(partner.classes[0].target, target);
    assert_eq!(partner.history[0].verdict, VerdictView::Accepted);
    assert!(
        matches!(&partner.history[1].verdict, VerdictView::Rejected { reason, .. } if reason == "conflict")
    );
    let other_view: ConfigView =
        client.view(server.address, "/control/config?partner=registry").await.expect("a view");
    assert!(other_view.partners.is_empty());
    let status: StatusView = client.view(server.address, "/control/status").await.expect("a view");
    assert_eq!((status.next_offset.0, status.log, status.is_reader), (2, LogStateView::CaughtUp, true));
    let members: MembersListView = client.view(server.address, "/control/members").await.expect("a view");
    assert_eq!(members.members[0].state, "live");
}

#[tokio::test]
async fn view_and_scrape_report_equal_counters() {
    let server = start_server();
    server.sources.metrics.class(&nadifa(), &summary()).record_outcome(Answered);
    server.sources.metrics.set(Gauge::RequestsInFlight, 3);
    let client = OperatorClient::default();
    let view: OutcomesView = client.view(server.address, "/control/outcomes").await.expect("a view");
    assert_eq!(view.classes[0].outcomes[0].count, 1);
    let scraped = call(server.address, Method::GET, "/metrics").await.text;
    let line = r#"hibiscusvale_requests_total{class="summary",outcome="answered",partner="nadifa"} 1"#;
    assert!(scraped.contains(line), "{scraped}");
    assert!(scraped.contains("hibiscusvale_requests_in_flight 3"), "{scraped}");
}

/// A recent request can be looked up by its id. An evicted one must be reported as not found instead of returning
/// another record.
#[tokio::test]
async fn request_is_found_until_evicted() {
    let server = start_server();
    let id = |sequence| RequestId { incarnation: Incarnation(5), sequence };
    for sequence in 0..3 {
        server.sources.recent.insert(RequestRecord {
            request_id: id(sequence),
            partner: Some(nadifa()),
            class: Some(summary()),
            outcome: "not-run",
            refusal: Some("queue-full"),
            came_at_unix_ms: 1,
            took_ms: Millis(4),
            steps: vec![RequestStep { after_ms: Millis(1), what: "queued", server: None }],
        });
    }
    let client = OperatorClient::default();
    let path = format!("/control/why/{}", id(2));
    let view: RequestView = client.view(server.address, &path).await.expect("a view");
    assert_eq!((view.outcome.as_str(), view.refusal.as_deref()), ("not-run", Some("queue-full")));
    let evicted = format!("/control/why/{}", id(0));
    let missing = client.view::<RequestView>(server.address, &evicted).await;
    assert_eq!(missing, Err(OperatorClientError::NotFound));
    assert_eq!(call(server.address, Method::GET, "/control/why/x").await.status, StatusCode::BAD_REQUEST);
}

/// Requests with unsupported methods, unknown paths or invalid parameters get the matching HTTP status.
#[tokio::test]
async fn rejects_unsupported_methods_and_paths() {
    let server = start_server();
    assert_eq!(call(server.address, Method::POST, "/healthz").await.status, StatusCode::METHOD_NOT_ALLOWED);
    assert_eq!(call(server.address, Method::GET, "/").await.status, StatusCode::NOT_FOUND);
    let bad = call(server.address, Method::GET, "/control/config?partner=a%20b").await;
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
}
