//! Callers: each sends its request to a daemon and retries on another where permitted.

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
use crate::load::schedule::{PlannedRequest, schedule};
use crate::load::settings::{Flow, FlowKind, LoadPlan};
use crate::load::starvation::StarvationMeter;

/// Range of the random back-off before a retry when the daemon sends no `retry-after`.
const BACKOFF_RANGE_MS: (u64, u64) = (20, 200);

/// Upper bound on `retry-after`, so that a run ends.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum refused connections per request; they do not count as attempts.
const MAX_REFUSED_CONNECTIONS: u32 = 500;

/// Delay before another daemon is tried after a refused connection.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// A request and all calls made for it.
#[derive(Clone, Debug)]
pub struct Record {
    /// The planned request.
    pub planned: PlannedRequest,
    /// Time of the first call.
    pub sent_at: Instant,
    /// Calls, oldest first.
    pub calls: Vec<Call>,
}

impl Record {
    /// Combined outcome over all calls: lost if any call was lost, then answered, left and unknown, else not run.
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

/// Next step of a caller after a call.
enum NextStep {
    Finish,
    Retry { requested_delay: Option<Duration> },
}

impl NextStep {
    fn after(call: &Call) -> Self {
        let requested_delay = call.retry_after;
        match call.outcome {
            Outcome::Unknown => Self::Retry { requested_delay },
            // Refusals that a retry cannot resolve have no `retry-after`.
            Outcome::NotRun if requested_delay.is_some() => Self::Retry { requested_delay },
            Outcome::NotRun | Outcome::Answered | Outcome::Lost(_) | Outcome::Left => Self::Finish,
        }
    }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Caller {
    client: HttpClient,
    balancer: Balancer,
    flow: Flow,
    starvation: StarvationMeter,
    run_start: Instant,
}

/// A request without an outcome within the caller's time limit, as written to standard error.
#[derive(Serialize)]
struct LostRequest<'a> {
    lost: &'a str,
    class: &'a str,
    daemon: SocketAddr,
    /// Number of calls made before this one.
    earlier_calls: usize,
    /// Time of the call since the start of the run.
    called_ms: u128,
    time_limit_ms: u64,
    /// Time within the call in which this process was not scheduled.
    starved_ms: u128,
}

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: usize,
    stream: bool,
}

/// Sends the load; returns when all requests have ended.
pub async fn send_all(plan: &LoadPlan) -> Vec<Record> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // Retries inside the HTTP client would hide failures of the daemons.
    let client = Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
    let balancer = Balancer::start(&plan.daemons);
    let starvation = StarvationMeter::start();
    let start = Instant::now();
    let callers = plan.flows.iter().map(|flow| {
        Arc::new(Caller {
            client: client.clone(),
            balancer: balancer.clone(),
            flow: flow.clone(),
            starvation: starvation.clone(),
            run_start: start,
        })
    });
    let callers: Vec<_> = callers.collect();
    let requests = schedule(plan, &run_prefix()).into_iter().map(|planned| {
        let caller = Arc::clone(&callers[planned.flow]);
        tokio::spawn(async move { caller.run(planned).await })
    });
    let ended = join_all(requests.collect::<Vec<_>>()).await;
    ended.into_iter().flatten().collect()
}

/// Random prefix of request names; daemons remember idempotency keys across runs.
fn run_prefix() -> String {
    format!("{:08x}", rand::random::<u32>())
}

impl Caller {
    async fn run(&self, planned: PlannedRequest) -> Record {
        sleep_until(self.run_start + planned.at).await;
        let sent_at = Instant::now();
        let disconnect_after = planned.disconnect_after;
        let mut record = Record { planned, sent_at, calls: Vec::new() };
        let Some(disconnect_delay) = disconnect_after else {
            self.call_with_retries(&mut record).await;
            return record;
        };
        if timeout(disconnect_delay, self.call_with_retries(&mut record)).await.is_err() {
            record.calls.push(Call::without_head(Outcome::Left));
        }
        record
    }

    async fn call_with_retries(&self, record: &mut Record) {
        let mut rng = StdRng::seed_from_u64(record.planned.seed);
        let mut daemon = self.balancer.pick(&mut rng, None);
        let mut refused = 0;
        while record.calls.len() < self.flow.attempts && refused < MAX_REFUSED_CONNECTIONS {
            let call = self.call(record, daemon).await;
            let Some(call) = call else {
                refused += 1;
                sleep(CONNECT_RETRY_DELAY).await;
                daemon = self.balancer.pick(&mut rng, Some(daemon));
                continue;
            };
            let next = NextStep::after(&call);
            record.calls.push(call);
            let NextStep::Retry { requested_delay } = next else {
                return;
            };
            let (min_ms, max_ms) = BACKOFF_RANGE_MS;
            let backoff = Duration::from_millis(rng.random_range(min_ms..max_ms));
            sleep(requested_delay.map_or(backoff, |requested| requested.min(MAX_RETRY_AFTER))).await;
            daemon = self.balancer.pick(&mut rng, Some(daemon));
        }
        if record.calls.is_empty() {
            record.calls.push(Call::without_head(Outcome::NotRun));
        }
    }

    /// Makes one call; `None` if the connection was refused.
    async fn call(&self, record: &Record, daemon: SocketAddr) -> Option<Call> {
        let limit = Duration::from_millis(self.flow.timeout_ms);
        let called_at = Instant::now();
        if let Ok(call) = timeout(limit, self.exchange(&record.planned, daemon)).await {
            return call;
        }
        self.report_lost(record, daemon, called_at);
        Some(Call::without_head(Outcome::Lost(Flaw::NoOutcome)))
    }

    /// Names a lost request, so that its lines in the logs of the daemons can be found.
    fn report_lost(&self, record: &Record, daemon: SocketAddr, called_at: Instant) {
        let lost = LostRequest {
            lost: &record.planned.name,
            class: &self.flow.class,
            daemon,
            earlier_calls: record.calls.len(),
            called_ms: called_at.duration_since(self.run_start).as_millis(),
            time_limit_ms: self.flow.timeout_ms,
            starved_ms: self.starvation.starved_since(called_at.into_std()).as_millis(),
        };
        if let Ok(line) = serde_json::to_string(&lost) {
            eprintln!("{line}");
        }
    }

    async fn exchange(&self, planned: &PlannedRequest, daemon: SocketAddr) -> Option<Call> {
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

    fn path(&self, planned: &PlannedRequest) -> String {
        match self.flow.kind {
            FlowKind::Completion => "/v1/completions".to_owned(),
            FlowKind::Once => self.flow.path.clone(),
            FlowKind::Page => format!("{}?page={}", self.flow.path, planned.name),
        }
    }

    fn request(&self, planned: &PlannedRequest, daemon: SocketAddr, path: &str) -> Request<Full<Bytes>> {
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

    fn completion(&self, planned: &PlannedRequest) -> Bytes {
        let completion = Completion {
            model: &self.flow.model,
            prompt: &planned.text,
            max_tokens: planned.answer_tokens,
            stream: true,
        };
        serde_json::to_vec(&completion).expect("a completion serializes").into()
    }
}
