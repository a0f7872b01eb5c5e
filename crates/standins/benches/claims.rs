//! Compares the cost of at-most-once calls and plain calls, over sockets with three daemons:
//! `cargo bench -p hibiscusvale-standins --bench claims`.
#![allow(clippy::pedantic, reason = "a benchmark over test helpers")]
#![allow(dead_code, reason = "other helpers are used only by the tests")]

#[path = "../tests/e2e/cluster.rs"]
mod cluster;

use std::time::{Duration, Instant};

use bytes::Bytes;
use cluster::{Caller, TestCluster, stop};
use hdrhistogram::Histogram;
use http_body_util::Full;

const PLAN: &str = r#"
    [[plain]]
    place = {name = "booking", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 4}
    settings = {service = "booking", capacity = 256}
"#;

/// Number of sequential calls.
const SEQUENTIAL_CALLS: usize = 200;

/// Number of calls in the burst, one per millisecond.
const BURST_CALLS: usize = 5_000;
const BURST_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Clone, Copy)]
enum Kind {
    Plain,
    Keyed,
}

async fn call(caller: Caller, kind: Kind, key: String) -> (bool, u64) {
    let request = match kind {
        Kind::Plain => caller.request("GET", "/booking/list"),
        Kind::Keyed => caller.request("POST", "/booking/new").header("idempotency-key", key),
    };
    let started = Instant::now();
    let answer = caller.fetch(request.body(Full::new(Bytes::from_static(b"{}"))).expect("request")).await;
    (answer.outcome() == "answered", started.elapsed().as_micros() as u64)
}

fn appends(cluster: &TestCluster) -> u64 {
    let streams = cluster.standins.log.appends();
    streams.iter().filter(|(stream, _)| stream.starts_with("claims")).map(|(_, count)| count).sum()
}

async fn run_sequential(callers: &[Caller], kind: Kind) -> (Histogram<u64>, usize) {
    let mut times = Histogram::new(3).expect("histogram");
    let mut answered = 0;
    for number in 0..SEQUENTIAL_CALLS {
        let caller = callers[number % callers.len()].clone();
        let (whole, took_us) = call(caller, kind, format!("alone-{number}")).await;
        answered += usize::from(whole);
        times.record(took_us).expect("in range");
    }
    (times, answered)
}

async fn run_burst(callers: &[Caller], kind: Kind) -> (Histogram<u64>, usize) {
    let mut ticks = tokio::time::interval(BURST_INTERVAL);
    let mut calls = Vec::new();
    for number in 0..BURST_CALLS {
        ticks.tick().await;
        let caller = callers[number % callers.len()].clone();
        calls.push(tokio::spawn(call(caller, kind, format!("burst-{number}"))));
    }
    let mut times = Histogram::new(3).expect("histogram");
    let mut answered = 0;
    for call in calls {
        let (whole, took_us) = call.await.expect("caller");
        answered += usize::from(whole);
        times.record(took_us).expect("in range");
    }
    (times, answered)
}

fn print(name: &str, calls: usize, answered: usize, times: &Histogram<u64>, appended: u64) {
    println!(
        "{name}: {answered} of {calls} answered, p50 {} us, p99 {} us, {appended} appends, {:.3} a call",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        appended as f64 / calls as f64
    );
}

#[tokio::main]
async fn main() {
    let cluster = TestCluster::start(PLAN).await;
    let first = cluster.daemon("entry-1").await;
    let second = cluster.daemon_with_peers("entry-2", &[&first]).await;
    let third = cluster.daemon_with_peers("entry-3", &[&first, &second]).await;
    let callers: Vec<Caller> =
        [&first, &second, &third].iter().map(|daemon| Caller::new(daemon.callers_address())).collect();
    run_sequential(&callers, Kind::Plain).await;
    for (name, kind) in [("plain", Kind::Plain), ("at most once", Kind::Keyed)] {
        let before = appends(&cluster);
        let (times, answered) = run_sequential(&callers, kind).await;
        print(&format!("{name}, alone"), SEQUENTIAL_CALLS, answered, &times, appends(&cluster) - before);
        let before = appends(&cluster);
        let (times, answered) = run_burst(&callers, kind).await;
        print(&format!("{name}, 1,000/s"), BURST_CALLS, answered, &times, appends(&cluster) - before);
    }
    for daemon in [first, second, third] {
        stop(daemon).await;
    }
}
