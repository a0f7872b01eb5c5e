//! Membership under loss, cuts, pauses and restarts. One round is one tick of 400 ms.

use hibiscusvale_core::membership::{MemberState, MembershipEvent};
use hibiscusvale_core::units::Millis;
use rstest::rstest;

use crate::harness::{Net, host};

const SETTLED: Millis = Millis(40_000);

/// The time of so many rounds.
fn rounds(count: u64) -> Millis {
    Millis(count * 400)
}

fn started(data_centres: usize, hosts: usize, seed: u64) -> Net {
    let mut net = Net::new(data_centres, hosts, seed);
    net.start_all();
    let took = net.run_until(SETTLED, Net::agrees);
    assert!(took.is_some(), "a fresh start converges");
    net
}

/// All hosts come up at once, knowing two seeds and the platform's list.
#[rstest]
#[case(1, 3, 10)]
#[case(1, 34, 30)]
#[case(3, 8, 40)]
fn converges_from_a_cold_start(#[case] data_centres: usize, #[case] hosts: usize, #[case] bound: u64) {
    let mut net = Net::new(data_centres, hosts, 1);
    net.start_all();
    let took = net.run_until(rounds(bound), Net::agrees);
    assert!(took.is_some(), "not in {bound} rounds");
}

/// A process dies without a word. Its work has to move within seconds, and nobody else may be taken for dead
/// with it.
#[rstest]
#[case(8)]
#[case(34)]
fn notices_a_death_within_34_rounds(#[case] hosts: usize) {
    let mut net = started(1, hosts, 2);
    net.kill(hosts - 1);
    let took = net.run_until(rounds(34), Net::agrees);
    assert!(took.is_some(), "death not noticed everywhere");
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), hosts as u64 - 1);
}

/// A fifth of all messages is lost for ten minutes. Were a daemon taken for dead by that, its servers would
/// change their watcher, be quiet for a while, and change back.
#[test]
fn does_not_flap_under_twenty_percent_loss() {
    let mut net = started(1, 34, 3);
    net.loss = 0.2;
    net.run(Millis(600_000));
    assert!(net.agrees());
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0);
}

/// Messages take up to two seconds, as on a network that is about to fail.
#[test]
fn does_not_flap_under_long_delays() {
    let mut net = started(1, 34, 4);
    net.delay_us = (0, 2_000_000);
    net.run(Millis(120_000));
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0);
}

/// One direction between two hosts fails. Both are well and serve callers; the others carry their heartbeats.
#[test]
fn one_direction_of_one_link_kills_nobody() {
    let mut net = started(1, 8, 5);
    net.passes = Box::new(|from, to| from.host != host(0, 1) || to.host != host(0, 2));
    net.run(Millis(120_000));
    assert!(net.agrees());
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0);
}

/// A host can receive but nothing it sends arrives. The others give its work away; it has to notice that it
/// is not heard, or two daemons would go on granting the slots of the same servers.
#[test]
fn a_host_that_is_not_heard_knows_it() {
    let mut net = started(1, 8, 6);
    net.passes = Box::new(|from, _| from.host != host(0, 3));
    net.run(rounds(34));
    assert!(!net.view(3).is_heard, "it must stop its work");
    assert!(net.view(0).find(&host(0, 3)).is_none(), "its work has moved");
    net.passes = Box::new(|_, _| true);
    assert!(net.run_until(rounds(12), Net::agrees).is_some());
}

/// A virtual machine is halted for twenty seconds and goes on. It heard nobody meanwhile, but they are well:
/// it must not take all of them for dead and claim their work, nor go on with its own, which has moved.
#[test]
fn a_pause_makes_nobody_else_dead() {
    let mut net = started(1, 8, 7);
    net.pause(2, Millis(20_000));
    net.run(Millis(20_600));
    assert_eq!(net.daemons[2].membership.counts().died, 0);
    assert_eq!(net.daemons[2].membership.counts().paused, 1);
    assert!(!net.view(2).is_heard, "its work has moved, it waits until it is heard again");
    assert!(net.run_until(rounds(12), Net::agrees).is_some());
}

/// A host is replaced under its own name and address before anybody missed it. What was granted to the old
/// process is void, so everybody has to see the new life.
#[test]
fn a_host_replaced_under_its_address_is_a_new_life() {
    let mut net = started(2, 6, 8);
    net.replace(4);
    let took = net.run_until(rounds(30), Net::agrees);
    assert!(took.is_some(), "everybody sees the new life");
}

/// The replaced process was only paused and wakes. It has to learn that it was replaced and stop.
#[test]
fn a_replaced_process_that_wakes_is_told_to_stop() {
    let mut net = started(1, 5, 9);
    let old = net.daemons[4].membership.own().clone();
    net.replace(4);
    assert!(net.run_until(rounds(30), Net::agrees).is_some());
    let event = MembershipEvent::Message {
        from: old.host.clone(),
        incarnation: net.daemons[4].membership.own().incarnation,
        message: hibiscusvale_core::membership::MembershipMessage::Ping { counter: 1 },
    };
    let mut zombie = hibiscusvale_core::membership::Membership::new(net.membership, old, Vec::new(), 9);
    let mut actions = Vec::new();
    zombie.handle(hibiscusvale_core::units::MonoTime(1), event, &mut actions);
    let is_told = actions
        .iter()
        .any(|action| matches!(action, hibiscusvale_core::membership::MembershipAction::Superseded { .. }));
    assert!(is_told);
}

/// A daemon begins to stop. Everybody has to know within seconds, so that its work moves while it still
/// finishes what it has.
#[test]
fn leaving_is_known_everywhere() {
    let mut net = started(2, 6, 10);
    net.membership_event(1, MembershipEvent::Leave);
    let is_known = |net: &Net| {
        net.up().all(|number| {
            let member = net.view(number).find(&host(0, 1));
            member.is_some_and(|member| member.state == MemberState::Leaving)
        })
    };
    assert!(net.run_until(rounds(20), is_known).is_some());
}

/// A tenth of all hosts is restarted at once by a faulty rollout.
#[test]
fn survives_the_restart_of_a_tenth() {
    let mut net = started(2, 20, 11);
    let restarted = [0, 10, 20, 30];
    for number in restarted {
        net.kill(number);
    }
    net.run(Millis(3_000));
    for number in restarted {
        net.replace(number);
    }
    assert!(net.run_until(rounds(60), Net::agrees).is_some());
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0, "nobody was missed for long");
}

/// Two halves of a data centre lose each other for a minute. Each serves what it can; afterwards they have to
/// find each other again although each holds the other for dead.
#[test]
fn halves_meet_again_after_a_cut() {
    let mut net = started(1, 10, 12);
    net.passes = Box::new(|from, to| (from.host < host(0, 5)) == (to.host < host(0, 5)));
    net.run(Millis(60_000));
    assert_eq!(net.view(0).all().count(), 5);
    assert_eq!(net.view(9).all().count(), 5);
    net.passes = Box::new(|_, _| true);
    assert!(net.run_until(rounds(40), Net::agrees).is_some());
}

/// A region is cut off for two minutes. Inside, nobody is taken for dead; across, nobody is counted on, and
/// all come back by themselves.
#[test]
fn a_region_cut_off_comes_back() {
    let mut net = started(6, 4, 13);
    net.passes = Box::new(|from, to| from.region == to.region);
    net.run(Millis(120_000));
    assert_eq!(net.total(|daemon| daemon.membership.counts().died), 0);
    let states = net.view(0).all().map(|member| member.state);
    let unreachable = states.filter(|state| *state == MemberState::Unreachable).count();
    assert_eq!(unreachable, 12);
    net.passes = Box::new(|_, _| true);
    let is_whole = |net: &Net| {
        net.agrees()
            && net.up().all(|number| {
                let mut members = net.view(number).all();
                members.all(|member| member.state != MemberState::Unreachable)
            })
    };
    assert!(net.run_until(rounds(60), is_whole).is_some());
}

/// Two data centres cannot reach each other, a third reaches both. Each must not take the other for lost.
#[test]
fn a_third_data_centre_carries_digests() {
    let mut net = started(3, 4, 14);
    net.passes = Box::new(|from, to| {
        let pair = (from.data_centre.as_str(), to.data_centre.as_str());
        !matches!(pair, ("dc00", "dc01") | ("dc01", "dc00"))
    });
    net.run(Millis(120_000));
    let is_reached = |member: &hibiscusvale_core::membership::Member| member.state == MemberState::Live;
    assert!(net.view(0).all().all(is_reached));
    assert!(net.view(4).all().all(is_reached));
}
