//! The load tool must notice a front that loses, doubles or lies; each front here does one of these.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_standins::http::{Body, Handler, serve, whole};
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
enum Front {
    Honest,
    RunsTwice,
    DeniesWhatRan,
    AnswersWithoutRunning,
    CutsTheAnswerShort,
    DoublesAToken,
    NamesNoOutcome,
}

struct Server {
    front: Front,
    service: SocketAddr,
}

fn answer(outcome: &'static str, body: Bytes) -> Response<Body> {
    let mut response = whole(StatusCode::OK, body);
    response.headers_mut().insert("x-outcome", HeaderValue::from_static(outcome));
    response.headers_mut().insert("x-request-id", HeaderValue::from_static("1-1"));
    response
}

impl Server {
    async fn forward(&self, request: Request<Incoming>) -> Bytes {
        let (mut parts, body) = request.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        parts.uri = format!("http://{}{}", self.service, parts.uri.path()).parse().unwrap();
        parts.headers.insert("x-request-id", HeaderValue::from_static("1-1"));
        let client = Client::builder(TokioExecutor::new()).build_http();
        let times = if matches!(self.front, Front::RunsTwice) { 2 } else { 1 };
        let mut last = Bytes::new();
        for _ in 0..times {
            let request = Request::from_parts(parts.clone(), Full::new(body.clone()));
            last = client.request(request).await.unwrap().collect().await.unwrap().to_bytes();
        }
        last
    }

    async fn plain(&self, request: Request<Incoming>) -> Response<Body> {
        match self.front {
            Front::AnswersWithoutRunning => answer("answered", Bytes::from_static(b"{}")),
            Front::DeniesWhatRan => {
                self.forward(request).await;
                answer("not-run", Bytes::new())
            }
            Front::NamesNoOutcome => whole(StatusCode::OK, self.forward(request).await),
            _ => answer("answered", self.forward(request).await),
        }
    }

    async fn completion(&self, request: Request<Incoming>) -> Response<Body> {
        let body = request.into_body().collect().await.unwrap().to_bytes();
        let asked: Value = serde_json::from_slice(&body).unwrap();
        let tokens = usize::try_from(asked["max_tokens"].as_u64().unwrap()).unwrap();
        let mut text = expected_answer(asked["prompt"].as_str().unwrap(), tokens);
        match self.front {
            Front::CutsTheAnswerShort => text.truncate(text.len() - 4),
            Front::DoublesAToken => {
                let last = text[text.len() - 4..].to_owned();
                text.push_str(&last);
            }
            _ => {}
        }
        let event = json!({"choices": [{"text": text}]});
        answer("answered", format!("data: {event}\n\ndata: [DONE]\n\n").into())
    }
}

impl Handler for Server {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            if request.uri().path() == "/v1/completions" {
                self.completion(request).await
            } else {
                self.plain(request).await
            }
        })
    }
}

async fn report(front: Front) -> (Report, PlainHandle) {
    let service = PlainService::start(PlainSettings::default()).await.unwrap();
    let server = Arc::new(Server { front, service: service.address });
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
#[case::honest(Front::Honest, (0, 0), 0)]
#[case::runs_twice(Front::RunsTwice, (0, 0), 1)]
#[case::denies_what_ran(Front::DeniesWhatRan, (0, 0), 1)]
#[case::answers_without_running(Front::AnswersWithoutRunning, (1, 0), 0)]
#[case::cuts_the_answer_short(Front::CutsTheAnswerShort, (0, 1), 0)]
#[case::doubles_a_token(Front::DoublesAToken, (0, 1), 0)]
#[case::names_no_outcome(Front::NamesNoOutcome, (1, 0), 0)]
#[tokio::test]
async fn flaw_is_counted(#[case] front: Front, #[case] lost: (usize, usize), #[case] doubled: usize) {
    let (report, _service) = report(front).await;
    let (once, completion) = (&report.rows[0], &report.rows[1]);
    assert_eq!((once.lost, completion.lost), lost, "{report}");
    assert_eq!(once.doubled, doubled, "{report}");
    assert_eq!(report.clean, lost == (0, 0) && doubled == 0);
    assert_eq!(once.first_token.p50_ms > 0.0, once.answered > 0);
}
