use std::net::SocketAddr;

use bytes::Bytes;
use hibiscusvale_standins::client::{call, get_json, post_json};
use hibiscusvale_standins::hosts::HostChange;
use hibiscusvale_standins::{
    FaultUpdate, HostList, HostListSettings, LogService, LogSettings, PlainService, PlainSettings,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn append(address: SocketAddr) -> StatusCode {
    let body = Bytes::from(json!({"records": ["aGk="]}).to_string());
    call(address, Method::POST, "/log/config/append", body).await.unwrap().0
}

#[tokio::test]
async fn log_assigns_consecutive_offsets_and_expires_oldest() {
    let log = LogService::start(LogSettings::default()).await.unwrap();
    let two = json!({"records": ["aGk=", "aG8="]});
    let first: Value = post_json(log.address, "/log/config/append", &two).await.unwrap();
    let second: Value = post_json(log.address, "/log/config/append", &two).await.unwrap();
    assert_eq!((first["first_offset"].as_u64(), second["first_offset"].as_u64()), (Some(0), Some(2)));
    log.expire("config", 1);
    let page: Value = get_json(log.address, "/log/config?from=0&limit=2&wait_ms=0").await.unwrap();
    assert_eq!(page["start_offset"], 1);
    assert_eq!(page["next_offset"], 4);
    assert_eq!(page["records"], json!([{"offset": 1, "data": "aG8="}, {"offset": 2, "data": "aGk="}]));
}

/// The log limits its append rate and can be unavailable. In both cases an append must be rejected and nothing stored.
#[tokio::test]
async fn log_rejects_appends_over_rate_and_when_unavailable() {
    let settings = LogSettings { appends_per_s: 0, ..LogSettings::default() };
    let log = LogService::start(settings).await.unwrap();
    log.update_faults(&FaultUpdate { outage: Some(true), ..FaultUpdate::default() });
    assert_eq!(append(log.address).await, StatusCode::SERVICE_UNAVAILABLE);
    log.update_faults(&FaultUpdate { outage: Some(false), ..FaultUpdate::default() });
    assert_eq!(append(log.address).await, StatusCode::TOO_MANY_REQUESTS);
    assert!(log.records("config").is_empty());
}

/// One data centre is partitioned from the log while another is not: each uses its own address to the same store.
#[tokio::test]
async fn shared_log_fails_at_one_address_only() {
    let log = LogService::start(LogSettings::default()).await.unwrap();
    let other = log.serve_at(any_port()).await.unwrap();
    other.update_faults(&FaultUpdate { outage: Some(true), ..FaultUpdate::default() });
    assert_eq!(append(other.address).await, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(append(log.address).await, StatusCode::OK);
    other.update_faults(&FaultUpdate { outage: Some(false), ..FaultUpdate::default() });
    assert_eq!(append(other.address).await, StatusCode::OK);
    assert_eq!(log.records("config").len(), 2);
}

#[tokio::test]
async fn waiting_reader_receives_append() {
    let log = LogService::start(LogSettings::default()).await.unwrap();
    let address = log.address;
    let reader =
        tokio::spawn(
            async move { get_json::<Value>(address, "/log/config?from=0&wait_ms=60000").await.unwrap() },
        );
    assert_eq!(append(address).await, StatusCode::OK);
    assert_eq!(reader.await.unwrap()["next_offset"], 1);
}

#[tokio::test]
async fn host_list_shows_a_change_once() {
    let settings = HostListSettings { lag_ms: 1, ..HostListSettings::default() };
    let list = HostList::start(settings).await.unwrap();
    let before: Value = get_json(list.address, "/hosts?after=0&wait_ms=0").await.unwrap();
    assert_eq!(before, json!({"version": 1, "entries": [], "set": [], "remove": []}));
    let entry =
        json!({"id": "e", "kind": "entry", "address": "127.0.0.1:1", "data_centre": "d", "region": "r"});
    let change: HostChange = serde_json::from_value(json!({"set": [entry]})).unwrap();
    list.change(change);
    let after: Value = get_json(list.address, "/hosts?after=1&wait_ms=60000").await.unwrap();
    assert_eq!(after["entries"], Value::Null);
    assert_eq!(after["set"][0]["id"], "e");
    let same: Value = get_json(list.address, "/hosts?after=2&wait_ms=0").await.unwrap();
    assert_eq!(same, json!({"version": 2, "entries": null, "set": [], "remove": []}));
    let full: Value = get_json(list.address, "/hosts?after=0&wait_ms=0").await.unwrap();
    assert_eq!(full["entries"][0]["id"], "e");
}

/// A draining instance rejects a call without executing it; a call whose response is dropped has been executed.
#[tokio::test]
async fn ledger_contains_executed_calls() {
    let service = PlainService::start(PlainSettings::default()).await.unwrap();
    let book = || call(service.address, Method::POST, "/book", Bytes::from_static(b"flat 3"));
    service.update_faults(&FaultUpdate { leaving: Some(true), ..FaultUpdate::default() });
    assert_eq!(book().await.unwrap().0, StatusCode::SERVICE_UNAVAILABLE);
    assert!(service.ledger().is_empty());
    service.update_faults(&FaultUpdate {
        leaving: Some(false),
        lose_replies: Some(1),
        ..FaultUpdate::default()
    });
    assert!(book().await.is_err(), "the response was not dropped");
    assert_eq!(book().await.unwrap().0, StatusCode::OK);
    assert_eq!(service.ledger().len(), 2);
}
