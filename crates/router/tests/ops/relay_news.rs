//! Changes of the servers, told from daemon to daemon.

use hibiscusvale::directory::Listing;
use hibiscusvale::external::{ListedHost, ListedKind, ListedState};
use hibiscusvale::relay::news::{News, ServerChange};
use hibiscusvale_core::ids::BackendServerId;
use hibiscusvale_core::units::BytesPerSecond;

fn plain(name: &str, state: ListedState) -> ListedHost {
    ListedHost {
        id: name.parse().unwrap(),
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

/// One server came and one is gone. A daemon that knew what the reader knew before is told both, and needs no call.
#[test]
fn a_change_brings_the_others_as_far_as_the_reader() {
    let (before, after) = (listing(5, &["i-1", "i-2"]), listing(9, &["i-2", "i-3"]));
    let change = ServerChange::between(&before, &after).unwrap();
    // The same servers, read at another time.
    let other = ServerChange::applied(&[change], &listing(7, &["i-1", "i-2"])).unwrap();
    assert_eq!((names(&other), other.version), (vec!["i-2", "i-3"], 9));
}

/// A server begins to leave: its entry stays, and whoever does not hear of it goes on sending requests there.
#[test]
fn a_server_that_leaves_is_told() {
    let before = listing(5, &["i-1", "i-2"]);
    let leaving = before.changed(6, vec![plain("i-1", ListedState::Leaving)], &[]);
    let change = ServerChange::between(&before, &leaving).unwrap();
    let told = ServerChange::applied(&[change], &before).unwrap();
    assert_eq!(told.servers[&"i-1".parse().unwrap()].listed, ListedState::Leaving);
}

/// The message before was lost. Taken on its own the next change would leave a server in use that is gone; the daemon
/// takes nothing, stays behind and reads the store.
#[test]
fn a_change_of_something_else_is_not_taken() {
    let (first, second, third) = (listing(1, &["i-1"]), listing(2, &["i-2"]), listing(3, &["i-2", "i-3"]));
    let change = ServerChange::between(&second, &third).unwrap();
    assert!(ServerChange::applied(&[change], &first).is_none());
    let nothing_known = Listing::default();
    let first_of_all = ServerChange::between(&nothing_known, &first).unwrap();
    assert!(
        ServerChange::applied(&[first_of_all], &nothing_known).is_none(),
        "a daemon that knows nothing reads"
    );
}

/// The message before was lost, and this one repeats it.
#[test]
fn a_repeated_change_makes_up_for_a_lost_one() {
    let (first, second, third) = (listing(1, &["i-1"]), listing(2, &["i-2"]), listing(3, &["i-2", "i-3"]));
    let changes = vec![
        ServerChange::between(&first, &second).unwrap(),
        ServerChange::between(&second, &third).unwrap(),
    ];
    assert_eq!(names(&ServerChange::applied(&changes, &first).unwrap()), ["i-2", "i-3"]);
}

/// Thousands of servers change several times a second, and a daemon read the store between two reads of the reader. If it
/// took changes only of what the reader knew before, it would have to read after each one from then on: 3.5 calls a
/// second of each of 298 daemons.
#[test]
fn a_daemon_that_read_in_between_takes_the_next_change() {
    let (before, after) = (listing(5, &["i-1", "i-2"]), listing(9, &["i-2", "i-3"]));
    let change = ServerChange::between(&before, &after).unwrap();
    let in_between = listing(7, &["i-1", "i-2", "i-3"]);
    assert_eq!(names(&ServerChange::applied(&[change], &in_between).unwrap()), ["i-2", "i-3"]);
}

/// A daemon read that a server leaves, and hears of a change that is older. Taken, it would send requests there again.
#[test]
fn what_was_read_later_is_not_taken_back() {
    let (before, after) = (listing(5, &["i-1"]), listing(9, &["i-1", "i-2"]));
    let change = ServerChange::between(&before, &after).unwrap();
    let later = after.changed(11, vec![plain("i-2", ListedState::Leaving)], &[]);
    assert!(ServerChange::applied(&[change], &later).is_none());
}

/// Hundreds of servers leave at once. In messages to every daemon they would fill the links of small hosts for seconds; left
/// to the store, each daemon would read them there.
#[test]
fn what_is_too_much_for_a_message_is_handed_on_when_asked_for() {
    let many: Vec<String> = (0..400).map(|number| format!("i-{number}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let (before, after) = (listing(1, &many), listing(2, &["i-0"]));
    let news = News::default();
    news.note(ServerChange::between(&before, &after).unwrap());
    assert!(news.next().is_empty(), "no message has it");
    let changes = news.since(1).unwrap();
    assert_eq!(names(&ServerChange::applied(&changes, &before).unwrap()), ["i-0"]);
}

/// The list is written again without any change. A daemon that missed that version would ask for the whole list when the
/// next change comes.
#[test]
fn a_version_without_a_change_is_passed_on() {
    let news = News::default();
    news.note(ServerChange::between(&listing(1, &["i-0"]), &listing(2, &["i-0"])).unwrap());
    news.note(ServerChange::between(&listing(2, &["i-0"]), &listing(3, &["i-0", "i-1"])).unwrap());
    let known = listing(1, &["i-0"]);
    assert_eq!(names(&ServerChange::applied(&news.since(1).unwrap(), &known).unwrap()), ["i-0", "i-1"]);
    assert!(
        ServerChange::between(&listing(1, &["i-0"]), &listing(1, &["i-0"])).is_none(),
        "nothing is no news"
    );
}

/// A daemon missed a change, and what it has of later ones does not go on from what it knows. Handed on as if it did, servers
/// that are gone would stay in use at whoever takes it.
#[test]
fn changes_behind_a_gap_are_not_handed_on() {
    let news = News::default();
    let change = |from: u64, to: u64| {
        ServerChange::between(&listing(from, &["i-0"]), &listing(to, &["i-0", "i-1"])).unwrap()
    };
    news.note(change(1, 2));
    news.note(change(5, 6));
    assert_eq!(news.since(1), None);
    assert_eq!(news.since(5).map(|changes| changes.len()), Some(1));
}

/// A daemon runs for months. What it keeps of changes has an end, and the newest stay.
#[test]
fn kept_changes_are_bounded() {
    let news = News::default();
    let many: Vec<String> = (0..100).map(|number| format!("i-{number}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    for version in 1..200 {
        news.note(ServerChange::between(&listing(version, &["i-0"]), &listing(version + 1, &many)).unwrap());
    }
    assert_eq!(news.since(1), None);
    let kept = (1..200).find_map(|version| news.since(version)).unwrap();
    assert!((10..=30).contains(&kept.len()), "{} changes of 99 servers are kept", kept.len());
}

/// Messages get lost one by one. A change is told in three of them, and no more: hosts have ten megabits.
#[test]
fn a_change_is_told_three_times() {
    let news = News::default();
    let change = ServerChange::between(&listing(1, &["i-1"]), &listing(2, &["i-2"])).unwrap();
    news.note(change.clone());
    let told: Vec<usize> = (0..5).map(|_| news.next().len()).collect();
    assert_eq!(told, [1, 1, 1, 0, 0]);
}

/// Entries are renewed all the time, and each renewal is a version of its own. Kept one by one they would fill the memory, and
/// a daemon that missed some of them would be given the whole list.
#[test]
fn versions_without_a_change_take_no_room() {
    let news = News::default();
    news.note(ServerChange::between(&listing(1, &["i-0"]), &listing(2, &["i-0", "i-1"])).unwrap());
    for version in 2..10_000 {
        let same = |version| listing(version, &["i-0", "i-1"]);
        news.note(ServerChange::between(&same(version), &same(version + 1)).unwrap());
    }
    let changes = news.since(1).unwrap();
    assert_eq!(changes.len(), 1);
    let known = ServerChange::applied(&changes, &listing(1, &["i-0"])).unwrap();
    assert_eq!((names(&known), known.version), (vec!["i-0", "i-1"], 10_000));
}
