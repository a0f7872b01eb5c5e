//! Mock plain HTTP service with a ledger of all executions.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::control::{FaultUpdate, Faults};
use crate::http::{Body, Handler, bad_request, json, read_body, serve, with_body};

/// Configuration of a plain service instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSettings {
    /// Listen address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Name of the service, echoed in responses.
    pub service: String,
    /// Processing time of a call.
    pub service_time_us: u64,
    /// Concurrent calls shown as capacity in the load report.
    pub capacity: u64,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            service: "plain".to_owned(),
            service_time_us: 1_000,
            capacity: 64,
        }
    }
}

/// An executed call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Execution {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Header `x-request-id`.
    pub request_id: Option<String>,
    /// BLAKE3 of the body, hex.
    pub body_hash: String,
}

/// Response to an executed call; lets the caller verify that it belongs to its request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PlainAnswer {
    /// Name of the service.
    pub service: String,
    /// The executed call.
    pub execution: Execution,
    /// Index in the ledger of this instance, from 0.
    pub number: u64,
}

#[derive(Debug, Serialize)]
struct LoadReport {
    as_of_ms_ago: u64,
    in_flight: u64,
    capacity: u64,
}

/// A mock plain service instance.
#[derive(Debug)]
pub struct PlainService {
    settings: PlainSettings,
    faults: Arc<Faults>,
    ledger: Mutex<Vec<Execution>>,
    in_flight: AtomicU64,
    changes: watch::Sender<u64>,
}

/// Handle of a running plain service instance.
#[derive(Clone, Debug)]
pub struct PlainHandle {
    /// Bound address.
    pub address: SocketAddr,
    service: Arc<PlainService>,
}

impl PlainHandle {
    /// All executed calls, oldest first.
    pub fn ledger(&self) -> Vec<Execution> {
        self.service.ledger.lock().clone()
    }

    /// Applies an update of the injected faults.
    pub fn update_faults(&self, update: &FaultUpdate) {
        self.service.faults.update_faults(update);
    }

    /// Waits until `count` calls have been executed.
    pub async fn wait_executed(&self, count: usize) {
        let mut changes = self.service.changes.subscribe();
        while self.service.ledger.lock().len() < count && changes.changed().await.is_ok() {}
    }
}

impl PlainService {
    /// Starts a plain service instance.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(settings: PlainSettings) -> io::Result<PlainHandle> {
        let service = Arc::new(Self {
            settings,
            faults: Arc::default(),
            ledger: Mutex::default(),
            in_flight: AtomicU64::new(0),
            changes: watch::Sender::new(0),
        });
        let faults = Arc::clone(&service.faults);
        let address = serve(service.settings.address, Arc::clone(&service), faults).await?;
        Ok(PlainHandle { address, service })
    }

    async fn execute(&self, request: Request<Incoming>) -> Response<Body> {
        if self.faults.is_leaving() {
            return draining();
        }
        let text = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let idempotency_key = text("idempotency-key");
        let request_id = text("x-request-id");
        let method = request.method().to_string();
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(error) => return bad_request(&error),
        };
        let execution = Execution {
            method,
            path,
            idempotency_key,
            request_id,
            body_hash: blake3::hash(&body).to_string(),
        };
        let number = self.record(execution.clone());
        let time = Duration::from_micros(self.settings.service_time_us);
        sleep(self.faults.scale_time(time)).await;
        let answer = PlainAnswer { service: self.settings.service.clone(), execution, number };
        json(StatusCode::OK, &answer)
    }

    fn record(&self, execution: Execution) -> u64 {
        let mut ledger = self.ledger.lock();
        ledger.push(execution);
        let number = ledger.len() as u64 - 1;
        drop(ledger);
        self.changes.send_modify(|count| *count += 1);
        number
    }

    fn load(&self) -> Response<Body> {
        let report = LoadReport {
            as_of_ms_ago: 0,
            in_flight: self.in_flight.load(Ordering::SeqCst),
            capacity: self.settings.capacity,
        };
        json(StatusCode::OK, &report)
    }
}

fn draining() -> Response<Body> {
    let mut response = with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    response.headers_mut().insert("x-leaving", HeaderValue::from_static("true"));
    response
}

/// Counts a call as in flight until dropped, including when the connection fails.
struct InFlight(Arc<PlainService>);

impl InFlight {
    fn new(service: Arc<PlainService>) -> Self {
        service.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(service)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for PlainService {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match request.uri().path() {
                "/standin/ledger" => json(StatusCode::OK, &*self.ledger.lock()),
                "/service/load" => self.load(),
                _ => {
                    let counted = InFlight::new(self);
                    counted.0.execute(request).await
                }
            }
        })
    }
}
