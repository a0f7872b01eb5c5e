//! The load generator must detect lost, duplicated and falsely reported requests; each proxy here causes one of these.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_standins::http::{Body, Handler, serve, with_body};
use hibiscusvale_standins::load::audit::Audit;
use hibiscusvale_standins::load::caller::send_all;
use hibiscusvale_standins::load::report::Report;
use hibiscusvale_standins::load::settings::{Entry, Flow, FlowKind, LoadPlan};
use hibiscusvale_standins::text::expected_answer;
use hibiscusvale_standins::{Faults, PlainHandle, PlainService, PlainSettings};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use serde_json::{Value, json};

#[derive(Clone, Copy, Debug)]
enum ProxyFault {
    NoFault,
    ExecutesTwice,
    ReportsExecutedAsNotRun,
    AnswersWithoutExecuting,
    TruncatesAnswer,
    DuplicatesToken,
    OmitsOutcome,
    RefusesClass,
}

struct FaultyProxy {
    fault: ProxyFault,
    service: SocketAddr,
}

fn answer(outcome: &'static str, body: Bytes) -> Response<Body> {
    let mut response = with_body(StatusCode::OK, body);
    response.headers_mut().insert("x-outcome", HeaderValue::from_static(outcome));
    response.headers_mut().insert("x-request-id", HeaderValue::from_static("1-1"));
    response
}

fn unknown_class() -> Response<Body> {
    let problem = json!({"type": "urn:hibiscusvale:refusal:unknown-class"});
    let mut response = answer("not-run", problem.to_string().into());
    *response.status_mut() = StatusCode::FORBIDDEN;
    response
}

impl FaultyProxy {
    async fn forward(&self, request: Request<Incoming>) -> Bytes {
        let (mut parts, body) = request.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        parts.uri = format!("http://{}{}", self.service, parts.uri.path()).parse().unwrap();
        parts.headers.insert("x-request-id", HeaderValue::from_static("1-1"));
        let client = Client::builder(TokioExecutor::new()).build_http();
        let times = if matches!(self.fault, ProxyFault::ExecutesTwice) { 2 } else { 1 };
        let mut last = Bytes::new();
        for _ in 0..times {
            let request = Request::from_parts(parts.clone(), Full::new(body.clone()));
            last = client.request(request).await.unwrap().collect().await.unwrap().to_bytes();
        }
        last
    }

    async fn plain(&self, request: Request<Incoming>) -> Response<Body> {
        match self.fault {
            ProxyFault::AnswersWithoutExecuting => answer("answered", Bytes::from_static(b"{}")),
            ProxyFault::ReportsExecutedAsNotRun => {
                self.forward(request).await;
                answer("not-run", Bytes::new())
            }
            ProxyFault::OmitsOutcome => with_body(StatusCode::OK, self.forward(request).await),
            _ => answer("answered", self.forward(request).await),
        }
    }

    async fn completion(&self, request: Request<Incoming>) -> Response<Body> {
        let body = request.into_body().collect().await.unwrap().to_bytes();
        let asked: Value = serde_json::from_slice(&body).unwrap();
        let tokens = usize::try_from(asked["max_tokens"].as_u64().unwrap()).unwrap();
        let mut text = expected_answer(asked["prompt"].as_str().unwrap(), tokens);
        match self.fault {
            ProxyFault::TruncatesAnswer => text.truncate(text.len() - 4),
            ProxyFault::DuplicatesToken => {
                let last = text[text.len() - 4..].to_owned();
                text.push_str(&last);
            }
            _ => {}
        }
        let event = json!({"choices": [{"text": text}]});
        answer("answered", format!("data: {event}\n\ndata: [DONE]\n\n").into())
    }
}

impl Handler for FaultyProxy {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            if matches!(self.fault, ProxyFault::RefusesClass) {
                unknown_class()
            } else if request.uri().path() == "/v1/completions" {
                self.completion(request).await
            } else {
                self.plain(request).await
            }
        })
    }
}

async fn report(fault: ProxyFault) -> (Report, PlainHandle) {
    let service = PlainService::start(PlainSettings::default()).await.unwrap();
    let server = Arc::new(FaultyProxy { fault, service: service.address });
    let address = "127.0.0.1:0".parse().unwrap();
    let daemon = serve(address, server, Arc::new(Faults::default())).await.unwrap();
    let flow = |kind| Flow {
        kind,
        partner: "nadifa".to_owned(),
        class: "any".to_owned(),
        rate_per_s: 1_000.0,
        count: 1,
        path: "/book".to_owned(),
        ..Flow::default()
    };
    let plan = LoadPlan {
        seed: 1,
        daemons: vec![Entry { callers: daemon, operators: None }],
        flows: vec![flow(FlowKind::Once), flow(FlowKind::Completion)],
    };
    let records = send_all(&plan).await;
    let mut audit = Audit::default();
    audit.add_ledger(service.ledger());
    (Report::new(&plan, &records, &audit), service)
}

#[rstest]
#[case::no_fault(ProxyFault::NoFault, (0, 0), 0)]
#[case::executes_twice(ProxyFault::ExecutesTwice, (0, 0), 1)]
#[case::reports_executed_as_not_run(ProxyFault::ReportsExecutedAsNotRun, (0, 0), 1)]
#[case::answers_without_executing(ProxyFault::AnswersWithoutExecuting, (1, 0), 0)]
#[case::truncates_answer(ProxyFault::TruncatesAnswer, (0, 1), 0)]
#[case::duplicates_token(ProxyFault::DuplicatesToken, (0, 1), 0)]
#[case::omits_outcome(ProxyFault::OmitsOutcome, (1, 0), 0)]
#[tokio::test]
async fn fault_is_detected(#[case] fault: ProxyFault, #[case] lost: (usize, usize), #[case] doubled: usize) {
    let (report, _service) = report(fault).await;
    let (once, completion) = (&report.rows[0], &report.rows[1]);
    assert_eq!((once.lost, completion.lost), lost, "{report}");
    assert_eq!(once.doubled, doubled, "{report}");
    assert_eq!(report.clean, lost == (0, 0) && doubled == 0);
    assert_eq!(once.first_token.p50_ms > 0.0, once.answered > 0);
}

/// All requests are refused because they reached a daemon that does not know their class. Each has a true outcome, but
/// the run must not pass.
#[tokio::test]
async fn requests_refused_as_wrong_are_detected() {
    let (report, _service) = report(ProxyFault::RefusesClass).await;
    assert_eq!(report.rows.iter().map(|row| row.not_run).sum::<usize>(), 2, "{report}");
    assert!(!report.clean, "{report}");
}
