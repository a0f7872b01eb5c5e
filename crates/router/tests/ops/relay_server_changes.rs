//! Propagation of server changes from daemon to daemon.

use hibiscusvale::directory::{Directory, Listing};
use hibiscusvale::external::{HostListChange, HostListPage, ListedHost, ListedKind, ListedState};
use hibiscusvale::relay::server_changes::{ServerChange, ServerChangeLog};
use hibiscusvale_core::ids::{BackendServerId, SoftwareVersion};
use hibiscusvale_core::units::BytesPerSecond;

fn plain(name: &str, state: ListedState) -> ListedHost {
    ListedHost {
        id: name.parse().unwrap(),
        lifetime: None,
        version: SoftwareVersion::default(),
        kind: ListedKind::Plain,
        address: "10.1.0.9:80".parse().unwrap(),
        peer_address: None,
        data_centre: "z-1".parse().unwrap(),
        region: "r".parse().unwrap(),
        partner: None,
        state,
        service: Some("app".to_owned()),
        models: Vec::new(),
        role: None,
        slots_total: 6,
        checks_fencing: false,
        link_bytes_per_s: BytesPerSecond::ZERO,
    }
}

fn listing(version: u64, names: &[&str]) -> Listing {
    Listing::new(version, names.iter().map(|name| plain(name, ListedState::Live)).collect())
}

fn names(listing: &Listing) -> Vec<&str> {
    let mut names: Vec<&str> = listing.servers.keys().map(BackendServerId::as_str).collect();
    names.sort_unstable();
    names
}

/// The change of an incremental read that saw each server's last record.
fn read(before: &Listing, after: &Listing) -> Option<ServerChange> {
    let listed: Vec<BackendServerId> = after.servers.keys().cloned().collect();
    let removed = after.servers.removed_since(&before.servers).cloned().collect();
    ServerChange::of_read(before, after, after.version, &listed, removed)
}

/// One server is added and one removed. A daemon at the version before the change gets both from it and needs
/// no call to the store.
#[test]
fn a_change_brings_other_daemons_up_to_date() {
    let (before, after) = (listing(5, &["i-1", "i-2"]), listing(9, &["i-2", "i-3"]));
    let change = read(&before, &after).unwrap();
    // The same servers at a version in between.
    let other = ServerChange::applied(&[change], &listing(7, &["i-1", "i-2"])).unwrap();
    assert_eq!((names(&other), other.version), (vec!["i-2", "i-3"], 9));
}

/// A server starts to leave: its entry stays, and a daemon that misses the change would keep sending requests
/// to it.
#[test]
fn a_leaving_server_is_announced() {
    let before = listing(5, &["i-1", "i-2"]);
    let leaving = before.changed(6, vec![plain("i-1", ListedState::Leaving)], &[]);
    let change = read(&before, &leaving).unwrap();
    let sent = ServerChange::applied(&[change], &before).unwrap();
    assert_eq!(sent.servers[&"i-1".parse().unwrap()].listed, ListedState::Leaving);
}

/// The previous message was lost. Applied alone, the next change would keep a removed server in use; the
/// daemon applies nothing, stays behind and reads the store.
#[test]
fn a_change_from_an_unknown_version_is_not_applied() {
    let (first, second, third) = (listing(1, &["i-1"]), listing(2, &["i-2"]), listing(3, &["i-2", "i-3"]));
    let change = read(&second, &third).unwrap();
    assert!(ServerChange::applied(&[change], &first).is_none());
    let nothing_known = Listing::default();
    let first_of_all = read(&nothing_known, &first).unwrap();
    assert!(
        ServerChange::applied(&[first_of_all], &nothing_known).is_none(),
        "a daemon without a list cannot apply a change"
    );
}

/// The previous message was lost, and this one repeats its change.
#[test]
fn a_repeated_change_replaces_a_lost_one() {
    let (first, second, third) = (listing(1, &["i-1"]), listing(2, &["i-2"]), listing(3, &["i-2", "i-3"]));
    let changes = vec![read(&first, &second).unwrap(), read(&second, &third).unwrap()];
    assert_eq!(names(&ServerChange::applied(&changes, &first).unwrap()), ["i-2", "i-3"]);
}

/// Thousands of servers change several times a second, and a daemon reads the store between two reads of the
/// reader. If it accepted only changes from the exact version that the reader had, it would have to read
/// after every change from then on: 3.5 calls a second from each of 298 daemons.
#[test]
fn a_change_applies_to_a_list_read_in_between() {
    let (before, after) = (listing(5, &["i-1", "i-2"]), listing(9, &["i-2", "i-3"]));
    let change = read(&before, &after).unwrap();
    let in_between = listing(7, &["i-1", "i-2", "i-3"]);
    assert_eq!(names(&ServerChange::applied(&[change], &in_between).unwrap()), ["i-2", "i-3"]);
}

/// A daemon reads that a server is leaving and then receives an older change. Applied, it would put the
/// server back in use.
#[test]
fn an_older_change_does_not_revert_a_later_read() {
    let (before, after) = (listing(5, &["i-1"]), listing(9, &["i-1", "i-2"]));
    let change = read(&before, &after).unwrap();
    let later = after.changed(11, vec![plain("i-2", ListedState::Leaving)], &[]);
    assert!(ServerChange::applied(&[change], &later).is_none());
}

/// Hundreds of servers leave at once. In messages to every daemon the change would saturate the links of
/// small hosts for seconds; without a history to request it from, every daemon would read the store.
#[test]
fn a_change_too_large_for_a_message_is_available_on_request() {
    let many: Vec<String> = (0..400).map(|number| format!("i-{number}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let (before, after) = (listing(1, &many), listing(2, &["i-0"]));
    let log = ServerChangeLog::default();
    log.record(read(&before, &after).unwrap());
    assert!(log.next_batch().is_empty(), "a change of 400 servers is not put into messages");
    let changes = log.since(1).unwrap();
    assert_eq!(names(&ServerChange::applied(&changes, &before).unwrap()), ["i-0"]);
}

/// The list is written again without a change. A daemon that missed that version would request the full list
/// when the next change comes.
#[test]
fn a_version_without_a_change_is_kept_in_the_history() {
    let log = ServerChangeLog::default();
    log.record(read(&listing(1, &["i-0"]), &listing(2, &["i-0"])).unwrap());
    log.record(read(&listing(2, &["i-0"]), &listing(3, &["i-0", "i-1"])).unwrap());
    let known = listing(1, &["i-0"]);
    assert_eq!(names(&ServerChange::applied(&log.since(1).unwrap(), &known).unwrap()), ["i-0", "i-1"]);
    assert!(read(&listing(1, &["i-0"]), &listing(1, &["i-0"])).is_none(), "the same version is no change");
}

/// A daemon missed a change, so its later changes do not continue from the version before the gap. If it
/// served them regardless, the receiver would keep removed servers in use.
#[test]
fn changes_after_a_gap_are_not_served() {
    let log = ServerChangeLog::default();
    let change = |from: u64, to: u64| read(&listing(from, &["i-0"]), &listing(to, &["i-0", "i-1"])).unwrap();
    log.record(change(1, 2));
    log.record(change(5, 6));
    assert_eq!(log.since(1), None);
    assert_eq!(log.since(5).map(|changes| changes.len()), Some(1));
}

/// A daemon runs for months. Its history of changes is bounded, and the newest changes stay.
#[test]
fn the_history_of_changes_is_bounded() {
    let log = ServerChangeLog::default();
    let many: Vec<String> = (0..100).map(|number| format!("i-{number}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    for version in 1..200 {
        log.record(read(&listing(version, &["i-0"]), &listing(version + 1, &many)).unwrap());
    }
    assert_eq!(log.since(1), None);
    let kept = (1..200).find_map(|version| log.since(version)).unwrap();
    assert!((10..=30).contains(&kept.len()), "{} changes of 99 servers are in the history", kept.len());
}

/// Single messages get lost, so a change is sent in three of them, but no more: hosts have ten megabits of
/// bandwidth.
#[test]
fn a_change_is_sent_in_three_messages() {
    let log = ServerChangeLog::default();
    let change = read(&listing(1, &["i-1"]), &listing(2, &["i-2"])).unwrap();
    log.record(change.clone());
    let sent: Vec<usize> = (0..5).map(|_| log.next_batch().len()).collect();
    assert_eq!(sent, [1, 1, 1, 0, 0]);
}

/// Entries are renewed all the time, and each renewal is a version of its own. Recorded one by one they would
/// fill the memory, and a daemon that missed some of them would get the full list.
#[test]
fn versions_without_a_change_are_merged_in_the_history() {
    let log = ServerChangeLog::default();
    log.record(read(&listing(1, &["i-0"]), &listing(2, &["i-0", "i-1"])).unwrap());
    for version in 2..10_000 {
        let same = |version| listing(version, &["i-0", "i-1"]);
        log.record(read(&same(version), &same(version + 1)).unwrap());
    }
    let changes = log.since(1).unwrap();
    assert_eq!(changes.len(), 1);
    let known = ServerChange::applied(&changes, &listing(1, &["i-0"])).unwrap();
    assert_eq!((names(&known), known.version), (vec!["i-0", "i-1"], 10_000));
}

/// A daemon that comes back from a cut keeps a vanished server for a while. Its change must name the server all the same:
/// daemons that were not cut off would never hear of it otherwise, since the next change begins at a later version.
#[test]
fn what_the_reader_keeps_is_removed_at_the_others() {
    let (before, after) = (listing(5, &["i-1", "i-2"]), listing(9, &["i-1", "i-2", "i-3"]));
    let kept: BackendServerId = "i-2".parse().unwrap();
    let listed: BackendServerId = "i-3".parse().unwrap();
    let whole = ServerChange::between(&before, &after).unwrap().with_removed(vec![kept.clone()]);
    let incremental = ServerChange::of_read(&before, &after, 9, &[listed], vec![kept]).unwrap();
    for (change, version) in [(whole, 5), (incremental, 7)] {
        assert_eq!(change.listed().map(ToString::to_string).collect::<Vec<_>>(), ["i-3"]);
        let other = ServerChange::applied(&[change], &listing(version, &["i-1", "i-2"])).unwrap();
        assert_eq!(names(&other), ["i-1", "i-3"]);
    }
}

/// A server came and went between two reads of one daemon, and another daemon had read in between. It kept the server for
/// good, since the change did not name it and no later one does.
#[test]
fn server_that_came_and_went_between_two_reads_is_gone_at_a_daemon_that_read_in_between() {
    let (before, after) = (listing(5, &["i-1"]), listing(9, &["i-1"]));
    let change = ServerChange::of_read(&before, &after, 9, &[], vec!["i-2".parse().unwrap()]).unwrap();
    let other = ServerChange::applied(&[change], &listing(7, &["i-1", "i-2"])).unwrap();
    assert_eq!((names(&other), other.version), (vec!["i-1"], 9));
}

/// The same the other way round: an entry expired and the server registered again between two reads.
#[test]
fn server_that_went_and_came_between_two_reads_is_back_at_a_daemon_that_read_in_between() {
    let (before, after) = (listing(5, &["i-1", "i-2"]), listing(9, &["i-1", "i-2"]));
    let id: BackendServerId = "i-2".parse().unwrap();
    let change =
        ServerChange::of_read(&before, &after, 9, std::slice::from_ref(&id), vec![id.clone()]).unwrap();
    let other = ServerChange::applied(&[change], &listing(7, &["i-1"])).unwrap();
    assert_eq!((names(&other), other.version), (vec!["i-1", "i-2"], 9));
}

/// A read of the whole list does not show what came and went since the read before. Applied to a list in between, it would
/// keep such a server in use; the daemon that has one needs the whole list too.
#[test]
fn change_of_a_whole_list_applies_only_to_the_version_before_it() {
    let (before, after) = (listing(5, &["i-1"]), listing(9, &["i-1", "i-3"]));
    let log = ServerChangeLog::default();
    log.record(ServerChange::between(&before, &after).unwrap());
    let in_between = listing(7, &["i-1", "i-2"]);
    assert!(ServerChange::applied(&log.next_batch(), &in_between).is_none());
    assert_eq!(log.since(7), None);
    assert_eq!(names(&ServerChange::applied(&log.since(5).unwrap(), &before).unwrap()), ["i-1", "i-3"]);
}

/// After an outage of the store all daemons keep the servers. The one that reads sees them listed again without a change of
/// its list; the others removed all of them for good as their time was over, and refused every caller.
#[test]
fn server_that_the_reader_kept_and_that_is_listed_again_is_named_to_the_others() {
    let (before, after) = (listing(5, &["i-1", "i-2"]), listing(9, &["i-1", "i-2"]));
    let returned: BackendServerId = "i-2".parse().unwrap();
    let change = ServerChange::of_read(&before, &after, 9, std::slice::from_ref(&returned), Vec::new());
    let change = change.unwrap().with_listed(&after, &[returned]);
    assert_eq!(change.listed().map(ToString::to_string).collect::<Vec<_>>(), ["i-2"]);
    let other = ServerChange::applied(&[change], &listing(7, &["i-1"])).unwrap();
    assert_eq!(names(&other), ["i-1", "i-2"]);
}

/// Daemons of two regions set their own region for the same servers. If that made their lists differ, each would read the whole
/// list again and again.
#[test]
fn lists_of_two_regions_are_the_same() {
    let listed = |region: &str, state| {
        let host = ListedHost { region: region.parse().unwrap(), ..plain("i-1", state) };
        Listing::new(5, vec![host]).servers.digest()
    };
    assert_eq!(listed("r", ListedState::Live), listed("s", ListedState::Live));
    assert_ne!(listed("r", ListedState::Live), listed("r", ListedState::Leaving));
}

/// A read of this daemon ends at an older version than a change of another daemon that it adopted meanwhile. The list must
/// not fall back, and the next change that it tells the others must hold the leaving.
#[test]
fn late_read_does_not_hide_a_leaving() {
    let ready = plain("i-1", ListedState::Live);
    let leaving = plain("i-1", ListedState::Leaving);
    let directory = Directory::default();
    directory.adopt(listing(105, &["i-1"]));
    let other = directory.listing().changed(112, vec![leaving.clone()], &[]);
    let change = read(&directory.listing(), &other).unwrap();
    directory.adopt(ServerChange::applied(&[change], &directory.listing()).unwrap());

    let late = HostListChange::Some { set: vec![ready], remove: Vec::new(), left: Vec::new() };
    directory.apply(HostListPage { version: 108, change: late });
    let id: BackendServerId = "i-1".parse().unwrap();
    let known = directory.listing();
    assert_eq!((known.version, known.servers[&id].listed), (112, ListedState::Leaving));
}

/// The change that the next read brings begins at the version of the list, and lacks what was read before.
#[test]
fn read_of_removals_that_are_kept_advances_the_version() {
    let directory = Directory::default();
    directory.adopt(listing(5, &["i-1"]));
    let kept = HostListChange::Some { set: Vec::new(), remove: Vec::new(), left: Vec::new() };
    directory.apply(HostListPage { version: 9, change: kept });
    assert_eq!((names(&directory.listing()), directory.listing().version), (vec!["i-1"], 9));
}
