//! The directory of backend servers follows a list that lags, changes in parts, and may lose its contents.

use hibiscusvale::directory::Directory;
use hibiscusvale::external::{HostListChange, HostListPage, ListedHost, ListedKind, ListedState};
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::units::{BytesPerSecond, Millis, MonoTime};

fn id(name: &str) -> BackendServerId {
    name.parse().expect("id")
}

fn plain(name: &str, state: ListedState) -> ListedHost {
    ListedHost {
        id: id(name),
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

fn known() -> Directory {
    let directory = Directory::default();
    let entries = vec![plain("a", ListedState::Live), plain("b", ListedState::Live)];
    directory.take(page(1, HostListChange::Whole(entries)));
    directory
}

fn names(directory: &Directory) -> Vec<String> {
    let mut names: Vec<_> = directory.listing().servers.keys().map(ToString::to_string).collect();
    names.sort();
    names
}

#[test]
fn a_change_touches_only_what_it_names() {
    let directory = known();
    let change = HostListChange::Some { set: vec![plain("c", ListedState::Live)], remove: vec![id("a")] };
    directory.take(page(2, change));
    assert_eq!(names(&directory), ["b", "c"]);
    assert_eq!(directory.listing().version, 2);
}

/// The platform's list service is set up anew after a fault and answers with an empty list until hosts have
/// registered. Were it believed, every caller would be refused although all servers run.
#[test]
fn a_list_that_lost_its_contents_takes_no_server_away() {
    let directory = known();
    directory.take(page(9, HostListChange::Whole(Vec::new())));
    assert_eq!(names(&directory), ["a", "b"]);
    directory.take(page(1, HostListChange::Whole(vec![plain("b", ListedState::Live)])));
    assert_eq!(names(&directory), ["b"]);
}

/// A server refuses work because it is leaving, while the list calls it live for some seconds more. New work sent
/// there meanwhile would be refused or cut off.
#[test]
fn a_sign_of_leaving_is_believed_over_the_list_until_it_runs_out() {
    let directory = known();
    let listing = directory.listing();
    let server = &listing.servers[&id("a")];
    let seen_us = MonoTime(1_000_000);
    assert!(directory.takes_work(seen_us, server));
    assert!(directory.note_leaving(seen_us, &server.id));
    assert!(!directory.note_leaving(seen_us, &server.id), "seen twice, news once");
    assert!(!directory.takes_work(seen_us + Millis(5_000), server));
    assert!(directory.takes_work(seen_us + Millis(60_000), server));

    directory.note_leaving(seen_us, &server.id);
    directory.note_taking(&server.id);
    assert!(directory.takes_work(seen_us, server));
}
