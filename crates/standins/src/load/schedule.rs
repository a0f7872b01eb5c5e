//! Send times and contents of requests, derived only from the seed.

use std::fmt::Write as _;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::load::settings::{Flow, LoadPlan};

/// A planned request.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Index of its flow in the plan.
    pub flow: usize,
    /// Unique name; also the idempotency key.
    pub name: String,
    /// Send time, relative to the start of the run.
    pub at: Duration,
    /// Prompt of a completion, or body of a plain call.
    pub text: String,
    /// Answer length of a completion.
    pub answer_tokens: usize,
    /// Time after sending at which the caller disconnects; `None` if it stays connected.
    pub disconnect_after: Option<Duration>,
    /// Seed for the caller's choice of daemons and back-off.
    pub seed: u64,
}

/// Maximum time after which a leaving caller disconnects.
const MAX_DISCONNECT_DELAY_MS: u64 = 300;

/// Plans all requests of a run, ordered by send time. `run` prefixes the names, so that runs do not collide.
pub fn schedule(plan: &LoadPlan, run: &str) -> Vec<PlannedRequest> {
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

fn plan_one(rng: &mut StdRng, flow: usize, settings: &Flow, name: String, at: Duration) -> PlannedRequest {
    let (min, max) = settings.answer_tokens;
    let disconnects = rng.random_bool(settings.leaving_share);
    let disconnect_ms = rng.random_range(0..MAX_DISCONNECT_DELAY_MS);
    PlannedRequest {
        flow,
        text: text(rng, settings, &name),
        name,
        at,
        answer_tokens: rng.random_range(min..=max),
        disconnect_after: disconnects.then(|| Duration::from_millis(disconnect_ms)),
        seed: rng.random(),
    }
}

/// Draws the time to the next arrival of a Poisson process.
fn next_gap(rng: &mut StdRng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate_per_s)
}

/// Builds a text from a shared prefix, random letters and the request name.
fn text(rng: &mut StdRng, settings: &Flow, name: &str) -> String {
    let prefix = rng.random_range(0..settings.prefixes.max(1));
    let mut text = String::new();
    while text.len() < settings.prefix_bytes {
        let _ = write!(text, "notes of household {prefix} at {} {}; ", settings.partner, text.len());
    }
    text.truncate(settings.prefix_bytes);
    let (min, max) = settings.prompt_bytes;
    let own = text.len() + rng.random_range(min..=max);
    while text.len() < own {
        text.push(char::from(rng.random_range(b'a'..=b'z')));
    }
    text.push(' ');
    text.push_str(name);
    text
}
