//! Malformed and malicious requests: each is rejected with a typed and counted refusal, none reaches a backend server,
//! and other callers are still served.

use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::Bytes;
use hibiscusvale::daemon::{Daemon, ExternalSystems, new_incarnation};
use hibiscusvale_core::units::{Bytes as ByteCount, Millis};
use hibiscusvale_standins::FaultUpdate;
use hibiscusvale_standins::client::call;
use hibiscusvale_standins::text::expected_answer;
use http::{Method, Request};
use http_body_util::Full;
use rstest::rstest;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cluster::{Caller, SMALL_PLAN, TOKEN, TestCluster, stop};

const PROMPT: &str = "The key is under the third stone.";
const BODY_LIMIT: usize = 4_096;

async fn daemon_with_tight_limits(cluster: &TestCluster) -> Daemon {
    let mut settings = cluster.settings("entry-1", &[]);
    settings.limits.body_bytes = ByteCount(BODY_LIMIT as u64);
    settings.limits.body_timeout_ms = Millis(200);
    settings.limits.head_timeout_ms = Millis(200);
    let incarnation = new_incarnation();
    let edges = ExternalSystems::new(&settings, incarnation);
    let daemon = Daemon::start(&settings, edges, incarnation).expect("daemon");
    daemon.ready().await;
    daemon
}

/// Waits until the daemon's counter of `event` is not zero and returns it. Connection events are counted after the
/// connection has closed, so the caller can observe the close first.
async fn events(daemon: &Daemon, event: &str) -> u64 {
    loop {
        match counted(daemon, event).await {
            0 => tokio::task::yield_now().await,
            count => return count,
        }
    }
}

async fn counted(daemon: &Daemon, event: &str) -> u64 {
    let (_, text) =
        call(daemon.operators_address(), Method::GET, "/metrics", Bytes::new()).await.expect("metrics");
    let text = String::from_utf8(text.to_vec()).expect("text");
    let label = format!("event=\"{event}\"");
    let line = text.lines().find(|line| line.starts_with("hibiscusvale_events") && line.contains(&label));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.map_or(0, |value| value.parse().expect("count"))
}

/// Asserts that no request reached a service and that another caller is served.
async fn assert_unaffected(cluster: &TestCluster, daemon: &Daemon) {
    for (name, service) in &cluster.standins.plain {
        assert!(service.ledger().is_empty(), "{name} executed a request");
    }
    let other = Caller::new(daemon.callers_address());
    let answer = other.complete(PROMPT, 4, false).await;
    let json: Value = serde_json::from_str(&answer.body).expect("json");
    assert_eq!(json["choices"][0]["text"], expected_answer(PROMPT, 4));
    cluster.wait_engines_empty().await;
}

/// Sends raw bytes and reads until the peer closes the connection.
async fn exchange(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("connection");
    stream.write_all(bytes).await.expect("sent");
    read_to_close(&mut stream).await
}

async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer).await {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
        Err(error) => panic!("could not read: {error}"),
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(path: &str, lengths: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {TOKEN}\r\nx-class: booking\r\n\
         x-repeatable: false\r\nconnection: close\r\n{lengths}\r\n"
    )
}

struct BadRequest {
    token: &'static str,
    class: &'static str,
    header: (&'static str, &'static str),
    body: String,
}

fn completion(body: &str) -> BadRequest {
    BadRequest { token: TOKEN, class: "default", header: ("accept", "*/*"), body: body.to_owned() }
}

fn valid() -> BadRequest {
    completion(r#"{"model":"small","prompt":"a","max_tokens":2}"#)
}

#[rstest]
#[case::bad_json(completion("{\"model\":\"small\",\"prompt\":"), 400, "bad-body")]
#[case::no_prompt(completion("{\"model\":\"small\"}"), 400, "bad-body")]
#[case::excessive_length(
    completion(r#"{"model":"small","prompt":"a","max_tokens":99999999}"#),
    400,
    "bad-body"
)]
#[case::unknown_class(BadRequest { class: "tightest", ..valid() }, 403, "unknown-class")]
#[case::class_of_other_work(BadRequest { class: "booking", ..valid() }, 400, "wrong-class")]
#[case::wrong_token(BadRequest { token: "guessed", ..valid() }, 401, "unauthenticated")]
#[case::unreadable_header(BadRequest { header: ("x-repeatable", "maybe"), ..valid() }, 400, "bad-header")]
#[case::oversize_body(completion(&"x".repeat(BODY_LIMIT + 1)), 413, "body-too-large")]
#[tokio::test(flavor = "multi_thread")]
async fn bad_request_is_rejected_with_type_and_counted(
    #[case] bad: BadRequest,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = daemon_with_tight_limits(&cluster).await;
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{}/v1/completions", daemon.callers_address()))
        .header("authorization", format!("Bearer {}", bad.token))
        .header("x-class", bad.class)
        .header(bad.header.0, bad.header.1)
        .body(Full::new(Bytes::from(bad.body)))
        .expect("request");
    let answer = Caller::new(daemon.callers_address()).fetch(request).await;
    let problem: Value = serde_json::from_str(&answer.body).expect("problem");
    assert_eq!((answer.status.as_u16(), answer.outcome()), (status, "not-run"), "{problem}");
    assert_eq!(problem["type"], format!("urn:hibiscusvale:refusal:{reason}"));
    assert_eq!(problem["request_id"], answer.headers["x-request-id"].to_str().expect("text"));
    assert_eq!(events(&daemon, reason).await, 1);
    assert_unaffected(&cluster, &daemon).await;
    stop(daemon).await;
}

/// A chunked body exceeds the limit without announcing its length. The daemon must stop reading at the limit.
#[tokio::test(flavor = "multi_thread")]
async fn oversize_body_in_chunks_is_refused_at_the_limit() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = daemon_with_tight_limits(&cluster).await;
    let mut bytes = head("/booking/new", "transfer-encoding: chunked\r\n").into_bytes();
    bytes.extend(format!("{:x}\r\n{}\r\n0\r\n\r\n", 2 * BODY_LIMIT, "x".repeat(2 * BODY_LIMIT)).bytes());
    let answer = exchange(daemon.callers_address(), &bytes).await;
    assert!(answer.contains("body-too-large"), "{answer}");
    assert_eq!(events(&daemon, "body-too-large").await, 1);
    assert_unaffected(&cluster, &daemon).await;
    stop(daemon).await;
}

/// The connection closes in the middle of the body. A booking from a truncated body would be wrong, so nothing may
/// reach the service.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_reaches_no_service() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = daemon_with_tight_limits(&cluster).await;
    let mut stream = TcpStream::connect(daemon.callers_address()).await.expect("connection");
    let half = head("/booking/new", "content-length: 100\r\n") + "{\"flat\": 7,";
    stream.write_all(half.as_bytes()).await.expect("sent");
    stream.shutdown().await.expect("half closed");
    let answer = read_to_close(&mut stream).await;
    assert!(answer.is_empty() || answer.contains("body-truncated"), "{answer}");
    assert_eq!(events(&daemon, "body-truncated").await, 1);
    assert_unaffected(&cluster, &daemon).await;
    stop(daemon).await;
}

/// A slow sender would occupy a connection for hours. After the configured timeout the daemon must respond and close
/// the connection.
#[rstest]
#[case::body(head("/booking/new", "content-length: 100\r\n") + "{", "body-too-slow", "body-too-slow")]
#[case::head("POST /booking/new HTTP/1.1\r\nhost: rou".to_owned(), "", "head-too-slow")]
#[case::nothing(String::new(), "", "head-too-slow")]
#[case::preface("PRI * HTTP".to_owned(), "", "head-too-slow")]
#[tokio::test(flavor = "multi_thread")]
async fn slow_sender_is_disconnected(#[case] sent: String, #[case] expected: &str, #[case] event: &str) {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = daemon_with_tight_limits(&cluster).await;
    let answer = exchange(daemon.callers_address(), sent.as_bytes()).await;
    assert!(answer.contains(expected), "{answer}");
    assert_eq!(events(&daemon, event).await, 1);
    assert_unaffected(&cluster, &daemon).await;
    stop(daemon).await;
}

/// Request smuggling: a request has conflicting lengths. If two hops use different ones, the body seen by one is
/// executed by the other as a second request, here a booking that nobody made.
#[rstest]
#[case::two_lengths("content-length: 0\r\ncontent-length: 40\r\n", "head-malformed")]
#[case::length_with_sign("content-length: +4\r\n", "head-malformed")]
#[case::other_encoding("transfer-encoding: chunked, identity\r\n", "head-malformed")]
#[tokio::test(flavor = "multi_thread")]
async fn conflicting_lengths_do_not_smuggle_requests(#[case] lengths: &str, #[case] event: &str) {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = daemon_with_tight_limits(&cluster).await;
    let smuggled = head("/booking/hidden", "content-length: 0\r\n");
    let sent =
        format!("{}0\r\n\r\n{smuggled}", head("/booking/new", lengths).replace("connection: close\r\n", ""));
    let answer = exchange(daemon.callers_address(), sent.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert_eq!(events(&daemon, event).await, 1);
    assert_unaffected(&cluster, &daemon).await;
    stop(daemon).await;
}

/// A request has both `transfer-encoding: chunked` and `content-length`. HTTP requires that the chunked encoding takes
/// precedence and that the connection is closed after the response, as the following bytes may be part of a body that
/// an upstream proxy delimited by its length.
#[rstest]
#[case::length_first("content-length: 4\r\ntransfer-encoding: chunked\r\n")]
#[case::chunks_first("transfer-encoding: chunked\r\ncontent-length: 4\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_chunked_body_are_not_executed(#[case] lengths: &str) {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = daemon_with_tight_limits(&cluster).await;
    let smuggled = head("/booking/hidden", "content-length: 0\r\n");
    let open = head("/booking/new", lengths).replace("connection: close\r\n", "");
    let answer = exchange(daemon.callers_address(), format!("{open}0\r\n\r\n{smuggled}").as_bytes()).await;
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    let ledgers = cluster.standins.plain.iter().flat_map(|(_, service)| service.ledger());
    let paths: Vec<_> = ledgers.map(|execution| execution.path).collect();
    assert_eq!(paths, ["/booking/new"]);
    stop(daemon).await;
}

mod http2 {
    pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    pub const SETTINGS: u8 = 4;
    pub const HEADERS: u8 = 1;
    pub const RST_STREAM: u8 = 3;
    pub const GOAWAY: u8 = 7;
    pub const END_OF_HEAD_AND_STREAM: u8 = 5;
    pub const CANCEL: [u8; 4] = [0, 0, 0, 8];
    pub const ENHANCE_YOUR_CALM: [u8; 4] = [0, 0, 0, 11];

    pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
        let length = u32::try_from(payload.len()).expect("short").to_be_bytes();
        let mut frame = vec![length[1], length[2], length[3], kind, flags];
        frame.extend(stream.to_be_bytes());
        frame.extend(payload);
        frame
    }

    /// A GET of a booking page in uncompressed HPACK: indexed `:method` and `:scheme`, all other fields literal.
    pub fn head(token: &str) -> Vec<u8> {
        let mut head = vec![0x82, 0x86];
        let fields = [
            (":path", "/booking/week"),
            (":authority", "router"),
            ("authorization", token),
            ("x-class", "booking"),
        ];
        for (name, value) in fields {
            head.push(0);
            for text in [name, value] {
                head.push(u8::try_from(text.len()).expect("short"));
                head.extend(text.bytes());
            }
        }
        head
    }
}

/// HTTP/2 rapid reset: a caller opens streams and resets each immediately, so that the limit on open streams does not
/// apply while the daemon starts a request for each. The connection must be closed; other callers are not affected.
#[tokio::test(flavor = "multi_thread")]
async fn rapid_reset_closes_only_its_own_connection() {
    const STREAMS: u32 = 20_000;
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = daemon_with_tight_limits(&cluster).await;
    let mut flood = [http2::PREFACE, &http2::frame(http2::SETTINGS, 0, 0, &[])].concat();
    let head = http2::head(&format!("Bearer {TOKEN}"));
    for stream in (1..).step_by(2).take(STREAMS as usize) {
        flood.extend(http2::frame(http2::HEADERS, http2::END_OF_HEAD_AND_STREAM, stream, &head));
        flood.extend(http2::frame(http2::RST_STREAM, 0, stream, &http2::CANCEL));
    }
    let (mut reads, mut writes) =
        TcpStream::connect(daemon.callers_address()).await.expect("connection").into_split();
    let flooding = tokio::spawn(async move {
        // Writes fail once the daemon closes the connection.
        let _ = writes.write_all(&flood).await;
        writes
    });
    let other = Caller::new(daemon.callers_address());
    let meanwhile = other.complete(PROMPT, 4, false).await;
    assert_eq!(meanwhile.outcome(), "answered", "{}", meanwhile.body);
    let mut answer = Vec::new();
    let _ = reads.read_to_end(&mut answer).await;
    drop(flooding.await.expect("flooded"));
    let has_enhance_your_calm = answer.windows(4).any(|window| window == http2::ENHANCE_YOUR_CALM);
    let goaway = answer.windows(4).any(|window| window[3] == http2::GOAWAY);
    assert!(
        has_enhance_your_calm && goaway,
        "no GOAWAY with ENHANCE_YOUR_CALM came in {} bytes",
        answer.len()
    );
    assert_eq!(events(&daemon, "reset-flood").await, 1);
    let pages: usize = cluster.standins.plain.iter().map(|(_, service)| service.ledger().len()).sum();
    assert!(pages < STREAMS as usize / 10, "{pages} of {STREAMS} reset requests were run");
    stop(daemon).await;
}

/// A partner sends many large bodies concurrently to a slow service. Buffering all of them would exhaust the host's
/// memory and abort every request in flight; above the limit, requests must be rejected with `retry-after`.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_memory_limit_are_rejected_until_memory_is_free() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let mut settings = cluster.settings("entry-1", &[]);
    settings.limits.body_bytes = ByteCount(4_096);
    settings.limits.held_body_bytes = ByteCount(8_192);
    let incarnation = new_incarnation();
    let daemon =
        Daemon::start(&settings, ExternalSystems::new(&settings, incarnation), incarnation).expect("daemon");
    daemon.ready().await;
    let caller = Caller::new(daemon.callers_address());
    let book = || {
        let body = Full::new(Bytes::from(vec![b' '; 3_000]));
        caller.request("POST", "/booking/new").body(body).expect("request")
    };
    for (_, service) in &cluster.standins.plain {
        service.update_faults(&FaultUpdate { mute: Some(true), ..FaultUpdate::default() });
    }
    let (one, other) = tokio::join!(caller.fetch(book()), caller.fetch(book()));
    let (held, refused) = if one.outcome() == "unknown" { (one, other) } else { (other, one) };
    assert_eq!(held.outcome(), "unknown", "{}", held.body);
    assert_eq!((refused.status.as_u16(), refused.outcome()), (503, "not-run"), "{}", refused.body);
    assert!(refused.body.contains("overloaded") && refused.headers.contains_key("retry-after"));

    for (_, service) in &cluster.standins.plain {
        service.update_faults(&FaultUpdate { mute: Some(false), ..FaultUpdate::default() });
    }
    let answered = caller.fetch(book()).await;
    assert_eq!(answered.outcome(), "answered", "{}", answered.body);
    stop(daemon).await;
}

/// A client opens as many connections as a host accepts and sends nothing. Unless idle connections are closed after the
/// timeout, no other caller can connect.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_block_callers_permanently() {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let mut settings = cluster.settings("entry-1", &[]);
    settings.limits.connections = 2;
    settings.limits.head_timeout_ms = Millis(200);
    let incarnation = new_incarnation();
    let daemon =
        Daemon::start(&settings, ExternalSystems::new(&settings, incarnation), incarnation).expect("daemon");
    daemon.ready().await;
    let mut idle = Vec::new();
    for _ in 0..4 {
        idle.push(TcpStream::connect(daemon.callers_address()).await.expect("connection"));
    }
    assert_unaffected(&cluster, &daemon).await;
    drop(idle);
    stop(daemon).await;
}
