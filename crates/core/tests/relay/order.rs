//! Order of waiting requests over all daemons, simulated in virtual time.

use std::collections::HashMap;

use hibiscusvale_core::ids::RequestId;
use hibiscusvale_core::relay::engines::{
    Demand, EngineAction, EngineEvent, MemoryReport, OrganisationMemory, PoolUsage, Role, WaitingClass,
};
use hibiscusvale_core::sched::FailureCause;
use hibiscusvale_core::shares::OrganisationKey;
use hibiscusvale_core::units::{Millis, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::engines::full;
use crate::simulation::{
    Harness, ORDER_SETTLING_MS, Outcome, Sharing, Simulation, demand, request_id, settings,
};

fn organisation(number: usize) -> OrganisationKey {
    OrganisationKey::of(&format!("organisation-{number}").parse().unwrap())
}

/// Daemons and decode engines, with the interval of messages that so many daemons keep.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    daemons: usize,
    decode_engines: usize,
    interval_ms: u64,
}

const SMALL: Fleet = Fleet { daemons: 9, decode_engines: 8, interval_ms: 2 };
const MEDIUM: Fleet = Fleet { daemons: 91, decode_engines: 33, interval_ms: 23 };
const LARGE: Fleet = Fleet { daemons: 413, decode_engines: 33, interval_ms: 103 };

impl Fleet {
    /// Requests per second that the memory of the decode engines holds: those of mean size, 5,250 and 6,000 tokens
    /// with the pool's margin, take it for 3.5 s.
    fn capacity_per_s(self) -> f64 {
        self.decode_engines as f64 * MEMORY_TOKENS as f64 / ((5_250.0 + 1.25 * 6_000.0) * 3.5)
    }

    fn simulation(self, sharing: Sharing) -> Simulation {
        let prefill =
            (0..self.decode_engines.div_ceil(2)).map(|number| (format!("r-{number}"), Role::Prefill));
        let decode = (0..self.decode_engines).map(|number| (format!("w-{number}"), Role::Decode));
        let engines: Vec<(String, Role)> = prefill.chain(decode).collect();
        let engines: Vec<(&str, Role)> = engines.iter().map(|(name, role)| (name.as_str(), *role)).collect();
        Simulation::with_sharing(self.daemons, &engines, Sharing { interval_ms: self.interval_ms, ..sharing })
    }
}

/// Memory of a decode engine. Beyond it, an engine evicts a running request.
const MEMORY_TOKENS: u64 = 81_432;

const REPORTS: Sharing =
    Sharing { usage: true, memory: true, interval_ms: 0, lost_one_in: 0, loses_speeds: false };
const NO_REPORTS: Sharing = Sharing { memory: false, ..REPORTS };

/// Load sent by one kind of caller.
#[derive(Clone, Copy)]
struct Load {
    from_ms: u64,
    to_ms: u64,
    per_s: f64,
    priority: u8,
    organisation: Option<usize>,
}

/// What the callers of one run got.
struct Run {
    simulation: Simulation,
    sent: HashMap<RequestId, (u64, Load)>,
}

impl Run {
    fn new(fleet: Fleet, sharing: Sharing, loads: &[Load]) -> Self {
        let mut simulation = fleet.simulation(sharing);
        let mut weights: HashMap<OrganisationKey, f64> = HashMap::new();
        for load in loads.iter().filter(|load| load.from_ms == 0) {
            weights.extend(load.organisation.map(|number| (organisation(number), load.per_s)));
        }
        simulation.set_weights(&weights);
        let mut rng = StdRng::seed_from_u64(7);
        let mut sent = HashMap::new();
        let to_ms = loads.iter().map(|load| load.to_ms).max().unwrap_or(0);
        simulation.sample_idle_room(0, to_ms);
        for load in loads {
            let mut at_ms = load.from_ms as f64 + rng.random_range(0.0..1.0) * 1_000.0 / load.per_s;
            while at_ms < load.to_ms as f64 {
                let (prompt, answer) = (rng.random_range(1_500..9_000), rng.random_range(2_500..9_500));
                let demand = Demand {
                    priority: load.priority,
                    organisation: load.organisation.map(organisation),
                    ..demand(sent.len() as u64, prompt, answer)
                };
                sent.insert(demand.request_id, (at_ms as u64, *load));
                simulation.arrive_at(at_ms as u64, rng.random_range(0..fleet.daemons), demand, answer);
                at_ms += rng.random_range(0.0..2.0) * 1_000.0 / load.per_s;
            }
        }
        simulation.run();
        assert_eq!(simulation.outcomes.len(), sent.len());
        let peak_tokens = simulation.peak_tokens;
        assert!(peak_tokens <= MEMORY_TOKENS, "{peak_tokens} tokens on one engine");
        Self { simulation, sent }
    }

    /// Part of the requests that were answered in time, of those that `wanted` selects by arrival and load.
    fn in_time(&self, wanted: impl Fn(u64, &Load) -> bool) -> f64 {
        let selected = self.sent.iter().filter(|(_, (at_ms, load))| wanted(*at_ms, load));
        let outcomes: Vec<Outcome> = selected.map(|(id, _)| self.simulation.outcomes[id]).collect();
        let in_time = outcomes.iter().filter(|outcome| **outcome == Outcome::InTime).count();
        in_time as f64 / outcomes.len().max(1) as f64
    }

    fn refusal_waits_ms(&self) -> Vec<u64> {
        let waits = self.simulation.outcomes.values().filter_map(|outcome| match outcome {
            Outcome::Refused { at_ms } => Some(*at_ms),
            Outcome::InTime | Outcome::Late => None,
        });
        waits.collect()
    }

    fn mean_refusal_wait_ms(&self) -> u64 {
        let waits = self.refusal_waits_ms();
        waits.iter().sum::<u64>() / waits.len().max(1) as u64
    }

    /// Requests that are refused must not wait for their whole target of 900 ms. Where the check of waiting requests did
    /// not count those of equal rank at other daemons, the mean was 525 to 588 ms with 9 and 91 daemons.
    fn check_refusal_waits(&self) {
        let (mean_ms, waits) = (self.mean_refusal_wait_ms(), self.refusal_waits_ms());
        let longest_ms = waits.iter().copied().max().unwrap_or(0);
        assert!(mean_ms <= 450 && longest_ms < 800, "mean {mean_ms} ms, longest {longest_ms} ms");
    }
}

/// Time in which the order holds over all daemons: one message interval and what their requests take to settle.
fn settled_ms(fleet: Fleet) -> u64 {
    fleet.interval_ms + ORDER_SETTLING_MS
}

/// Requests of two priorities, together twice what the decode engines hold; those of priority 0 alone would fit.
fn two_priorities(fleet: Fleet) -> [Load; 2] {
    let load = |fraction: f64, priority| Load {
        from_ms: 0,
        to_ms: 6_000,
        per_s: fleet.capacity_per_s() * fraction,
        priority,
        organisation: None,
    };
    [load(0.6, 0), load(1.4, 2)]
}

/// In a burst of twice the memory, daemons that order only their own requests give memory to priority 2 while
/// requests of priority 0 wait at other daemons and are refused: 0.64 and 0.34 of these were in time with 91 and 413
/// daemons. Room that priority 0 leaves must still be used.
#[rstest]
#[case::small(SMALL, 0.8, 0.25)]
#[case::medium(MEDIUM, 0.85, 0.2)]
#[case::large(LARGE, 0.7, 0.03)]
fn urgent_requests_go_first_at_all_daemons(
    #[case] fleet: Fleet,
    #[case] urgent_least: f64,
    #[case] other_least: f64,
) {
    let run = Run::new(fleet, REPORTS, &two_priorities(fleet));
    let of = |priority| move |at_ms: u64, load: &Load| at_ms >= 1_500 && load.priority == priority;
    let (urgent, other) = (run.in_time(of(0)), run.in_time(of(2)));
    assert!(urgent >= urgent_least && urgent > other, "priority 0: {urgent}, priority 2: {other}");
    assert!(other >= other_least, "priority 2: {other}");
    run.check_refusal_waits();
}

/// Daemons that have refused their requests must not keep room from the others: it was idle for up to 3.4 s with 413.
#[rstest]
#[case::small(SMALL)]
#[case::medium(MEDIUM)]
#[case::large(LARGE)]
fn room_is_not_idle_while_requests_wait(#[case] fleet: Fleet) {
    let idle_ms = Run::new(fleet, REPORTS, &two_priorities(fleet)).simulation.longest_idle_ms;
    assert!(idle_ms <= settled_ms(fleet), "room was idle for {idle_ms} ms while requests waited");
}

/// Requests that cannot be served must not wait for their refusal: the mean was 0.25 to 0.39 s.
#[rstest]
#[case::small(SMALL)]
#[case::medium(MEDIUM)]
#[case::large(LARGE)]
fn refused_requests_wait_briefly(#[case] fleet: Fleet) {
    let mean_ms = Run::new(fleet, REPORTS, &two_priorities(fleet)).mean_refusal_wait_ms();
    assert!(mean_ms <= settled_ms(fleet), "refused after {mean_ms} ms");
}

/// A request must not be passed over by those that go after it at other daemons: 0.19 to 0.44 of the placements did so.
#[rstest]
#[case::small(SMALL)]
#[case::medium(MEDIUM)]
#[case::large(LARGE)]
fn placements_follow_the_order_of_all_daemons(#[case] fleet: Fleet) {
    let simulation = Run::new(fleet, REPORTS, &two_priorities(fleet)).simulation;
    let (placements, out_of_order) = (simulation.placements, simulation.placements_out_of_order);
    assert!(placements > 0);
    assert!(out_of_order * 20 <= placements, "{out_of_order} of {placements} placements out of order");
}

/// Sixteen organisations at 0.6 of the memory; the first, a quarter of the load, sends 7.5 times its usual rate.
fn surge(fleet: Fleet) -> Vec<Load> {
    let usual = fleet.capacity_per_s() * 0.6;
    let load = |number: usize, fraction: f64, from_ms, to_ms| Load {
        from_ms,
        to_ms,
        per_s: usual * fraction,
        priority: 1,
        organisation: Some(number),
    };
    let mut loads: Vec<Load> = (1..16).map(|number| load(number, 0.05, 0, 11_000)).collect();
    loads.extend([load(0, 0.25, 0, 2_000), load(0, 7.5 * 0.25, 2_000, 7_000), load(0, 0.25, 7_000, 11_000)]);
    loads
}

/// Without shares, the requests of the fifteen others are refused along with those of the one that surges: 0.40, 0.73
/// and 0.48 of them were in time. When the surge ends, everything fits again.
#[rstest]
#[case::small(SMALL, 0.75, 0.35)]
#[case::medium(MEDIUM, 0.85, 0.45)]
#[case::large(LARGE, 0.65, 0.35)]
fn a_surge_of_one_organisation_leaves_the_others_their_share(
    #[case] fleet: Fleet,
    #[case] others_least: f64,
    #[case] one_least: f64,
) {
    let run = Run::new(fleet, REPORTS, &surge(fleet));
    let others = |at_ms: u64, load: &Load| (3_000..7_000).contains(&at_ms) && load.organisation != Some(0);
    let one = |at_ms: u64, load: &Load| (3_000..7_000).contains(&at_ms) && load.organisation == Some(0);
    assert!(run.in_time(others) >= others_least, "others: {}", run.in_time(others));
    assert!(run.in_time(one) >= one_least, "the one that surges: {}", run.in_time(one));
    run.check_refusal_waits();
    if fleet.daemons < LARGE.daemons {
        let after = run.in_time(|at_ms, _| at_ms >= 8_000);
        assert!(after >= 0.97, "after the surge: {after}");
    }
    if fleet.daemons == SMALL.daemons {
        let idle_ms = run.simulation.longest_idle_ms;
        assert!(idle_ms <= 100, "room was idle for {idle_ms} ms while requests waited");
    }
}

/// All organisations send twice what fits. Shares must not cost capacity, and among few organisations none may get
/// much less than the others.
#[rstest]
#[case::few(16)]
#[case::many(400)]
fn when_all_send_twice_as_much_each_gets_its_share(#[case] organisations: usize) {
    let per_s = MEDIUM.capacity_per_s() * 2.0 / organisations as f64;
    let load = |number| Load { from_ms: 0, to_ms: 6_000, per_s, priority: 1, organisation: Some(number) };
    let loads: Vec<Load> = (0..organisations).map(load).collect();
    let run = Run::new(MEDIUM, REPORTS, &loads);
    let all = run.in_time(|_, _| true);
    assert!(all >= 0.5, "{all} in time");
    run.check_refusal_waits();
    if organisations == 16 {
        let of = |number: usize| run.in_time(|_, load| load.organisation == Some(number));
        let least = (0..organisations).map(of).fold(1.0, f64::min);
        assert!(least >= 0.6 * all, "{least} of one organisation, {all} of all");
    }
}

/// Lost reports must not cost capacity: what a daemon does not report counts by its usage.
#[rstest]
#[case::all(1)]
#[case::every_third(3)]
fn capacity_is_used_while_reports_are_lost(#[case] lost_one_in: u64) {
    let run = Run::new(MEDIUM, Sharing { lost_one_in, ..REPORTS }, &two_priorities(MEDIUM));
    let all = run.in_time(|_, _| true);
    assert!(all >= 0.55, "{all} in time");
}

/// Where requests do not differ, reports must not change any decision.
#[rstest]
#[case::default_priority(1)]
#[case::other_priority(0)]
fn reports_change_nothing_among_equal_requests(#[case] priority: u8) {
    let load =
        Load { from_ms: 0, to_ms: 3_000, per_s: SMALL.capacity_per_s() * 2.0, priority, organisation: None };
    let actions = |sharing| Run::new(SMALL, sharing, &[load]).simulation.log;
    let (with, without) = (actions(REPORTS), actions(NO_REPORTS));
    assert!(with.iter().any(|(_, _, action)| matches!(action, EngineAction::Refuse { .. })));
    assert_eq!(with, without);
}

fn class(priority: u8, tokens: u64) -> MemoryReport {
    let waiting =
        WaitingClass { is_over_share: false, priority, oldest_ms: Millis(10), tokens: Tokens(tokens) };
    MemoryReport { organisations: Vec::new(), waiting: vec![waiting] }
}

/// A full pool in front of which another daemon has 80,000 tokens waiting, as `report` states.
fn full_pool(report: Option<MemoryReport>) -> Harness {
    let mut harness = Harness::new(settings(), &[("r-1", Role::Prefill), ("w-1", Role::Decode)]);
    for sequence in 0..5 {
        harness.arrive(demand(sequence, 9_000, 4_000));
        harness.reserved(sequence);
    }
    let host = "entry-1".parse().unwrap();
    if let Some(report) = report {
        harness.feed(EngineEvent::PeerMemory { host, report });
    }
    let usage = PoolUsage { waiting: Tokens(80_000), ..PoolUsage::default() };
    harness.feed(EngineEvent::Peer { host: "entry-1".parse().unwrap(), usage });
    harness
}

fn is_refused(actions: &[EngineAction]) -> bool {
    actions.iter().any(|action| matches!(action, EngineAction::Refuse { .. }))
}

/// A request of priority 0 was refused because of what waits with priority 2 at another daemon.
#[test]
fn admission_counts_only_what_goes_before() {
    let urgent = Demand { priority: 0, ..demand(20, 1_500, 500) };
    assert!(!is_refused(&full_pool(Some(class(2, 80_000))).arrive(urgent.clone())));
    assert!(is_refused(&full_pool(Some(class(0, 80_000))).arrive(urgent.clone())));
    assert!(is_refused(&full_pool(None).arrive(urgent)), "a daemon of an earlier version");
}

/// One daemon that states absurd figures would take all memory from the others.
#[test]
fn absurd_reports_are_dropped() {
    let urgent = Demand { priority: 0, ..demand(20, 1_500, 500) };
    assert!(is_refused(&full_pool(Some(class(2, u64::MAX))).arrive(urgent.clone())));
    let mut report = class(2, 80_000);
    report.organisations.push(OrganisationMemory {
        organisation: organisation(1),
        held: Tokens(u64::MAX),
        waiting: Tokens::ZERO,
    });
    assert!(is_refused(&full_pool(Some(report)).arrive(urgent)));
}

/// What a daemon reported must not count after it fell silent, or after it no longer reports: the share of an
/// organisation would stay taken. A pool that knows of no organisation has nothing to report.
#[rstest]
#[case::silent(PoolUsage::cleared(), 1)]
#[case::no_longer_reporting(PoolUsage { waiting: Tokens(80_000), ..PoolUsage::default() }, 2)]
fn old_reports_are_removed(#[case] usage: PoolUsage, #[case] messages: usize) {
    let mut report = class(1, 80_000);
    report.organisations.push(OrganisationMemory {
        organisation: organisation(1),
        held: Tokens(50_000),
        waiting: Tokens(80_000),
    });
    let mut harness = full_pool(Some(report));
    harness.arrive(demand(20, 1_500, 500));
    assert!(harness.pool.memory_report(harness.now_us).is_some());
    for _ in 0..messages {
        let host = "entry-1".parse().unwrap();
        harness.feed(EngineEvent::Peer { host, usage: usage.clone() });
    }
    harness.arrive(demand(21, 1_500, 500));
    assert_eq!(harness.pool.memory_report(harness.now_us), None);
}

/// An organisation that is alone gets all memory, also with one request that is larger than a share would be.
#[test]
fn an_organisation_alone_gets_everything() {
    let mut harness = Harness::new(settings(), &[("w-1", Role::Decode)]);
    let of_one =
        |sequence, prompt| Demand { organisation: Some(organisation(1)), ..demand(sequence, prompt, 1_000) };
    for sequence in 0..8 {
        let actions = harness.arrive(of_one(sequence, 5_000));
        assert!(matches!(actions[..], [EngineAction::Reserve { .. }]), "{sequence}: {actions:?}");
        harness.reserved(sequence);
    }
    let report = harness.pool.memory_report(harness.now_us).unwrap();
    assert_eq!(report.organisations.len(), 1);
    let mut harness = Harness::new(settings(), &[("w-1", Role::Decode)]);
    let patient = Demand { target_ms: Millis(10_000), max_wait_ms: Millis(10_000), ..of_one(0, 79_000) };
    let actions = harness.arrive(patient);
    assert!(matches!(actions[..], [EngineAction::Reserve { .. }]), "{actions:?}");
}

/// A report is bounded. What waits beyond its classes must still be in it, and must not seem better than it is: other
/// daemons would keep room for it.
#[test]
fn classes_beyond_the_maximum_are_reported_as_the_worst() {
    let mut harness = full_pool(None);
    for sequence in 20..32 {
        let priority = sequence as u8 - 20;
        let patient = Demand {
            target_ms: Millis(60_000),
            max_wait_ms: Millis(60_000),
            priority,
            ..demand(sequence, 9_000, 4_000)
        };
        assert_eq!(harness.arrive(patient), Vec::new());
    }
    let report = harness.pool.memory_report(harness.now_us).unwrap();
    let priorities: Vec<u8> = report.waiting.iter().map(|class| class.priority).collect();
    assert_eq!(priorities, [0, 1, 2, 3, 4, 5, 6, 11]);
    let tokens = report.waiting.iter().fold(Tokens::ZERO, |sum, class| sum + class.tokens);
    assert_eq!(tokens, harness.pool.usage(harness.now_us).waiting);
}

/// An organisation that is told to return before its share is free is refused again, and its attempts cost others time.
/// Its share follows its weight.
#[test]
fn retry_after_lasts_until_the_share_is_free() {
    let retry_after = |weight: f64| {
        let mut harness = Harness::new(settings(), &[("r-1", Role::Prefill), ("w-1", Role::Decode)]);
        harness.pool.set_weights(&HashMap::from([(organisation(1), weight), (organisation(2), 1.0)]));
        let of_one = |sequence, prompt, answer| Demand {
            organisation: Some(organisation(1)),
            ..demand(sequence, prompt, answer)
        };
        for sequence in 0..5 {
            harness.arrive(of_one(sequence, 9_000, 4_000));
            harness.reserved(sequence);
        }
        let mut report = class(1, 40_000);
        report.organisations.push(OrganisationMemory {
            organisation: organisation(2),
            held: Tokens::ZERO,
            waiting: Tokens(40_000),
        });
        let host = || "entry-1".parse().unwrap();
        harness.feed(EngineEvent::PeerMemory { host: host(), report });
        let usage = PoolUsage { waiting: Tokens(40_000), ..PoolUsage::default() };
        harness.feed(EngineEvent::Peer { host: host(), usage });
        // Shares are computed at intervals of 20 ms.
        let actions = harness.after(50).arrive(of_one(20, 1_500, 500));
        let [EngineAction::Refuse { retry_after_ms, .. }] = actions[..] else { panic!("{actions:?}") };
        retry_after_ms
    };
    let (small, large) = (retry_after(0.1), retry_after(10.0));
    assert!(small > large, "{small} with a small share, {large} with a large one");
}

/// Usage of another daemon with this much waiting memory.
fn waiting_usage(tokens: u64) -> PoolUsage {
    PoolUsage { waiting: Tokens(tokens), ..PoolUsage::default() }
}

/// A request of one service may wait at a daemon of an earlier version, which states no classes. It must neither hold up
/// urgent requests nor be passed by those of low priority for good.
#[rstest]
#[case::urgent(0, false)]
#[case::low(2, true)]
fn what_is_not_reported_has_middle_priority(#[case] priority: u8, #[case] expected: bool) {
    let mut harness = full_pool(None);
    let host = || "entry-2".parse().unwrap();
    harness.feed(EngineEvent::PeerMemory { host: host(), report: class(1, 10) });
    harness.feed(EngineEvent::Peer { host: host(), usage: waiting_usage(10) });
    let request = Demand { priority, ..demand(20, 1_500, 500) };
    assert_eq!(is_refused(&harness.arrive(request)), expected);
}

/// A daemon must not hold up the others with more in its classes than it has waiting.
#[rstest]
#[case::as_stated(80_000, true)]
#[case::beyond_its_usage(10, false)]
fn classes_count_up_to_the_waiting_memory(#[case] waiting: u64, #[case] expected: bool) {
    let mut harness = full_pool(None);
    for (host, report, waiting) in [("entry-1", class(0, 80_000), waiting), ("entry-2", class(1, 10), 10)] {
        harness.feed(EngineEvent::PeerMemory { host: host.parse().unwrap(), report });
        let usage = waiting_usage(waiting);
        harness.feed(EngineEvent::Peer { host: host.parse().unwrap(), usage });
    }
    let urgent = Demand { priority: 0, ..demand(20, 1_500, 500) };
    assert_eq!(is_refused(&harness.arrive(urgent)), expected);
}

/// Half an answer is worthless to its caller. Other daemons must leave room for an interrupted one as for an urgent request,
/// whatever its priority was.
#[test]
fn interrupted_answers_are_reported_as_urgent() {
    let mut harness = Harness::new(settings(), &[("w-1", Role::Decode), ("w-2", Role::Decode)]);
    // Earns the credit for a retry.
    for sequence in 100..120 {
        harness.arrive(demand(sequence, 10, 10));
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
    }
    harness.arrive(Demand { priority: 2, ..demand(0, 5_000, 6_000) });
    harness.reserved(0);
    harness.feed(EngineEvent::Started { request_id: request_id(0) });
    harness.progress(0, 1);
    let usage = PoolUsage { engines: vec![full("w-1"), full("w-2")], ..PoolUsage::default() };
    harness.feed(EngineEvent::Peer { host: "entry-1".parse().unwrap(), usage });
    assert_eq!(harness.after(200).decode_failed(0, FailureCause::Broken), Vec::new());
    let report = harness.pool.memory_report(harness.now_us).unwrap();
    let priorities: Vec<u8> = report.waiting.iter().map(|class| class.priority).collect();
    assert_eq!(priorities, [0], "{report:?}");
}
