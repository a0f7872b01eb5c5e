//! Calls to backend servers that time out, and answers that end with their connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

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

/// An answer whose status HTTP does not have is no answer, whoever calls.
#[rstest]
#[case::least(600, false)]
#[case::greatest(999, false)]
#[case::last_of_http(599, true)]
#[tokio::test]
async fn status_that_http_does_not_have_is_malformed(#[case] status: u16, #[case] is_answer: bool) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = server.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = server.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1_024]).expect("a request");
        write!(stream, "HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nok").expect("an open connection");
    });
    let request = Request::get(uri(address, "/").expect("a path")).body(Full::default()).expect("a request");
    let answer = BackendHttp::new().send(ConnectionReuse::Fresh, request, Duration::from_secs(2)).await;
    assert_eq!(answer.map(|answer| answer.status().as_u16()).ok(), is_answer.then_some(status));
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

/// Accepts connections for as long as the test runs, reads a request from each, and sends `head` and then `again` without end.
/// Returns its address, and the number of connections and of bytes sent.
fn endless_server(
    head: &'static [u8],
    again: &'static [u8],
) -> (SocketAddr, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a socket");
    SockRef::from(&server).set_send_buffer_size(16 << 10).expect("a small buffer");
    let address = server.local_addr().expect("an address");
    let (connections, sent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (accepted, written) = (Arc::clone(&connections), Arc::clone(&sent));
    thread::spawn(move || {
        for mut stream in server.incoming().filter_map(Result::ok) {
            accepted.fetch_add(1, Ordering::Relaxed);
            let written = Arc::clone(&written);
            thread::spawn(move || {
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).expect("a request");
                let mut result = stream.write_all(head);
                while result.is_ok() {
                    written.fetch_add(again.len(), Ordering::Relaxed);
                    result = stream.write_all(again);
                }
            });
        }
    });
    (address, connections, sent)
}

async fn get(http: &BackendHttp, address: SocketAddr, timeout: Duration) -> Result<(), CallFailure> {
    let request = Request::builder().uri(uri(address, "/")?).body(Full::default()).expect("a request");
    let response = http.send(ConnectionReuse::Pooled, request, timeout).await?;
    read_body(response.into_body(), 16 << 10, timeout).await.map(drop)
}

/// An answer whose head or framing never ends must be given up after some bytes, long before the time limit, and its server must be
/// left alone for a while: a poll would begin the same again at once.
#[rstest]
#[case::status_line(b"HTTP/1.1 200 ", b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[case::header_line(b"HTTP/1.1 200 OK\r\nX-A: ", b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[case::headers(b"HTTP/1.1 200 OK\r\n", b"X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n")]
#[case::interim_answers(b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")]
#[case::chunk_size(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"00000000000000000000000000000000"
)]
#[case::chunk_extension(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
)]
#[case::body(b"HTTP/1.1 200 OK\r\n\r\n", b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_end_are_given_up_and_not_asked_for_again(
    #[case] head: &'static [u8],
    #[case] again: &'static [u8],
) {
    let (address, connections, sent) = endless_server(head, again.repeat(64).leak());
    let (http, limit) = (BackendHttp::new(), Duration::from_secs(8));
    let started_at = Instant::now();
    assert_eq!(get(&http, address, limit).await, Err(CallFailure::Broken));
    assert!(started_at.elapsed() < limit / 2, "{:?}", started_at.elapsed());
    // Most of it may be in the buffers of the system.
    assert!(sent.load(Ordering::Relaxed) < 8 << 20, "{sent:?} bytes");
    for _ in 0..10 {
        assert_eq!(get(&http, address, limit).await, Err(CallFailure::NotSent));
    }
    assert_eq!(connections.load(Ordering::Relaxed), 1);
}

/// An answer that is large, and comes in small chunks, must not count as one without end.
#[rstest]
#[case::small_chunks(16, 4_096)]
#[case::large_chunks(64 << 10, 64)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answers_in_chunks_are_read_to_their_end(#[case] chunk_bytes: usize, #[case] chunks: usize) {
    let server = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let address = server.local_addr().expect("an address");
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "a".repeat(chunk_bytes));
    thread::spawn(move || {
        for mut stream in server.incoming().filter_map(Result::ok) {
            let mut request = [0; 1_024];
            while stream.read(&mut request).is_ok_and(|count| count > 0) {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let answer = [head, &chunk.repeat(chunks), "0\r\n\r\n"].concat();
                stream.write_all(answer.as_bytes()).expect("an open connection");
            }
        }
    });
    let http = BackendHttp::new();
    for _ in 0..3 {
        let request = Request::builder().uri(uri(address, "/").expect("a path")).body(Full::default());
        let sent =
            http.send(ConnectionReuse::Pooled, request.expect("a request"), Duration::from_secs(5)).await;
        let size = chunk_bytes * chunks;
        let body = read_body(sent.expect("an answer").into_body(), size, Duration::from_secs(20)).await;
        assert_eq!(body.map(|body| body.len()), Ok(size));
    }
}

/// A service of the platform whose answer did not end must be called again: no other one can take its place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn services_of_the_platform_are_called_again() {
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(64).leak();
    let (address, connections, _) = endless_server(b"", interim);
    let http = BackendHttp::for_platform();
    for _ in 0..3 {
        assert_eq!(get(&http, address, Duration::from_secs(8)).await, Err(CallFailure::Broken));
    }
    assert_eq!(connections.load(Ordering::Relaxed), 3);
}
