//! Configuration of the load generator.

use std::net::SocketAddr;

use serde::Deserialize;

/// The load of one run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Daemons that callers are balanced over.
    pub daemons: Vec<Entry>,
    /// Request flows.
    pub flows: Vec<Flow>,
}

/// A daemon, as configured in the load balancer.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators, probed for readiness; without it the daemon counts as ready.
    pub operators: Option<SocketAddr>,
}

/// Requests with the same class and configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Flow {
    /// Partner that sends the requests; shown in the report.
    pub partner: String,
    /// Bearer token of the partner.
    pub token: String,
    /// Service class.
    pub class: String,
    /// Kind of the requests.
    pub kind: FlowKind,
    /// Mean arrivals per second, independent of earlier responses (open loop).
    pub rate_per_s: f64,
    /// Number of requests.
    pub count: usize,
    /// Target for the first token, or for the complete response of a plain call.
    pub first_token_target_ms: u64,
    /// Target for the mean time between tokens.
    pub per_token_target_ms: u64,
    /// Maximum calls per request, including the first.
    pub attempts: usize,
    /// Timeout of one call.
    pub timeout_ms: u64,
    /// Model of completion requests.
    pub model: String,
    /// Length of the shared prompt prefix.
    pub prefix_bytes: usize,
    /// Number of distinct shared prefixes.
    pub prefixes: usize,
    /// Minimum and maximum prompt length after the prefix.
    pub prompt_bytes: (usize, usize),
    /// Minimum and maximum answer length.
    pub answer_tokens: (usize, usize),
    /// Share of callers that disconnect early, from 0 to 1.
    pub leaving_share: f64,
    /// Name of the plain service.
    pub service: String,
    /// Path of plain calls.
    pub path: String,
}

/// Kind of the requests in a flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowKind {
    /// A streamed completion.
    #[default]
    Completion,
    /// A plain call that must run at most once; retries reuse the idempotency key.
    Once,
    /// An idempotent GET of a plain service.
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
