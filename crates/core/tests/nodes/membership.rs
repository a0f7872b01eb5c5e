//! Membership under message loss, network partitions, suspended processes and restarts. One round is one tick
//! of 400 ms.

use hibiscusvale_core::membership::{MemberState, MembershipEvent};
use hibiscusvale_core::units::Millis;
use rstest::rstest;

use crate::harness::{Network, host};

const SETTLED: Millis = Millis(40_000);

/// Duration of `count` rounds.
fn rounds(count: u64) -> Millis {
    Millis(count * 400)
}

fn converged_network(data_centres: usize, hosts: usize, seed: u64) -> Network {
    let mut net = Network::new(data_centres, hosts, seed);
    net.start_all();
    let took = net.run_until(SETTLED, Network::has_converged);
    assert!(took.is_some(), "no convergence after a cold start");
    net
}

/// All hosts start at once with two seeds and the platform's host list.
#[rstest]
#[case(1, 3, 10)]
#[case(1, 34, 30)]
#[case(3, 8, 40)]
fn converges_from_a_cold_start(#[case] data_centres: usize, #[case] hosts: usize, #[case] bound: u64) {
    let mut net = Network::new(data_centres, hosts, 1);
    net.start_all();
    let took = net.run_until(rounds(bound), Network::has_converged);
    assert!(took.is_some(), "no convergence within {bound} rounds");
}

/// A process dies without notice. Its jobs have to move within seconds, and no other daemon may be declared
/// dead.
#[rstest]
#[case(8)]
#[case(34)]
fn detects_a_failure_within_34_rounds(#[case] hosts: usize) {
    let mut net = converged_network(1, hosts, 2);
    net.kill(hosts - 1);
    let took = net.run_until(rounds(34), Network::has_converged);
    assert!(took.is_some(), "a daemon did not detect the failure");
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), hosts as u64 - 1);
}

/// A fifth of all messages is lost for ten minutes. A daemon wrongly declared dead would make its servers
/// change their watcher, be unmonitored for a while, and change back.
#[test]
fn does_not_flap_under_twenty_percent_loss() {
    let mut net = converged_network(1, 34, 3);
    net.loss = 0.2;
    net.run(Millis(600_000));
    assert!(net.has_converged());
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0);
}

/// Messages take up to two seconds, as on a failing network.
#[test]
fn does_not_flap_under_long_delays() {
    let mut net = converged_network(1, 34, 4);
    net.delay_us = (0, 2_000_000);
    net.run(Millis(120_000));
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0);
}

/// One direction of the link between two hosts fails. Both are healthy, and heartbeats must arrive through
/// other hosts.
#[test]
fn one_way_link_failure_makes_no_daemon_dead() {
    let mut net = converged_network(1, 8, 5);
    net.link_filter = Box::new(|from, to| from.host != host(0, 1) || to.host != host(0, 2));
    net.run(Millis(120_000));
    assert!(net.has_converged());
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0);
}

/// A host receives messages, but nothing it sends arrives. Its peers reassign its jobs, so it must detect
/// that it is not heard; otherwise two daemons would grant slots of the same servers.
#[test]
fn a_host_detects_that_it_is_not_heard() {
    let mut net = converged_network(1, 8, 6);
    net.link_filter = Box::new(|from, _| from.host != host(0, 3));
    net.run(rounds(34));
    assert!(!net.view(3).is_heard, "the host must detect that it is not heard");
    assert!(net.view(0).find(&host(0, 3)).is_none(), "the host is still in a peer's view");
    net.link_filter = Box::new(|_, _| true);
    assert!(net.run_until(rounds(12), Network::has_converged).is_some());
}

/// A virtual machine is suspended for twenty seconds. When it resumes, it must neither declare its peers dead
/// and claim their jobs nor continue its own jobs, which have been reassigned.
#[test]
fn a_suspended_daemon_declares_no_peer_dead() {
    let mut net = converged_network(1, 8, 7);
    net.pause(2, Millis(20_000));
    net.run(Millis(20_600));
    assert_eq!(net.daemons[2].membership.counts().died, 0);
    assert_eq!(net.daemons[2].membership.counts().paused, 1);
    assert!(!net.view(2).is_heard, "a resumed daemon must not count as heard before a new echo");
    assert!(net.run_until(rounds(12), Network::has_converged).is_some());
}

/// A host is replaced under its own name and address before it is missed. Grants to the old process are void,
/// so every daemon has to see the new incarnation.
#[test]
fn a_host_replaced_under_its_address_is_a_new_incarnation() {
    let mut net = converged_network(2, 6, 8);
    net.replace(4);
    let took = net.run_until(rounds(30), Network::has_converged);
    assert!(took.is_some(), "a daemon does not see the new incarnation");
}

/// The replaced process was only suspended and resumes. It has to learn that it was superseded and stop.
#[test]
fn a_superseded_process_is_told_to_stop_when_it_resumes() {
    let mut net = converged_network(1, 5, 9);
    let old = net.daemons[4].membership.own().clone();
    net.replace(4);
    assert!(net.run_until(rounds(30), Network::has_converged).is_some());
    let event = MembershipEvent::Message {
        from: old.host.clone(),
        incarnation: net.daemons[4].membership.own().incarnation,
        message: hibiscusvale_core::membership::MembershipMessage::Ping { counter: 1 },
    };
    let mut superseded = hibiscusvale_core::membership::Membership::new(net.membership, old, Vec::new(), 9);
    let mut actions = Vec::new();
    superseded.handle(hibiscusvale_core::units::MonoTime(1), event, &mut actions);
    let is_told_to_stop = actions
        .iter()
        .any(|action| matches!(action, hibiscusvale_core::membership::MembershipAction::Superseded { .. }));
    assert!(is_told_to_stop);
}

/// A daemon starts to shut down. All others have to know within seconds, so that its jobs move while it
/// completes its open requests.
#[test]
fn leaving_is_known_everywhere() {
    let mut net = converged_network(2, 6, 10);
    net.membership_event(1, MembershipEvent::Leave);
    let is_known = |net: &Network| {
        net.running().all(|number| {
            let member = net.view(number).find(&host(0, 1));
            member.is_some_and(|member| member.state == MemberState::Leaving)
        })
    };
    assert!(net.run_until(rounds(20), is_known).is_some());
}

/// A faulty rollout restarts a tenth of all hosts at once.
#[test]
fn survives_the_restart_of_a_tenth() {
    let mut net = converged_network(2, 20, 11);
    let restarted = [0, 10, 20, 30];
    for number in restarted {
        net.kill(number);
    }
    net.run(Millis(3_000));
    for number in restarted {
        net.replace(number);
    }
    assert!(net.run_until(rounds(60), Network::has_converged).is_some());
    assert_eq!(
        net.total(|daemon| daemon.membership.counts().died),
        0,
        "no daemon may be declared dead by a short restart"
    );
}

/// A data centre is partitioned into two halves for a minute. Each half keeps serving; afterwards they have
/// to merge although each declared the other dead.
#[test]
fn partitions_merge_after_healing() {
    let mut net = converged_network(1, 10, 12);
    net.link_filter = Box::new(|from, to| (from.host < host(0, 5)) == (to.host < host(0, 5)));
    net.run(Millis(60_000));
    assert_eq!(net.view(0).all().count(), 5);
    assert_eq!(net.view(9).all().count(), 5);
    net.link_filter = Box::new(|_, _| true);
    assert!(net.run_until(rounds(40), Network::has_converged).is_some());
}

/// A region is isolated for two minutes. No daemon may be declared dead inside it, daemons of other regions
/// become unreachable, and all recover when the partition heals.
#[test]
fn an_isolated_region_recovers() {
    let mut net = converged_network(6, 4, 13);
    net.link_filter = Box::new(|from, to| from.region == to.region);
    net.run(Millis(120_000));
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0);
    let states = net.view(0).all().map(|member| member.state);
    let unreachable = states.filter(|state| *state == MemberState::Unreachable).count();
    assert_eq!(unreachable, 12);
    net.link_filter = Box::new(|_, _| true);
    let is_recovered = |net: &Network| {
        net.has_converged()
            && net.running().all(|number| {
                let mut members = net.view(number).all();
                members.all(|member| member.state != MemberState::Unreachable)
            })
    };
    assert!(net.run_until(rounds(60), is_recovered).is_some());
}

/// Two data centres cannot reach each other, but a third reaches both. Neither may treat the other as
/// unreachable.
#[test]
fn a_third_data_centre_relays_digests() {
    let mut net = converged_network(3, 4, 14);
    net.link_filter = Box::new(|from, to| {
        let pair = (from.data_centre.as_str(), to.data_centre.as_str());
        !matches!(pair, ("dc00", "dc01") | ("dc01", "dc00"))
    });
    net.run(Millis(120_000));
    let is_live = |member: &hibiscusvale_core::membership::Member| member.state == MemberState::Live;
    assert!(net.view(0).all().all(is_live));
    assert!(net.view(4).all().all(is_live));
}
