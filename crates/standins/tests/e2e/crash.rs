//! Daemons that are killed amid requests which run at most once, with the log cut off.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale::daemon::Daemon;
use hibiscusvale_standins::Steer;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use tokio::sync::Barrier;

use crate::world::{Caller, TOKEN, World, stop};

/// Slow enough that requests are under way when the daemon is killed.
const PLAN: &str = r#"
    [[plain]]
    place = {name = "booking", data_centre = "casa-1", region = "ma-north", partner = "nadifa", count = 2}
    settings = {service = "booking", service_time_us = 40000}
"#;

const CALLERS: usize = 48;

/// Tries of each caller before the log is back, and after.
const TRIES_WITHOUT_LOG: usize = 3;
const TRIES_WITH_LOG: usize = 6;

/// Pause of a caller between tries.
const PAUSE: Duration = Duration::from_millis(300);

/// What a caller was told in one try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    Answered,
    NotRun,
    Unknown,
    /// The connection broke, or could not be made.
    Nothing,
}

/// One try under a key, over a connection of its own.
async fn book(to: SocketAddr, key: &str) -> Told {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{to}/booking/new?flat={key}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("x-class", "booking")
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from_static(b"{}")))
        .expect("request");
    let Ok(answer) = client.request(request).await else {
        return Told::Nothing;
    };
    let (parts, body) = answer.into_parts();
    let Ok(body) = body.collect().await else {
        return Told::Nothing;
    };
    let body = String::from_utf8(body.to_bytes().to_vec()).expect("text");
    match parts.headers.get("x-outcome").map(http::HeaderValue::as_bytes) {
        // That the answer is gone is an outcome, too; only an answer names its execution.
        Some(b"answered") if parts.status.is_success() => {
            assert!(body.contains(&format!("\"{key}\"")), "the answer to another request: {body}");
            Told::Answered
        }
        Some(b"answered") => Told::Answered,
        Some(b"not-run") => Told::NotRun,
        Some(b"unknown") => Told::Unknown,
        other => panic!("{other:?}: {body}"),
    }
}

async fn call(number: usize, hosts: [SocketAddr; 3], phase: Arc<Barrier>) -> (String, Vec<Told>) {
    let key = format!("flat-{number}");
    let mut told = Vec::new();
    for attempt in 0..TRIES_WITHOUT_LOG + TRIES_WITH_LOG {
        if attempt == TRIES_WITHOUT_LOG {
            phase.wait().await;
        }
        if told.last() != Some(&Told::Answered) {
            told.push(book(hosts[(number + attempt) % hosts.len()], &key).await);
            tokio::time::sleep(PAUSE).await;
        }
    }
    (key, told)
}

fn executions(world: &World) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, plain) in &world.standins.plain {
        for execution in plain.ledger() {
            *counts.entry(execution.idempotency_key.expect("a key")).or_default() += 1;
        }
    }
    counts
}

fn log_fails(muted: bool, failing: bool) -> Steer {
    if muted {
        Steer { mute: Some(failing), ..Steer::default() }
    } else {
        Steer { outage: Some(failing), ..Steer::default() }
    }
}

/// Bookings are under way when the log is cut off, refusing or without a word, and one of three hosts is killed.
/// Callers try again at the others, also after the log is back. No flat is booked twice, and whatever a caller
/// was told agrees with the service's own ledger.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_and_a_cut_log_book_nothing_twice(#[values(false, true)] muted: bool) {
    let world = World::start(PLAN).await;
    let first = world.daemon("entry-1").await;
    let second = world.daemon_beside("entry-2", &[&first]).await;
    let third = world.daemon_beside("entry-3", &[&first, &second]).await;
    let hosts = [&first, &second, &third].map(Daemon::callers_address);

    // A booking that ended well before is still known to all hosts afterwards.
    let early = Caller::new(hosts[1]).book("early", ("idempotency-key", "early")).await;
    assert_eq!(early.outcome(), "answered", "{}", early.body);

    let phase = Arc::new(Barrier::new(CALLERS + 1));
    let calls: Vec<_> =
        (0..CALLERS).map(|number| tokio::spawn(call(number, hosts, Arc::clone(&phase)))).collect();
    let (_, plain) = &world.standins.plain[0];
    plain.wait_executed(4).await;
    world.standins.log.steer(&log_fails(muted, true));
    tokio::task::spawn_blocking(move || first.kill()).await.expect("killed");
    phase.wait().await;
    world.standins.log.steer(&log_fails(muted, false));

    let mut told = BTreeMap::new();
    for call in calls {
        let (key, outcomes) = call.await.expect("caller");
        told.insert(key, outcomes);
    }
    let again = Caller::new(hosts[2]).book("early", ("idempotency-key", "early")).await;
    assert_eq!((again.outcome(), &again.body), ("answered", &early.body));

    let ran = executions(&world);
    assert!(ran.values().all(|&times| times == 1), "booked twice: {ran:?}");
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for (key, outcomes) in &told {
        let times = ran.get(key).copied().unwrap_or_default();
        let kind = if outcomes.contains(&Told::Answered) {
            assert_eq!(times, 1, "{key}: {outcomes:?}");
            "answered"
        } else if outcomes.iter().all(|outcome| *outcome == Told::NotRun) {
            assert_eq!(times, 0, "{key}: {outcomes:?}");
            "not run"
        } else {
            "unknown"
        };
        *kinds.entry(kind).or_default() += 1;
    }
    assert!(kinds.get("answered").copied().unwrap_or_default() >= CALLERS / 4, "{kinds:?}");
    println!("callers were told {kinds:?}");
    stop(second).await;
    stop(third).await;
}
