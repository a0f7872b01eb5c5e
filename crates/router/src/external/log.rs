//! HTTP client of the append-only log.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::Millis;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::{AppendError, Log, LogFailure, LogPage, LogRecord, Stream};
use crate::backend::{BackendHttp, CallFailure, ConnectionReuse, read_body, uri};

/// Response header with the delay before a retry, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Largest response: holds 1,000 records of 8 KB, or a few checkpoints.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Timeouts for calls to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLogSettings {
    /// Timeout of an append, after which its outcome is unknown.
    pub append_timeout_ms: Millis,
    /// Timeout of a read in addition to the long-polling wait. It is short because nothing else detects a dead
    /// connection, and new records must arrive within seconds even then.
    pub read_margin_ms: Millis,
}

impl Default for HttpLogSettings {
    fn default() -> Self {
        Self { append_timeout_ms: Millis(3_000), read_margin_ms: Millis(1_000) }
    }
}

/// [`Log`] over HTTP.
#[derive(Debug)]
pub struct HttpLog {
    http: BackendHttp,
    address: SocketAddr,
    settings: HttpLogSettings,
    /// Set when a read got no response. Pooled connections may be dead too, so the next read opens a new
    /// connection.
    bypasses_pool: AtomicBool,
}

#[derive(Serialize)]
struct AppendRequest {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendResponse {
    first_offset: Offset,
}

#[derive(Deserialize)]
struct ReadResponse {
    start_offset: Offset,
    next_offset: Offset,
    records: Vec<RecordJson>,
}

#[derive(Deserialize)]
struct RecordJson {
    offset: Offset,
    data: String,
}

impl HttpLog {
    /// Creates a client for the log at `address`.
    pub fn new(address: SocketAddr, settings: HttpLogSettings) -> Self {
        Self { http: BackendHttp::for_platform(), address, settings, bypasses_pool: AtomicBool::new(false) }
    }

    /// Appends over a new connection. An append must not be retried blindly, and a dead pooled connection would
    /// needlessly make its outcome unknown.
    async fn append_records(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, AppendError> {
        let call = AppendRequest { records: records.iter().map(|data| STANDARD.encode(data)).collect() };
        let request = append_request(self.address, stream, &call).ok_or(NOT_SENT)?;
        let timeout = Duration::from(self.settings.append_timeout_ms);
        let response =
            self.http.send(ConnectionReuse::Fresh, request, timeout).await.map_err(append_failure)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(append_refusal(status, response.headers()));
        }
        let body =
            read_body(response.into_body(), MAX_RESPONSE_BYTES, timeout).await.map_err(append_failure)?;
        let response_body: AppendResponse = serde_json::from_slice(&body)
            .map_err(|_| AppendError::Unknown { cause: LogFailure::Malformed })?;
        Ok(response_body.first_offset)
    }

    async fn read_page(
        &self,
        stream: Stream,
        from: Offset,
        limit: u32,
        wait_ms: Millis,
    ) -> Result<LogPage, LogFailure> {
        let reuse = if self.bypasses_pool.load(Ordering::Relaxed) {
            ConnectionReuse::Fresh
        } else {
            ConnectionReuse::Pooled
        };
        let page = self.try_read(reuse, stream, from, limit, wait_ms).await;
        let is_unresponsive = matches!(page, Err(LogFailure::Timeout | LogFailure::Unreachable));
        self.bypasses_pool.store(is_unresponsive, Ordering::Relaxed);
        page
    }

    async fn try_read(
        &self,
        reuse: ConnectionReuse,
        stream: Stream,
        from: Offset,
        limit: u32,
        wait_ms: Millis,
    ) -> Result<LogPage, LogFailure> {
        let name = stream_name(stream);
        let path = format!("/log/{name}?from={from}&limit={limit}&wait_ms={}", wait_ms.0);
        let request = Request::builder()
            .uri(uri(self.address, &path).map_err(read_failure)?)
            .body(Full::default())
            .map_err(|_| LogFailure::Malformed)?;
        let timeout = Duration::from(wait_ms + self.settings.read_margin_ms);
        let response = self.http.send(reuse, request, timeout).await.map_err(read_failure)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return Err(LogFailure::Down),
            StatusCode::TOO_MANY_REQUESTS => return Err(LogFailure::OverRate),
            _ => return Err(LogFailure::Malformed),
        }
        let body =
            read_body(response.into_body(), MAX_RESPONSE_BYTES, timeout).await.map_err(read_failure)?;
        let response_body: ReadResponse = serde_json::from_slice(&body).map_err(|_| LogFailure::Malformed)?;
        parse_page(response_body)
    }
}

impl Log for HttpLog {
    fn append(&self, stream: Stream, records: Vec<Bytes>) -> BoxFuture<'_, Result<Offset, AppendError>> {
        Box::pin(self.append_records(stream, records))
    }

    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limit: u32,
        wait_ms: Millis,
    ) -> BoxFuture<'_, Result<LogPage, LogFailure>> {
        Box::pin(self.read_page(stream, from, limit, wait_ms))
    }
}

const NOT_SENT: AppendError = AppendError::NotAppended { cause: LogFailure::Malformed, retry_after_ms: None };

/// Name of a stream in request paths.
fn stream_name(stream: Stream) -> String {
    match stream {
        Stream::Config => "config".to_owned(),
        Stream::Claims(partition) => format!("claims-{partition}"),
        Stream::Leases => "leases".to_owned(),
        Stream::StreamOrigins => "stream-origins".to_owned(),
    }
}

fn append_request(address: SocketAddr, stream: Stream, call: &AppendRequest) -> Option<Request<Full<Bytes>>> {
    let path = format!("/log/{}/append", stream_name(stream));
    let body = serde_json::to_vec(call).ok()?;
    Request::post(uri(address, &path).ok()?)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .ok()
}

/// Only a connection that was never established proves that nothing was appended. Otherwise the log may have processed
/// the request although its response was lost.
fn append_failure(failure: CallFailure) -> AppendError {
    match failure {
        CallFailure::NotSent => {
            AppendError::NotAppended { cause: LogFailure::Unreachable, retry_after_ms: None }
        }
        CallFailure::Timeout => AppendError::Unknown { cause: LogFailure::Timeout },
        CallFailure::Broken => AppendError::Unknown { cause: LogFailure::Unreachable },
        CallFailure::Malformed => AppendError::Unknown { cause: LogFailure::Malformed },
    }
}

/// Refusals by the log itself prove that nothing was appended. Other statuses may come from an intermediary after the
/// log has processed the request.
fn append_refusal(status: StatusCode, headers: &HeaderMap) -> AppendError {
    let cause = match status {
        StatusCode::SERVICE_UNAVAILABLE => LogFailure::Down,
        StatusCode::TOO_MANY_REQUESTS => LogFailure::OverRate,
        status if status.is_client_error() => LogFailure::Malformed,
        _ => {
            return AppendError::Unknown { cause: LogFailure::Malformed };
        }
    };
    let retry_after_ms = headers.get(RETRY_AFTER_MS).and_then(|value| value.to_str().ok()?.parse().ok());
    AppendError::NotAppended { cause, retry_after_ms: retry_after_ms.map(Millis) }
}

fn read_failure(failure: CallFailure) -> LogFailure {
    match failure {
        CallFailure::NotSent | CallFailure::Broken => LogFailure::Unreachable,
        CallFailure::Timeout => LogFailure::Timeout,
        CallFailure::Malformed => LogFailure::Malformed,
    }
}

fn parse_page(response: ReadResponse) -> Result<LogPage, LogFailure> {
    let records = response.records.into_iter().map(|record| {
        let data = STANDARD.decode(&record.data).map_err(|_| LogFailure::Malformed)?;
        Ok(LogRecord { offset: record.offset, data: Bytes::from(data) })
    });
    Ok(LogPage {
        start_offset: response.start_offset,
        next_offset: response.next_offset,
        records: records.collect::<Result<_, LogFailure>>()?,
    })
}
