//! Tests of the directory of backend servers against a host list that lags, changes incrementally and may lose its
//! contents.

use hibiscusvale::directory::Directory;
use hibiscusvale::external::{HostListChange, HostListPage, ListedHost, ListedKind, ListedState};
use hibiscusvale_core::ids::{BackendServerId, SoftwareVersion};
use hibiscusvale_core::units::{BytesPerSecond, Millis, MonoTime};

fn id(name: &str) -> BackendServerId {
    name.parse().expect("id")
}

fn plain(name: &str, state: ListedState) -> ListedHost {
    ListedHost {
        id: id(name),
        lifetime: None,
        version: SoftwareVersion::default(),
        kind: ListedKind::Plain,
        address: "127.0.0.1:1".parse().expect("address"),
        peer_address: None,
        data_centre: "casa-1".parse().expect("data centre"),
        region: "ma-north".parse().expect("region"),
        partner: None,
        state,
        service: Some("booking".to_owned()),
        models: Vec::new(),
        role: None,
        slots_total: 8,
        checks_fencing: false,
        link_bytes_per_s: BytesPerSecond(0),
    }
}

fn page(version: u64, change: HostListChange) -> HostListPage {
    HostListPage { version, change }
}

fn directory_of_two() -> Directory {
    let directory = Directory::default();
    let entries = vec![plain("a", ListedState::Live), plain("b", ListedState::Live)];
    directory.apply(page(1, HostListChange::Full(entries)));
    directory
}

fn names(directory: &Directory) -> Vec<String> {
    let mut names: Vec<_> = directory.listing().servers.keys().map(ToString::to_string).collect();
    names.sort();
    names
}

#[test]
fn incremental_change_keeps_other_servers() {
    let directory = directory_of_two();
    let change = HostListChange::Some { set: vec![plain("c", ListedState::Live)], remove: vec![id("a")] };
    directory.apply(page(2, change));
    assert_eq!(names(&directory), ["b", "c"]);
    assert_eq!(directory.listing().version, 2);
}

/// After a fault the platform's list service restarts with an empty list until hosts have registered. If the directory
/// adopted it, every request would be refused although all servers run.
#[test]
fn empty_list_removes_no_server() {
    let directory = directory_of_two();
    directory.apply(page(9, HostListChange::Full(Vec::new())));
    assert_eq!(names(&directory), ["a", "b"]);
    directory.apply(page(1, HostListChange::Full(vec![plain("b", ListedState::Live)])));
    assert_eq!(names(&directory), ["b"]);
}

/// A leaving server refuses work while the list still reports it as live for some seconds. Requests sent to it in that
/// time would be refused or cut off.
#[test]
fn leaving_notice_overrides_list_until_it_expires() {
    let directory = directory_of_two();
    let listing = directory.listing();
    let server = &listing.servers[&id("a")];
    let seen_us = MonoTime(1_000_000);
    assert!(directory.accepts_work(seen_us, server));
    assert!(directory.mark_leaving(seen_us, &server.id));
    assert!(!directory.mark_leaving(seen_us, &server.id), "a repeated notice is not new");
    assert!(!directory.accepts_work(seen_us + Millis(5_000), server));
    assert!(directory.accepts_work(seen_us + Millis(60_000), server));

    directory.mark_leaving(seen_us, &server.id);
    directory.clear_leaving(&server.id);
    assert!(directory.accepts_work(seen_us, server));
}

/// A read that brings nothing but a newer version must not be repeated from the version before.
#[test]
fn read_without_changes_advances_the_version() {
    let directory = directory_of_two();
    directory.apply(page(9, HostListChange::Some { set: Vec::new(), remove: Vec::new() }));
    assert_eq!((names(&directory).len(), directory.listing().version), (2, 9));
}
