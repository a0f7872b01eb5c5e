//! Selection of ports for processes that are started later.

use std::collections::HashSet;
use std::net::TcpListener;

use hibiscusvale_standins::ports::free_address;

/// Two daemons must not be given the same port, also if neither has bound it yet.
#[test]
fn selected_ports_differ() {
    let addresses: Vec<_> = (0..400).map(|_| free_address().expect("a free address")).collect();
    let distinct: HashSet<_> = addresses.iter().collect();
    assert_eq!(distinct.len(), addresses.len());
}

/// Another process must find the block of a selected port taken for as long as this one runs.
#[test]
fn block_of_a_selected_port_is_held() {
    let address = free_address().expect("a free address");
    let held = (1..50).any(|below| TcpListener::bind((address.ip(), address.port() - below)).is_err());
    assert!(held, "no port below {address} is held");
}
