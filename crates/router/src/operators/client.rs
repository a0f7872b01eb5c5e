//! Client of the operator API.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::backend::{BackendHttp, CallFailure, ConnectionReuse, read_body, uri};

/// Response timeout; an interactive command should not wait longer for one daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest view; leaves room above the whole configuration of 280 organisations.
const MAX_VIEW_BYTES: usize = 16 << 20;

/// Reason why a view could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OperatorClientError {
    /// The daemon does not have the requested item.
    #[error("not found on this daemon")]
    NotFound,
    /// The daemon could not be reached or gave no usable response.
    #[error("{0}")]
    Call(#[from] CallFailure),
}

/// HTTP client for the views of daemons.
#[derive(Clone, Debug, Default)]
pub struct OperatorClient {
    http: BackendHttp,
}

impl OperatorClient {
    /// Reads the view at `path` of the daemon with the operator address `host`.
    ///
    /// # Errors
    ///
    /// [`OperatorClientError`] when the daemon does not have the item or the call fails.
    pub async fn view<View>(&self, host: SocketAddr, path: &str) -> Result<View, OperatorClientError>
    where
        View: DeserializeOwned,
    {
        let request = Request::builder()
            .uri(uri(host, path)?)
            .body(Full::default())
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(ConnectionReuse::Fresh, request, RESPONSE_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Err(OperatorClientError::NotFound),
            _ => return Err(CallFailure::Malformed.into()),
        }
        let body = read_body(response.into_body(), MAX_VIEW_BYTES, RESPONSE_TIMEOUT).await?;
        Ok(serde_json::from_slice(&body).map_err(|_| CallFailure::Malformed)?)
    }
}
