//! Spreading of configuration, signs and loads under loss, dying relays, cuts and outages of the log.

use hibiscusvale_core::ids::{BackendServerId, Offset};
use hibiscusvale_core::membership::MemberRecord;
use hibiscusvale_core::spread::{ModelLoad, ModelTag, ServerSign, SpreadEvent};
use hibiscusvale_core::units::Millis;
use rstest::rstest;

use crate::harness::Net;

/// The users' bound for a change to be in force everywhere.
const BOUND: Millis = Millis(5_000);
const RECORD_BYTES: usize = 300;

fn started(data_centres: usize, hosts: usize, seed: u64) -> Net {
    let mut net = Net::new(data_centres, hosts, seed);
    net.start_all();
    assert!(net.run_until(Millis(40_000), Net::agrees).is_some());
    net.append(RECORD_BYTES);
    assert!(net.run_until(BOUND, |net| net.has_in_force(Offset(0))).is_some());
    net
}

/// Appends `count` records a second apart and asserts that each is in force everywhere in time.
fn spreads_in_time(net: &mut Net, count: usize) {
    for _ in 0..count {
        let offset = net.append(RECORD_BYTES);
        let took = net.run_until(BOUND, |net| net.has_in_force(offset));
        assert!(took.is_some(), "record {offset} was not in force everywhere in 5 s");
    }
    let states: Vec<_> = net.up().map(|number| net.daemons[number].in_force.1).collect();
    assert!(states.iter().all(|state| Some(state) == states.first()), "all fold the same");
    assert_eq!(net.total(|daemon| daemon.spread.counts().diverged), 0);
}

/// An operator publishes, and everything works.
#[rstest]
#[case(1, 3)]
#[case(1, 34)]
#[case(4, 8)]
fn a_change_is_in_force_everywhere_in_time(#[case] data_centres: usize, #[case] hosts: usize) {
    let mut net = started(data_centres, hosts, 21);
    spreads_in_time(&mut net, 10);
}

/// A fifth of all messages is lost; records get lost on the way and digests have to bring them.
#[test]
fn loss_does_not_hold_a_change_up() {
    let mut net = started(2, 12, 22);
    net.loss = 0.2;
    spreads_in_time(&mut net, 20);
}

/// Hosts die one after the other, and records are handed to the dead until their death is noticed.
#[test]
fn dying_relays_do_not_hold_a_change_up() {
    let mut net = started(1, 20, 23);
    for number in [3, 8, 13, 18] {
        net.kill(number);
        spreads_in_time(&mut net, 2);
    }
}

/// The daemons that read the log are the ones that die. The others have to take their place.
#[test]
fn readers_that_die_are_replaced() {
    let mut net = started(1, 10, 24);
    let readers: Vec<usize> = net.up().filter(|number| net.daemons[*number].spread.is_reader()).collect();
    assert_eq!(readers.len(), 3);
    for number in readers {
        net.kill(number);
    }
    net.run(Millis(12_000));
    spreads_in_time(&mut net, 3);
}

/// A data centre is cut off from the platform, but not from the other data centres. Its operators' changes
/// are as urgent as ever.
#[test]
fn a_data_centre_without_the_platform_gets_changes_from_others() {
    let mut net = started(3, 6, 25);
    for number in 0..6 {
        net.daemons[number].reaches_log = false;
    }
    spreads_in_time(&mut net, 10);
}

/// Half of all daemons cannot reach the log, the readers of a data centre among them or not.
#[test]
fn half_of_the_daemons_without_the_log() {
    let mut net = started(1, 8, 26);
    for number in (0..8).step_by(2) {
        net.daemons[number].reaches_log = false;
    }
    spreads_in_time(&mut net, 10);
}

/// Nothing that one data centre sends reaches another, which has no log; a third is reached by both. Digests
/// through the third have to bring the records.
#[test]
fn a_one_way_cut_is_bridged_by_a_third_data_centre() {
    let mut net = started(3, 4, 27);
    for number in 0..8 {
        net.daemons[number].reaches_log = number >= 4;
    }
    for number in 8..12 {
        net.daemons[number].reaches_log = false;
    }
    net.passes =
        Box::new(|from, to| from.data_centre.as_str() != "dc01" || to.data_centre.as_str() != "dc00");
    for _ in 0..10 {
        let offset = net.append(RECORD_BYTES);
        let took = net.run_until(BOUND, |net| net.has_in_force(offset));
        assert!(took.is_some(), "record {offset} was not in force everywhere in 5 s");
    }
}

/// A region is cut off from everything for two minutes while hundreds of changes are published. When the cut
/// heals, it has to catch up without flooding anybody.
#[test]
fn a_region_catches_up_after_a_cut() {
    let mut net = started(4, 4, 28);
    let is_cut = |record: &MemberRecord| record.data_centre.as_str() == "dc03";
    net.passes = Box::new(move |from, to| is_cut(from) == is_cut(to));
    for number in 12..16 {
        net.daemons[number].reaches_log = false;
    }
    let mut last = Offset::default();
    for _ in 0..120 {
        last = net.append(RECORD_BYTES);
        net.run(Millis(1_000));
    }
    assert!(net.daemons[12].in_force.0 < last);
    net.passes = Box::new(|_, _| true);
    let took = net.run_until(Millis(15_000), |net| net.has_in_force(last));
    assert!(took.is_some());
}

/// A new daemon starts while the log is down and long after the records that its peers started from. It takes
/// the state from a peer, in parts.
#[test]
fn a_new_daemon_takes_the_state_of_a_peer() {
    let mut net = started(1, 6, 29);
    net.spread.kept_bytes = 2_000;
    for number in 0..6 {
        net.replace(number);
    }
    assert!(net.run_until(Millis(40_000), Net::agrees).is_some());
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

/// A checkpoint of hundreds of kilobytes is appended. Sent on to everybody it would use a minute of everyone's
/// budget; whoever holds the state before it needs none of it.
#[test]
fn a_checkpoint_is_passed_without_its_bytes() {
    let mut net = started(1, 10, 30);
    let before = net.total(|daemon| daemon.sent_bytes);
    let offset = net.append(200_000);
    assert!(net.run_until(BOUND, |net| net.has_in_force(offset)).is_some());
    let sent = net.total(|daemon| daemon.sent_bytes) - before;
    assert!(sent < 200_000, "{sent} bytes were sent");
}

/// A server answers one daemon that it is leaving, while the platform's list still calls it live. Within
/// seconds nobody may send it new work.
#[rstest]
#[case(0.0)]
#[case(0.2)]
fn a_leaving_server_is_known_everywhere(#[case] loss: f64) {
    let mut net = started(3, 8, 31);
    net.loss = loss;
    let server: BackendServerId = "replica-1".parse().unwrap();
    let event = SpreadEvent::Saw { server: server.clone(), sign: ServerSign::Leaving };
    net.spread_event(5, event);
    let is_known = |net: &Net| net.up().all(|number| !net.daemons[number].spread.view().may_take(&server));
    assert!(net.run_until(BOUND, is_known).is_some());

    let event = SpreadEvent::Saw { server: server.clone(), sign: ServerSign::Taking };
    net.spread_event(20, event);
    let is_known = |net: &Net| net.up().all(|number| net.daemons[number].spread.view().may_take(&server));
    assert!(net.run_until(BOUND, is_known).is_some(), "and that it came back");
}

/// Load of each data centre is summed up and known in all others, so that work can go where there is room.
#[test]
fn loads_of_all_data_centres_are_known() {
    let mut net = started(3, 4, 32);
    for number in 0..12 {
        let load = ModelLoad { model: ModelTag([1; 4]), slots_free: 5, prefill_queue_tokens: 100 };
        net.spread_event(number, SpreadEvent::Load(vec![load]));
    }
    let is_known = |net: &Net| {
        net.up().all(|number| {
            let loads = net.daemons[number].spread.view().loads;
            loads.len() == 3 && loads.values().all(|load| load.models[0].slots_free == 20)
        })
    };
    assert!(net.run_until(Millis(40_000), is_known).is_some());
}
