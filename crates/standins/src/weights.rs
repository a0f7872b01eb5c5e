//! Mock of the rate-limited weight store.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::control::{FaultUpdate, Faults};
use crate::http::{Body, Handler, json, not_found, serve};

/// A model in the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredModel {
    /// Name of the model.
    pub model: String,
    /// Size of its weights.
    pub bytes: u64,
}

/// Configuration of a weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// Listen address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Total bandwidth, shared by all readers.
    pub rate_bytes_per_s: u64,
    /// Stored models.
    pub models: Vec<StoredModel>,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            rate_bytes_per_s: 1_000_000_000,
            models: Vec::new(),
        }
    }
}

/// Response to a read; determines how long the download takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WeightAnswer {
    /// Size of the weights.
    pub bytes: u64,
    /// Bandwidth available to this reader.
    pub rate_bytes_per_s: u64,
}

#[derive(Debug, Serialize)]
struct WeightList<'a> {
    rate_bytes_per_s: u64,
    models: &'a [StoredModel],
}

/// A mock weight store.
#[derive(Debug)]
pub struct WeightStore {
    settings: WeightSettings,
    faults: Arc<Faults>,
    reads_until: Mutex<Vec<Instant>>,
}

/// Handle of a running weight store.
#[derive(Clone, Debug)]
pub struct WeightHandle {
    /// Bound address.
    pub address: SocketAddr,
    store: Arc<WeightStore>,
}

impl WeightHandle {
    /// Applies an update of the injected faults.
    pub fn update_faults(&self, update: &FaultUpdate) {
        self.store.faults.update_faults(update);
    }
}

impl WeightStore {
    /// Starts a weight store.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(settings: WeightSettings) -> io::Result<WeightHandle> {
        let store = Arc::new(Self { settings, faults: Arc::default(), reads_until: Mutex::default() });
        let faults = Arc::clone(&store.faults);
        let address = serve(store.settings.address, Arc::clone(&store), faults).await?;
        Ok(WeightHandle { address, store })
    }

    fn read(&self, model: &str) -> Response<Body> {
        let Some(stored) = self.settings.models.iter().find(|stored| stored.model == model) else {
            return not_found();
        };
        let now = Instant::now();
        let mut reads_until = self.reads_until.lock();
        reads_until.retain(|until| *until > now);
        let readers = reads_until.len() as u64 + 1;
        let rate_bytes_per_s = (self.settings.rate_bytes_per_s / readers).max(1);
        let millis = stored.bytes.saturating_mul(1_000) / rate_bytes_per_s;
        reads_until.push(now + Duration::from_millis(millis));
        let answer = WeightAnswer { bytes: stored.bytes, rate_bytes_per_s };
        json(StatusCode::OK, &answer)
    }
}

impl Handler for WeightStore {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let path = request.uri().path();
            if path == "/weights" {
                let list = WeightList {
                    rate_bytes_per_s: self.settings.rate_bytes_per_s,
                    models: &self.settings.models,
                };
                return json(StatusCode::OK, &list);
            }
            path.strip_prefix("/weights/").map_or_else(not_found, |model| self.read(model))
        })
    }
}
