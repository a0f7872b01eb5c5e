//! HTTP client of the host list.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::units::Millis;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;

use super::{HostList, HostListChange, HostListPage, ListedHost, PlatformFailure};
use crate::backend::{BackendHttp, CallFailure, ConnectionReuse, read_body, uri};

/// Response timeout in addition to the requested long-polling wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest response; leaves room above 12,000 entries of about 300 bytes each.
const MAX_LIST_BYTES: usize = 16 << 20;

/// [`HostList`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    http: BackendHttp,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct ListResponse {
    version: u64,
    entries: Option<Vec<ListedHost>>,
    #[serde(default)]
    set: Vec<ListedHost>,
    #[serde(default)]
    remove: Vec<BackendServerId>,
}

impl HttpHostList {
    /// Creates a client for the host list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: BackendHttp::for_platform(), address }
    }

    async fn fetch(&self, after: u64, wait_ms: Millis) -> Result<HostListPage, CallFailure> {
        let timeout = Duration::from(wait_ms) + RESPONSE_TIMEOUT;
        let path = format!("/hosts?after={after}&wait_ms={}", wait_ms.0);
        let request = Request::builder()
            .uri(uri(self.address, &path)?)
            .body(Full::default())
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(ConnectionReuse::Fresh, request, timeout).await?;
        let body = read_body(response.into_body(), MAX_LIST_BYTES, timeout).await?;
        let list: ListResponse = serde_json::from_slice(&body).map_err(|_| CallFailure::Malformed)?;
        let change = match list.entries {
            Some(entries) => HostListChange::Full(entries),
            None => HostListChange::Some { set: list.set, remove: list.remove },
        };
        Ok(HostListPage { version: list.version, change })
    }
}

impl HostList for HttpHostList {
    fn read(&self, after: u64, wait_ms: Millis) -> BoxFuture<'_, Result<HostListPage, PlatformFailure>> {
        Box::pin(async move {
            self.fetch(after, wait_ms).await.map_err(|failure| match failure {
                CallFailure::NotSent => PlatformFailure::Unreachable,
                CallFailure::Timeout => PlatformFailure::Timeout,
                CallFailure::Broken | CallFailure::Malformed => PlatformFailure::Malformed,
            })
        })
    }
}
