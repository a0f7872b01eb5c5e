//! Reads the views of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::backend::{BackendHttp, CallFailure, ConnectionReuse, read_body, uri};

/// A daemon that takes longer is of no use to an operator who waits.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The whole configuration of 280 organisations with room.
const VIEW_LIMIT_BYTES: usize = 16 << 20;

/// Why a view could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OperatorsFailure {
    /// The daemon does not have what was asked for.
    #[error("not known there")]
    NotFound,
    /// The daemon could not be reached, or did not answer.
    #[error("{0}")]
    Call(#[from] CallFailure),
}

/// Reads the views of daemons.
#[derive(Clone, Debug, Default)]
pub struct OperatorsClient {
    http: BackendHttp,
}

impl OperatorsClient {
    /// Reads the view at `path` of the daemon whose operator address is `host`.
    ///
    /// # Errors
    ///
    /// [`OperatorsFailure`].
    pub async fn view<View>(&self, host: SocketAddr, path: &str) -> Result<View, OperatorsFailure>
    where
        View: DeserializeOwned,
    {
        let request = Request::builder()
            .uri(uri(host, path)?)
            .body(Full::default())
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(ConnectionReuse::Fresh, request, ANSWER_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Err(OperatorsFailure::NotFound),
            _ => return Err(CallFailure::Malformed.into()),
        }
        let body = read_body(response.into_body(), VIEW_LIMIT_BYTES, ANSWER_TIMEOUT).await?;
        Ok(serde_json::from_slice(&body).map_err(|_| CallFailure::Malformed)?)
    }
}
