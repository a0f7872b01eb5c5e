//! `hibiscusvale-load latency`: latency of several routes in one run, and the CPU time of a daemon.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use gumdrop::Options;
use serde::Serialize;

use crate::load::cpu::CpuClock;
use crate::load::latency::{LatencyPlan, RouteLatency, measure};

/// Options of the subcommand.
#[derive(Debug, Options)]
pub struct Latency {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "TOML file with the calls to make", required)]
    plan: PathBuf,
    #[options(no_short, help = "process whose CPU time is measured")]
    daemon_pid: Option<u32>,
    #[options(help = "JSON file to write the report to")]
    json: Option<PathBuf>,
}

#[derive(Debug, Serialize)]
struct Report {
    streams: usize,
    seconds: f64,
    ways: Vec<RouteLatency>,
    daemon_cpu_seconds: Option<f64>,
    /// Present only with a single route, where every call goes through the daemon.
    calls_per_cpu_second: Option<f64>,
}

impl Report {
    fn new(plan: &LatencyPlan, ways: Vec<RouteLatency>, seconds: f64, daemon_cpu: Option<Duration>) -> Self {
        let daemon_cpu_seconds = daemon_cpu.map(|cpu| cpu.as_secs_f64());
        let calls = (plan.streams * (plan.warm_up + plan.calls)) as f64;
        let is_one_way = plan.ways.len() == 1;
        Self {
            streams: plan.streams,
            seconds,
            ways,
            daemon_cpu_seconds,
            calls_per_cpu_second: daemon_cpu_seconds.filter(|_| is_one_way).map(|cpu| calls / cpu),
        }
    }
}

impl Latency {
    pub(super) async fn run(self) -> anyhow::Result<bool> {
        let text = std::fs::read_to_string(&self.plan)
            .with_context(|| format!("could not read {}", self.plan.display()))?;
        let plan: LatencyPlan = toml::from_str(&text).context("could not parse the plan")?;
        let clock = self.daemon_pid.map(CpuClock::new);
        let started = std::time::Instant::now();
        let before = clock.as_ref().map(CpuClock::read).transpose()?;
        let ways = measure(&plan).await;
        let after = clock.as_ref().map(CpuClock::read).transpose()?;
        let daemon_cpu = before.zip(after).map(|(before, after)| after.saturating_sub(before));
        let report = Report::new(&plan, ways, started.elapsed().as_secs_f64(), daemon_cpu);
        print_report(&report);
        if let Some(path) = &self.json {
            std::fs::write(path, serde_json::to_vec_pretty(&report)?)
                .with_context(|| format!("could not write {}", path.display()))?;
        }
        Ok(report.ways.iter().all(|way| way.failed == 0))
    }
}

fn print_report(report: &Report) {
    println!(
        "{:<20} {:>7} {:>6} {:>14} {:>14} {:>12} {:>12}",
        "way", "calls", "failed", "first p50 ms", "first p99 ms", "whole p50", "whole p99"
    );
    for way in &report.ways {
        println!(
            "{:<20} {:>7} {:>6} {:>14.3} {:>14.3} {:>12.3} {:>12.3}",
            way.name,
            way.calls,
            way.failed,
            way.first_byte_p50_ms,
            way.first_byte_p99_ms,
            way.whole_p50_ms,
            way.whole_p99_ms
        );
    }
    println!("{} streams, {:.1} s", report.streams, report.seconds);
    if let Some(cpu) = report.daemon_cpu_seconds {
        println!("the daemon used {cpu:.2} s of CPU time");
    }
    if let Some(rate) = report.calls_per_cpu_second {
        println!("{rate:.0} calls per second and core of the daemon, including the warm-up");
    }
}
