use std::net::SocketAddr;

use bytes::Bytes;
use hibiscusvale_standins::client::{call, post_json};
use hibiscusvale_standins::engine::Role;
use hibiscusvale_standins::text::expected_answer;
use hibiscusvale_standins::{Engine, EngineHandle, EngineSettings, FaultUpdate};
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PROMPT: &str = "the dog is in the kitchen, the key under the third stone";

async fn engine(role: Role, evict_after_ms: u64) -> EngineHandle {
    let settings = EngineSettings { role, slots: 1, evict_after_ms, ..EngineSettings::default() };
    Engine::start(settings).await.unwrap()
}

fn named(id: &str) -> Value {
    json!({"request_id": id, "owner": {"host": "entry-1", "incarnation": "0a"}})
}

fn with(mut base: Value, more: &Value) -> Value {
    let fields = base.as_object_mut().unwrap();
    fields.extend(more.as_object().unwrap().clone());
    base
}

async fn post(address: SocketAddr, path: &str, body: &Value) -> (StatusCode, Bytes) {
    let bytes = Bytes::from(body.to_string());
    call(address, Method::POST, path, bytes).await.unwrap()
}

async fn prefill(engine: &EngineHandle, id: &str) -> Value {
    let body = with(named(id), &json!({"model": "small", "prompt": PROMPT}));
    post_json(engine.address, "/engine/prefill", &body).await.unwrap()
}

async fn import(to: &EngineHandle, from: &EngineHandle, id: &str) -> StatusCode {
    let body = with(named(id), &json!({"model": "small", "source": from.address}));
    post(to.address, "/engine/import", &body).await.0
}

async fn decode(engine: &EngineHandle, id: &str, from_index: u64) -> String {
    let body = with(named(id), &json!({"max_tokens": 8, "from_index": from_index}));
    let (status, lines) = post(engine.address, "/engine/decode", &body).await;
    assert_eq!(status, StatusCode::OK);
    let lines = String::from_utf8(lines.to_vec()).unwrap();
    let values = lines.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    values.filter_map(|value| value["text"].as_str().map(str::to_owned)).collect()
}

#[tokio::test]
async fn full_request_returns_expected_answer_and_releases_memory() {
    let source = engine(Role::Prefill, 10_000).await;
    let target = engine(Role::Decode, 10_000).await;
    let answer = prefill(&source, "r1").await;
    assert_eq!(answer["prompt_tokens"], 14);
    assert_eq!(import(&target, &source, "r1").await, StatusCode::OK);
    source.wait_empty().await;
    let work = source.state().work["r1"];
    assert_eq!((work.work_tokens, work.exported_tokens), (14, 14));
    assert_eq!(decode(&target, "r1", 0).await, expected_answer(PROMPT, 8));
    target.wait_empty().await;
    assert_eq!(decode(&target, "r1", 3).await, expected_answer(PROMPT, 8)[12..]);
}

/// An engine fails after three tokens. Another engine receives the prompt and these tokens and must continue with the
/// fourth, so that the caller sees one answer.
#[tokio::test]
async fn resumed_prompt_continues_identically() {
    let source = engine(Role::Prefill, 10_000).await;
    let target = engine(Role::Decode, 10_000).await;
    let whole = expected_answer(PROMPT, 8);
    let more = json!({"model": "small", "prompt": PROMPT, "generated": &whole[..12]});
    let answer: Value =
        post_json(source.address, "/engine/prefill", &with(named("r1"), &more)).await.unwrap();
    assert_eq!(answer["prompt_tokens"], 17);
    assert_eq!(import(&target, &source, "r1").await, StatusCode::OK);
    assert_eq!(decode(&target, "r1", 3).await, whole[12..]);
}

/// A prefill result is evicted before it is imported. The import must fail, and the work counts as wasted.
#[tokio::test]
async fn import_after_eviction_fails() {
    let source = engine(Role::Prefill, 1).await;
    let target = engine(Role::Decode, 1).await;
    prefill(&source, "r1").await;
    source.wait_empty().await;
    assert_eq!(import(&target, &source, "r1").await, StatusCode::GONE);
    assert_eq!(source.state().counters.evicted_tokens, 14);
    assert!(target.state().held.is_empty());
}

#[tokio::test]
async fn import_without_free_slot_is_rejected() {
    let source = engine(Role::Prefill, 10_000).await;
    let target = engine(Role::Decode, 10_000).await;
    prefill(&source, "r1").await;
    prefill(&source, "r2").await;
    assert_eq!(import(&target, &source, "r1").await, StatusCode::OK);
    assert_eq!(import(&target, &source, "r2").await, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(target.state().counters.slot_refusals, 1);
}

#[tokio::test]
async fn cancel_by_owner_releases_only_that_owner() {
    let source = engine(Role::Prefill, 10_000).await;
    prefill(&source, "r1").await;
    let other = json!({"owner": {"host": "entry-2", "incarnation": "0b"}});
    let owner = json!({"owner": {"host": "entry-1", "incarnation": "0a"}});
    let none: Value = post_json(source.address, "/engine/cancel_owner", &other).await.unwrap();
    assert_eq!(none["released"], 0);
    let one: Value = post_json(source.address, "/engine/cancel_owner", &owner).await.unwrap();
    assert_eq!(one["released"], 1);
    assert_eq!(source.state().counters.cancelled_tokens, 14);
}

/// The response to a prefill is lost after the work is done. A retry must return the same result without a second
/// prefill.
#[tokio::test]
async fn prefill_with_lost_response_can_be_retried() {
    let source = engine(Role::Prefill, 10_000).await;
    source.update_faults(&FaultUpdate { lose_replies: Some(1), ..FaultUpdate::default() });
    let body = with(named("r1"), &json!({"model": "small", "prompt": PROMPT}));
    let lost = call(source.address, Method::POST, "/engine/prefill", body.to_string().into()).await;
    assert!(lost.is_err(), "the response was not dropped");
    prefill(&source, "r1").await;
    assert_eq!(source.state().counters.prefill_tokens, 14);
}

#[rstest]
#[case::checks(true, StatusCode::CONFLICT)]
#[case::ignores(false, StatusCode::OK)]
#[tokio::test]
async fn stale_fencing_token_is_rejected_only_by_checking_engines(
    #[case] checks_fencing: bool,
    #[case] expected: StatusCode,
) {
    let settings = EngineSettings { checks_fencing, ..EngineSettings::default() };
    let engine = Engine::start(settings).await.unwrap();
    let order = |id: &str, fencing: u64| json!({"order_id": id, "fencing": fencing, "expires_in_ms": 1000, "kind": {"unload": "small"}});
    assert_eq!(post(engine.address, "/engine/order", &order("a", 7)).await.0, StatusCode::OK);
    assert_eq!(post(engine.address, "/engine/order", &order("b", 6)).await.0, expected);
    assert_eq!(post(engine.address, "/engine/order", &order("a", 7)).await.0, StatusCode::OK);
}

/// A middlebox drops the state of a connection: it stays open but transfers no data, while new connections work. The
/// connection that injected the fault must still get its response.
#[tokio::test]
async fn stalled_connection_stays_open_and_new_ones_work() {
    let source = engine(Role::Prefill, 10_000).await;
    let mut old = TcpStream::connect(source.address).await.unwrap();
    let ask = format!("GET /engine/load HTTP/1.1\r\nhost: {}\r\n\r\n", source.address);
    old.write_all(ask.as_bytes()).await.unwrap();
    let mut buffer = vec![0; 4_096];
    assert!(old.read(&mut buffer).await.unwrap() > 0);
    let order = json!({"silence": true});
    let answer: Value = post_json(source.address, "/standin/steer", &order).await.unwrap();
    assert_eq!(answer["silence"], true);
    old.write_all(ask.as_bytes()).await.unwrap();
    prefill(&source, "r1").await;
    let silent = old.try_read(&mut buffer).unwrap_err();
    assert_eq!(silent.kind(), std::io::ErrorKind::WouldBlock);
}
