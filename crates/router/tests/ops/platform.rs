//! Tests of the platform clients against the stand-in services.

use std::net::SocketAddr;

use bytes::Bytes;
use hibiscusvale::external::{
    AppendError, HttpLog, HttpLogSettings, HttpWeightStore, Log, LogFailure, Stream, WeightStore,
};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::{BytesPerSecond, Millis};
use hibiscusvale_standins::control::FaultUpdate;
use hibiscusvale_standins::log::{LogHandle, LogService, LogSettings};
use hibiscusvale_standins::weights::{self, WeightSettings};
use tokio::net::TcpListener;

const SHORT_TIMEOUTS: HttpLogSettings =
    HttpLogSettings { append_timeout_ms: Millis(200), read_margin_ms: Millis(200) };

async fn start_log() -> (LogHandle, HttpLog) {
    let handle = LogService::start(LogSettings::default()).await.expect("a log");
    let client = HttpLog::new(handle.address, SHORT_TIMEOUTS);
    (handle, client)
}

fn records(texts: &[&'static str]) -> Vec<Bytes> {
    texts.iter().map(|text| Bytes::from_static(text.as_bytes())).collect()
}

#[tokio::test]
async fn reads_appended_records_with_offsets() {
    let (_handle, client) = start_log().await;
    assert_eq!(client.append(Stream::Config, records(&["a", "b"])).await, Ok(Offset(0)));
    assert_eq!(client.append(Stream::Config, records(&["c"])).await, Ok(Offset(2)));
    let page = client.read(Stream::Config, Offset(1), 10, Millis(0)).await.expect("a page");
    assert_eq!((page.start_offset, page.next_offset), (Offset(0), Offset(3)));
    let read: Vec<_> = page.records.iter().map(|record| (record.offset.0, &*record.data)).collect();
    assert_eq!(read, [(1, b"b".as_slice()), (2, b"c".as_slice())]);
    let other = client.read(Stream::Claims(3), Offset(0), 10, Millis(0)).await.expect("a page");
    assert_eq!(other.next_offset, Offset(0), "streams have separate offsets");
}

/// Nothing listens at the log's address, so no byte of the append was sent and a retry is safe.
#[tokio::test]
async fn refused_connection_means_not_appended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address: SocketAddr = listener.local_addr().expect("an address");
    drop(listener);
    let client = HttpLog::new(address, SHORT_TIMEOUTS);
    let failed = client.append(Stream::Config, records(&["a"])).await;
    let unreachable = AppendError::NotAppended { cause: LogFailure::Unreachable, retry_after_ms: None };
    assert_eq!(failed, Err(unreachable));
    assert_eq!(client.read(Stream::Config, Offset(0), 1, Millis(0)).await, Err(LogFailure::Unreachable));
}

/// The log reports that it is unavailable.
#[tokio::test]
async fn reported_outage_means_not_appended() {
    let (handle, client) = start_log().await;
    handle.update_faults(&FaultUpdate { outage: Some(true), ..FaultUpdate::default() });
    let failed = client.append(Stream::Config, records(&["a"])).await;
    assert!(matches!(failed, Err(AppendError::NotAppended { cause: LogFailure::Down, .. })), "{failed:?}");
    assert_eq!(client.read(Stream::Config, Offset(0), 1, Millis(0)).await, Err(LogFailure::Down));
    assert!(handle.records("config").is_empty());
}

/// The log appends and the connection breaks before the response arrives. Treating this as a failure and retrying would
/// publish twice.
#[tokio::test]
async fn lost_response_leaves_append_unknown() {
    let (handle, client) = start_log().await;
    handle.update_faults(&FaultUpdate { lose_replies: Some(1), ..FaultUpdate::default() });
    let failed = client.append(Stream::Config, records(&["a"])).await;
    assert!(matches!(failed, Err(AppendError::Unknown { .. })), "{failed:?}");
    assert_eq!(handle.records("config").len(), 1, "the record was appended despite the error");
}

/// The log accepts the request and never responds.
#[tokio::test]
async fn unresponsive_log_leaves_append_unknown() {
    let (handle, client) = start_log().await;
    handle.update_faults(&FaultUpdate { mute: Some(true), ..FaultUpdate::default() });
    let failed = client.append(Stream::Config, records(&["a"])).await;
    assert_eq!(failed, Err(AppendError::Unknown { cause: LogFailure::Timeout }));
}

/// An intermediary silently drops the connection used for reads. A daemon that kept using it would never see another
/// change, so the next read must open a new connection.
#[tokio::test]
async fn dead_connection_is_replaced_after_one_read() {
    let (handle, client) = start_log().await;
    client.append(Stream::Config, records(&["a"])).await.expect("appended");
    client.read(Stream::Config, Offset(0), 1, Millis(0)).await.expect("a page");
    handle.update_faults(&FaultUpdate { silence: true, ..FaultUpdate::default() });
    let dead = client.read(Stream::Config, Offset(0), 1, Millis(0)).await;
    assert_eq!(dead, Err(LogFailure::Timeout));
    let page =
        client.read(Stream::Config, Offset(0), 1, Millis(0)).await.expect("a page over a new connection");
    assert_eq!(page.records.len(), 1);
}

/// The log limits appends per second and returns a retry delay.
#[tokio::test]
async fn append_over_rate_limit_returns_retry_delay() {
    let settings = LogSettings { appends_per_s: 1, ..LogSettings::default() };
    let handle = LogService::start(settings).await.expect("a log");
    let client = HttpLog::new(handle.address, SHORT_TIMEOUTS);
    client.append(Stream::Config, records(&["a"])).await.expect("the first append is within the rate");
    let failed = client.append(Stream::Config, records(&["b"])).await;
    let Err(AppendError::NotAppended { cause, retry_after_ms: Some(wait_ms) }) = failed else {
        panic!("expected a refusal with a retry delay, got {failed:?}");
    };
    assert_eq!(cause, LogFailure::OverRate);
    assert!(wait_ms <= Millis(1_001));
}

#[tokio::test]
async fn weight_store_reports_models_and_bandwidth() {
    let handle = weights::WeightStore::start(WeightSettings::default()).await.expect("a store");
    let info = HttpWeightStore::new(handle.address).info().await.expect("an answer");
    assert_eq!(info.rate_bytes_per_s, BytesPerSecond(1_000_000_000));
    assert!(info.models.is_empty());
}
