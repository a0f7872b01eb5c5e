//! Mock inference engine with batched decoding, decode slots, a bounded prefix cache and eviction of prefill
//! results, in scaled real time.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::control::{FaultUpdate, Faults};
use crate::engine_cache::PrefixCache;
use crate::engine_memory::{EngineCounters, HeldRequest, Memory, Owner, RequestWork};
use crate::http::{Body, Handler, json, not_found, query_number, serve};

mod orders;
mod transfer;
mod work;

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs prefills.
    #[default]
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Configuration of an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Listen address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Initial role.
    pub role: Role,
    /// Models loaded at start.
    pub models: Vec<String>,
    /// Number of decode slots.
    pub slots: usize,
    /// Whether orders with a fencing token lower than the last one are rejected.
    pub checks_fencing: bool,
    /// Prefill time per prompt token.
    pub prefill_us_per_token: u64,
    /// Base duration of a decode step.
    pub decode_step_us: u64,
    /// Additional duration of a decode step per request in the batch.
    pub decode_step_us_per_request: u64,
    /// KV cache size per token.
    pub kv_bytes_per_token: u64,
    /// KV cache capacity shown in the load report.
    pub kv_bytes_total: u64,
    /// Retention of a prefill result that has not been exported.
    pub evict_after_ms: u64,
    /// Link bandwidth, shared by all inbound transfers.
    pub link_bytes_per_s: u64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Maximum age of a load report.
    pub load_lag_ms: u64,
    /// Delay until cache events become visible.
    pub cache_event_lag_ms: u64,
    /// Drops every n-th cache event; 0 drops none.
    pub cache_gap_every: u64,
    /// Address of the weight store; if absent, models load instantly.
    pub weights: Option<SocketAddr>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            role: Role::Prefill,
            models: vec!["small".to_owned()],
            slots: 20,
            checks_fencing: true,
            prefill_us_per_token: 20,
            decode_step_us: 2_000,
            decode_step_us_per_request: 100,
            kv_bytes_per_token: 1_000,
            kv_bytes_total: 1_000_000_000,
            evict_after_ms: 800,
            link_bytes_per_s: 1_000_000_000,
            cache_blocks: 2_000,
            load_lag_ms: 500,
            cache_event_lag_ms: 200,
            cache_gap_every: 50,
            weights: None,
        }
    }
}

/// State returned by `GET /standin/state`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineState {
    /// Requests that hold memory on the engine.
    pub held: Vec<HeldRequest>,
    /// Counters since the start.
    pub counters: EngineCounters,
    /// Prefill work by request id.
    pub work: BTreeMap<String, RequestWork>,
    /// Applied orders, oldest first.
    pub orders: Vec<AppliedOrder>,
    /// Loaded models.
    pub models: BTreeSet<String>,
    /// Whether the current role is decode.
    pub decodes: bool,
}

/// An order that an engine applied.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AppliedOrder {
    /// Id of the order.
    pub order_id: String,
    /// Fencing token of the order.
    pub fencing: u64,
}

#[derive(Clone, Debug, Serialize)]
struct LoadReport {
    as_of_ms_ago: u64,
    role: Role,
    models: BTreeSet<String>,
    fencing_checked: bool,
    slots_total: usize,
    slots_used: usize,
    prefill_queue_tokens: u64,
    kv_bytes_used: u64,
    kv_bytes_total: u64,
    held: Vec<HeldRequest>,
    #[serde(skip)]
    taken_at: Instant,
}

#[derive(Debug)]
struct Orders {
    role: Role,
    models: BTreeSet<String>,
    applied: Vec<AppliedOrder>,
    last_fencing: u64,
}

/// A mock engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    faults: Arc<Faults>,
    memory: Mutex<Memory>,
    orders: Mutex<Orders>,
    report: Mutex<Option<LoadReport>>,
    transfers: Mutex<usize>,
    changes: watch::Sender<u64>,
}

/// Handle of a running engine.
#[derive(Clone, Debug)]
pub struct EngineHandle {
    /// Bound address.
    pub address: SocketAddr,
    engine: Arc<Engine>,
}

impl EngineHandle {
    /// Returns a snapshot of the state.
    pub fn state(&self) -> EngineState {
        self.engine.state()
    }

    /// Applies an update of the injected faults.
    pub fn update_faults(&self, update: &FaultUpdate) {
        self.engine.faults.update_faults(update);
    }

    /// Waits until the engine holds no request.
    pub async fn wait_empty(&self) {
        let mut changes = self.engine.changes.subscribe();
        while !self.engine.memory.lock().held_requests().is_empty() && changes.changed().await.is_ok() {}
    }

    /// Waits until `ready` returns true; checked after each state change.
    pub async fn wait_until<F>(&self, ready: F)
    where
        F: Fn(&EngineState) -> bool,
    {
        let mut changes = self.engine.changes.subscribe();
        while !ready(&self.state()) && changes.changed().await.is_ok() {}
    }
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<EngineHandle> {
        let cache = PrefixCache::new(
            settings.cache_blocks,
            Duration::from_millis(settings.cache_event_lag_ms),
            settings.cache_gap_every,
        );
        let engine = Arc::new(Self {
            memory: Mutex::new(Memory::new(settings.slots, cache)),
            orders: Mutex::new(Orders {
                role: settings.role,
                models: settings.models.iter().cloned().collect(),
                applied: Vec::new(),
                last_fencing: 0,
            }),
            report: Mutex::new(None),
            transfers: Mutex::new(0),
            changes: watch::Sender::new(0),
            faults: Arc::default(),
            settings,
        });
        let faults = Arc::clone(&engine.faults);
        let address = serve(engine.settings.address, Arc::clone(&engine), faults).await?;
        engine.spawn(|engine| async move { engine.run_prefills().await });
        engine.spawn(|engine| async move { engine.run_decode().await });
        engine.spawn(|engine| async move { engine.run_evictions().await });
        Ok(EngineHandle { address, engine })
    }

    fn spawn<W, F>(self: &Arc<Self>, work: W)
    where
        W: FnOnce(Arc<Self>) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        let killed = self.faults.killed().clone();
        let work = work(Arc::clone(self));
        tokio::spawn(async move { killed.run_until_cancelled(work).await });
    }

    /// Applies `change` to the memory and notifies subscribers.
    fn change<R, F>(&self, change: F) -> R
    where
        F: FnOnce(&mut Memory) -> R,
    {
        let result = change(&mut self.memory.lock());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    fn state(&self) -> EngineState {
        let memory = self.memory.lock();
        let orders = self.orders.lock();
        EngineState {
            held: memory.held_requests(),
            counters: memory.counters,
            work: memory.work().clone(),
            orders: orders.applied.clone(),
            models: orders.models.clone(),
            decodes: orders.role == Role::Decode,
        }
    }

    /// Returns the cached load report, refreshed once it is older than `load_lag_ms`.
    fn load(&self) -> LoadReport {
        let now = Instant::now();
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let mut last = self.report.lock();
        let report = match last.take() {
            Some(report) if now - report.taken_at < lag => report,
            _ => self.take_report(now),
        };
        *last = Some(report.clone());
        let age_ms = u64::try_from((now - report.taken_at).as_millis()).unwrap_or(u64::MAX);
        LoadReport { as_of_ms_ago: age_ms, ..report }
    }

    fn take_report(&self, now: Instant) -> LoadReport {
        let memory = self.memory.lock();
        let orders = self.orders.lock();
        LoadReport {
            as_of_ms_ago: 0,
            role: orders.role,
            models: orders.models.clone(),
            fencing_checked: self.settings.checks_fencing,
            slots_total: self.settings.slots,
            slots_used: memory.slots_used(),
            prefill_queue_tokens: memory.queued_tokens(),
            kv_bytes_used: memory.tokens_held() * self.settings.kv_bytes_per_token,
            kv_bytes_total: self.settings.kv_bytes_total,
            held: memory.held_requests(),
            taken_at: now,
        }
    }

    fn cache_events(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = query_number(request, "after").unwrap_or_default();
        let page = self.memory.lock().cache.events(after, Instant::now());
        json(StatusCode::OK, &page)
    }

    async fn run_evictions(&self) {
        let mut changes = self.changes.subscribe();
        loop {
            let next = self.memory.lock().evict_due(Instant::now());
            let due = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => self.changes.send_modify(|count| *count += 1),
                result = changes.changed() => if result.is_err() { return },
            }
        }
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let method = request.method().clone();
            let path = request.uri().path().to_owned();
            match (method, path.as_str()) {
                (Method::GET, "/standin/state") => json(StatusCode::OK, &self.state()),
                (Method::POST, "/standin/export") => self.export(request).await,
                (Method::POST, "/standin/exported") => self.exported(request).await,
                (Method::POST, "/engine/prefill") => self.prefill(request).await,
                (Method::POST, "/engine/import") => self.import(request).await,
                (Method::POST, "/engine/decode") => self.decode(request).await,
                (Method::POST, "/engine/cancel") => self.cancel(request).await,
                (Method::POST, "/engine/cancel_owner") => self.cancel_owner(request).await,
                (Method::GET, "/engine/load") => json(StatusCode::OK, &self.load()),
                (Method::GET, "/engine/cache_events") => self.cache_events(&request),
                (Method::POST, "/engine/order") => self.order(request).await,
                _ => not_found(),
            }
        })
    }
}

/// Body of calls that name a request and its owner.
#[derive(Debug, Deserialize)]
struct RequestCall {
    request_id: String,
    owner: Owner,
}
