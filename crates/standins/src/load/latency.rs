//! Added latency: identical calls sent directly to a mock server and through a daemon, interleaved in one run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

/// Precision of the histograms; the table shows no more digits.
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Configuration of a latency measurement.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyPlan {
    /// Seed of the pauses and of the order of routes.
    pub seed: u64,
    /// Concurrent streams of calls.
    pub streams: usize,
    /// Calls per stream and route.
    pub calls: usize,
    /// Uncounted calls per stream and route, to open connections and fill caches.
    pub warm_up: usize,
    /// Maximum random pause of a stream between two calls; the minimum is 0.
    pub pause_us: u64,
    /// Routes; each round calls all of them, starting at a random one.
    pub ways: Vec<Route>,
}

/// A route on which calls are made.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name in the report.
    pub name: String,
    /// Destination address.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// Request headers; `{n}` in a value is replaced by a random number per call.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// Request body; `{n}` is replaced as in the headers.
    #[serde(default)]
    pub body: String,
    /// Calls that the router would make itself, made first on a direct route. Their time is included.
    #[serde(default)]
    pub before: Vec<Step>,
}

/// A call made before the measured one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Destination address.
    pub address: SocketAddr,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: String,
}

/// Latency of one route.
#[derive(Clone, Debug, Serialize)]
pub struct RouteLatency {
    /// Name of the route.
    pub name: String,
    /// Number of successful calls.
    pub calls: u64,
    /// Number of failed calls, excluded from the times.
    pub failed: u64,
    /// Time to the first byte of the body: median.
    pub first_byte_p50_ms: f64,
    /// Time to the first byte of the body: 99th percentile.
    pub first_byte_p99_ms: f64,
    /// Time to the complete response: median.
    pub whole_p50_ms: f64,
    /// Time to the complete response: 99th percentile.
    pub whole_p99_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    way: usize,
    first_byte: Duration,
    whole: Duration,
}

#[derive(Debug, Default)]
struct StreamResult {
    samples: Vec<Sample>,
    failed: Vec<usize>,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A call did not receive a complete response with a success status.
#[derive(Clone, Copy, Debug)]
struct CallFailed;

/// Makes all calls of the plan and returns the latency of each route.
pub async fn measure(plan: &LatencyPlan) -> Vec<RouteLatency> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let streams = (0..plan.streams).map(|stream| {
        let plan = plan.clone();
        let client = client.clone();
        tokio::spawn(async move { run_stream(&plan, &client, stream).await })
    });
    let results: Vec<_> = join_all(streams.collect::<Vec<_>>()).await.into_iter().flatten().collect();
    let ways = plan.ways.iter().enumerate();
    ways.map(|(index, way)| summarize(way, index, &results)).collect()
}

async fn run_stream(plan: &LatencyPlan, client: &HttpClient, stream: usize) -> StreamResult {
    let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_add(stream as u64));
    let mut result = StreamResult::default();
    for round in 0..plan.warm_up + plan.calls {
        let first = rng.random_range(0..plan.ways.len());
        for turn in 0..plan.ways.len() {
            let way = (first + turn) % plan.ways.len();
            sleep(Duration::from_micros(rng.random_range(0..=plan.pause_us))).await;
            let called = call(client, &plan.ways[way], &format!("{:016x}", rng.random::<u64>())).await;
            match called {
                _ if round < plan.warm_up => {}
                Ok((first_byte, whole)) => result.samples.push(Sample { way, first_byte, whole }),
                Err(CallFailed) => result.failed.push(way),
            }
        }
    }
    result
}

async fn call(client: &HttpClient, way: &Route, number: &str) -> Result<(Duration, Duration), CallFailed> {
    let started = Instant::now();
    for step in &way.before {
        let uri = format!("http://{}{}", step.address, step.path);
        let request =
            Request::post(uri).body(Full::new(expand(&step.body, number))).map_err(|_| CallFailed)?;
        let response = client.request(request).await.map_err(|_| CallFailed)?;
        if !response.status().is_success() {
            return Err(CallFailed);
        }
        response.into_body().collect().await.map_err(|_| CallFailed)?;
    }
    let mut request = Request::builder()
        .method(Method::from_bytes(way.method.as_bytes()).map_err(|_| CallFailed)?)
        .uri(format!("http://{}{}", way.address, way.path));
    for (name, value) in &way.headers {
        request = request.header(name, value.replace("{n}", number));
    }
    let request = request.body(Full::new(expand(&way.body, number))).map_err(|_| CallFailed)?;
    let response = client.request(request).await.map_err(|_| CallFailed)?;
    if !response.status().is_success() {
        return Err(CallFailed);
    }
    let mut body = response.into_body();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        frame.map_err(|_| CallFailed)?;
        first_byte.get_or_insert_with(|| started.elapsed());
    }
    let whole = started.elapsed();
    Ok((first_byte.unwrap_or(whole), whole))
}

fn expand(text: &str, number: &str) -> Bytes {
    Bytes::from(text.replace("{n}", number))
}

fn summarize(way: &Route, index: usize, results: &[StreamResult]) -> RouteLatency {
    let new = || Histogram::<u64>::new(SIGNIFICANT_DIGITS).expect("the precision is valid");
    let (mut first_byte, mut whole) = (new(), new());
    for sample in results.iter().flat_map(|result| &result.samples).filter(|sample| sample.way == index) {
        record(&mut first_byte, sample.first_byte);
        record(&mut whole, sample.whole);
    }
    let failed = results.iter().flat_map(|result| &result.failed).filter(|&&failed| failed == index);
    RouteLatency {
        name: way.name.clone(),
        calls: whole.len(),
        failed: failed.count() as u64,
        first_byte_p50_ms: quantile_ms(&first_byte, 0.5),
        first_byte_p99_ms: quantile_ms(&first_byte, 0.99),
        whole_p50_ms: quantile_ms(&whole, 0.5),
        whole_p99_ms: quantile_ms(&whole, 0.99),
    }
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    histogram.record(micros).expect("the histogram resizes automatically");
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}
