//! Calls to backend servers that time out.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale::backend::{BackendHttp, CallFailure, ConnectionReuse, uri};
use http::{Method, Request};
use http_body_util::Full;
use rstest::rstest;
use socket2::SockRef;

/// More than fits into the server's receive buffer and the link, and less than the daemon's send buffer
/// holds.
const BODY_BYTES: usize = 48 << 10;

/// A server with a small receive buffer that does not read, as if the link to it were cut.
fn server_with_small_receive_buffer() -> (TcpListener, SocketAddr) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a socket");
    SockRef::from(&server).set_recv_buffer_size(2_048).expect("a small buffer");
    let address = server.local_addr().expect("an address");
    (server, address)
}

/// A call that timed out must not reach its server later. When a link is cut, the daemon gives the call up
/// and refuses the request, but after an ordinary close the operating system keeps retransmitting: once the
/// link heals, the request would reach a server that may have said that it is leaving, after the caller was
/// told that nothing ran.
#[rstest]
#[case::pooled(ConnectionReuse::Pooled)]
#[case::fresh(ConnectionReuse::Fresh)]
#[tokio::test]
async fn timed_out_call_discards_undelivered_bytes(#[case] reuse: ConnectionReuse) {
    let (server, address) = server_with_small_receive_buffer();
    let request = Request::builder()
        .method(Method::POST)
        .uri(uri(address, "/").expect("a path"))
        .body(Full::new(Bytes::from(vec![b'x'; BODY_BYTES])))
        .expect("a request");
    let timed_out = BackendHttp::new().send(reuse, request, Duration::from_millis(300)).await;
    assert_eq!(timed_out.err(), Some(CallFailure::Timeout));
    let read = tokio::task::spawn_blocking(move || {
        let (mut stream, _) = server.accept().expect("a connection");
        let mut bytes = Vec::new();
        (stream.read_to_end(&mut bytes).map_err(|error| error.kind()), bytes.len())
    });
    let (end, read_bytes) = read.await.expect("the reader ends");
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
    assert!(read_bytes < BODY_BYTES, "{read_bytes} bytes reached the server");
}
