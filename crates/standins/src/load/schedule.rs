//! When each request is sent and what it holds, drawn from the seed alone.

use std::fmt::Write as _;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::load::settings::{Flow, LoadPlan};

/// One planned request.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Index of its flow in the plan.
    pub flow: usize,
    /// Names it within the run; also its idempotency key.
    pub name: String,
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Prompt of a completion, body of a plain call.
    pub text: String,
    /// Length of the answer to a completion.
    pub answer_tokens: usize,
    /// When its caller leaves, from its sending; `None` for one who stays.
    pub leaves_after: Option<Duration>,
    /// Seed of what the caller draws while it runs: which daemon, how long to back off.
    pub seed: u64,
}

/// Longest time that a leaving caller stays.
const LEAVING_WITHIN_MS: u64 = 300;

/// Plans every request of a run, in order of time. `run` tells apart the names of two runs.
pub fn schedule(plan: &LoadPlan, run: &str) -> Vec<Planned> {
    let mut planned = Vec::new();
    for (flow, settings) in plan.flows.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_add(flow as u64));
        let mut at = Duration::ZERO;
        for number in 0..settings.count {
            at += next_gap(&mut rng, settings.rate_per_s);
            let name = format!("{run}-{}-{}-{number}", settings.partner, settings.class);
            planned.push(plan_one(&mut rng, flow, settings, name, at));
        }
    }
    planned.sort_by_key(|request| request.at);
    planned
}

fn plan_one(rng: &mut StdRng, flow: usize, settings: &Flow, name: String, at: Duration) -> Planned {
    let (least, greatest) = settings.answer_tokens;
    let leaves = rng.random_bool(settings.leaving_share);
    let stays_ms = rng.random_range(0..LEAVING_WITHIN_MS);
    Planned {
        flow,
        text: text(rng, settings, &name),
        name,
        at,
        answer_tokens: rng.random_range(least..=greatest),
        leaves_after: leaves.then(|| Duration::from_millis(stays_ms)),
        seed: rng.random(),
    }
}

/// Time to the next arrival of a Poisson process.
fn next_gap(rng: &mut StdRng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate_per_s)
}

/// A beginning shared with other requests, then words of its own, then its name.
fn text(rng: &mut StdRng, settings: &Flow, name: &str) -> String {
    let prefix = rng.random_range(0..settings.prefixes.max(1));
    let mut text = String::new();
    while text.len() < settings.prefix_bytes {
        let _ = write!(text, "notes of household {prefix} at {} {}; ", settings.partner, text.len());
    }
    text.truncate(settings.prefix_bytes);
    let (least, greatest) = settings.prompt_bytes;
    let own = text.len() + rng.random_range(least..=greatest);
    while text.len() < own {
        text.push(char::from(rng.random_range(b'a'..=b'z')));
    }
    text.push(' ');
    text.push_str(name);
    text
}
