//! Mock of the platform's append-only log.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures_util::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::control::{FaultUpdate, Faults};
use crate::http::{Body, Handler, bad_request, json, not_found, query_number, read_json, serve};

const MILLIS_PER_SECOND: u64 = 1_000;
const DEFAULT_LIMIT: u64 = 1_000;

/// Configuration of a log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Listen address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Maximum append calls per second over all streams.
    pub appends_per_s: u64,
    /// Record retention; 0 keeps records indefinitely.
    pub retention_ms: u64,
    /// Maximum number of records per stream.
    pub retention_records: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            appends_per_s: 500,
            retention_ms: 0,
            retention_records: 1_000_000,
        }
    }
}

#[derive(Debug, Deserialize)]
struct AppendCall {
    records: Vec<String>,
}

#[derive(Debug, Serialize)]
struct AppendAnswer {
    first_offset: u64,
}

#[derive(Clone, Debug, Serialize)]
struct PageRecord {
    offset: u64,
    data: String,
}

#[derive(Debug, Serialize)]
struct Page {
    start_offset: u64,
    next_offset: u64,
    records: Vec<PageRecord>,
}

#[derive(Debug)]
struct StoredRecord {
    data: String,
    at: Instant,
}

#[derive(Debug, Default)]
struct Stream {
    start_offset: u64,
    records: VecDeque<StoredRecord>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.start_offset + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        if self.records.pop_front().is_some() {
            self.start_offset += 1;
        }
    }
}

#[derive(Debug)]
struct Store {
    settings: LogSettings,
    streams: Mutex<BTreeMap<String, Stream>>,
    appends: Mutex<VecDeque<Instant>>,
    append_counts: Mutex<BTreeMap<String, u64>>,
    changes: watch::Sender<u64>,
}

/// A mock log at one address. Several services can share one store, each with its own faults: to partition a data
/// centre from the log, give it a separate address and inject the fault there.
#[derive(Debug)]
pub struct LogService {
    store: Arc<Store>,
    faults: Arc<Faults>,
}

/// Handle of a running log.
#[derive(Clone, Debug)]
pub struct LogHandle {
    /// Bound address.
    pub address: SocketAddr,
    service: Arc<LogService>,
}

impl LogHandle {
    /// Applies an update of the injected faults at this address.
    pub fn update_faults(&self, update: &FaultUpdate) {
        self.service.faults.update_faults(update);
    }

    /// Number of accepted append calls by stream.
    pub fn appends(&self) -> BTreeMap<String, u64> {
        self.service.store.append_counts.lock().clone()
    }

    /// Retained records of a stream with their offsets.
    ///
    /// # Panics
    /// Never: `append` accepts only valid base64.
    pub fn records(&self, stream: &str) -> Vec<(u64, Vec<u8>)> {
        let page = self.service.store.page(stream, 0, u64::MAX);
        let decoded = page.records.into_iter().map(|record| {
            let data = STANDARD.decode(record.data).expect("only base64 is stored");
            (record.offset, data)
        });
        decoded.collect()
    }

    /// Drops the `count` oldest records of a stream, as retention does.
    pub fn expire(&self, stream: &str, count: usize) {
        let mut streams = self.service.store.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        (0..count).for_each(|_| stream.drop_oldest());
    }

    /// Serves the same store at another address with independent faults.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve_at(&self, address: SocketAddr) -> io::Result<LogHandle> {
        LogService::serve(Arc::clone(&self.service.store), address).await
    }
}

impl LogService {
    /// Starts a log.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(settings: LogSettings) -> io::Result<LogHandle> {
        let address = settings.address;
        let store = Arc::new(Store {
            settings,
            streams: Mutex::default(),
            appends: Mutex::default(),
            append_counts: Mutex::default(),
            changes: watch::Sender::new(0),
        });
        Self::serve(store, address).await
    }

    async fn serve(store: Arc<Store>, address: SocketAddr) -> io::Result<LogHandle> {
        let service = Arc::new(Self { store, faults: Arc::default() });
        let faults = Arc::clone(&service.faults);
        let address = serve(address, Arc::clone(&service), faults).await?;
        Ok(LogHandle { address, service })
    }

    async fn append(&self, stream: &str, request: Request<Incoming>) -> Response<Body> {
        let call: AppendCall = match read_json(request).await {
            Ok(call) => call,
            Err(error) => return bad_request(&error),
        };
        if call.records.is_empty() || call.records.iter().any(|data| STANDARD.decode(data).is_err()) {
            return json(StatusCode::BAD_REQUEST, &());
        }
        if let Err(wait) = self.store.admit_append(Instant::now()) {
            return rate_limited(wait);
        }
        let first_offset = self.store.append(stream, call.records);
        json(StatusCode::OK, &AppendAnswer { first_offset })
    }

    async fn read(&self, stream: &str, request: &Request<Incoming>) -> Response<Body> {
        let from = query_number(request, "from").unwrap_or_default();
        let limit = query_number(request, "limit").unwrap_or(DEFAULT_LIMIT);
        let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or_default());
        let mut changes = self.store.changes.subscribe();
        let new_records = async {
            while self.store.page(stream, from, 1).records.is_empty() && changes.changed().await.is_ok() {}
        };
        // After the timeout the current page is returned, without new records.
        let _ = timeout(wait, new_records).await;
        if self.faults.is_unavailable() {
            return unavailable();
        }
        json(StatusCode::OK, &self.store.page(stream, from, limit))
    }
}

impl Store {
    /// Admits an append call under a sliding window of one second; otherwise returns the time to wait.
    fn admit_append(&self, now: Instant) -> Result<(), Duration> {
        let window = Duration::from_secs(1);
        let mut appends = self.appends.lock();
        while appends.front().is_some_and(|at| now - *at >= window) {
            appends.pop_front();
        }
        if appends.len() as u64 >= self.settings.appends_per_s {
            let oldest = appends.front().copied().unwrap_or(now);
            return Err(window.saturating_sub(now - oldest));
        }
        appends.push_back(now);
        Ok(())
    }

    fn append(&self, name: &str, records: Vec<String>) -> u64 {
        let at = Instant::now();
        let mut streams = self.streams.lock();
        let stream = streams.entry(name.to_owned()).or_default();
        let first_offset = stream.next_offset();
        stream.records.extend(records.into_iter().map(|data| StoredRecord { data, at }));
        drop(streams);
        *self.append_counts.lock().entry(name.to_owned()).or_default() += 1;
        self.changes.send_modify(|count| *count += 1);
        first_offset
    }

    fn page(&self, name: &str, from: u64, limit: u64) -> Page {
        let mut streams = self.streams.lock();
        let stream = streams.entry(name.to_owned()).or_default();
        self.expire(stream);
        let first = from.max(stream.start_offset);
        let skip = usize::try_from(first - stream.start_offset).unwrap_or(usize::MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let records = (first..).zip(stream.records.iter().skip(skip)).take(limit);
        Page {
            start_offset: stream.start_offset,
            next_offset: stream.next_offset(),
            records: records
                .map(|(offset, stored)| PageRecord { offset, data: stored.data.clone() })
                .collect(),
        }
    }

    fn expire(&self, stream: &mut Stream) {
        while stream.records.len() > self.settings.retention_records {
            stream.drop_oldest();
        }
        let retention = Duration::from_millis(self.settings.retention_ms);
        if retention.is_zero() {
            return;
        }
        while stream.records.front().is_some_and(|oldest| oldest.at.elapsed() >= retention) {
            stream.drop_oldest();
        }
    }
}

fn unavailable() -> Response<Body> {
    json(StatusCode::SERVICE_UNAVAILABLE, &())
}

fn rate_limited(wait: Duration) -> Response<Body> {
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(MILLIS_PER_SECOND) + 1;
    let mut response = json(StatusCode::TOO_MANY_REQUESTS, &());
    response.headers_mut().insert("retry-after-ms", HeaderValue::from(wait_ms));
    response
}

impl Handler for LogService {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            if request.uri().path() == "/standin/state" {
                return json(StatusCode::OK, &*self.store.append_counts.lock());
            }
            let path = request.uri().path().to_owned();
            let Some(rest) = path.strip_prefix("/log/") else {
                return not_found();
            };
            if self.faults.is_unavailable() {
                return unavailable();
            }
            if request.method() == Method::GET {
                return self.read(rest, &request).await;
            }
            match rest.strip_suffix("/append") {
                Some(stream) => self.append(stream, request).await,
                None => not_found(),
            }
        })
    }
}
