//! Collects the state and ledgers of the mock servers after a run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::client::{CallError, get_json};
use crate::engine::EngineState;
use crate::hosts::Kind;
use crate::plain::Execution;
use crate::plan::Addresses;

/// Maximum wait for engines to release all requests after the last request ended.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Totals over all engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineTotals {
    /// Requests that still hold memory.
    pub held: usize,
    /// Milliseconds until no engine held a request, or until the wait timed out.
    pub empty_after_ms: u64,
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Prompt tokens served from prefix caches.
    pub cached_tokens: u64,
    /// Prefilled tokens evicted before import.
    pub evicted_tokens: u64,
    /// Prefilled tokens cancelled.
    pub cancelled_tokens: u64,
    /// Imported tokens released before decoding started.
    pub unused_tokens: u64,
    /// Imports rejected because no decode slot was free.
    pub slot_refusals: u64,
    /// Streams taken over by a newer connection.
    pub resumes: u64,
}

/// State and ledgers of all mock servers.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Totals over all engines.
    pub engines: EngineTotals,
    /// Prefill work by engine request id.
    pub work: BTreeMap<String, Work>,
    /// Number of executions of plain calls by idempotency key.
    pub executions_by_key: BTreeMap<String, usize>,
    /// Request ids executed by plain instances.
    pub executed_requests: BTreeSet<String>,
}

/// Prefill work for one engine request over all engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Prompt tokens prefilled.
    pub tokens: u64,
    /// Prefilled tokens of the largest result that was imported.
    pub used_tokens: u64,
}

impl Audit {
    /// Queries all mock servers, after waiting up to 5 s for the engines to release all requests. An engine that does
    /// not respond was killed deliberately and holds nothing.
    ///
    /// # Errors
    /// A plain instance does not respond, so its ledger is missing.
    pub async fn collect(addresses: &Addresses) -> Result<Self, CallError> {
        let mut audit = Self::default();
        let started = Instant::now();
        loop {
            let states = engine_states(addresses).await;
            let held: usize = states.iter().map(|state| state.held.len()).sum();
            if held == 0 || started.elapsed() >= DRAIN_TIMEOUT {
                let empty_after_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                audit.add_engines(&states, held, empty_after_ms);
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        for entry in addresses.backend_servers.iter().filter(|entry| entry.kind == Kind::Plain) {
            let ledger: Vec<Execution> = get_json(entry.address, "/standin/ledger").await?;
            audit.add_ledger(ledger);
        }
        Ok(audit)
    }

    fn add_engines(&mut self, states: &[EngineState], held: usize, empty_after_ms: u64) {
        self.engines.held = held;
        self.engines.empty_after_ms = empty_after_ms;
        for state in states {
            self.engines.prefill_tokens += state.counters.prefill_tokens;
            self.engines.cached_tokens += state.counters.cached_tokens;
            self.engines.evicted_tokens += state.counters.evicted_tokens;
            self.engines.cancelled_tokens += state.counters.cancelled_tokens;
            self.engines.unused_tokens += state.counters.unused_tokens;
            self.engines.slot_refusals += state.counters.slot_refusals;
            self.engines.resumes += state.counters.resumes;
            for (id, done) in &state.work {
                let work = self.work.entry(id.clone()).or_default();
                work.tokens += done.work_tokens;
                work.used_tokens = work.used_tokens.max(done.exported_tokens);
            }
        }
    }

    /// Adds the ledger of one plain instance.
    pub fn add_ledger(&mut self, ledger: Vec<Execution>) {
        for execution in ledger {
            self.executed_requests.extend(execution.request_id);
            if let Some(key) = execution.idempotency_key {
                *self.executions_by_key.entry(key).or_default() += 1;
            }
        }
    }

    /// Prefill work for the caller's `request_id`; the router may append a suffix for each of its own attempts.
    pub fn prefill_work(&self, request_id: &str) -> Work {
        let named = self.work.range(request_id.to_owned()..);
        let named = named.take_while(|(id, _)| id.starts_with(request_id));
        let own =
            named.filter(|(id, _)| !id[request_id.len()..].starts_with(|c: char| c.is_ascii_hexdigit()));
        own.fold(Work::default(), |sum, (_, work)| Work {
            tokens: sum.tokens + work.tokens,
            used_tokens: sum.used_tokens.max(work.used_tokens),
        })
    }
}

async fn engine_states(addresses: &Addresses) -> Vec<EngineState> {
    let mut states = Vec::new();
    for entry in addresses.backend_servers.iter().filter(|entry| entry.kind == Kind::Engine) {
        states.extend(get_json::<EngineState>(entry.address, "/standin/state").await.ok());
    }
    states
}
