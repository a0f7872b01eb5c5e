//! What the stand-ins' own accounts say after a run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::client::{CallError, get_json};
use crate::engine::EngineState;
use crate::hosts::Kind;
use crate::plain::Execution;
use crate::plan::Addresses;

/// How long engines get to be empty after the last request ended.
const EMPTY_WITHIN: Duration = Duration::from_secs(5);
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Work of all engines together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineTotals {
    /// Requests that still hold memory.
    pub held: usize,
    /// Milliseconds until nothing was held any more.
    pub empty_after_ms: u64,
    /// Prompt tokens read.
    pub prefill_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
    /// Prefilled tokens evicted before they were imported.
    pub evicted_tokens: u64,
    /// Prefilled tokens cancelled.
    pub cancelled_tokens: u64,
    /// Imported tokens never decoded from.
    pub unused_tokens: u64,
    /// Imports refused because no slot was free.
    pub slot_refusals: u64,
    /// Streams taken over by a newer connection.
    pub resumes: u64,
}

/// The accounts of all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Engines together.
    pub engines: EngineTotals,
    /// Prefill work per engine request: all of it, and the largest part that was used.
    pub work: BTreeMap<String, Work>,
    /// Executions of plain calls by idempotency key.
    pub runs_by_key: BTreeMap<String, usize>,
    /// Request ids that plain instances saw.
    pub ran_requests: BTreeSet<String>,
}

/// Prefill work for one engine request over all engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// All of it.
    pub tokens: u64,
    /// The part that led to a result which was imported.
    pub used_tokens: u64,
}

impl Audit {
    /// Asks all stand-ins, after giving the engines time to be empty. One that does not answer was killed on
    /// purpose, and what it held is gone with it.
    ///
    /// # Errors
    /// A plain instance does not answer, so that its ledger is missing.
    pub async fn take(addresses: &Addresses) -> Result<Self, CallError> {
        let mut audit = Self::default();
        let started = Instant::now();
        loop {
            let states = engine_states(addresses).await;
            let held: usize = states.iter().map(|state| state.held.len()).sum();
            if held == 0 || started.elapsed() >= EMPTY_WITHIN {
                let empty_after_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                audit.add_engines(&states, held, empty_after_ms);
                break;
            }
            sleep(LOOK_EVERY).await;
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
            self.ran_requests.extend(execution.request_id);
            if let Some(key) = execution.idempotency_key {
                *self.runs_by_key.entry(key).or_default() += 1;
            }
        }
    }

    /// Prefill work for the request that callers know as `request_id`; the router may add a suffix for each
    /// attempt of its own.
    pub fn work_of(&self, request_id: &str) -> Work {
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
