//! Spill-over between data centres, simulated in virtual time with 413 daemons in four of them.

use std::collections::HashMap;

use hibiscusvale_core::ids::RequestId;
use hibiscusvale_core::relay::engines::{
    DataCentreLoad, DataCentreReport, Demand, EngineAction, EngineEvent, EnginePool, EnginePoolSettings,
    EngineUsage, Growth, ListedEngine, OpenEngines, PoolUsage, Role,
};
use hibiscusvale_core::units::{Millis, MonoTime, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::simulation::{
    Outcome, Sharing, Simulation, data_centre, demand, engine_place, listed, server, settings,
};

const DAEMONS: usize = 413;
const DATA_CENTRES: usize = 4;
const DECODE_ENGINES: usize = 32;

/// Memory of a decode engine. Beyond it, an engine evicts a running request.
const MEMORY_TOKENS: u64 = 81_432;

/// Least interval between two messages of a daemon: 0.25 ms for each of some 108 recipients.
const INTERVAL_MS: u64 = 27;

/// Requests per second that the memory of the decode engines of one data centre holds: those of mean size, 5,250 and 6,000
/// tokens with the pool's margin, take it for 3.5 s.
const CAPACITY_PER_S: f64 =
    (DECODE_ENGINES / DATA_CENTRES) as f64 * MEMORY_TOKENS as f64 / ((5_250.0 + 1.25 * 6_000.0) * 3.5);

/// Load of each data centre in a time, as a fraction of its capacity.
#[derive(Clone, Copy)]
struct Phase {
    from_ms: u64,
    to_ms: u64,
    loads: [f64; DATA_CENTRES],
}

struct Run {
    simulation: Simulation,
    /// Time and data centre of each request.
    sent: HashMap<RequestId, (u64, usize)>,
}

fn run(seed: u64, phases: &[Phase], prepare: impl Fn(&mut Simulation)) -> Run {
    let prefill = (0..DECODE_ENGINES / 2).map(|number| (format!("r-{number}"), Role::Prefill));
    let decode = (0..DECODE_ENGINES).map(|number| (format!("w-{number}"), Role::Decode));
    let engines: Vec<(String, Role)> = prefill.chain(decode).collect();
    let engines: Vec<(&str, Role)> = engines.iter().map(|(name, role)| (name.as_str(), *role)).collect();
    let sharing = Sharing { usage: true, interval_ms: INTERVAL_MS, ..Sharing::default() };
    let mut simulation = Simulation::with_sharing(DAEMONS, &engines, sharing);
    let to_ms = phases.iter().map(|phase| phase.to_ms).max().unwrap();
    simulation.split_into_data_centres(settings(), DATA_CENTRES, to_ms + 1_000);
    prepare(&mut simulation);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = HashMap::new();
    for phase in phases {
        for (data_centre, load) in phase.loads.into_iter().enumerate() {
            let per_s = CAPACITY_PER_S * load;
            let mut at_ms = phase.from_ms as f64 + rng.random_range(0.0..1.0) * 1_000.0 / per_s;
            while at_ms < phase.to_ms as f64 {
                let (prompt, answer) = (rng.random_range(1_500..9_000), rng.random_range(2_500..9_500));
                let demand = demand(sent.len() as u64, prompt, answer);
                sent.insert(demand.request_id, (at_ms as u64, data_centre));
                let count = DAEMONS / DATA_CENTRES;
                let daemon = rng.random_range(0..count) * DATA_CENTRES + data_centre;
                simulation.arrive_at(at_ms as u64, daemon, demand, answer);
                at_ms += rng.random_range(0.0..2.0) * 1_000.0 / per_s;
            }
        }
    }
    simulation.run();
    assert_eq!(simulation.outcomes.len(), sent.len());
    Run { simulation, sent }
}

impl Run {
    /// Part of the requests of each data centre that were answered in time, of those sent from `from_ms` to `to_ms`.
    fn in_time(&self, from_ms: u64, to_ms: u64) -> [f64; DATA_CENTRES] {
        std::array::from_fn(|data_centre| {
            let is_wanted =
                |(at_ms, place): (u64, usize)| place == data_centre && (from_ms..to_ms).contains(&at_ms);
            let selected = self.sent.iter().filter(|(_, sent)| is_wanted(**sent));
            let outcomes: Vec<Outcome> = selected.map(|(id, _)| self.simulation.outcomes[id]).collect();
            let in_time = outcomes.iter().filter(|outcome| **outcome == Outcome::InTime).count();
            in_time as f64 / outcomes.len().max(1) as f64
        })
    }

    /// Times and data centres of the requests that were sent to an engine of another data centre to be decoded.
    fn spilled(&self) -> Vec<(u64, usize, usize)> {
        let spilled = self.simulation.log.iter().filter_map(|(at_ms, daemon, action)| match action {
            EngineAction::Decode { decode_engine, .. } => {
                let (from, to) = (daemon % DATA_CENTRES, engine_place(decode_engine, DATA_CENTRES));
                (from != to).then_some((*at_ms, from, to))
            }
            _ => None,
        });
        spilled.collect()
    }
}

fn mean(values: [f64; DATA_CENTRES]) -> f64 {
    values.iter().sum::<f64>() / DATA_CENTRES as f64
}

/// Loads with 0.6 of the callers of the first data centre moved to the second, at `load` of the capacity of all.
fn moved(load: f64) -> [f64; DATA_CENTRES] {
    [0.4 * load, 1.6 * load, load, load]
}

/// Callers move from the first data centre to the second from 3 s to 10 s.
fn callers_move() -> [Phase; 2] {
    [
        Phase { from_ms: 0, to_ms: 3_000, loads: [0.8; DATA_CENTRES] },
        Phase { from_ms: 3_000, to_ms: 10_000, loads: moved(0.8) },
    ]
}

/// The engines of one data centre are a quarter short of memory, while those of another are a third full. If its daemons
/// used only these, 0.2 of its requests would be refused; if they went to others without knowledge of their room, or all
/// at once, engines there would be filled beyond their memory.
#[rstest]
fn callers_that_move_to_one_data_centre_are_served(#[values(1, 2, 3)] seed: u64) {
    let run = run(seed, &callers_move(), |_| {});
    let in_time = run.in_time(4_000, 10_000);
    let worst = in_time.into_iter().fold(1.0, f64::min);
    assert!(worst >= mean(in_time) - 0.05, "{in_time:?} in time");
    assert!(mean(in_time) >= 0.95, "{in_time:?} in time");
    let peak_tokens = run.simulation.peak_tokens;
    assert!(peak_tokens <= MEMORY_TOKENS, "{peak_tokens} tokens on one engine");
}

/// Near the limit of all engines, most of what a data centre with room can take is taken by others. Daemons that do not
/// tell each other of it fill engines there to 89,000 tokens and more of 81,432, which then evict running requests.
#[rstest]
fn engines_are_not_overfilled_near_the_limit_of_all(#[values(1, 2)] seed: u64) {
    let phases = [
        Phase { from_ms: 0, to_ms: 3_000, loads: [0.95; DATA_CENTRES] },
        Phase { from_ms: 3_000, to_ms: 8_000, loads: moved(0.95) },
    ];
    let run = run(seed, &phases, |_| {});
    let peak_tokens = run.simulation.peak_tokens;
    assert!(peak_tokens <= MEMORY_TOKENS, "{peak_tokens} tokens on one engine");
}

/// Requests that go on spilling over when there is room for them where they arrive would take the room of other
/// callers, and pay for bytes between data centres.
#[rstest]
fn nothing_spills_over_when_callers_have_returned(#[values(1, 2, 3)] seed: u64) {
    let returned = Phase { from_ms: 10_000, to_ms: 15_000, loads: [0.6; DATA_CENTRES] };
    let [before, moved] = callers_move();
    let run = run(seed, &[before, moved, returned], |_| {});
    let spilled = run.spilled();
    let count = |from_ms: u64, to_ms: u64| {
        spilled.iter().filter(|(at_ms, ..)| (from_ms..to_ms).contains(at_ms)).count()
    };
    assert!(count(4_000, 10_000) > 0, "nothing spilled over while callers were moved");
    assert_eq!(count(12_000, 20_000), 0, "{spilled:?}");
}

/// The data centre with too many callers is cut off. Its daemons must go on with its own engines: if they kept waiting
/// for answers from the others, its callers would be late there as well. What its engines hold is `CAPACITY_PER_S`, of
/// which a tenth may be lost, and the other data centres have room for their own callers.
#[rstest]
fn a_data_centre_that_is_cut_off_serves_with_its_own_engines(#[values(1, 2, 3)] seed: u64) {
    let run = run(seed, &callers_move(), |simulation| {
        simulation.data_centres.as_mut().unwrap().cut_ms = Some((1, 6_000, 20_000));
    });
    assert!(run.spilled().iter().any(|(at_ms, from, _)| *at_ms < 6_000 && *from == 1), "none before the cut");
    let in_time = run.in_time(6_000, 10_000);
    assert!(in_time[1] >= 0.9 / (1.6 * 0.8), "{in_time:?} in time");
    for other in [0, 2, 3] {
        assert!(in_time[other] >= 0.95, "{in_time:?} in time");
    }
    let peak_tokens = run.simulation.peak_tokens;
    assert!(peak_tokens <= MEMORY_TOKENS, "{peak_tokens} tokens on one engine");
}

/// The KV cache of a prompt is larger than all else of a request, and bytes between data centres are priced.
#[test]
fn prompts_of_requests_that_spill_over_are_prefilled_where_they_are_decoded() {
    let run = run(1, &callers_move(), |_| {});
    let decodes = run.simulation.log.iter().filter_map(|(_, daemon, action)| match action {
        EngineAction::Decode { decode_engine, prefill_engine: Some(prefill_engine), .. } => {
            let place = |server| engine_place(server, DATA_CENTRES);
            Some((daemon % DATA_CENTRES, place(decode_engine), place(prefill_engine)))
        }
        _ => None,
    });
    let decodes: Vec<_> = decodes.collect();
    assert!(decodes.iter().any(|(own, decode, _)| own != decode), "nothing spilled over");
    let apart = decodes.iter().filter(|(_, decode, prefill)| decode != prefill).count();
    assert_eq!(apart, 0, "of {}", decodes.len());
}

/// A daemon of a large fleet whose data centre has one decode engine, which is full. Another one has eight.
fn daemon_in_full_data_centre(prefer_local: bool) -> EnginePool {
    let place = |name: &str, place: usize, role| ListedEngine {
        data_centre: data_centre(place),
        is_local: place == 0,
        ..listed(name, role)
    };
    let mut list = vec![place("r-0", 0, Role::Prefill), place("w-0", 0, Role::Decode)];
    list.extend((1..9).map(|number| place(&format!("w-{number}"), 1, Role::Decode)));
    let settings = EnginePoolSettings { prefer_local, ..settings() };
    let mut pool = EnginePool::new(settings, &"entry-0".parse().unwrap(), 0);
    pool.set_data_centre(data_centre(0));
    handle(&mut pool, 0, EngineEvent::Engines(list));
    let held = Tokens(80_000);
    let growth = Growth { now: held, end: held, answer: Tokens(1_000), is_growing: false };
    let engine = EngineUsage {
        server: server("w-0"),
        growths: vec![growth],
        prefill_tokens: Tokens::ZERO,
        running: 1,
    };
    // 39 other daemons have as much waiting as this one will have.
    let usage = PoolUsage { waiting: Tokens(39 * 10_000), engines: vec![engine], ..PoolUsage::default() };
    handle(&mut pool, 0, EngineEvent::Peer { host: "entry-1".parse().unwrap(), usage });
    pool
}

fn handle(pool: &mut EnginePool, at_ms: u64, event: EngineEvent) -> Vec<EngineAction> {
    let mut actions = Vec::new();
    pool.handle(MonoTime::default() + Millis(at_ms), event, &mut actions);
    actions.retain(|action| !matches!(action, EngineAction::Wake { .. }));
    actions
}

/// What a daemon of the other data centre states of it: all of its eight decode engines have room.
fn load(room: u64) -> EngineEvent {
    let load = DataCentreLoad {
        data_centre: data_centre(1),
        room: Tokens(room),
        waiting: Tokens::ZERO,
        open: OpenEngines { for_one: 0xff, for_two: 0xff },
        age_ms: Millis(10),
    };
    EngineEvent::PeerDataCentre {
        host: "entry-9".parse().unwrap(),
        data_centre: data_centre(1),
        report: DataCentreReport { loads: vec![load], guests: Vec::new() },
    }
}

/// Whether a request that arrives at `at_ms` goes to the other data centre.
fn spills(pool: &mut EnginePool, at_ms: u64, sequence: u64) -> bool {
    let patient = Demand {
        target_ms: Millis(60_000),
        max_wait_ms: Millis(60_000),
        answer_tokens_max: Tokens(6_400),
        ..demand(sequence, 2_000, 6_400)
    };
    let actions = handle(pool, at_ms, EngineEvent::Arrived(patient));
    // The plan is renewed after 20 ms.
    let later = handle(pool, at_ms + 30, EngineEvent::Tick);
    let is_far = |action: &EngineAction| match action {
        EngineAction::Reserve { decode_engine, .. } => *decode_engine != server("w-0"),
        _ => false,
    };
    actions.iter().chain(&later).any(is_far)
}

/// Forty daemons have 10,000 tokens waiting each, and the other data centre has 200,000 free, of which it can spare half. If
/// all of them sent what they have, it would get four times as much; if none did, callers would be refused beside idle
/// engines.
#[test]
fn all_daemons_together_send_what_the_other_data_centre_can_spare() {
    let spilled = (0..400).filter(|sequence| {
        let mut pool = daemon_in_full_data_centre(true);
        handle(&mut pool, 5, load(200_000));
        spills(&mut pool, 10, *sequence)
    });
    // A quarter, with three standard deviations of 400 draws.
    let spilled = spilled.count();
    assert!((74..=126).contains(&spilled), "{spilled} of 400");
}

/// A data centre that states more room than its engines have would draw the requests of all others.
#[test]
fn implausible_loads_are_ignored() {
    let usable = |room| {
        let mut pool = daemon_in_full_data_centre(true);
        handle(&mut pool, 5, load(room));
        handle(&mut pool, 25, EngineEvent::Tick);
        // Its engines are the fallback as long as its load is not known, and every request goes there.
        (0..20).filter(|sequence| spills(&mut pool, 30 + 40 * sequence, *sequence)).count() < 20
    };
    assert!(usable(8 * MEMORY_TOKENS), "plausible");
    assert!(!usable(8 * MEMORY_TOKENS + 1), "implausible");
}

/// Links or their daemons may die. Without a load that still counts, engines of the other data centre are the fallback as
/// in fleets of daemons that state none; with a load that says that it is full, nothing goes there.
#[test]
fn a_load_counts_for_three_seconds() {
    let mut pool = daemon_in_full_data_centre(true);
    handle(&mut pool, 5, load(0));
    assert!((0..10).all(|sequence| !spills(&mut pool, 10 + 40 * sequence, sequence)));
    assert!(spills(&mut pool, 3_100, 20));
}

/// Up to 256 daemons all of them know what all engines hold. Loads of data centres must change nothing there.
#[test]
fn nothing_changes_where_messages_reach_all_daemons() {
    let actions = |with_load: bool| {
        let mut pool = daemon_in_full_data_centre(false);
        if with_load {
            handle(&mut pool, 5, load(0));
        }
        let report = pool.data_centre_report(MonoTime::default() + Millis(6));
        assert_eq!(report, None);
        let arrivals = (0..20).flat_map(|sequence| {
            handle(&mut pool, 10 + sequence, EngineEvent::Arrived(demand(sequence, 2_000, 4_000)))
        });
        arrivals.collect::<Vec<_>>()
    };
    assert_eq!(actions(true), actions(false));
    assert!(!actions(true).is_empty());
}

/// The daemons of a data centre learn from one of them what daemons of others use there. If they did not, they would fill
/// engines that are taken; if they did not forget it, room would be lost.
#[test]
fn usage_by_daemons_of_other_data_centres_is_passed_on() {
    let far = "entry-9".parse().unwrap();
    let mut link = daemon_in_full_data_centre(true);
    handle(&mut link, 5, load(0));
    let growth = Growth { now: Tokens(500), end: Tokens(900), answer: Tokens(400), is_growing: false };
    let engine = EngineUsage {
        server: server("w-0"),
        growths: vec![growth],
        prefill_tokens: Tokens::ZERO,
        running: 1,
    };
    let usage = PoolUsage { engines: vec![engine.clone()], ..PoolUsage::default() };
    handle(&mut link, 6, EngineEvent::Peer { host: far, usage });
    assert!(link.take_guest_report_due());
    let report = link.data_centre_report(MonoTime::default() + Millis(7)).unwrap();
    let [guest] = &*report.guests else { panic!("{report:?}") };
    assert_eq!((guest.host.as_str(), &*guest.engines), ("entry-9", &[engine][..]));
    // The load of the other data centre is passed on once.
    assert_eq!(report.loads.len(), 2);
    assert_eq!(link.data_centre_report(MonoTime::default() + Millis(8)).unwrap().loads.len(), 1);

    let list = vec![listed("w-0", Role::Decode)];
    let settings = EnginePoolSettings { prefer_local: true, ..settings() };
    let mut member = EnginePool::new(settings, &"entry-2".parse().unwrap(), 0);
    member.set_data_centre(data_centre(0));
    handle(&mut member, 0, EngineEvent::Engines(list));
    let free = |pool: &mut EnginePool, at_ms| {
        pool.data_centre_report(MonoTime::default() + Millis(at_ms)).unwrap().loads[0].room
    };
    let large = Growth { now: Tokens(70_000), end: Tokens(70_000), answer: Tokens(400), is_growing: false };
    let mut report = report;
    report.guests[0].engines[0].growths = vec![large];
    let tell = |report: &DataCentreReport| EngineEvent::PeerDataCentre {
        host: "entry-0".parse().unwrap(),
        data_centre: data_centre(0),
        report: report.clone(),
    };
    let before = free(&mut member, 30);
    handle(&mut member, 31, tell(&report));
    let taken = free(&mut member, 60);
    assert!(taken + Tokens(70_000) <= before, "{before} before, {taken} with the guest");
    report.guests.clear();
    handle(&mut member, 61, tell(&report));
    assert_eq!(free(&mut member, 90), before);
}
