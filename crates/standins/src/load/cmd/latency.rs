//! `hibiscusvale-load latency`: times on several ways in one run, and what they cost a daemon.

use std::path::PathBuf;

use anyhow::Context;
use gumdrop::Options;
use serde::Serialize;

use crate::load::cpu::CpuClock;
use crate::load::latency::{LatencyPlan, WayTimes, measure};

/// Options of the subcommand.
#[derive(Debug, Options)]
pub struct Latency {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "TOML file that says what to call", required)]
    plan: PathBuf,
    #[options(no_short, help = "process whose processor time is measured")]
    daemon_pid: Option<u32>,
    #[options(help = "JSON file to write the report to")]
    json: Option<PathBuf>,
}

#[derive(Debug, Serialize)]
struct Report {
    streams: usize,
    seconds: f64,
    ways: Vec<WayTimes>,
    daemon_cpu_seconds: Option<f64>,
}

impl Latency {
    pub(super) async fn run(self) -> anyhow::Result<bool> {
        let text = std::fs::read_to_string(&self.plan)
            .with_context(|| format!("could not read {}", self.plan.display()))?;
        let plan: LatencyPlan = toml::from_str(&text).context("could not understand the plan")?;
        let clock = self.daemon_pid.map(CpuClock::new);
        let started = std::time::Instant::now();
        let before = clock.as_ref().map(CpuClock::read).transpose()?;
        let ways = measure(&plan).await;
        let after = clock.as_ref().map(CpuClock::read).transpose()?;
        let report = Report {
            streams: plan.streams,
            seconds: started.elapsed().as_secs_f64(),
            ways,
            daemon_cpu_seconds: before
                .zip(after)
                .map(|(before, after)| after.saturating_sub(before).as_secs_f64()),
        };
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
        println!("the daemon used {cpu:.2} s of processor time");
    }
}
