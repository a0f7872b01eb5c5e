//! Measures running daemons from outside, through `/proc` and their operator endpoints.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, bail};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use futures_util::future::join_all;
use gumdrop::Options;
use hibiscusvale_core::config::{ChangeBody, ClassChange, ClassTarget, Record};
use hibiscusvale_core::ids::{ChangeId, Offset, PartnerId};
use hibiscusvale_core::units::Millis;
use hibiscusvale_standins::client::{get_json, post_json};
use serde::{Deserialize, Serialize};

use crate::procs::{
    PARTNER, PUBLISH_SEED, PlannedDaemon, cpu_time_us, memory_bytes, mock_server_addresses, planned,
};

/// Poll interval while waiting for a change to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Poll interval of the member lists; with many daemons each poll transfers megabytes.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for the daemons to discover each other.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(2);
/// Timeout for a change to be in force on all daemons: the bound that users require.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for a dead daemon to be removed from all member lists: the bound in `docs/MEMBERSHIP.md` without the
/// duration of a grant.
const DEATH_DETECTION_TIMEOUT: Duration = Duration::from_secs(14);
const CHANGES: u64 = 10;
/// 65,000 changes per day: one every 1.33 s.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_330);

#[derive(Debug, Deserialize)]
struct Status {
    next_offset: Offset,
    control: Control,
}

#[derive(Debug, Deserialize)]
struct Control {
    sent_bytes_per_s: u64,
}

#[derive(Debug, Deserialize)]
struct Members {
    is_heard: bool,
    members: Vec<Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    host: String,
}

#[derive(Debug, Serialize)]
struct Append {
    records: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Appended {
    first_offset: u64,
}

fn runtime() -> anyhow::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("could not start the Tokio runtime")
}

/// Measures running daemons while publishing changes.
#[derive(Debug, Options)]
pub struct Steady {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "directory of the plan", required)]
    dir: PathBuf,
    #[options(help = "seconds to measure for", default = "20")]
    seconds: u64,
}

/// Waits until a killed daemon is removed from all member lists.
#[derive(Debug, Options)]
pub struct Death {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "directory of the plan", required)]
    dir: PathBuf,
    #[options(help = "host of the killed daemon", required)]
    host: String,
    #[options(help = "time of the kill in Unix milliseconds", required)]
    since_ms: u64,
}

impl Steady {
    /// Prints the fields of one CSV row.
    pub fn run(self) -> anyhow::Result<()> {
        runtime()?.block_on(self.measure())
    }

    async fn measure(self) -> anyhow::Result<()> {
        let daemons = planned(&self.dir)?;
        let pids = pids(&self.dir, &daemons)?;
        let converged =
            wait_until(CONVERGENCE_TIMEOUT, MEMBERS_POLL_INTERVAL, || has_converged(&daemons)).await;
        let Some(converged) = converged else {
            bail!(
                "the daemons did not discover each other; members seen per daemon: {}",
                member_counts(&daemons).await
            );
        };
        let usage = self.usage(&daemons, &pids).await?;
        let mut times = publish(&self.dir, &daemons, usage.version).await?;
        times.sort_unstable();
        println!(
            "{},{},{:.0},{:.0},{:.0},{:.0},{},{}",
            converged.as_millis(),
            usage.sent_mean,
            usage.sent_max,
            usage.control_ppm,
            usage.all_threads_ppm,
            usage.memory_bytes,
            times.get(times.len() / 2).copied().unwrap_or_default(),
            times.last().copied().unwrap_or_default(),
        );
        Ok(())
    }

    /// Measures the daemons while changes are published at the target rate. No endpoint is queried meanwhile, so that
    /// serving queries does not add to the cost.
    async fn usage(&self, daemons: &[PlannedDaemon], pids: &[String]) -> anyhow::Result<ResourceUsage> {
        let before: Vec<(f64, f64)> = pids.iter().map(|pid| cpu_time_us(pid)).collect();
        let start = Instant::now();
        let mut version = None;
        while start.elapsed() < Duration::from_secs(self.seconds) {
            version = Some(append(&self.dir, version).await?);
            tokio::time::sleep(CHANGE_INTERVAL).await;
        }
        let span_s = start.elapsed().as_secs_f64();
        let after: Vec<(f64, f64)> = pids.iter().map(|pid| cpu_time_us(pid)).collect();
        let count = pids.len() as f64;
        let pairs = || before.iter().zip(&after);
        let sent: Vec<u64> = statuses(daemons)
            .await
            .into_iter()
            .flatten()
            .map(|status| status.control.sent_bytes_per_s)
            .collect();
        let memory: u64 = pids.iter().map(|pid| memory_bytes(pid)).sum();
        Ok(ResourceUsage {
            sent_mean: sent.iter().sum::<u64>() / sent.len().max(1) as u64,
            sent_max: sent.iter().copied().max().unwrap_or_default() as f64,
            control_ppm: pairs().map(|(before, after)| after.0 - before.0).sum::<f64>() / span_s / count,
            all_threads_ppm: pairs().map(|(before, after)| after.1 - before.1).sum::<f64>() / span_s / count,
            memory_bytes: memory as f64 / count,
            version,
        })
    }
}

#[derive(Debug)]
struct ResourceUsage {
    sent_mean: u64,
    sent_max: f64,
    control_ppm: f64,
    all_threads_ppm: f64,
    memory_bytes: f64,
    version: Option<Offset>,
}

impl Death {
    /// Prints the last field of a CSV row: the milliseconds until no daemon lists the killed one.
    pub fn run(self) -> anyhow::Result<()> {
        runtime()?.block_on(async {
            let daemons: Vec<PlannedDaemon> =
                planned(&self.dir)?.into_iter().filter(|daemon| daemon.host != self.host).collect();
            let gone =
                wait_until(DEATH_DETECTION_TIMEOUT, MEMBERS_POLL_INTERVAL, || is_gone(&daemons, &self.host))
                    .await;
            gone.context("the killed daemon is still in a member list")?;
            let now_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
            println!("{}", now_ms.saturating_sub(u128::from(self.since_ms)));
            Ok(())
        })
    }
}

fn pids(dir: &Path, daemons: &[PlannedDaemon]) -> anyhow::Result<Vec<String>> {
    let read = daemons.iter().map(|daemon| {
        let text = fs::read_to_string(dir.join(format!("{}.pid", daemon.host)))?;
        Ok(text.trim().to_owned())
    });
    read.collect()
}

/// Polls until `condition` returns true; returns the elapsed time, or `None` after `limit`.
async fn wait_until<Condition, Checking>(
    limit: Duration,
    interval: Duration,
    condition: Condition,
) -> Option<Duration>
where
    Condition: Fn() -> Checking,
    Checking: Future<Output = bool>,
{
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition().await {
            return Some(start.elapsed());
        }
        tokio::time::sleep(interval).await;
    }
    None
}

async fn members(daemons: &[PlannedDaemon]) -> Vec<Option<Members>> {
    join_all(daemons.iter().map(async |daemon| get_json(daemon.operators, "/control/members").await.ok()))
        .await
}

async fn statuses(daemons: &[PlannedDaemon]) -> Vec<Option<Status>> {
    join_all(daemons.iter().map(async |daemon| get_json(daemon.operators, "/control/status").await.ok()))
        .await
}

async fn has_converged(daemons: &[PlannedDaemon]) -> bool {
    members(daemons).await.iter().all(|members| {
        members.as_ref().is_some_and(|members| members.is_heard && members.members.len() == daemons.len())
    })
}

/// Formats the number of members that each daemon sees, for error messages.
async fn member_counts(daemons: &[PlannedDaemon]) -> String {
    let seen = members(daemons).await.into_iter().map(|members| match members {
        Some(members) => format!("{}{}", members.members.len(), if members.is_heard { "" } else { "!" }),
        None => "-".to_owned(),
    });
    seen.collect::<Vec<_>>().join(" ")
}

async fn is_gone(daemons: &[PlannedDaemon], host: &str) -> bool {
    members(daemons).await.iter().all(|members| {
        members.as_ref().is_some_and(|members| members.members.iter().all(|member| member.host != host))
    })
}

/// Publishes changes one at a time and returns the milliseconds until each was in force on all daemons.
async fn publish(
    dir: &Path,
    daemons: &[PlannedDaemon],
    mut version: Option<Offset>,
) -> anyhow::Result<Vec<u128>> {
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        let start = Instant::now();
        let offset = append(dir, version).await?;
        let took = wait_until(IN_FORCE_TIMEOUT, POLL_INTERVAL, async || {
            let all = statuses(daemons).await;
            all.iter().all(|status| status.as_ref().is_some_and(|status| status.next_offset > offset))
        });
        let Some(_) = took.await else {
            bail!("change {offset} was not in force on all daemons within {IN_FORCE_TIMEOUT:?}");
        };
        times.push(start.elapsed().as_millis());
        version = Some(offset);
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(times)
}

/// Appends a signed change that publishes one class.
async fn append(dir: &Path, made_from: Option<Offset>) -> anyhow::Result<Offset> {
    let publisher: PartnerId = PARTNER.parse()?;
    let made_at = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let body = ChangeBody {
        made_from,
        author: "bench".parse()?,
        made_at_unix_ms: u64::try_from(made_at.as_millis())?,
        changes: vec![ClassChange::Publish {
            class: "bench".parse()?,
            target: ClassTarget::language(Millis(800), Millis(31)),
        }],
    };
    let key = SigningKey::from_bytes(&PUBLISH_SEED);
    let change = body.sign(&publisher, ChangeId(made_at.as_nanos()), &key);
    let records = vec![STANDARD.encode(Record::Change(change).encode())];
    let log = mock_server_addresses(dir)?.log;
    let appended: Appended = post_json(log, "/log/config/append", &Append { records }).await?;
    Ok(Offset(appended.first_offset))
}
