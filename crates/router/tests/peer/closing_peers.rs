//! Peers that close connections while they are sent to.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use hibiscusvale::peer::PeerLink;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{any_port, host, ping, start, wait_until};

/// Greeting of a pull socket in nng's protocol over TCP.
const PULL_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
const PEERS: u64 = 48;
const SENDING_TIME: Duration = Duration::from_secs(4);

/// A peer that closes each connection after up to 2 KB.
fn closing_peer(seed: u64) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    let mut rng = StdRng::seed_from_u64(seed);
    thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            let mut received = vec![0; rng.random_range(8..2_048)];
            connection.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
            if connection.write_all(&PULL_GREETING).is_ok() {
                // A connection without traffic is closed at the timeout.
                let _ = connection.read_exact(&mut received);
            }
        }
    });
    address
}

/// Daemons die and close their connections under load. A daemon that was just sending to one of them ended with an
/// access to freed memory, and all requests that it had in hand were lost.
#[test]
fn survives_peers_that_close_during_sends() {
    let (one, _) = start("one", super::KEY, 1);
    let (two, received_by_two) = start("two", super::KEY, 1);
    let peers: Vec<SocketAddr> = (0..PEERS).map(closing_peer).collect();
    let started = Instant::now();
    while started.elapsed() < SENDING_TIME {
        for address in &peers {
            one.send_at(None, *address, ping(1));
        }
    }
    let is_received = || {
        one.send_at(Some(&host("two")), two.local_address(), ping(2));
        received_by_two.try_recv().is_ok()
    };
    wait_until(is_received);
}

/// A peer that accepts connections and never answers must not hold up messages to others.
#[test]
fn silent_peer_does_not_delay_others() {
    let (one, _) = start("one", super::KEY, 1);
    let (two, received_by_two) = start("two", super::KEY, 1);
    let silent = TcpListener::bind(any_port()).unwrap();
    for _ in 0..100 {
        one.send_at(None, silent.local_addr().unwrap(), ping(1));
    }
    assert_eq!(one.counts().dropped_busy, 100 - 32);
    one.send_at(Some(&host("two")), two.local_address(), ping(2));
    assert_eq!(received_by_two.recv_timeout(super::TEST_TIMEOUT).unwrap().body, ping(2));
}
