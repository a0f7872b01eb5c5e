//! Dissemination of configuration, server status and load under message loss, relay failures,
//! partitions and log outages.

use hibiscusvale_core::ids::{BackendServerId, Offset};
use hibiscusvale_core::membership::MemberRecord;
use hibiscusvale_core::spread::{ModelLoad, ModelTag, ServerStatus, SpreadEvent};
use hibiscusvale_core::units::Millis;
use rstest::rstest;

use crate::harness::Network;

/// Required bound for a change to be in force on every daemon.
const BOUND: Millis = Millis(5_000);
const RECORD_BYTES: usize = 300;

fn converged_network(data_centres: usize, hosts: usize, seed: u64) -> Network {
    let mut net = Network::new(data_centres, hosts, seed);
    net.start_all();
    assert!(net.run_until(Millis(40_000), Network::has_converged).is_some());
    net.append(RECORD_BYTES);
    assert!(net.run_until(BOUND, |net| net.has_in_force(Offset(0))).is_some());
    net
}

/// Appends `count` records, each after the previous one is in force everywhere, and asserts that each is in
/// force within the bound.
fn assert_in_force_in_time(net: &mut Network, count: usize) {
    for _ in 0..count {
        let offset = net.append(RECORD_BYTES);
        let took = net.run_until(BOUND, |net| net.has_in_force(offset));
        assert!(took.is_some(), "record {offset} was not in force everywhere in 5 s");
    }
    let states: Vec<_> = net.running().map(|number| net.daemons[number].in_force.1).collect();
    assert!(states.iter().all(|state| Some(state) == states.first()), "daemons reached different states");
    assert_eq!(net.total(|daemon| daemon.spread.counts().diverged), 0);
}

/// A change is published while everything works.
#[rstest]
#[case(1, 3)]
#[case(1, 34)]
#[case(4, 8)]
fn a_change_is_in_force_everywhere_in_time(#[case] data_centres: usize, #[case] hosts: usize) {
    let mut net = converged_network(data_centres, hosts, 21);
    assert_in_force_in_time(&mut net, 10);
}

/// A fifth of all messages is lost. Records are lost in transit and have to be recovered through digests.
#[test]
fn message_loss_does_not_delay_a_change() {
    let mut net = converged_network(2, 12, 22);
    net.loss = 0.2;
    assert_in_force_in_time(&mut net, 20);
}

/// Hosts die one after another, and records are forwarded to dead hosts until their failure is detected.
#[test]
fn relay_failures_do_not_delay_a_change() {
    let mut net = converged_network(1, 20, 23);
    for number in [3, 8, 13, 18] {
        net.kill(number);
        assert_in_force_in_time(&mut net, 2);
    }
}

/// The daemons that read the log die. Others have to take over.
#[test]
fn failed_readers_are_replaced() {
    let mut net = converged_network(1, 10, 24);
    let readers: Vec<usize> =
        net.running().filter(|number| net.daemons[*number].spread.is_reader()).collect();
    assert_eq!(readers.len(), 3);
    for number in readers {
        net.kill(number);
    }
    net.run(Millis(12_000));
    assert_in_force_in_time(&mut net, 3);
}

/// A data centre cannot reach the platform, but reaches the other data centres. Changes must still arrive in
/// time.
#[test]
fn a_data_centre_without_the_platform_gets_changes_from_others() {
    let mut net = converged_network(3, 6, 25);
    for number in 0..6 {
        net.daemons[number].reaches_log = false;
    }
    assert_in_force_in_time(&mut net, 10);
}

/// Half of all daemons cannot reach the log, possibly including readers of the data centre.
#[test]
fn half_of_the_daemons_without_the_log() {
    let mut net = converged_network(1, 8, 26);
    for number in (0..8).step_by(2) {
        net.daemons[number].reaches_log = false;
    }
    assert_in_force_in_time(&mut net, 10);
}

/// Messages from one data centre to another, which has no log, are all lost; a third exchanges messages with
/// both. Digests through the third have to transfer the records.
#[test]
fn a_third_data_centre_bridges_a_one_way_partition() {
    let mut net = converged_network(3, 4, 27);
    for number in 0..8 {
        net.daemons[number].reaches_log = number >= 4;
    }
    for number in 8..12 {
        net.daemons[number].reaches_log = false;
    }
    net.link_filter =
        Box::new(|from, to| from.data_centre.as_str() != "dc01" || to.data_centre.as_str() != "dc00");
    for _ in 0..10 {
        let offset = net.append(RECORD_BYTES);
        let took = net.run_until(BOUND, |net| net.has_in_force(offset));
        assert!(took.is_some(), "record {offset} was not in force everywhere in 5 s");
    }
}

/// A region is isolated for two minutes while over a hundred changes are published. When the partition heals,
/// it has to catch up within seconds.
#[test]
fn a_region_catches_up_after_a_partition() {
    let mut net = converged_network(4, 4, 28);
    let is_cut = |record: &MemberRecord| record.data_centre.as_str() == "dc03";
    net.link_filter = Box::new(move |from, to| is_cut(from) == is_cut(to));
    for number in 12..16 {
        net.daemons[number].reaches_log = false;
    }
    let mut last = Offset::default();
    for _ in 0..120 {
        last = net.append(RECORD_BYTES);
        net.run(Millis(1_000));
    }
    assert!(net.daemons[12].in_force.0 < last);
    net.link_filter = Box::new(|_, _| true);
    let took = net.run_until(Millis(15_000), |net| net.has_in_force(last));
    assert!(took.is_some());
}

/// A new daemon starts during a log outage, and its peers no longer retain the early records. It fetches the
/// state from a peer, in parts.
#[test]
fn a_new_daemon_fetches_the_state_from_a_peer() {
    let mut net = converged_network(1, 6, 29);
    net.spread.retained_bytes = 2_000;
    for number in 0..6 {
        net.replace(number);
    }
    assert!(net.run_until(Millis(40_000), Network::has_converged).is_some());
    let mut last = Offset::default();
    for _ in 0..50 {
        last = net.append(RECORD_BYTES);
    }
    assert!(net.run_until(BOUND, |net| net.has_in_force(last)).is_some());
    for daemon in &mut net.daemons {
        daemon.reaches_log = false;
    }
    net.replace(5);
    net.daemons[5].reaches_log = false;
    let took = net.run_until(Millis(15_000), |net| net.has_in_force(last));
    assert!(took.is_some());
    assert_eq!(net.daemons[5].spread.counts().states_adopted, 1);
}

/// A checkpoint of hundreds of kilobytes is appended. Relaying its content would use a minute of each
/// daemon's bandwidth budget, and daemons that hold the state before it need none of it.
#[test]
fn a_checkpoint_is_relayed_without_its_content() {
    let mut net = converged_network(1, 10, 30);
    let before = net.total(|daemon| daemon.sent_bytes);
    let offset = net.append(200_000);
    assert!(net.run_until(BOUND, |net| net.has_in_force(offset)).is_some());
    let sent = net.total(|daemon| daemon.sent_bytes) - before;
    assert!(sent < 200_000, "{sent} bytes were sent");
}

/// A server tells one daemon that it is leaving while the platform's list still shows it as live. Within
/// seconds no daemon may send it new work.
#[rstest]
#[case(0.0)]
#[case(0.2)]
fn a_leaving_server_is_known_everywhere(#[case] loss: f64) {
    let mut net = converged_network(3, 8, 31);
    net.loss = loss;
    let server: BackendServerId = "replica-1".parse().unwrap();
    let event = SpreadEvent::Observed { server: server.clone(), status: ServerStatus::Leaving };
    net.spread_event(5, event);
    let is_known =
        |net: &Network| net.running().all(|number| !net.daemons[number].spread.view().accepts_work(&server));
    assert!(net.run_until(BOUND, is_known).is_some());

    let event = SpreadEvent::Observed { server: server.clone(), status: ServerStatus::Accepting };
    net.spread_event(20, event);
    let is_known =
        |net: &Network| net.running().all(|number| net.daemons[number].spread.view().accepts_work(&server));
    assert!(
        net.run_until(BOUND, is_known).is_some(),
        "a daemon does not know that the server accepts work again"
    );
}

/// The load of each data centre is aggregated and known in all others, so that work can be routed to free
/// capacity.
#[test]
fn loads_of_all_data_centres_are_known() {
    let mut net = converged_network(3, 4, 32);
    for number in 0..12 {
        let load = ModelLoad { model: ModelTag([1; 4]), slots_free: 5, prefill_queue_tokens: 100 };
        net.spread_event(number, SpreadEvent::Load(vec![load]));
    }
    let is_known = |net: &Network| {
        net.running().all(|number| {
            let loads = net.daemons[number].spread.view().loads;
            loads.len() == 3 && loads.values().all(|load| load.models[0].slots_free == 20)
        })
    };
    assert!(net.run_until(Millis(40_000), is_known).is_some());
}
