//! Callers: each sends its request to any daemon, and again to another where that is right.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, Request};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::load::answer::{Call, Flaw, Outcome, read_plain, read_stream};
use crate::load::balancer::Balancer;
use crate::load::schedule::{Planned, schedule};
use crate::load::settings::{Flow, FlowKind, LoadPlan};

/// Least and greatest wait before another call, where the daemon names none.
const BACK_OFF_MS: (u64, u64) = (20, 200);

/// Longest wait that a caller grants a daemon; a run has to end.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Calls that find no daemon listening cost a caller nothing; the balancer picks another this often.
const REFUSED_CONNECTIONS: u32 = 500;

/// Time until the balancer tries another daemon.
const NEXT_CONNECTION: Duration = Duration::from_millis(5);

/// A request with all that its caller saw.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was planned.
    pub planned: Planned,
    /// When it was first sent.
    pub sent_at: Instant,
    /// Its calls, in order.
    pub calls: Vec<Call>,
}

impl Record {
    /// What the caller knows in the end: answered if any call was, else unknown if any call may have run.
    pub fn outcome(&self) -> Outcome {
        let outcomes = || self.calls.iter().map(|call| &call.outcome);
        let lost = outcomes().find(|outcome| matches!(outcome, Outcome::Lost(_)));
        if let Some(lost) = lost {
            return lost.clone();
        }
        for decisive in [Outcome::Answered, Outcome::Left, Outcome::Unknown] {
            if outcomes().any(|outcome| *outcome == decisive) {
                return decisive;
            }
        }
        Outcome::NotRun
    }
}

/// What a caller does after a call.
enum Next {
    Settled,
    Again { asked_wait: Option<Duration> },
}

impl Next {
    fn after(call: &Call) -> Self {
        let asked_wait = call.retry_after;
        match call.outcome {
            Outcome::Unknown => Self::Again { asked_wait },
            // A refusal that another try cannot mend comes without a time.
            Outcome::NotRun if asked_wait.is_some() => Self::Again { asked_wait },
            Outcome::NotRun | Outcome::Answered | Outcome::Lost(_) | Outcome::Left => Self::Settled,
        }
    }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Caller {
    client: HttpClient,
    balancer: Balancer,
    flow: Flow,
}

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: usize,
    stream: bool,
}

/// Sends the whole load; returns when every request has its end.
pub async fn send_all(plan: &LoadPlan) -> Vec<Record> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // A retry below the caller would hide what the daemons do.
    let client = Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
    let balancer = Balancer::start(&plan.daemons);
    let callers = plan.flows.iter().map(|flow| {
        Arc::new(Caller { client: client.clone(), balancer: balancer.clone(), flow: flow.clone() })
    });
    let callers: Vec<_> = callers.collect();
    let start = Instant::now();
    let requests = schedule(plan, &run_name()).into_iter().map(|planned| {
        let caller = Arc::clone(&callers[planned.flow]);
        tokio::spawn(async move { caller.run(planned, start).await })
    });
    let ended = join_all(requests.collect::<Vec<_>>()).await;
    ended.into_iter().flatten().collect()
}

/// Keys are remembered beyond a run, so that each run needs names of its own.
fn run_name() -> String {
    format!("{:08x}", rand::random::<u32>())
}

impl Caller {
    async fn run(&self, planned: Planned, start: Instant) -> Record {
        sleep_until(start + planned.at).await;
        let sent_at = Instant::now();
        let leaves_after = planned.leaves_after;
        let mut record = Record { planned, sent_at, calls: Vec::new() };
        let Some(stays) = leaves_after else {
            self.call_until_settled(&mut record).await;
            return record;
        };
        if timeout(stays, self.call_until_settled(&mut record)).await.is_err() {
            record.calls.push(Call::without_head(Outcome::Left));
        }
        record
    }

    async fn call_until_settled(&self, record: &mut Record) {
        let mut rng = StdRng::seed_from_u64(record.planned.seed);
        let mut daemon = self.balancer.pick(&mut rng, None);
        let mut refused = 0;
        while record.calls.len() < self.flow.attempts && refused < REFUSED_CONNECTIONS {
            let call = self.call(&record.planned, daemon).await;
            let Some(call) = call else {
                refused += 1;
                sleep(NEXT_CONNECTION).await;
                daemon = self.balancer.pick(&mut rng, Some(daemon));
                continue;
            };
            let next = Next::after(&call);
            record.calls.push(call);
            let Next::Again { asked_wait } = next else {
                return;
            };
            let (least, greatest) = BACK_OFF_MS;
            let own_wait = Duration::from_millis(rng.random_range(least..greatest));
            sleep(asked_wait.map_or(own_wait, |asked| asked.min(LONGEST_RETRY_AFTER))).await;
            daemon = self.balancer.pick(&mut rng, Some(daemon));
        }
        if record.calls.is_empty() {
            record.calls.push(Call::without_head(Outcome::NotRun));
        }
    }

    /// One call; `None` if no daemon listens there.
    async fn call(&self, planned: &Planned, daemon: SocketAddr) -> Option<Call> {
        let limit = Duration::from_millis(self.flow.timeout_ms);
        match timeout(limit, self.exchange(planned, daemon)).await {
            Ok(call) => call,
            Err(_) => Some(Call::without_head(Outcome::Lost(Flaw::NoOutcome))),
        }
    }

    async fn exchange(&self, planned: &Planned, daemon: SocketAddr) -> Option<Call> {
        let path = self.path(planned);
        let request = self.request(planned, daemon, &path);
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return None,
            Err(_) => return Some(Call::without_head(Outcome::Unknown)),
        };
        let call = match self.flow.kind {
            FlowKind::Completion => read_stream(response, planned).await,
            FlowKind::Once => read_plain(response, planned, &path, true).await,
            FlowKind::Page => read_plain(response, planned, &path, false).await,
        };
        Some(call)
    }

    fn path(&self, planned: &Planned) -> String {
        match self.flow.kind {
            FlowKind::Completion => "/v1/completions".to_owned(),
            FlowKind::Once => self.flow.path.clone(),
            FlowKind::Page => format!("{}?page={}", self.flow.path, planned.name),
        }
    }

    fn request(&self, planned: &Planned, daemon: SocketAddr, path: &str) -> Request<Full<Bytes>> {
        let flow = &self.flow;
        let mut request = Request::builder()
            .uri(format!("http://{daemon}{path}"))
            .header("authorization", format!("Bearer {}", flow.token))
            .header("x-class", &flow.class);
        if flow.kind != FlowKind::Completion {
            request = request.header("x-service", &flow.service);
        }
        if flow.kind == FlowKind::Once {
            request = request.header("idempotency-key", &planned.name).header("x-repeatable", "false");
        }
        let (method, body) = match flow.kind {
            FlowKind::Completion => (Method::POST, self.completion(planned)),
            FlowKind::Once => (Method::POST, Bytes::from(planned.text.clone())),
            FlowKind::Page => (Method::GET, Bytes::new()),
        };
        let request = request.method(method).body(Full::new(body));
        request.expect("the plan holds a valid path and valid header values")
    }

    fn completion(&self, planned: &Planned) -> Bytes {
        let completion = Completion {
            model: &self.flow.model,
            prompt: &planned.text,
            max_tokens: planned.answer_tokens,
            stream: true,
        };
        serde_json::to_vec(&completion).expect("a completion serializes").into()
    }
}
