//! Looks at running daemons from outside: what they cost by the kernel's books, what they say of themselves.

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

use crate::procs::{PARTNER, PUBLISH_SEED, Planned, memory_bytes, planned, processor_us, stand_ins};

/// Time between two looks while waiting for a change to be in force.
const LOOK_EVERY: Duration = Duration::from_millis(25);
/// Time between two looks at whom all daemons see: with many daemons these are megabytes.
const LOOK_AT_MEMBERS_EVERY: Duration = Duration::from_millis(250);
/// Time for the daemons to find each other.
const AGREE_LIMIT: Duration = Duration::from_mins(2);
/// Time for a change to be in force everywhere: the users' bound.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time for a dead daemon to be gone from all views: the bound in `docs/MEMBERSHIP.md` without the time of a
/// grant.
const DEATH_LIMIT: Duration = Duration::from_secs(14);
const CHANGES: u64 = 10;
/// Time between two changes: 65,000 a day.
const CHANGE_EVERY: Duration = Duration::from_millis(1_330);

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
    tokio::runtime::Builder::new_current_thread().enable_all().build().context("could not start the runtime")
}

/// Measures daemons that run and publishes changes to them.
#[derive(Debug, Options)]
pub struct Steady {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "directory of the plan", required)]
    dir: PathBuf,
    #[options(help = "seconds to measure for", default = "20")]
    seconds: u64,
}

/// Waits until a killed daemon is gone from all views.
#[derive(Debug, Options)]
pub struct Death {
    #[options(help = "show this text")]
    help: bool,
    #[options(help = "directory of the plan", required)]
    dir: PathBuf,
    #[options(help = "host of the killed daemon", required)]
    host: String,
    #[options(help = "when it was killed, in ms since 1970", required)]
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
        let agreed = wait_until(AGREE_LIMIT, LOOK_AT_MEMBERS_EVERY, || agrees(&daemons)).await;
        let Some(agreed) = agreed else {
            bail!("the daemons did not find each other: {}", sights(&daemons).await);
        };
        let cost = self.cost(&daemons, &pids).await?;
        let mut times = publish(&self.dir, &daemons, cost.version).await?;
        times.sort_unstable();
        println!(
            "{},{},{:.0},{:.0},{:.0},{:.0},{},{}",
            agreed.as_millis(),
            cost.sent_mean,
            cost.sent_max,
            cost.control_ppm,
            cost.all_ppm,
            cost.memory_bytes,
            times.get(times.len() / 2).copied().unwrap_or_default(),
            times.last().copied().unwrap_or_default(),
        );
        Ok(())
    }

    /// What the daemons cost while changes are published at the target's rate. They are not asked anything
    /// meanwhile, so that answering does not count.
    async fn cost(&self, daemons: &[Planned], pids: &[String]) -> anyhow::Result<Cost> {
        let before: Vec<(f64, f64)> = pids.iter().map(|pid| processor_us(pid)).collect();
        let start = Instant::now();
        let mut version = None;
        while start.elapsed() < Duration::from_secs(self.seconds) {
            version = Some(append(&self.dir, version).await?);
            tokio::time::sleep(CHANGE_EVERY).await;
        }
        let span_s = start.elapsed().as_secs_f64();
        let after: Vec<(f64, f64)> = pids.iter().map(|pid| processor_us(pid)).collect();
        let count = pids.len() as f64;
        let pairs = || before.iter().zip(&after);
        let sent: Vec<u64> = statuses(daemons)
            .await
            .into_iter()
            .flatten()
            .map(|status| status.control.sent_bytes_per_s)
            .collect();
        let memory: u64 = pids.iter().map(|pid| memory_bytes(pid)).sum();
        Ok(Cost {
            sent_mean: sent.iter().sum::<u64>() / sent.len().max(1) as u64,
            sent_max: sent.iter().copied().max().unwrap_or_default() as f64,
            control_ppm: pairs().map(|(before, after)| after.0 - before.0).sum::<f64>() / span_s / count,
            all_ppm: pairs().map(|(before, after)| after.1 - before.1).sum::<f64>() / span_s / count,
            memory_bytes: memory as f64 / count,
            version,
        })
    }
}

#[derive(Debug)]
struct Cost {
    sent_mean: u64,
    sent_max: f64,
    control_ppm: f64,
    all_ppm: f64,
    memory_bytes: f64,
    version: Option<Offset>,
}

impl Death {
    /// Prints the last field of a CSV row: the time until nobody sees the daemon.
    pub fn run(self) -> anyhow::Result<()> {
        runtime()?.block_on(async {
            let daemons: Vec<Planned> =
                planned(&self.dir)?.into_iter().filter(|daemon| daemon.host != self.host).collect();
            let gone = wait_until(DEATH_LIMIT, LOOK_AT_MEMBERS_EVERY, || is_gone(&daemons, &self.host)).await;
            gone.context("the death was not noticed everywhere")?;
            let now_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
            println!("{}", now_ms.saturating_sub(u128::from(self.since_ms)));
            Ok(())
        })
    }
}

fn pids(dir: &Path, daemons: &[Planned]) -> anyhow::Result<Vec<String>> {
    let read = daemons.iter().map(|daemon| {
        let text = fs::read_to_string(dir.join(format!("{}.pid", daemon.host)))?;
        Ok(text.trim().to_owned())
    });
    read.collect()
}

/// Looks until something is so; returns how long it took.
async fn wait_until<Look, Looking>(limit: Duration, every: Duration, look: Look) -> Option<Duration>
where
    Look: Fn() -> Looking,
    Looking: Future<Output = bool>,
{
    let start = Instant::now();
    while start.elapsed() < limit {
        if look().await {
            return Some(start.elapsed());
        }
        tokio::time::sleep(every).await;
    }
    None
}

async fn members(daemons: &[Planned]) -> Vec<Option<Members>> {
    join_all(daemons.iter().map(async |daemon| get_json(daemon.operators, "/control/members").await.ok()))
        .await
}

async fn statuses(daemons: &[Planned]) -> Vec<Option<Status>> {
    join_all(daemons.iter().map(async |daemon| get_json(daemon.operators, "/control/status").await.ok()))
        .await
}

async fn agrees(daemons: &[Planned]) -> bool {
    members(daemons).await.iter().all(|members| {
        members.as_ref().is_some_and(|members| members.is_heard && members.members.len() == daemons.len())
    })
}

/// How many daemons each sees, for the message of a failure.
async fn sights(daemons: &[Planned]) -> String {
    let seen = members(daemons).await.into_iter().map(|members| match members {
        Some(members) => format!("{}{}", members.members.len(), if members.is_heard { "" } else { "!" }),
        None => "-".to_owned(),
    });
    seen.collect::<Vec<_>>().join(" ")
}

async fn is_gone(daemons: &[Planned], host: &str) -> bool {
    members(daemons).await.iter().all(|members| {
        members.as_ref().is_some_and(|members| members.members.iter().all(|member| member.host != host))
    })
}

/// Publishes changes one after the other and returns the milliseconds until each was in force everywhere.
async fn publish(dir: &Path, daemons: &[Planned], mut version: Option<Offset>) -> anyhow::Result<Vec<u128>> {
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        let start = Instant::now();
        let offset = append(dir, version).await?;
        let took = wait_until(IN_FORCE_LIMIT, LOOK_EVERY, async || {
            let all = statuses(daemons).await;
            all.iter().all(|status| status.as_ref().is_some_and(|status| status.next_offset > offset))
        });
        let Some(_) = took.await else {
            bail!("change {offset} was not in force everywhere in {IN_FORCE_LIMIT:?}");
        };
        times.push(start.elapsed().as_millis());
        version = Some(offset);
        tokio::time::sleep(CHANGE_EVERY).await;
    }
    Ok(times)
}

/// Appends a signed change of one class.
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
    let log = stand_ins(dir)?.log;
    let appended: Appended = post_json(log, "/log/config/append", &Append { records }).await?;
    Ok(Offset(appended.first_offset))
}
