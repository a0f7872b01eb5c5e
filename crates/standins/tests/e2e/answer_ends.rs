//! Answers of plain services that have neither a length nor chunks and end with their connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use hibiscusvale_standins::hosts::{HostChange, HostEntry, HostState, Kind};
use rstest::rstest;

use crate::cluster::{SMALL_PLAN, TOKEN, TestCluster, stop};

/// Path prefix of a service without mock instances.
const SERVICE: &str = "undelimited";

/// Maximum number of requests until the daemon knows the instance.
const FETCHES_MAX: usize = 20_000;

/// An instance that answers one request without a length. One that exits closes its listener before the connection.
fn start_instance(exits: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let _ = stream.read(&mut [0; 4_096]).expect("request");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npage").expect("open connection");
        if exits {
            drop(listener);
            return;
        }
        drop(stream);
        // Accepts the check of the router whether the instance is alive.
        let _ = listener.accept();
    });
    address
}

fn entry(address: SocketAddr) -> HostEntry {
    HostEntry {
        id: "undelimited-1".to_owned(),
        kind: Kind::Plain,
        address,
        peer_address: None,
        data_centre: "casa-1".to_owned(),
        region: "ma-north".to_owned(),
        partner: Some("nadifa".to_owned()),
        state: HostState::Live,
        service: Some(SERVICE.to_owned()),
        models: Vec::new(),
        role: None,
        slots_total: 1,
        checks_fencing: false,
        link_bytes_per_s: 0,
    }
}

/// What a caller received before the end of its connection, and whether that end was a reset.
fn fetch(to: SocketAddr, version: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(to).expect("connection");
    let request = format!(
        "GET /week {version}\r\nHost: h\r\nAuthorization: Bearer {TOKEN}\r\nx-class: booking\r\n\
         x-service: {SERVICE}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("open connection");
    let mut received = Vec::new();
    let is_reset = stream.read_to_end(&mut received).is_err();
    (String::from_utf8(received).expect("text"), is_reset)
}

/// An answer whose instance exits may be cut short, and must not look complete to its caller: there is no last chunk, and
/// for HTTP/1.0, which has no chunks, a reset.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_an_exited_instance_is_incomplete(
    #[values("HTTP/1.0", "HTTP/1.1")] version: &'static str,
    #[values(false, true)] exits: bool,
) {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let instance = entry(start_instance(exits));
    cluster.standins.hosts.change(HostChange { set: vec![instance], remove: Vec::new() });
    let daemon = cluster.daemon("entry-1").await;
    let to = daemon.callers_address();
    // Requests are refused until the daemon has read the new host list.
    let fetched = tokio::task::spawn_blocking(move || {
        let mut fetches = std::iter::repeat_with(|| fetch(to, version)).take(FETCHES_MAX);
        fetches.find(|(received, _)| !received.contains("x-outcome: not-run")).expect("an answer")
    });
    let (received, is_reset) = fetched.await.expect("caller");
    let is_complete = if version == "HTTP/1.0" { !is_reset } else { received.ends_with("0\r\n\r\n") };
    assert!(received.contains("200 OK") || is_reset, "{received:?}");
    assert_eq!(is_complete, !exits, "{received:?}");
    stop(daemon).await;
}
