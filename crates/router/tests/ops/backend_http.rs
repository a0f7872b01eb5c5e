//! Calls to backend servers that are given up.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale::backend::{BackendHttp, CallFailure, Trust, uri};
use http::{Method, Request};
use http_body_util::Full;
use rstest::rstest;
use socket2::SockRef;

/// More than the server's end and the way to it take in, and less than the daemon's end holds.
const BODY_BYTES: usize = 48 << 10;

/// A server that takes in next to nothing until it reads: the way to it is as if cut.
fn narrow_server() -> (TcpListener, SocketAddr) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a socket");
    SockRef::from(&server).set_recv_buffer_size(2_048).expect("a small buffer");
    let address = server.local_addr().expect("an address");
    (server, address)
}

/// A data centre is cut off while a daemon there has a prompt read elsewhere. The daemon gives the call up and refuses the
/// request, but the system's end of the connection keeps trying for it. When the cut heals, seconds later, the request
/// reaches the server all the same: one that has meanwhile told everyone that it leaves, for a caller who was told that
/// nothing has run.
#[rstest]
#[case::pooled(Trust::Pooled)]
#[case::fresh(Trust::Fresh)]
#[tokio::test]
async fn what_was_not_delivered_of_a_call_that_is_given_up_never_is(#[case] trust: Trust) {
    let (server, address) = narrow_server();
    let request = Request::builder()
        .method(Method::POST)
        .uri(uri(address, "/").expect("a path"))
        .body(Full::new(Bytes::from(vec![b'x'; BODY_BYTES])))
        .expect("a request");
    let given_up = BackendHttp::new().send(trust, request, Duration::from_millis(300)).await;
    assert_eq!(given_up.err(), Some(CallFailure::Timeout));
    let read = tokio::task::spawn_blocking(move || {
        let (mut stream, _) = server.accept().expect("a connection");
        let mut bytes = Vec::new();
        (stream.read_to_end(&mut bytes).map_err(|error| error.kind()), bytes.len())
    });
    let (end, read_bytes) = read.await.expect("the reader ends");
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
    assert!(read_bytes < BODY_BYTES, "{read_bytes} bytes reached the server");
}
