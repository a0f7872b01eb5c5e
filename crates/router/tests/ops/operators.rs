//! The operators' edge.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale::backend::{BackendHttp, ConnectionReuse, read_body, uri};
use hibiscusvale::metrics::{Gauge, Label, Metrics};
use hibiscusvale::operators::views::{
    ConfigView, LogStateView, MembersListView, OutcomesView, RequestView, StatusView, TargetView, VerdictView,
};
use hibiscusvale::operators::{
    OperatorListener, OperatorsClient, OperatorsFailure, OperatorsParts, Readiness, RecentRequests,
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

struct Served {
    address: SocketAddr,
    parts: OperatorsParts,
    log: MemoryLog,
    host: Host,
}

fn served() -> Served {
    let log = MemoryLog::new();
    let host = start(&log, false);
    let parts = OperatorsParts {
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
    tokio::spawn(listener.serve(parts.clone(), CancellationToken::new()));
    Served { address, parts, log, host }
}

struct Reply {
    status: StatusCode,
    text: String,
}

async fn call(address: SocketAddr, method: Method, path: &str) -> Reply {
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
    Reply { status, text: String::from_utf8_lossy(&body).into_owned() }
}

/// The balancer must not send callers to a daemon that knows no classes or no servers yet, or that is stopping:
/// each of them would be refused. The process itself is healthy all the while.
#[tokio::test]
async fn readiness_follows_configuration_hosts_and_draining() {
    let mut served = served();
    let state = async || call(served.address, Method::GET, "/readyz").await;
    let first = state().await;
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(first.text, "configuration is not known yet");
    served.log.push(change(1, None, 9_000));
    served.host.ready().await;
    assert_eq!(state().await.text, "host list is not known yet");
    served.parts.readiness.host_list_known();
    assert_eq!(state().await.status, StatusCode::OK);
    served.parts.readiness.drain();
    assert_eq!(state().await.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(call(served.address, Method::GET, "/healthz").await.status, StatusCode::OK);
}

#[tokio::test]
async fn the_views_tell_what_is_in_force_and_who_changed_it() {
    let mut served = served();
    served.log.push(change(1, None, 9_000));
    served.log.push(change(2, None, 7_000));
    served.host.reached(2).await;
    let client = OperatorsClient::default();
    let view: ConfigView =
        client.view(served.address, "/control/config?partner=nadifa").await.expect("a view");
    let partner = &view.partners[0];
    assert_eq!((&partner.partner, partner.classes[0].class.clone()), (&nadifa(), summary()));
    let target = TargetView::Language { first_token_ms: Millis(9_000), per_token_ms: Millis(31) };
    assert_eq!(partner.classes[0].target, target);
    assert_eq!(partner.history[0].verdict, VerdictView::Accepted);
    assert!(
        matches!(&partner.history[1].verdict, VerdictView::Rejected { reason, .. } if reason == "conflict")
    );
    let other: ConfigView =
        client.view(served.address, "/control/config?partner=registry").await.expect("a view");
    assert!(other.partners.is_empty());
    let status: StatusView = client.view(served.address, "/control/status").await.expect("a view");
    assert_eq!((status.next_offset.0, status.log, status.is_reader), (2, LogStateView::CaughtUp, true));
    let members: MembersListView = client.view(served.address, "/control/members").await.expect("a view");
    assert_eq!(members.members[0].state, "live");
}

#[tokio::test]
async fn counters_are_the_same_in_the_view_and_the_scrape() {
    let served = served();
    served.parts.metrics.class(&nadifa(), &summary()).finished(Answered);
    served.parts.metrics.set(Gauge::RequestsInFlight, 3);
    let client = OperatorsClient::default();
    let view: OutcomesView = client.view(served.address, "/control/outcomes").await.expect("a view");
    assert_eq!(view.classes[0].outcomes[0].count, 1);
    let scraped = call(served.address, Method::GET, "/metrics").await.text;
    let line = r#"hibiscusvale_requests_total{class="summary",outcome="answered",partner="nadifa"} 1"#;
    assert!(scraped.contains(line), "{scraped}");
    assert!(scraped.contains("hibiscusvale_requests_in_flight 3"), "{scraped}");
}

/// A supervisor asks what became of a summary. The latest requests are remembered, and older ones are honestly
/// not known rather than guessed at.
#[tokio::test]
async fn a_request_is_explained_while_it_is_remembered() {
    let served = served();
    let id = |sequence| RequestId { incarnation: Incarnation(5), sequence };
    for sequence in 0..3 {
        served.parts.recent.note(RequestRecord {
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
    let client = OperatorsClient::default();
    let path = format!("/control/why/{}", id(2));
    let view: RequestView = client.view(served.address, &path).await.expect("a view");
    assert_eq!((view.outcome.as_str(), view.refusal.as_deref()), ("not-run", Some("queue-full")));
    let forgotten = format!("/control/why/{}", id(0));
    let missing = client.view::<RequestView>(served.address, &forgotten).await;
    assert_eq!(missing, Err(OperatorsFailure::NotFound));
    assert_eq!(call(served.address, Method::GET, "/control/why/x").await.status, StatusCode::BAD_REQUEST);
}

/// Scripts point wrong methods and paths at the operators' address.
#[tokio::test]
async fn other_methods_and_paths_are_refused() {
    let served = served();
    assert_eq!(call(served.address, Method::POST, "/healthz").await.status, StatusCode::METHOD_NOT_ALLOWED);
    assert_eq!(call(served.address, Method::GET, "/").await.status, StatusCode::NOT_FOUND);
    let bad = call(served.address, Method::GET, "/control/config?partner=a%20b").await;
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
}
