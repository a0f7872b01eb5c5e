//! Clients of the platform, against its stand-ins.

use std::net::SocketAddr;

use bytes::Bytes;
use hibiscusvale::external::{
    AppendError, HttpLog, HttpLogSettings, HttpWeightStore, Log, LogFailure, Stream, WeightStore,
};
use hibiscusvale_core::ids::Offset;
use hibiscusvale_core::units::{BytesPerSecond, Millis};
use hibiscusvale_standins::control::Steer;
use hibiscusvale_standins::log::{LogHandle, LogService, LogSettings};
use hibiscusvale_standins::weights::{self, WeightSettings};
use tokio::net::TcpListener;

const SHORT: HttpLogSettings = HttpLogSettings { append_timeout_ms: Millis(200), read_slack_ms: Millis(200) };

async fn log() -> (LogHandle, HttpLog) {
    let handle = LogService::start(LogSettings::default()).await.expect("a log");
    let client = HttpLog::new(handle.address, SHORT);
    (handle, client)
}

fn records(texts: &[&'static str]) -> Vec<Bytes> {
    texts.iter().map(|text| Bytes::from_static(text.as_bytes())).collect()
}

#[tokio::test]
async fn appended_records_are_read_with_their_offsets() {
    let (_handle, client) = log().await;
    assert_eq!(client.append(Stream::Config, records(&["a", "b"])).await, Ok(Offset(0)));
    assert_eq!(client.append(Stream::Config, records(&["c"])).await, Ok(Offset(2)));
    let page = client.read(Stream::Config, Offset(1), 10, Millis(0)).await.expect("a page");
    assert_eq!((page.start_offset, page.next_offset), (Offset(0), Offset(3)));
    let read: Vec<_> = page.records.iter().map(|record| (record.offset.0, &*record.data)).collect();
    assert_eq!(read, [(1, b"b".as_slice()), (2, b"c".as_slice())]);
    let other = client.read(Stream::Claims(3), Offset(0), 10, Millis(0)).await.expect("a page");
    assert_eq!(other.next_offset, Offset(0), "streams are apart");
}

/// Nobody listens at the log's address: no byte of the append was written, so it may be tried again.
#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_appended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address: SocketAddr = listener.local_addr().expect("an address");
    drop(listener);
    let client = HttpLog::new(address, SHORT);
    let failed = client.append(Stream::Config, records(&["a"])).await;
    let unreachable = AppendError::NotAppended { cause: LogFailure::Unreachable, retry_after_ms: None };
    assert_eq!(failed, Err(unreachable));
    assert_eq!(client.read(Stream::Config, Offset(0), 1, Millis(0)).await, Err(LogFailure::Unreachable));
}

/// The log says that it is down.
#[tokio::test]
async fn an_outage_is_a_refusal() {
    let (handle, client) = log().await;
    handle.steer(&Steer { outage: Some(true), ..Steer::default() });
    let failed = client.append(Stream::Config, records(&["a"])).await;
    assert!(matches!(failed, Err(AppendError::NotAppended { cause: LogFailure::Down, .. })), "{failed:?}");
    assert_eq!(client.read(Stream::Config, Offset(0), 1, Millis(0)).await, Err(LogFailure::Down));
    assert!(handle.records("config").is_empty());
}

/// The log appends and the connection breaks before its answer arrives. Taking that for a failure and
/// appending again would publish twice.
#[tokio::test]
async fn a_lost_answer_leaves_the_append_unknown() {
    let (handle, client) = log().await;
    handle.steer(&Steer { lose_replies: Some(1), ..Steer::default() });
    let failed = client.append(Stream::Config, records(&["a"])).await;
    assert!(matches!(failed, Err(AppendError::Unknown { .. })), "{failed:?}");
    assert_eq!(handle.records("config").len(), 1, "it was appended all the same");
}

/// The log accepts the request and never answers.
#[tokio::test]
async fn a_mute_log_leaves_the_append_unknown() {
    let (handle, client) = log().await;
    handle.steer(&Steer { mute: Some(true), ..Steer::default() });
    let failed = client.append(Stream::Config, records(&["a"])).await;
    assert_eq!(failed, Err(AppendError::Unknown { cause: LogFailure::Timeout }));
}

/// Something between the daemon and the log forgets the connection that reads go over. A daemon that stayed on
/// it would see no change ever again; the next read must open a new one.
#[tokio::test]
async fn a_silent_connection_is_left_after_one_read() {
    let (handle, client) = log().await;
    client.append(Stream::Config, records(&["a"])).await.expect("appended");
    client.read(Stream::Config, Offset(0), 1, Millis(0)).await.expect("a page");
    handle.steer(&Steer { silence: true, ..Steer::default() });
    let silent = client.read(Stream::Config, Offset(0), 1, Millis(0)).await;
    assert_eq!(silent, Err(LogFailure::Timeout));
    let page =
        client.read(Stream::Config, Offset(0), 1, Millis(0)).await.expect("a page over a new connection");
    assert_eq!(page.records.len(), 1);
}

/// The log takes only so many appends a second and says when to come back.
#[tokio::test]
async fn an_append_over_the_rate_is_told_when_to_come_back() {
    let settings = LogSettings { appends_per_s: 1, ..LogSettings::default() };
    let handle = LogService::start(settings).await.expect("a log");
    let client = HttpLog::new(handle.address, SHORT);
    client.append(Stream::Config, records(&["a"])).await.expect("the first fits");
    let failed = client.append(Stream::Config, records(&["b"])).await;
    let Err(AppendError::NotAppended { cause, retry_after_ms: Some(wait_ms) }) = failed else {
        panic!("expected a refusal with a time, got {failed:?}");
    };
    assert_eq!(cause, LogFailure::OverRate);
    assert!(wait_ms <= Millis(1_001));
}

#[tokio::test]
async fn the_weight_store_tells_its_models_and_rate() {
    let handle = weights::WeightStore::start(WeightSettings::default()).await.expect("a store");
    let info = HttpWeightStore::new(handle.address).info().await.expect("an answer");
    assert_eq!(info.rate_bytes_per_s, BytesPerSecond(1_000_000_000));
    assert!(info.models.is_empty());
}
