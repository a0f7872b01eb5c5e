//! Added latency: the same calls straight to a stand-in and through a daemon, interleaved in one run.

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

/// Three digits are enough for a table.
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// What is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyPlan {
    /// Seed of the pauses.
    pub seed: u64,
    /// Calls at once.
    pub streams: usize,
    /// Calls that each stream makes on each way.
    pub calls: usize,
    /// Calls of each stream and way that are not counted: connections open, caches fill.
    pub warm_up: usize,
    /// Greatest pause of a stream between two calls; the least is none.
    pub pause_us: u64,
    /// The ways, called in turn in an order drawn anew for each round.
    pub ways: Vec<Way>,
}

/// One way to make a call.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Way {
    /// Its name in the report.
    pub name: String,
    /// Where the call goes.
    pub address: SocketAddr,
    /// Method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// Headers of the call; `{n}` in a value becomes a number that is never the same.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// Body of the call; `{n}` likewise.
    #[serde(default)]
    pub body: String,
    /// Calls that come before it on a direct way, as the router would make them itself: paths and bodies at
    /// addresses of their own. Their time counts.
    #[serde(default)]
    pub before: Vec<Step>,
}

/// A call that comes before another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Where the call goes.
    pub address: SocketAddr,
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: String,
}

/// Times of one way.
#[derive(Clone, Debug, Serialize)]
pub struct WayTimes {
    /// The way.
    pub name: String,
    /// Calls counted.
    pub calls: u64,
    /// Calls that did not succeed; none of them is in the times.
    pub failed: u64,
    /// Until the first byte of the body: median and 99th percentile.
    pub first_byte_p50_ms: f64,
    /// Until the first byte of the body: 99th percentile.
    pub first_byte_p99_ms: f64,
    /// Until the whole answer: median.
    pub whole_p50_ms: f64,
    /// Until the whole answer: 99th percentile.
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

/// A call got no whole answer with a status of success.
#[derive(Clone, Copy, Debug)]
struct Failed;

/// Makes all calls of the plan.
pub async fn measure(plan: &LatencyPlan) -> Vec<WayTimes> {
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
                Err(Failed) => result.failed.push(way),
            }
        }
    }
    result
}

async fn call(client: &HttpClient, way: &Way, number: &str) -> Result<(Duration, Duration), Failed> {
    let started = Instant::now();
    for step in &way.before {
        let uri = format!("http://{}{}", step.address, step.path);
        let request = Request::post(uri).body(Full::new(fill(&step.body, number))).map_err(|_| Failed)?;
        let response = client.request(request).await.map_err(|_| Failed)?;
        if !response.status().is_success() {
            return Err(Failed);
        }
        response.into_body().collect().await.map_err(|_| Failed)?;
    }
    let mut request = Request::builder()
        .method(Method::from_bytes(way.method.as_bytes()).map_err(|_| Failed)?)
        .uri(format!("http://{}{}", way.address, way.path));
    for (name, value) in &way.headers {
        request = request.header(name, value.replace("{n}", number));
    }
    let request = request.body(Full::new(fill(&way.body, number))).map_err(|_| Failed)?;
    let response = client.request(request).await.map_err(|_| Failed)?;
    if !response.status().is_success() {
        return Err(Failed);
    }
    let mut body = response.into_body();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        frame.map_err(|_| Failed)?;
        first_byte.get_or_insert_with(|| started.elapsed());
    }
    let whole = started.elapsed();
    Ok((first_byte.unwrap_or(whole), whole))
}

fn fill(text: &str, number: &str) -> Bytes {
    Bytes::from(text.replace("{n}", number))
}

fn summarize(way: &Way, index: usize, results: &[StreamResult]) -> WayTimes {
    let new = || Histogram::<u64>::new(SIGNIFICANT_DIGITS).expect("a constant that the library allows");
    let (mut first_byte, mut whole) = (new(), new());
    for sample in results.iter().flat_map(|result| &result.samples).filter(|sample| sample.way == index) {
        record(&mut first_byte, sample.first_byte);
        record(&mut whole, sample.whole);
    }
    let failed = results.iter().flat_map(|result| &result.failed).filter(|&&failed| failed == index);
    WayTimes {
        name: way.name.clone(),
        calls: whole.len(),
        failed: failed.count() as u64,
        first_byte_p50_ms: at(&first_byte, 0.5),
        first_byte_p99_ms: at(&first_byte, 0.99),
        whole_p50_ms: at(&whole, 0.5),
        whole_p99_ms: at(&whole, 0.99),
    }
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    histogram.record(micros).expect("the histogram grows with what it records");
}

fn at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}
