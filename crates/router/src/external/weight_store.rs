//! HTTP client of the weight store.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use hibiscusvale_core::units::BytesPerSecond;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;

use super::{PlatformFailure, StoredModel, WeightStore, WeightStoreInfo};
use crate::backend::{BackendHttp, CallFailure, ConnectionReuse, read_body, uri};

/// Response timeout: planning tolerates a slow store, but not one that stopped responding.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest response; enough for several thousand models.
const MAX_LIST_BYTES: usize = 1 << 20;

/// [`WeightStore`] over HTTP. Calls are rare, so each one opens its own connection.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    http: BackendHttp,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct InfoResponse {
    rate_bytes_per_s: BytesPerSecond,
    models: Vec<StoredModel>,
}

impl HttpWeightStore {
    /// Creates a client for the weight store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: BackendHttp::for_platform(), address }
    }

    async fn fetch(&self) -> Result<WeightStoreInfo, CallFailure> {
        let request = Request::builder()
            .uri(uri(self.address, "/weights")?)
            .body(Full::default())
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(ConnectionReuse::Fresh, request, RESPONSE_TIMEOUT).await?;
        if response.status() != StatusCode::OK {
            return Err(CallFailure::Malformed);
        }
        let body = read_body(response.into_body(), MAX_LIST_BYTES, RESPONSE_TIMEOUT).await?;
        let info: InfoResponse = serde_json::from_slice(&body).map_err(|_| CallFailure::Malformed)?;
        Ok(WeightStoreInfo { rate_bytes_per_s: info.rate_bytes_per_s, models: info.models })
    }
}

impl WeightStore for HttpWeightStore {
    fn info(&self) -> BoxFuture<'_, Result<WeightStoreInfo, PlatformFailure>> {
        Box::pin(async move {
            self.fetch().await.map_err(|failure| match failure {
                CallFailure::NotSent | CallFailure::Broken => PlatformFailure::Unreachable,
                CallFailure::Timeout => PlatformFailure::Timeout,
                CallFailure::Malformed => PlatformFailure::Malformed,
            })
        })
    }
}
