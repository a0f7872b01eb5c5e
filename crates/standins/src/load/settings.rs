//! What the load tool sends.

use std::net::SocketAddr;

use serde::Deserialize;

/// The load of one run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// The daemons; a caller is sent to any of them.
    pub daemons: Vec<Entry>,
    /// Flows of requests that are alike.
    pub flows: Vec<Flow>,
}

/// A daemon as the balancer knows it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where readiness is told; without it the daemon counts as ready.
    pub operators: Option<SocketAddr>,
}

/// Requests of one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Flow {
    /// The partner who sends them, as the report names it.
    pub partner: String,
    /// Its bearer token.
    pub token: String,
    /// The class of work.
    pub class: String,
    /// What they ask for.
    pub kind: FlowKind,
    /// Mean arrivals in a second; they come whether or not earlier ones were answered.
    pub rate_per_s: f64,
    /// How many are sent.
    pub count: usize,
    /// Target for the first token, or for the whole answer of a plain call.
    pub first_token_target_ms: u64,
    /// Target for the mean time between tokens.
    pub per_token_target_ms: u64,
    /// Calls of one request, the first included.
    pub attempts: usize,
    /// How long a caller waits for one call to end.
    pub timeout_ms: u64,
    /// Model that language requests name.
    pub model: String,
    /// Length of the prompt that many requests begin with.
    pub prefix_bytes: usize,
    /// Number of such beginnings.
    pub prefixes: usize,
    /// Least and greatest length of a prompt behind its beginning.
    pub prompt_bytes: (usize, usize),
    /// Least and greatest length of an answer.
    pub answer_tokens: (usize, usize),
    /// Share of callers who leave before their answer is whole.
    pub leaving_share: f64,
    /// Name of the plain service.
    pub service: String,
    /// Start of the path of plain calls.
    pub path: String,
}

/// What the requests of a flow ask for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowKind {
    /// A streamed completion.
    #[default]
    Completion,
    /// A plain call that must run at most once, with a key that a second call repeats.
    Once,
    /// A plain page that may be read again.
    Page,
}

impl Default for Flow {
    fn default() -> Self {
        Self {
            partner: String::new(),
            token: String::new(),
            class: String::new(),
            kind: FlowKind::Completion,
            rate_per_s: 10.0,
            count: 100,
            first_token_target_ms: 1_000,
            per_token_target_ms: 50,
            attempts: 6,
            timeout_ms: 15_000,
            model: "small".to_owned(),
            prefix_bytes: 1_024,
            prefixes: 8,
            prompt_bytes: (1_024, 8_192),
            answer_tokens: (8, 32),
            leaving_share: 0.0,
            service: String::new(),
            path: "/".to_owned(),
        }
    }
}
