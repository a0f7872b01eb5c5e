//! Rendezvous hashing: job assignment, and reassignment when a host fails.

use std::collections::HashMap;

use hibiscusvale_core::ids::{BackendServerId, DataCentreId, HostId, Incarnation, RegionId};
use hibiscusvale_core::membership::{Member, MemberState, MembersView};
use hibiscusvale_core::watch::{
    JobHash, hash_name, is_watched_here, owner_of, watcher_of, watcher_with_fallback,
};

fn member(data_centre: &str, index: usize) -> Member {
    let host: HostId = format!("{data_centre}-entry-{index:02}").parse().unwrap();
    Member {
        host_hash: hash_name(host.as_str()),
        host,
        incarnation: Incarnation(1),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        region: "region".parse().unwrap(),
        state: MemberState::Live,
    }
}

fn view(hosts: usize) -> MembersView {
    let mut view = MembersView { is_heard: true, ..MembersView::default() };
    for name in ["dc1", "dc2"] {
        let members = (0..hosts).map(|index| member(name, index)).collect();
        view.members.insert(name.parse().unwrap(), members);
    }
    view
}

fn servers() -> Vec<BackendServerId> {
    (0..1_000).map(|number| format!("replica-{number}").parse().unwrap()).collect()
}

fn data_centre() -> DataCentreId {
    "dc1".parse().unwrap()
}

fn region() -> RegionId {
    "region".parse().unwrap()
}

fn watchers(view: &MembersView) -> HashMap<BackendServerId, HostId> {
    servers()
        .into_iter()
        .filter_map(|server| {
            let watcher = watcher_of(&server, &data_centre(), view)?;
            Some((server, watcher))
        })
        .collect()
}

/// One host fails. If other hosts' servers moved too, each failure would make the whole data centre wait for
/// old grants to expire.
#[test]
fn only_jobs_of_the_failed_host_move() {
    let before = view(34);
    let mut after = before.clone();
    let failed = after.members.get_mut(&data_centre()).unwrap().remove(7);
    let (old, new) = (watchers(&before), watchers(&after));
    for (server, watcher) in &old {
        if *watcher != failed.host {
            assert_eq!(new.get(server), Some(watcher));
        }
    }
    let moved: Vec<&HostId> = old
        .iter()
        .filter(|(_, watcher)| **watcher == failed.host)
        .filter_map(|(server, _)| new.get(server))
        .collect();
    let mut new_watchers = moved.clone();
    new_watchers.sort_unstable();
    new_watchers.dedup();
    assert!(new_watchers.len() > moved.len() / 3, "the jobs of the failed host moved to too few hosts");
}

/// A host that monitors twice its share of servers would be the first to exceed the control budget.
#[test]
fn servers_are_spread_evenly() {
    let mut counts: HashMap<HostId, usize> = HashMap::new();
    for watcher in watchers(&view(34)).into_values() {
        *counts.entry(watcher).or_default() += 1;
    }
    assert_eq!(counts.len(), 34);
    assert!(counts.values().all(|count| (10..=50).contains(count)), "{counts:?}");
}

/// A server is monitored from its own data centre, so that a partition between data centres leaves it a
/// watcher.
#[test]
fn the_watcher_is_of_the_servers_data_centre() {
    let all = watchers(&view(5));
    assert!(all.values().all(|watcher| watcher.as_str().starts_with("dc1-")));
}

/// A suspect host keeps its jobs; a leaving or unreachable one does not.
#[test]
fn only_eligible_hosts_own_jobs() {
    let mut view = view(3);
    let job = JobHash::of("claims/17");
    let owner = owner_of(job, &view).unwrap();
    let set_state = |view: &mut MembersView, state| {
        for member in view.members.values_mut().flatten() {
            if member.host == owner {
                member.state = state;
            }
        }
    };
    set_state(&mut view, MemberState::Suspect);
    assert_eq!(owner_of(job, &view).as_ref(), Some(&owner));
    set_state(&mut view, MemberState::Leaving);
    assert_ne!(owner_of(job, &view).as_ref(), Some(&owner));
    set_state(&mut view, MemberState::Unreachable);
    assert_ne!(owner_of(job, &view).as_ref(), Some(&owner));
}

/// A daemon whose heartbeats are not received has lost its servers to its peers, whatever its own view says.
#[test]
fn a_daemon_that_is_not_heard_watches_nothing() {
    let mut view = view(3);
    let server = servers().remove(0);
    view.own_host = watcher_of(&server, &data_centre(), &view);
    assert!(is_watched_here(&server, &data_centre(), &region(), &view));
    view.is_heard = false;
    assert!(!is_watched_here(&server, &data_centre(), &region(), &view));
}

/// All entry hosts of a data centre fail while its engines keep running. If no daemon monitored the engines,
/// callers of the whole region would be refused although a third of the capacity is idle. While the data
/// centre is only unreachable, its own daemons continue, and a second watcher would overcommit the engines.
#[test]
fn a_data_centre_without_daemons_is_watched_from_its_region() {
    let mut view = view(3);
    let server = servers().remove(0);
    let set_states = |view: &mut MembersView, state| {
        for member in view.members.get_mut(&data_centre()).unwrap() {
            member.state = state;
        }
    };
    set_states(&mut view, MemberState::Unreachable);
    assert_eq!(watcher_with_fallback(&server, &data_centre(), &region(), &view), None);
    view.members.remove(&data_centre());
    let substitute = watcher_with_fallback(&server, &data_centre(), &region(), &view).unwrap();
    assert!(substitute.as_str().starts_with("dc2"));
    assert_eq!(watcher_with_fallback(&server, &data_centre(), &"elsewhere".parse().unwrap(), &view), None);
}
