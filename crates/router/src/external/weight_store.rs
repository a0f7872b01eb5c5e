//! The weight store by HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use hibiscusvale_core::units::BytesPerSecond;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;

use super::{PlatformFailure, StoredModel, WeightStore, WeightStoreInfo};
use crate::backend::{BackendHttp, CallFailure, ConnectionReuse, read_body, uri};

/// Planning can wait for a slow store, but not for one that has gone silent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// A list of some thousand models.
const LIST_LIMIT_BYTES: usize = 1 << 20;

/// [`WeightStore`] by HTTP. It is asked rarely, so each call opens its own connection.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    http: BackendHttp,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Answer {
    rate_bytes_per_s: BytesPerSecond,
    models: Vec<StoredModel>,
}

impl HttpWeightStore {
    /// Makes a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: BackendHttp::new(), address }
    }

    async fn fetch(&self) -> Result<WeightStoreInfo, CallFailure> {
        let request = Request::builder()
            .uri(uri(self.address, "/weights")?)
            .body(Full::default())
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(ConnectionReuse::Fresh, request, ANSWER_TIMEOUT).await?;
        if response.status() != StatusCode::OK {
            return Err(CallFailure::Malformed);
        }
        let body = read_body(response.into_body(), LIST_LIMIT_BYTES, ANSWER_TIMEOUT).await?;
        let answer: Answer = serde_json::from_slice(&body).map_err(|_| CallFailure::Malformed)?;
        Ok(WeightStoreInfo { rate_bytes_per_s: answer.rate_bytes_per_s, models: answer.models })
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
