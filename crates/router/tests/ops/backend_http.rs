//! Calls to backend servers that time out, and answers that end with their connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use hibiscusvale::backend::{
    BackendHttp, CallFailure, ConnectionReuse, HttpPlainClient, PlainCall, PlainClient, PlainReply,
    read_body, uri,
};
use hibiscusvale_core::ids::{Incarnation, RequestId};
use hibiscusvale_core::units::Millis;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Collected, Full};
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
    // The connection is closed by its own task, which has to run once before the server begins to read. On a machine
    // without a free core the server was sometimes first and read everything.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let read = tokio::task::spawn_blocking(move || {
        let (mut stream, _) = server.accept().expect("a connection");
        let mut bytes = Vec::new();
        (stream.read_to_end(&mut bytes).map_err(|error| error.kind()), bytes.len())
    });
    let (end, read_bytes) = read.await.expect("the reader ends");
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
    assert!(read_bytes < BODY_BYTES, "{read_bytes} bytes reached the server");
}

/// Answers one request without a length, and closes the connection. A server that exits closes its listener first.
async fn answer_without_length(server: TcpListener, exits: bool) {
    let answered = tokio::task::spawn_blocking(move || {
        let (mut stream, _) = server.accept().expect("a connection");
        let mut head = [0; 1_024];
        let _ = stream.read(&mut head).expect("a request");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npage").expect("an open connection");
        if exits {
            drop(server);
            return None;
        }
        Some(server)
    });
    let listening = answered.await.expect("the server ends");
    // Keeps the listener of a live server open while the answer is read.
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(listening);
}

/// The end of a connection completes an answer without a length only while its server is alive: a process that exits
/// closes its connections in the same way, and the page may be cut short.
#[rstest]
#[case::live_server(false, Ok("page"))]
#[case::exited_server(true, Err(CallFailure::Broken))]
#[tokio::test]
async fn answer_without_a_length_is_complete_while_its_server_is_alive(
    #[case] exits: bool,
    #[case] expected: Result<&'static str, CallFailure>,
) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = server.local_addr().expect("an address");
    let call = async {
        let request = Request::builder().uri(uri(address, "/").expect("a path"));
        let request = request.body(Full::default()).expect("a request");
        let sent = BackendHttp::new().send(ConnectionReuse::Pooled, request, Duration::from_secs(3)).await;
        read_body(sent?.into_body(), 1_024, Duration::from_secs(3)).await
    };
    let (read, ()) = tokio::join!(call, answer_without_length(server, exits));
    assert_eq!(read, expected.map(Bytes::from));
}

/// The same for an answer of a plain service that is passed on while it arrives.
#[rstest]
#[case::live_server(false)]
#[case::exited_server(true)]
#[tokio::test]
async fn streamed_answer_of_an_exited_server_is_broken_off(#[case] exits: bool) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = server.local_addr().expect("an address");
    let call = PlainCall {
        request_id: RequestId { incarnation: Incarnation::default(), sequence: 1 },
        key: None,
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout_ms: Millis(3_000),
        reuse: ConnectionReuse::Pooled,
    };
    let call = async {
        let client = HttpPlainClient::new(BackendHttp::new());
        let PlainReply::Streamed { body, .. } = client.call(address, call).await.expect("an answer") else {
            panic!("an answer without a length is not buffered");
        };
        body.collect().await.map(Collected::to_bytes).ok()
    };
    let (read, ()) = tokio::join!(call, answer_without_length(server, exits));
    assert_eq!(read, (!exits).then(|| Bytes::from_static(b"page")));
}

/// A server leaves while a connection to it is being opened; the request must not reach it once there is one.
#[tokio::test]
async fn request_that_is_withdrawn_before_there_is_a_connection_is_not_sent() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("a listener");
    let server = TcpListener::from(socket);
    let address = server.local_addr().expect("an address");
    // Further connections wait until the queue of the listener has room.
    let waiting: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok())
            .take(16)
            .collect();
    assert!(waiting.len() < 16, "the queue of the listener has no end");
    let request = Request::builder().uri(uri(address, "/").expect("a path")).body(Full::default());
    let (http, withdrawn) = (BackendHttp::new(), tokio::time::sleep(Duration::from_millis(100)));
    let sent = http.send_tracked(
        ConnectionReuse::Pooled,
        request.expect("a request"),
        Duration::from_secs(3),
        withdrawn,
    );
    assert_eq!(sent.await.err(), Some(CallFailure::NotSent));
    server.set_nonblocking(true).expect("a listener");
    drop(waiting);
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        while let Ok((mut stream, _)) = server.accept() {
            stream.set_read_timeout(Some(Duration::from_millis(20))).expect("a connection");
            assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0, "a request reached the server");
        }
    }
}
