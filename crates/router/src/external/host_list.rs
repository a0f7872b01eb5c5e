//! The host list by HTTP.

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

/// Beyond the time that the list may hold its answer back.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// A list of 12,000 entries at some 300 bytes each, with room.
const LIST_LIMIT_BYTES: usize = 16 << 20;

/// [`HostList`] by HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    http: BackendHttp,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Page {
    version: u64,
    entries: Option<Vec<ListedHost>>,
    #[serde(default)]
    set: Vec<ListedHost>,
    #[serde(default)]
    remove: Vec<BackendServerId>,
}

impl HttpHostList {
    /// Makes a client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: BackendHttp::new(), address }
    }

    async fn fetch(&self, after: u64, wait_ms: Millis) -> Result<HostListPage, CallFailure> {
        let timeout = Duration::from(wait_ms) + ANSWER_TIMEOUT;
        let path = format!("/hosts?after={after}&wait_ms={}", wait_ms.0);
        let request = Request::builder()
            .uri(uri(self.address, &path)?)
            .body(Full::default())
            .map_err(|_| CallFailure::Malformed)?;
        let response = self.http.send(ConnectionReuse::Fresh, request, timeout).await?;
        let body = read_body(response.into_body(), LIST_LIMIT_BYTES, timeout).await?;
        let page: Page = serde_json::from_slice(&body).map_err(|_| CallFailure::Malformed)?;
        let change = match page.entries {
            Some(entries) => HostListChange::Whole(entries),
            None => HostListChange::Some { set: page.set, remove: page.remove },
        };
        Ok(HostListPage { version: page.version, change })
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
