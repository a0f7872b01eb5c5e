//! The server list: what reads, changes and lists of other daemons make of it, and what it passes on.

use std::sync::Arc;

use hibiscusvale_core::ids::{BackendServerId, HostId, Lifetime, RegionId, SoftwareVersion};
use hibiscusvale_core::relay::recipients::BroadcastScope;
use hibiscusvale_core::relay::server_list::{
    Comparison, ListRead, ListState, ReadContents, ServerChange, ServerChangeLog, ServerEntry, ServerList,
    ServerRecord, StatementOrder,
};
use hibiscusvale_core::servers::{BackendKind, BackendServer, ListedState};
use hibiscusvale_core::units::{Micros, Millis, MonoTime};
use rstest::rstest;

/// A time long after any outage.
const NOW: MonoTime = MonoTime(60_000_000);

pub fn server(name: &str, listed: ListedState) -> BackendServer {
    BackendServer {
        id: name.parse().unwrap(),
        lifetime: None,
        version: SoftwareVersion::default(),
        address: "10.1.0.9:80".parse().unwrap(),
        data_centre: "z-1".parse().unwrap(),
        region: "r".parse().unwrap(),
        listed,
        kind: BackendKind::Plain { service: "app".to_owned(), capacity: 6 },
    }
}

fn listed(version: u64, name: &str, state: ListedState) -> ServerRecord {
    ServerRecord { version, statement: None, entry: ServerEntry::Listed(Arc::new(server(name, state))) }
}

fn ready(version: u64, name: &str) -> ServerRecord {
    listed(version, name, ListedState::Live)
}

fn leaving(version: u64, name: &str) -> ServerRecord {
    listed(version, name, ListedState::Leaving)
}

fn removed(version: u64, name: &str) -> ServerRecord {
    ServerRecord {
        version,
        statement: None,
        entry: ServerEntry::Removed { id: name.parse().unwrap(), has_left: false },
    }
}

fn whole(version: u64, records: Vec<ServerRecord>) -> ListRead {
    ListRead { version, contents: ReadContents::Whole { records, end: version } }
}

fn later(version: u64, records: Vec<ServerRecord>) -> ListRead {
    ListRead { version, contents: ReadContents::Later(records) }
}

/// A list that has read these servers as ready.
fn list(version: u64, names: &[&str]) -> ServerList {
    let mut list = ServerList::default();
    list.begin_read();
    list.apply_read(NOW, whole(version, names.iter().map(|name| ready(version, name)).collect()));
    list
}

/// The change that a read makes of a list.
fn read(list: &mut ServerList, read: ListRead) -> ServerChange {
    while !list.next_changes().is_empty() {}
    list.begin_read();
    list.apply_read(NOW, read);
    list.next_changes().pop().unwrap()
}

/// The list after changes of another daemon.
fn after(mut list: ServerList, changes: Vec<ServerChange>) -> ServerList {
    list.apply_changes(NOW, changes);
    list
}

fn names(list: &ServerList) -> Vec<&str> {
    let mut names: Vec<&str> = list.in_use().keys().map(BackendServerId::as_str).collect();
    names.sort_unstable();
    names
}

fn state(list: &ServerList, name: &str) -> Option<ListedState> {
    list.in_use().get(&name.parse().unwrap()).map(|server| server.listed)
}

/// Compares a list with another daemon's in a small fleet.
fn compare(list: &mut ServerList, now: MonoTime, other: ListState) -> Comparison {
    list.compare(now, &host(2), other, BroadcastScope::AllDaemons)
}

fn host(number: usize) -> HostId {
    format!("entry-{number}").parse().unwrap()
}

/// The record as statement `seq` of the server's run.
fn stated(record: ServerRecord, seq: u64) -> ServerRecord {
    ServerRecord { statement: Some(StatementOrder { lifetime: None, seq }), ..record }
}

/// A list that has read statement 40 of a ready server.
fn list_at_40(version: u64) -> ServerList {
    let mut list = ServerList::default();
    list.begin_read();
    list.apply_read(NOW, whole(version, vec![stated(ready(version, "i-1"), 40), ready(version, "i-2")]));
    list
}

/// The store carries out a renewal after the server has stated that it leaves, or its entry was removed. It must not come back,
/// whether the records are read at once or one after another.
#[rstest]
#[case(vec![stated(leaving(3, "i-1"), 42)])]
#[case(vec![stated(leaving(3, "i-1"), 42), removed(4, "i-1")])]
#[case(vec![removed(4, "i-1")])]
fn late_renewal_does_not_undo_a_leaving(
    #[case] records: Vec<ServerRecord>,
    #[values(true, false)] at_once: bool,
) {
    let late = stated(ready(5, "i-1"), 41);
    let mut reader = list_at_40(2);
    let before = reader.clone();
    let mut changes = Vec::new();
    if at_once {
        let all = records.into_iter().chain([late]).collect();
        changes.push(read(&mut reader, later(5, all)));
    } else {
        changes.push(read(&mut reader, later(4, records)));
        changes.push(read(&mut reader, later(5, vec![late])));
    }
    assert_ne!(state(&reader, "i-1"), Some(ListedState::Live));
    let follower = after(before, changes);
    assert_eq!(state(&follower, "i-1"), state(&reader, "i-1"));
    assert_eq!(follower.state(), reader.state());
}

/// The newest record of a server may be the late one, which is all that a whole list shows.
#[test]
fn whole_list_does_not_undo_a_leaving() {
    let mut reader = list_at_40(2);
    read(&mut reader, later(3, vec![stated(leaving(3, "i-1"), 42)]));
    let change = read(&mut reader, whole(5, vec![stated(ready(4, "i-1"), 41), ready(2, "i-2")]));
    assert_eq!(state(&reader, "i-1"), Some(ListedState::Leaving));
    assert!(change.records().is_empty(), "{change:?}");
}

/// A daemon that starts after the late renewal learns from another one what the list does not show, whichever of them has the
/// newer list, and the other one does not unlearn it.
#[rstest]
#[case(stated(leaving(3, "i-1"), 42), 4)]
#[case(stated(leaving(3, "i-1"), 42), 6)]
#[case(removed(3, "i-1"), 4)]
#[case(removed(3, "i-1"), 6)]
fn statements_are_learned_from_other_daemons(#[case] record: ServerRecord, #[case] started_at: u64) {
    let late = stated(ready(4, "i-1"), 41);
    let mut knows = list_at_40(2);
    read(&mut knows, later(5, vec![record, late.clone()]));
    let expected = state(&knows, "i-1");
    let mut starts = ServerList::default();
    starts.begin_read();
    starts.apply_read(NOW, whole(started_at, vec![late, ready(2, "i-2")]));
    assert_eq!(state(&starts, "i-1"), Some(ListedState::Live), "it cannot know");
    let snapshots = [&knows, &starts].map(|list| list.snapshot(NOW).unwrap());
    let [of_knows, of_starts] = snapshots;
    starts.apply_snapshot(NOW, of_knows);
    knows.apply_snapshot(NOW, of_starts);
    assert_eq!((state(&starts, "i-1"), state(&knows, "i-1")), (expected, expected));
    for list in [&mut starts, &mut knows] {
        list.begin_read();
        list.apply_read(NOW, whole(8, vec![stated(ready(4, "i-1"), 41), ready(2, "i-2")]));
        assert_eq!(state(list, "i-1"), expected, "a whole list shows the late record again");
    }
}

/// An entry that expired, or that another writer removed, is renewed again and again. Only the first renewal may be a late one.
#[test]
fn server_that_goes_on_renewing_is_used_again() {
    let mut reader = list_at_40(2);
    read(&mut reader, later(3, vec![removed(3, "i-1")]));
    read(&mut reader, later(4, vec![stated(ready(4, "i-1"), 41)]));
    assert_eq!(state(&reader, "i-1"), None);
    read(&mut reader, later(5, vec![stated(ready(5, "i-1"), 42)]));
    assert_eq!(state(&reader, "i-1"), Some(ListedState::Live));
}

/// After an outage of the store, live servers register again, and must be used at once.
#[test]
fn server_whose_entry_may_have_expired_is_used_again_at_once() {
    let mut reader = list_at_40(2);
    reader.read_failed();
    read(&mut reader, later(3, vec![removed(3, "i-1")]));
    read(&mut reader, later(4, vec![stated(ready(4, "i-1"), 41)]));
    assert!(reader.listed().contains_key(&"i-1".parse().unwrap()));
}

/// Another writer may invent a number. The server must not be shut out by it for ever.
#[test]
fn invented_number_counts_for_a_limited_time() {
    let mut reader = list_at_40(2);
    read(&mut reader, later(3, vec![stated(leaving(3, "i-1"), u64::MAX)]));
    for (version, after_ms, expected) in [
        (4, 1_000, ListedState::Leaving),
        (5, 29_999, ListedState::Leaving),
        (6, 30_000, ListedState::Live),
        (7, 31_000, ListedState::Live),
    ] {
        reader.begin_read();
        reader
            .apply_read(NOW + Millis(after_ms), later(version, vec![stated(ready(version, "i-1"), version)]));
        assert_eq!(state(&reader, "i-1"), Some(expected), "after {after_ms} ms");
    }
}

/// An entry whose place among the server's statements is unknown, or cannot be, does not bring back a server that stated its
/// leaving. Nor is it ignored for ever.
#[rstest]
#[case::no_number(None)]
#[case::no_run(Some(StatementOrder { lifetime: None, seq: 50 }))]
#[case::invented_number(Some(StatementOrder { lifetime: Some(Lifetime(7)), seq: u64::MAX }))]
fn odd_entry_brings_no_leaving_server_back(
    #[case] statement: Option<StatementOrder>,
    #[values(true, false)] is_removed: bool,
    #[values(true, false)] is_whole: bool,
) {
    let of_run = |record: ServerRecord, seq| {
        let statement = Some(StatementOrder { lifetime: Some(Lifetime(7)), seq });
        ServerRecord { statement, ..record }
    };
    let mut reader = ServerList::default();
    reader.begin_read();
    reader.apply_read(NOW, whole(2, vec![of_run(ready(2, "i-1"), 40), ready(2, "i-2")]));
    let mut records = vec![of_run(leaving(3, "i-1"), 42)];
    records.extend(is_removed.then(|| removed(4, "i-1")));
    read(&mut reader, later(4, records));
    let expected = state(&reader, "i-1");
    for (version, after_ms, expected) in [(5, 1_000, expected), (6, 30_000, Some(ListedState::Live))] {
        let odd = ServerRecord { statement, ..ready(version, "i-1") };
        let read =
            if is_whole { whole(version, vec![odd, ready(2, "i-2")]) } else { later(version, vec![odd]) };
        reader.begin_read();
        reader.apply_read(NOW + Millis(after_ms), read);
        assert_eq!(state(&reader, "i-1"), expected, "after {after_ms} ms");
    }
}

/// A shutdown that is called off has a higher number, and counts.
#[rstest]
fn leaving_that_is_called_off_is_undone(#[values(1, 2, 3)] read_at_once: usize) {
    let records = [stated(leaving(3, "i-1"), 42), stated(ready(4, "i-1"), 41), stated(ready(5, "i-1"), 43)];
    let mut reader = list_at_40(2);
    let mut follower = reader.clone();
    for records in records.chunks(read_at_once) {
        let change = read(&mut reader, later(records.last().unwrap().version, records.to_vec()));
        follower = after(follower, vec![change]);
    }
    assert_eq!(state(&reader, "i-1"), Some(ListedState::Live));
    assert_eq!((follower.version(), follower.state()), (5, reader.state()));
}

/// A read ends at an older version than a change of another daemon that was adopted meanwhile. The list must not fall back,
/// and the next change that this daemon sends to the others must hold the leaving.
#[test]
fn late_read_does_not_hide_a_leaving() {
    let mut reader = list(105, &["i-1"]);
    assert_eq!(reader.begin_read(), 105);
    let other = ServerChange::complete(105, 112, vec![leaving(112, "i-1")]);
    reader.apply_changes(NOW, vec![other]);

    reader.apply_read(NOW, later(108, vec![ready(107, "i-1")]));
    assert_eq!((reader.version(), state(&reader, "i-1")), (112, Some(ListedState::Leaving)));

    reader.begin_read();
    reader.apply_read(NOW, later(115, vec![leaving(114, "i-1")]));
    // A daemon that has the read up to 108, but not the change to 112, does not count as up to date.
    let follower = after(list(108, &["i-1"]), reader.next_changes());
    assert_eq!((follower.version(), state(&follower, "i-1")), (108, Some(ListedState::Live)));
    let follower = after(list(110, &["i-1"]), reader.changes_since(110).unwrap());
    assert_eq!((follower.version(), state(&follower, "i-1")), (115, Some(ListedState::Leaving)));
}

/// A read that begins after the leaving was adopted, and is answered as of a time before it, must name it to the others if it
/// brings the list beyond.
#[test]
fn leaving_that_was_adopted_during_a_read_is_named() {
    let mut reader = list(105, &["i-1"]);
    reader.begin_read();
    reader.apply_changes(NOW, vec![ServerChange::complete(105, 112, vec![leaving(112, "i-1")])]);
    reader.apply_read(NOW, later(115, vec![leaving(112, "i-1"), leaving(114, "i-1")]));
    let follower = after(list(110, &["i-1"]), reader.next_changes());
    assert_eq!((follower.version(), state(&follower, "i-1")), (115, Some(ListedState::Leaving)));
}

/// The change that the next read brings begins at the version of the list, and lacks what was read before.
#[test]
fn read_of_removals_that_are_kept_advances_the_version() {
    let mut reader = list(5, &["i-1", "i-2"]);
    reader.read_failed();
    let change = read(&mut reader, later(9, vec![removed(8, "i-2")]));
    assert_eq!((names(&reader), reader.version()), (vec!["i-1", "i-2"], 9));
    assert_eq!(names(&after(list(7, &["i-1", "i-2"]), vec![change])), ["i-1"]);
    let next = read(&mut reader, later(12, vec![ready(11, "i-1")]));
    assert_eq!(after(list(5, &["i-1", "i-2"]), vec![next]).version(), 5, "the change begins at 9");
}

/// One server is added and one removed. A daemon at the version before the change gets both from it and needs no call to the
/// store.
#[test]
fn a_change_brings_other_daemons_up_to_date() {
    let change = read(&mut list(5, &["i-1", "i-2"]), later(9, vec![removed(8, "i-1"), ready(9, "i-3")]));
    // The same servers at a version in between.
    let other = after(list(7, &["i-1", "i-2"]), vec![change]);
    assert_eq!((names(&other), other.version()), (vec!["i-2", "i-3"], 9));
}

/// A server starts to leave: its entry stays, and a daemon that misses the change would keep sending requests to it.
#[test]
fn a_leaving_server_is_announced() {
    let change = read(&mut list(5, &["i-1", "i-2"]), later(6, vec![leaving(6, "i-1")]));
    let other = after(list(5, &["i-1", "i-2"]), vec![change]);
    assert_eq!(state(&other, "i-1"), Some(ListedState::Leaving));
}

/// The previous message was lost. The version stays, so that the daemon goes on asking for what it lacks; what it knows of
/// later records applies at once, but says nothing of servers that the change does not name.
#[test]
fn a_change_after_a_gap_leaves_the_version() {
    let change = ServerChange::complete(2, 4, vec![leaving(3, "i-2"), ready(4, "i-3")]);
    let mut other = after(list(1, &["i-1", "i-2"]), vec![change.clone()]);
    assert_eq!((names(&other), other.version()), (vec!["i-1", "i-2", "i-3"], 1));
    assert_eq!(state(&other, "i-2"), Some(ListedState::Leaving));
    assert_eq!(other.state().digest, None, "it is not the list at its version");
    // The lost message arrives after all.
    let lost = ServerChange::complete(1, 2, vec![removed(2, "i-1"), ready(2, "i-2")]);
    other.apply_changes(NOW, vec![lost, change]);
    assert_eq!((names(&other), other.version()), (vec!["i-2", "i-3"], 4));
    assert_eq!(state(&other, "i-2"), Some(ListedState::Leaving), "an older record does not undo a leaving");
    assert!(other.state().digest.is_some());

    let first_of_all = ServerChange::complete(0, 4, vec![ready(3, "i-1")]);
    let empty = after(ServerList::default(), vec![first_of_all]);
    assert_eq!((names(&empty).len(), empty.version()), (0, 0), "a daemon without a list applies no change");
}

/// The previous message was lost, and this one repeats its change.
#[test]
fn a_repeated_change_replaces_a_lost_one() {
    let mut reader = list(1, &["i-1"]);
    let first = read(&mut reader, later(3, vec![removed(2, "i-1"), ready(3, "i-2")]));
    let second = read(&mut reader, later(4, vec![ready(4, "i-3")]));
    assert_eq!(names(&after(list(1, &["i-1"]), vec![first, second])), ["i-2", "i-3"]);
}

/// Thousands of servers change several times a second, and a daemon reads the store between two reads of the reader. If it
/// accepted only changes from the exact version that the reader had, it would have to read after every change from then on:
/// 3.5 calls a second from each of 298 daemons.
#[test]
fn a_change_applies_to_a_list_read_in_between() {
    let change = read(&mut list(5, &["i-1", "i-2"]), later(9, vec![ready(6, "i-3"), removed(9, "i-1")]));
    let in_between = list(7, &["i-1", "i-2", "i-3"]);
    assert_eq!(names(&after(in_between, vec![change])), ["i-2", "i-3"]);
}

/// A daemon reads that a server is leaving and then receives an older change. Applied, it would put the server back in use.
#[test]
fn an_older_change_does_not_revert_a_later_read() {
    let change = read(&mut list(5, &["i-1"]), later(9, vec![ready(8, "i-2")]));
    let mut later_list = list(9, &["i-1", "i-2"]);
    read(&mut later_list, later(11, vec![leaving(10, "i-2")]));
    let update = later_list.apply_changes(NOW, vec![change]);
    assert!(!update.is_changed && !update.is_newer, "{update:?}");
    assert_eq!((later_list.version(), state(&later_list, "i-2")), (11, Some(ListedState::Leaving)));
}

/// Hundreds of servers leave at once. In messages to every daemon the change would saturate the links of small hosts for
/// seconds; without a history to request it from, every daemon would read the store.
#[test]
fn a_change_too_large_for_a_message_is_available_on_request() {
    let many: Vec<String> = (0..400).map(|number| format!("i-{number}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let mut reader = list(1, &many);
    reader.begin_read();
    reader.apply_read(
        NOW,
        later(400, (1..400).map(|number| removed(number + 1, many[number as usize])).collect()),
    );
    assert!(reader.next_changes().is_empty(), "a change of 399 servers is not put into messages");
    assert_eq!(names(&after(list(1, &many), reader.changes_since(1).unwrap())), ["i-0"]);
}

/// The list is written again without a change. A daemon that missed that version would request the full list when the next
/// change comes.
#[test]
fn a_version_without_a_change_is_kept_in_the_history() {
    let mut reader = list(1, &["i-0"]);
    read(&mut reader, later(2, vec![ready(2, "i-0")]));
    read(&mut reader, later(3, vec![ready(3, "i-1")]));
    assert_eq!(names(&after(list(1, &["i-0"]), reader.changes_since(1).unwrap())), ["i-0", "i-1"]);
    reader.begin_read();
    while !reader.next_changes().is_empty() {}
    reader.apply_read(NOW, later(3, Vec::new()));
    assert!(reader.next_changes().is_empty(), "the same version is no change");
}

fn change(from: u64, to: u64, records: usize) -> ServerChange {
    let records = (0..records).map(|number| ready(to, &format!("i-{number}"))).collect();
    ServerChange::complete(from, to, records)
}

/// A daemon missed a change, so its later changes do not continue from the version before the gap. If it served them
/// regardless, the receiver would keep removed servers in use.
#[test]
fn changes_after_a_gap_are_not_served() {
    let mut log = ServerChangeLog::default();
    log.record(change(1, 2, 1));
    log.record(change(5, 6, 1));
    assert_eq!(log.since(1), None);
    assert_eq!(log.since(5).map(|changes| changes.len()), Some(1));
}

/// A daemon runs for months. Its history of changes is bounded, and the newest changes stay.
#[test]
fn the_history_of_changes_is_bounded() {
    let mut log = ServerChangeLog::default();
    for version in 1..200 {
        log.record(change(version, version + 1, 99));
    }
    assert_eq!(log.since(1), None);
    let kept = (1..200).find_map(|version| log.since(version)).unwrap();
    assert!((10..=30).contains(&kept.len()), "{} changes of 99 servers are in the history", kept.len());
}

/// Single messages get lost, so a change is sent in three of them, but no more: hosts have ten megabits of bandwidth.
#[test]
fn a_change_is_sent_in_three_messages() {
    let mut log = ServerChangeLog::default();
    log.record(change(1, 2, 1));
    let sent: Vec<usize> = (0..5).map(|_| log.next_batch().len()).collect();
    assert_eq!(sent, [1, 1, 1, 0, 0]);
}

/// Entries are renewed all the time, and each renewal is a version of its own. Recorded one by one they would fill the memory,
/// and a daemon that missed some of them would get the full list.
#[test]
fn versions_without_a_change_are_merged_in_the_history() {
    let mut reader = list(1, &["i-0"]);
    read(&mut reader, later(2, vec![ready(2, "i-1")]));
    for version in 3..=10_000 {
        let change = read(&mut reader, later(version, vec![ready(version, "i-0")]));
        assert!(change.records().is_empty(), "a renewal is named: {change:?}");
    }
    let changes = reader.changes_since(1).unwrap();
    assert_eq!(changes.len(), 1);
    let known = after(list(1, &["i-0"]), changes);
    assert_eq!((names(&known), known.version()), (vec!["i-0", "i-1"], 10_000));
}

/// A daemon that comes back from a cut keeps a vanished server for a while. Its change must name the server all the same:
/// daemons that were not cut off would never learn of it otherwise, since the next change begins at a later version.
#[test]
fn what_the_reader_keeps_is_removed_at_the_others() {
    let records = vec![removed(8, "i-2"), ready(9, "i-3")];
    let whole_list = vec![ready(5, "i-1"), ready(9, "i-3")];
    for (contents, version) in [(whole(9, whole_list), 5), (later(9, records), 7)] {
        let mut reader = list(5, &["i-1", "i-2"]);
        reader.read_failed();
        let change = read(&mut reader, contents);
        assert_eq!(names(&reader), ["i-1", "i-2", "i-3"]);
        assert_eq!(names(&after(list(version, &["i-1", "i-2"]), vec![change])), ["i-1", "i-3"]);
    }
}

/// A server came and went between two reads of one daemon, and another daemon had read in between. It kept the server for
/// good, since the change did not name it and no later one does.
#[test]
fn server_that_came_and_went_between_two_reads_is_gone_at_a_daemon_that_read_in_between() {
    let change = read(&mut list(5, &["i-1"]), later(9, vec![ready(6, "i-2"), removed(9, "i-2")]));
    let other = after(list(7, &["i-1", "i-2"]), vec![change]);
    assert_eq!((names(&other), other.version()), (vec!["i-1"], 9));
}

/// The same the other way round: an entry expired and the server registered again between two reads.
#[test]
fn server_that_went_and_came_between_two_reads_is_back_at_a_daemon_that_read_in_between() {
    let change = read(&mut list(5, &["i-1", "i-2"]), later(9, vec![removed(6, "i-2"), ready(9, "i-2")]));
    let other = after(list(7, &["i-1"]), vec![change]);
    assert_eq!((names(&other), other.version()), (vec!["i-1", "i-2"], 9));
}

/// A server states that it leaves and calls it off between two reads of one daemon, and another daemon had read in between.
#[test]
fn leaving_that_was_called_off_between_two_reads_is_so_at_a_daemon_that_read_in_between() {
    let change = read(&mut list(5, &["i-1"]), later(9, vec![leaving(6, "i-1"), ready(9, "i-1")]));
    let mut other = list(5, &["i-1"]);
    read(&mut other, later(7, vec![leaving(6, "i-1")]));
    assert_eq!(state(&after(other, vec![change]), "i-1"), Some(ListedState::Live));
}

/// A read of the whole list does not show what came and went since the read before. Applied to a list in between, it would
/// keep such a server in use; the daemon that has one needs the whole list too.
#[test]
fn change_of_a_whole_list_applies_only_to_the_version_before_it() {
    let mut reader = list(5, &["i-1"]);
    let change = read(&mut reader, whole(9, vec![ready(4, "i-1"), ready(8, "i-3")]));
    assert_eq!(after(list(7, &["i-1", "i-2"]), vec![change]).version(), 7);
    assert_eq!(reader.changes_since(7), None);
    let other = after(list(5, &["i-1"]), reader.changes_since(5).unwrap());
    assert_eq!((names(&other), other.version()), (vec!["i-1", "i-3"], 9));
}

/// A daemon that has a later record of a server reads the whole list, which shows the same. The change that it sends to the others
/// must name that server, since their lists may lack the record.
#[test]
fn change_of_a_whole_list_names_what_was_known_ahead_of_it() {
    let mut reader = list(5, &["i-1", "i-2"]);
    let ahead = ServerChange::complete(7, 9, vec![leaving(8, "i-1"), removed(9, "i-2")]);
    reader.apply_changes(NOW, vec![ahead]);
    let change = read(&mut reader, whole(10, vec![leaving(8, "i-1")]));
    let other = after(list(5, &["i-1", "i-2"]), vec![change]);
    assert_eq!((names(&other), other.version()), (vec!["i-1"], 10));
    assert_eq!(state(&other, "i-1"), Some(ListedState::Leaving));
}

/// A server calls its leaving off and leaves again. A daemon that knows only that it was called off, ahead of its version, must
/// not take that for the state at the end of a net change.
#[test]
fn net_change_does_not_apply_to_a_list_with_records_ahead() {
    let mut reader = list(5, &["i-1"]);
    read(&mut reader, later(6, vec![leaving(6, "i-1")]));
    let mut other = reader.clone();
    other.apply_changes(NOW, vec![ServerChange::complete(7, 8, vec![ready(8, "i-1")])]);
    let net = read(&mut reader, whole(12, vec![leaving(11, "i-1")]));
    assert!(net.is_net());
    other.apply_changes(NOW, vec![net]);
    assert_eq!((other.version(), state(&other, "i-1")), (6, Some(ListedState::Live)));
    other.apply_snapshot(NOW, reader.snapshot(NOW).unwrap());
    assert_eq!((other.version(), state(&other, "i-1")), (12, Some(ListedState::Leaving)));
}

/// The pages of a list are read one after another, and changes of other daemons arrive meanwhile.
#[test]
fn late_whole_read_does_not_undo_later_records() {
    let mut reader = list(5, &["i-1", "i-2"]);
    reader.begin_read();
    reader.apply_changes(
        NOW,
        vec![ServerChange::complete(5, 12, vec![leaving(12, "i-1"), removed(11, "i-2")])],
    );
    reader.apply_read(NOW, whole(8, vec![ready(4, "i-1"), ready(7, "i-2"), ready(14, "i-3")]));
    assert_eq!((names(&reader), reader.version()), (vec!["i-1", "i-3"], 12));
    assert_eq!(state(&reader, "i-1"), Some(ListedState::Leaving));
}

/// After an outage of the store all daemons keep the servers. The one that reads sees them listed again; the others removed
/// all of them for good as their time was over, and refused every caller.
#[test]
fn server_that_the_reader_kept_and_that_is_listed_again_is_named_to_the_others() {
    let mut reader = list(5, &["i-1", "i-2"]);
    reader.read_failed();
    read(&mut reader, later(8, vec![removed(8, "i-2")]));
    let change = read(&mut reader, later(9, vec![ready(9, "i-2")]));
    assert_eq!(names(&reader), ["i-1", "i-2"]);
    assert_eq!(names(&after(list(8, &["i-1"]), vec![change])), ["i-1", "i-2"]);
}

/// A server that has stated its leaving and is removed before a daemon has read either has left, and its entry has not merely
/// expired: neither the daemon that reads this after an outage nor one that learns it from that one keeps it.
#[rstest::rstest]
#[case::only_removed(vec![removed(6, "i-1")], true)]
#[case::stated_before(vec![leaving(6, "i-1"), removed(7, "i-1")], false)]
#[case::stated_and_renewed(vec![leaving(6, "i-1"), leaving(7, "i-1"), removed(8, "i-1")], false)]
#[case::removed_twice(vec![leaving(6, "i-1"), removed(7, "i-1"), removed(8, "i-1")], false)]
#[case::called_off_before(vec![leaving(6, "i-1"), ready(7, "i-1"), removed(8, "i-1")], true)]
#[case::starts_anew(vec![leaving(6, "i-1"), removed(7, "i-1"), ready(8, "i-1")], true)]
#[case::starts_anew_and_expires(vec![leaving(6, "i-1"), removed(7, "i-1"), ready(8, "i-1"), removed(9, "i-1")], true)]
fn removal_after_a_stated_leaving_is_told_from_an_expiry(
    #[case] records: Vec<ServerRecord>,
    #[case] is_kept: bool,
) {
    let mut reader = list(5, &["i-0", "i-1"]);
    reader.read_failed();
    let change = read(&mut reader, later(9, records));
    assert_eq!(names(&reader).contains(&"i-1"), is_kept);
    let mut other = list(5, &["i-0", "i-1"]);
    other.observe_age(NOW, Some(Micros(8_000_000)));
    other.apply_changes(NOW, vec![change]);
    assert_eq!(names(&other).contains(&"i-1"), is_kept);
}

/// A leaving that was known before the outage counts as well, also where a whole list shows only that the entry is gone.
#[test]
fn server_that_was_known_to_leave_is_not_kept() {
    for contents in [later(9, vec![removed(8, "i-1")]), whole(9, vec![ready(3, "i-0")])] {
        let mut reader = list(5, &["i-0", "i-1"]);
        read(&mut reader, later(6, vec![leaving(6, "i-1")]));
        reader.read_failed();
        let change = read(&mut reader, contents);
        assert_eq!(names(&reader), ["i-0"]);
        let mut other = list(6, &["i-0", "i-1"]);
        other.observe_age(NOW, Some(Micros(8_000_000)));
        other.apply_changes(NOW, vec![change]);
        assert_eq!(names(&other), ["i-0"]);
    }
}

/// A store that has lost its contents would take every server out of use at once.
#[test]
fn empty_whole_list_changes_nothing() {
    let mut reader = list(5, &["i-1"]);
    reader.begin_read();
    reader.apply_read(NOW, whole(9, Vec::new()));
    assert_eq!((names(&reader), reader.version()), (vec!["i-1"], 5));
}

/// The list of another daemon replaces an older one, but not what this daemon knows beyond it.
#[test]
fn list_of_another_daemon_does_not_undo_later_records() {
    let mut own = list(5, &["i-1", "i-2"]);
    own.apply_changes(
        NOW,
        vec![ServerChange::complete(11, 13, vec![leaving(12, "i-1"), removed(13, "i-2")])],
    );
    let other = list(9, &["i-1", "i-2", "i-3"]);
    let update = own.apply_snapshot(NOW, other.snapshot(NOW).unwrap());
    assert!(update.is_newer);
    assert_eq!((names(&own), own.version()), (vec!["i-1", "i-3"], 9));
    assert_eq!(state(&own, "i-1"), Some(ListedState::Leaving));
    let older = list(8, &["i-1"]);
    assert!(!own.apply_snapshot(NOW, older.snapshot(NOW).unwrap()).is_newer);
    assert_eq!(own.version(), 9);
}

/// A daemon may count its list as current by another one's only if the two are the same.
#[test]
fn lists_that_may_differ_do_not_confirm_each_other() {
    let mut own = list(7, &["i-1"]);
    let state = |version, names: &[&str]| list(version, names).state();
    assert_eq!(compare(&mut own, NOW, ListState::default()), Comparison::Unknown);
    assert_eq!(compare(&mut own, NOW, state(6, &["i-1"])), Comparison::Unknown, "an older list");
    assert_eq!(compare(&mut own, NOW, state(6, &["i-1", "i-2"])), Comparison::Unknown);
    assert_eq!(compare(&mut own, NOW, state(7, &["i-1"])), Comparison::Same);
    assert_eq!(compare(&mut own, NOW, ListState { version: 7, ..ListState::default() }), Comparison::Unknown);
    assert_eq!(compare(&mut own, NOW, state(9, &["i-2"])), Comparison::Newer);
    assert_eq!(compare(&mut own, NOW, ListState { version: 9, ..ListState::default() }), Comparison::Newer);
    assert_eq!(own.version(), 7);
    assert_eq!(compare(&mut own, NOW, state(8, &["i-1"])), Comparison::Unknown, "it was read as a whole");
    assert_eq!(own.version(), 7, "a late renewal may have hidden a leaving");
    let mut other = list(7, &["i-1"]);
    read(&mut other, later(8, Vec::new()));
    assert_eq!(compare(&mut own, NOW, other.state()), Comparison::Same);
    assert_eq!(own.version(), 8, "nothing has changed up to it");
    assert_eq!(compare(&mut ServerList::default(), NOW, state(8, &["i-1"])), Comparison::Newer);

    let ahead = ServerChange::complete(9, 10, vec![ready(10, "i-2")]);
    let mut own = after(list(8, &["i-1"]), vec![ahead]);
    assert_eq!(compare(&mut own, NOW, state(8, &["i-1"])), Comparison::Unknown);
    assert_eq!(compare(&mut own, NOW, state(9, &["i-1", "i-2"])), Comparison::Newer);
}

/// A list that lacks a change is read whole at once, and again after a read that failed, but not again and again.
#[test]
fn list_that_differs_at_one_version_is_read_whole() {
    let mut own = list(7, &["i-1"]);
    assert!(!own.is_whole_read_due());
    let other = list(7, &["i-1", "i-2"]).state();
    assert_eq!(compare(&mut own, NOW, other), Comparison::Differs { is_new: true });
    assert_eq!(compare(&mut own, NOW, other), Comparison::Differs { is_new: false });
    assert!(own.is_whole_read_due());
    own.begin_read();
    own.read_failed();
    assert!(own.is_whole_read_due(), "the read has failed");
    own.begin_read();
    own.apply_read(NOW, whole(6, vec![ready(3, "i-1")]));
    assert!(own.is_whole_read_due(), "the read is older than the list");
    own.begin_read();
    own.apply_read(NOW, whole(7, vec![ready(3, "i-1"), ready(4, "i-2")]));
    assert!(!own.is_whole_read_due());
    assert_eq!(compare(&mut own, NOW, other), Comparison::Same);
    let third = list(7, &["i-3"]).state();
    for (after_ms, is_new) in [(0, false), (9_999, false), (10_000, true), (10_001, false)] {
        let now = NOW + Millis(after_ms);
        assert_eq!(compare(&mut own, now, third), Comparison::Differs { is_new }, "after {after_ms} ms");
    }
    assert!(own.is_whole_read_due());
}

/// A difference that follows soon after another one is mended by the other daemon's list, which costs no read.
#[test]
fn another_daemon_is_asked_about_each_difference() {
    let mut own = list(7, &["i-1"]);
    let other = list(7, &["i-1", "i-2"]).state();
    for (after_ms, is_due) in [(0, true), (1, false), (999, false), (1_000, true), (1_500, false)] {
        compare(&mut own, NOW + Millis(after_ms), other);
        assert_eq!(own.take_request_due(), is_due, "after {after_ms} ms");
        assert!(!own.take_request_due());
    }
    let same = own.state();
    compare(&mut own, NOW + Millis(9_000), same);
    assert!(!own.take_request_due());
}

/// In a large fleet the list of one daemon lacks a change. That daemon reads the whole list, and the hundreds of others do not.
#[test]
fn in_a_large_fleet_the_daemon_that_differs_from_most_reads_the_whole_list() {
    let scope = BroadcastScope::DataCentre;
    let right = list(7, &["i-1", "i-2"]);
    let mut wrong = list(7, &["i-1"]);
    let differs = |is_new| Comparison::Differs { is_new };
    assert_eq!(wrong.compare(NOW, &host(2), right.state(), scope), differs(true));
    assert!(wrong.is_whole_read_due());
    let mut other = right.clone();
    for number in 2..5 {
        assert_eq!(other.compare(NOW, &host(number), right.state(), scope), Comparison::Same);
    }
    assert_eq!(other.compare(NOW, &host(1), wrong.state(), scope), differs(false));
    assert!(!other.is_whole_read_due());
    // Comparisons of long ago do not count.
    let later = NOW + Millis(2_000);
    assert_eq!(other.compare(later, &host(1), wrong.state(), scope), differs(true));
}

/// Daemons of two regions set their own region for the same servers. If that made their lists differ, each would read the whole
/// list again and again.
#[test]
fn lists_of_two_regions_are_the_same() {
    let list_of = |region: &str, listed| {
        let region: RegionId = region.parse().unwrap();
        let entry = ServerEntry::Listed(Arc::new(BackendServer { region, ..server("i-1", listed) }));
        let mut list = ServerList::default();
        list.begin_read();
        list.apply_read(NOW, whole(5, vec![ServerRecord { version: 4, statement: None, entry }]));
        list.state().digest
    };
    assert_eq!(list_of("r", ListedState::Live), list_of("s", ListedState::Live));
    assert_ne!(list_of("r", ListedState::Live), list_of("r", ListedState::Leaving));
}
