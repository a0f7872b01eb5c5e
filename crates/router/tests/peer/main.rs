//! Tests of the link between daemons over the loopback interface.

mod closing_peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hibiscusvale::peer::{LinkSettings, NngLink, PeerBody, PeerLink, PeerMessage};
use hibiscusvale_core::ids::{HostId, Incarnation};
use hibiscusvale_core::membership::MembershipMessage;
use nng::options::Options;
use nng::options::transport::tcp::BoundPort;
use nng::{Listener, Protocol, Socket};

const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";
const OTHER_KEY: &str = "0202020202020202020202020202020202020202020202020202020202020202";
/// Upper bound of any wait; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn start(name: &str, key: &str, incarnation: u64) -> (Arc<NngLink>, Receiver<PeerMessage>) {
    let settings = LinkSettings {
        idle: Duration::from_hours(10),
        ..LinkSettings::new(host(name), any_port(), key.parse().unwrap())
    };
    let (sender, receiver) = channel();
    let sender = Mutex::new(sender);
    let inbound = Arc::new(move |message: PeerMessage| {
        sender.lock().unwrap().send(message).unwrap_or_default();
    });
    let link = NngLink::start(settings, Incarnation(incarnation.into()), inbound).unwrap();
    (link, receiver)
}

fn ping(counter: u64) -> PeerBody {
    PeerBody::Membership(MembershipMessage::Ping { counter })
}

/// Polls until `is_done` returns true, for at most [`TEST_TIMEOUT`].
fn wait_until<Done>(is_done: Done)
where
    Done: Fn() -> bool,
{
    let start = Instant::now();
    while !is_done() {
        assert!(start.elapsed() < TEST_TIMEOUT, "condition was not met");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A socket that records what a daemon sends.
fn recorder() -> (Socket, SocketAddr) {
    let socket = Socket::new(Protocol::Pull0).unwrap();
    let listener = Listener::new(&socket, "tcp://127.0.0.1:0").unwrap();
    let port = listener.get_opt::<BoundPort>().unwrap();
    (socket, SocketAddr::from(([127, 0, 0, 1], port)))
}

fn sender_to(address: SocketAddr) -> Socket {
    let socket = Socket::new(Protocol::Push0).unwrap();
    socket.dial(&format!("tcp://{address}")).unwrap();
    socket
}

#[test]
fn carries_messages_both_ways() {
    let (one, received_by_one) = start("one", KEY, 1);
    let (two, received_by_two) = start("two", KEY, 1);
    one.send_at(Some(&host("two")), two.local_address(), ping(1));
    two.send_at(None, one.local_address(), ping(2));
    let message = received_by_two.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!((message.from, message.body), (host("one"), ping(1)));
    let message = received_by_one.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!((message.from, message.body), (host("two"), ping(2)));
    assert!(one.counts().control_bytes > 0);
    assert_eq!(one.counts().request_bytes, 0);
}

/// An attacker without the key sends well-formed messages. Accepting one could move all servers to a daemon that
/// does not exist.
#[test]
fn drops_messages_under_another_key() {
    let (forger, _) = start("one", OTHER_KEY, 9);
    let (two, received_by_two) = start("two", KEY, 1);
    forger.send_at(Some(&host("two")), two.local_address(), ping(1));
    wait_until(|| two.counts().refused_forged == 1);
    assert_eq!(received_by_two.recv_timeout(Duration::ZERO), Err(RecvTimeoutError::Timeout));
}

/// A recorded frame is replayed to its receiver and to another daemon.
#[test]
fn drops_replayed_frames() {
    let (one, _) = start("one", KEY, 1);
    let (two, received_by_two) = start("two", KEY, 1);
    let (three, _received_by_three) = start("three", KEY, 1);
    let (recorded, address) = recorder();
    one.send_at(Some(&host("two")), address, ping(1));
    let frame = recorded.recv().unwrap();

    let to_two = sender_to(two.local_address());
    to_two.send(frame.as_slice()).unwrap();
    to_two.send(frame.as_slice()).unwrap();
    wait_until(|| two.counts().refused_replayed == 1);
    assert_eq!(received_by_two.recv_timeout(TEST_TIMEOUT).unwrap().body, ping(1));

    sender_to(three.local_address()).send(frame.as_slice()).unwrap();
    wait_until(|| three.counts().refused_forged == 1);
}

/// Corrupted, truncated or foreign data arrives. It is counted and dropped, and the link keeps working.
#[test]
fn survives_malformed_frames() {
    let (one, _) = start("one", KEY, 1);
    let (two, received_by_two) = start("two", KEY, 1);
    let raw = sender_to(two.local_address());
    for bytes in [&[][..], &[1], &[7; 40], &[0xff; 4_000]] {
        raw.send(bytes).unwrap();
    }
    wait_until(|| two.counts().refused_malformed == 4);
    one.send_at(Some(&host("two")), two.local_address(), ping(3));
    assert_eq!(received_by_two.recv_timeout(TEST_TIMEOUT).unwrap().body, ping(3));
}

/// The old process of a replaced host resumes and sends an outdated message.
#[test]
fn drops_messages_of_an_old_incarnation() {
    let (old, _) = start("one", KEY, 1);
    let (new, _) = start("one", KEY, 2);
    let (two, received_by_two) = start("two", KEY, 1);
    new.send_at(Some(&host("two")), two.local_address(), ping(1));
    assert_eq!(received_by_two.recv_timeout(TEST_TIMEOUT).unwrap().body, ping(1));
    old.send_at(Some(&host("two")), two.local_address(), ping(2));
    wait_until(|| two.counts().refused_old_life == 1);
}

#[test]
fn counts_a_message_without_an_address() {
    let (one, _) = start("one", KEY, 1);
    one.send(&host("nobody"), ping(1));
    assert_eq!(one.counts().dropped_no_address, 1);
}

/// Proxies connections to `target`. Once `is_silent` is set, connections that are already open discard all data,
/// as if a device on the path had lost their state; connections opened later work.
fn silencing_proxy(target: SocketAddr, is_silent: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(target).unwrap();
            let opened_silent = is_silent.load(Ordering::SeqCst);
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                let is_silent = Arc::clone(&is_silent);
                thread::spawn(move || {
                    let mut buffer = [0; 4_096];
                    while let Ok(count @ 1..) = from.read(&mut buffer) {
                        if is_silent.load(Ordering::SeqCst) && !opened_silent {
                            continue;
                        }
                        if to.write_all(&buffer[..count]).is_err() {
                            break;
                        }
                    }
                });
            }
        }
    });
    address
}

/// A device between two hosts loses the state of an open connection. Neither end is notified; messages are lost
/// although a new connection would work. The sender must notice the silence, probe, and redial.
#[test]
fn redials_a_silent_connection() {
    let (one, received_by_one) = start("one", KEY, 1);
    let (two, received_by_two) = start("two", KEY, 1);
    let is_silent = Arc::new(AtomicBool::new(false));
    let proxy = silencing_proxy(two.local_address(), Arc::clone(&is_silent));
    one.send_at(Some(&host("two")), proxy, ping(1));
    received_by_two.recv_timeout(TEST_TIMEOUT).unwrap();
    two.send_at(Some(&host("one")), one.local_address(), ping(2));
    received_by_one.recv_timeout(TEST_TIMEOUT).unwrap();

    is_silent.store(true, Ordering::SeqCst);
    one.send_at(Some(&host("two")), proxy, ping(3));
    let later = Instant::now() + Duration::from_mins(5);
    one.maintain(later);
    assert_eq!(one.counts().probes, 1);
    one.maintain(later + Duration::from_mins(5));
    assert_eq!(one.counts().redialled, 1);
    one.send_at(Some(&host("two")), proxy, ping(4));
    assert_eq!(received_by_two.recv_timeout(TEST_TIMEOUT).unwrap().body, ping(4));
}

/// An idle connection must not be closed: its probe is answered.
#[test]
fn answered_probe_keeps_the_connection() {
    let (one, received_by_one) = start("one", KEY, 1);
    let (two, received_by_two) = start("two", KEY, 1);
    two.send_at(Some(&host("one")), one.local_address(), ping(1));
    received_by_one.recv_timeout(TEST_TIMEOUT).unwrap();
    one.send_at(Some(&host("two")), two.local_address(), ping(2));
    received_by_two.recv_timeout(TEST_TIMEOUT).unwrap();
    let received = one.counts().received_frames;
    let later = Instant::now() + Duration::from_mins(5);
    one.maintain(later);
    wait_until(|| one.counts().received_frames > received);
    one.maintain(later + Duration::from_mins(5));
    assert_eq!(one.counts().redialled, 0);
}
