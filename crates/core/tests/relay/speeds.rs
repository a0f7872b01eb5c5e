//! Engines of different speeds.

use hibiscusvale_core::relay::engines::{
    EngineAction, EngineEvent, EnginePoolSettings, EngineUsage, Growth, PoolUsage, Role, SpeedSample,
};
use hibiscusvale_core::units::Tokens;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::engines::{full, observe_load};
use crate::simulation::{
    Harness, Outcome, Sharing, Simulation, demand, listed, request_id, server, settings,
};

/// A pool of 32 engines, of which one in four has `fast_percent` of the speed of the others.
fn engines(fast_percent: u64) -> Vec<(String, Role, u64)> {
    let speed = |number: usize| if number.is_multiple_of(4) { fast_percent } else { 100 };
    let prefill = (0..4).map(|number| (format!("r-{number}"), Role::Prefill, speed(number)));
    let decode = (0..28).map(|number| (format!("w-{number}"), Role::Decode, speed(number)));
    prefill.chain(decode).collect()
}

/// Four seconds at the usual load, then four seconds at 1.6 times that.
fn run(daemons: usize, fast_percent: u64, usual_per_s: u64, engine_speeds: bool) -> Simulation {
    let mut simulation = prepare(daemons, fast_percent, usual_per_s, engine_speeds);
    simulation.run();
    simulation
}

fn prepare(daemons: usize, fast_percent: u64, usual_per_s: u64, engine_speeds: bool) -> Simulation {
    let settings = EnginePoolSettings { engine_speeds, ..settings() };
    // The shortest interval that the page allows: 0.25 ms for each recipient.
    let sharing = Sharing { usage: true, interval_ms: daemons.div_ceil(4) as u64, ..Sharing::default() };
    let mut simulation = Simulation::with_speeds(settings, daemons, &engines(fast_percent), sharing);
    let mut rng = StdRng::seed_from_u64(7);
    let (usual, burst) = (4 * usual_per_s, 4 * usual_per_s * 16 / 10);
    for number in 0..usual + burst {
        let in_burst = number.saturating_sub(usual);
        let at_ms = (number - in_burst) * 1_000 / usual_per_s + in_burst * 10_000 / (usual_per_s * 16);
        let (prompt_tokens, answer_tokens) = (rng.random_range(1_500..9_000), rng.random_range(2_500..9_500));
        let demand = demand(number, prompt_tokens, answer_tokens);
        simulation.arrive_at(at_ms, rng.random_range(0..daemons), demand, answer_tokens);
    }
    simulation
}

fn share(simulation: &Simulation, wanted: impl Fn(&Outcome) -> bool) -> f64 {
    simulation.outcomes.values().filter(|outcome| wanted(outcome)).count() as f64
        / simulation.outcomes.len() as f64
}

/// One engine in four is more than twice as fast as the others. If all counted as equal, prompts would wait for
/// slow prefill engines while a fast one is idle, and one answer in twenty would begin too late.
#[rstest]
#[case(9)]
#[case(91)]
#[case(413)]
fn fast_engines_relieve_slow_ones_in_a_burst(#[case] daemons: usize) {
    let (equal, by_speed) = (run(daemons, 220, 42, false), run(daemons, 220, 42, true));
    let in_time = |simulation| share(simulation, |outcome| *outcome == Outcome::InTime);
    let served = |simulation| share(simulation, |outcome| !matches!(outcome, Outcome::Refused { .. }));
    assert!(
        in_time(&by_speed) > in_time(&equal),
        "{} in time, {} without",
        in_time(&by_speed),
        in_time(&equal)
    );
    assert!(served(&by_speed) >= served(&equal), "{} served, {} without", served(&by_speed), served(&equal));
    // Of the answers, 99 in 100 begin within the target.
    let late = served(&by_speed) - in_time(&by_speed);
    assert!(late <= 0.01 * served(&by_speed), "{late} late");
    assert!(by_speed.peak_tokens <= settings().memory_tokens.0, "{} tokens", by_speed.peak_tokens);
}

/// Every second daemon is of the previous version, or its samples are lost. The others have to learn enough from
/// what is left.
#[test]
fn half_of_the_samples_are_enough() {
    let equal = run(91, 220, 42, false);
    let mut by_speed = prepare(91, 220, 42, true);
    by_speed.sharing.loses_speeds = true;
    by_speed.run();
    let in_time = |simulation| share(simulation, |outcome| *outcome == Outcome::InTime);
    assert!(
        in_time(&by_speed) > in_time(&equal),
        "{} in time, {} without",
        in_time(&by_speed),
        in_time(&equal)
    );
}

/// Where engines hardly differ, every decision is the one that is made without speeds.
#[rstest]
#[case(9)]
#[case(91)]
#[case(413)]
fn equal_speeds_change_no_decision(#[case] daemons: usize) {
    let (off, on) = (run(daemons, 100, 30, false), run(daemons, 100, 30, true));
    assert!(off.log.len() > 2 * off.outcomes.len(), "most requests are placed");
    assert!(off.log == on.log, "the decisions differ");
}

const ENGINES: [(&str, Role); 10] = [
    ("r-1", Role::Prefill),
    ("r-2", Role::Prefill),
    ("w-1", Role::Decode),
    ("w-2", Role::Decode),
    ("w-3", Role::Decode),
    ("w-4", Role::Decode),
    ("w-5", Role::Decode),
    ("w-6", Role::Decode),
    ("w-7", Role::Decode),
    ("w-8", Role::Decode),
];

/// A pool that learns speeds, after some requests that took the same time everywhere.
fn harness(engine_speeds: bool) -> Harness {
    let mut harness = Harness::new(EnginePoolSettings { engine_speeds, ..settings() }, &ENGINES);
    observe_load(&mut harness);
    harness
}

/// `requests` of 5,000 prompt tokens and 6,000 answer tokens at `percent` of the usual speed.
fn sample(name: &str, requests: f32, percent: f32) -> SpeedSample {
    let is_prefill = name.starts_with('r');
    let took_ms = |tokens: f32, per_ms: f32| (tokens, tokens / (per_ms * percent / 100.0));
    let (prefill_tokens, prefill_ms) = took_ms(if is_prefill { 5_000.0 * requests } else { 0.0 }, 52.6);
    let (decode_tokens, decode_ms) = took_ms(if is_prefill { 0.0 } else { 6_000.0 * requests }, 1.72);
    SpeedSample { server: server(name), prefill_tokens, prefill_ms, decode_tokens, decode_ms }
}

/// Engines that get the next requests, each of which ends at once: for the prefill and for the answer.
fn chosen(harness: &mut Harness) -> Vec<(String, String)> {
    harness.after(300);
    let next = |sequence: u64| {
        let arrived = harness.arrive(demand(sequence, 5_000, 6_000));
        let [EngineAction::Reserve { decode_engine, .. }] = &*arrived else { panic!("{arrived:?}") };
        let reserved = harness.reserved(sequence);
        let [EngineAction::Prefill { prefill_engine, .. }] = &*reserved else { panic!("{reserved:?}") };
        harness.feed(EngineEvent::CallerLeft { request_id: request_id(sequence) });
        (prefill_engine.to_string(), decode_engine.to_string())
    };
    (1_000..1_012).map(next).collect()
}

/// What a pool chooses that does not use speeds.
fn chosen_without_speeds() -> Vec<(String, String)> {
    chosen(&mut harness(false))
}

/// Enough samples to know that `r-2` and `w-2` are faster than the others.
fn fast_second_engines() -> Vec<SpeedSample> {
    let percent = |name| if ["r-2", "w-2"].contains(&name) { 220.0 } else { 100.0 };
    ENGINES.iter().map(|(name, _)| sample(name, 20.0, percent(*name))).collect()
}

#[test]
fn fast_engines_are_chosen_first() {
    let mut harness = harness(true);
    harness.feed(EngineEvent::PeerSpeeds(fast_second_engines()));
    let chosen = chosen(&mut harness);
    let fast = ("r-2".to_owned(), "w-2".to_owned());
    assert!(chosen.iter().all(|engines| *engines == fast), "{chosen:?}");
}

/// An engine that got one request only, or that was slow for 600 ms, is not known to differ: its next request may
/// find it as fast as the others. Nor do engines differ that all slow down together.
#[rstest]
#[case::one_fast_request(vec![sample("r-2", 1.0, 220.0), sample("w-2", 1.0, 220.0)])]
#[case::empty_engine(vec![sample("r-2", 2.0, 220.0)])]
#[case::slow_for_600_ms(vec![sample("r-1", 20.0, 100.0), sample("r-1", 2.5, 40.0), sample("r-2", 20.0, 100.0)])]
#[case::all_slow_down(ENGINES.iter().map(|(name, _)| sample(name, 30.0, 40.0)).collect())]
#[case::hardly_different(vec![sample("r-1", 30.0, 100.0), sample("r-2", 30.0, 115.0)])]
#[case::unknown_engine(vec![sample("r-9", 20.0, 220.0)])]
fn samples_that_prove_nothing_change_nothing(#[case] samples: Vec<SpeedSample>) {
    let mut harness = harness(true);
    harness.feed(EngineEvent::PeerSpeeds(samples));
    assert_eq!(chosen(&mut harness), chosen_without_speeds());
}

/// A faulty daemon reports what no engine can have done. Added up, it would outweigh what all others saw.
#[rstest]
#[case::zero_time(SpeedSample { prefill_ms: 0.0, ..sample("r-1", 90.0, 100.0) })]
#[case::negative_time(SpeedSample { decode_ms: -50_000.0, ..sample("w-1", 20.0, 100.0) })]
#[case::not_a_number(SpeedSample { prefill_tokens: f32::NAN, ..sample("r-1", 20.0, 100.0) })]
#[case::infinite(SpeedSample { decode_ms: f32::INFINITY, ..sample("w-2", 20.0, 220.0) })]
#[case::too_fast(SpeedSample { prefill_tokens: 1e9, ..sample("r-1", 20.0, 100.0) })]
#[case::too_long(SpeedSample { prefill_ms: 1e9, ..sample("r-2", 20.0, 220.0) })]
fn implausible_samples_are_dropped(#[case] implausible: SpeedSample) {
    let chosen_after = |implausible: Vec<SpeedSample>| {
        let mut harness = harness(true);
        harness.feed(EngineEvent::PeerSpeeds(fast_second_engines()));
        harness.feed(EngineEvent::PeerSpeeds(implausible));
        chosen(&mut harness)
    };
    assert_eq!(chosen_after(vec![implausible]), chosen_after(Vec::new()));
}

/// A machine that was replaced under the same name has another speed.
#[test]
fn an_engine_that_left_the_list_is_unknown() {
    let mut harness = harness(true);
    harness.feed(EngineEvent::PeerSpeeds(vec![sample("r-1", 20.0, 100.0), sample("r-2", 20.0, 300.0)]));
    assert_ne!(chosen(&mut harness), chosen_without_speeds());
    let list = |left: &str| {
        ENGINES.iter().filter(|(name, _)| *name != left).map(|(name, role)| listed(name, *role)).collect()
    };
    harness.feed(EngineEvent::Engines(list("r-2")));
    harness.feed(EngineEvent::Engines(list("none")));
    let prefill_engines: Vec<String> = chosen(&mut harness).into_iter().map(|(engine, _)| engine).collect();
    assert!(prefill_engines.contains(&"r-1".to_owned()), "{prefill_engines:?}");
}

/// Each observation is reported once, and no more than 32 engines in a message.
#[test]
fn observations_are_reported_once_and_in_parts() {
    let names: Vec<String> = (0..80).map(|number| format!("w-{number}")).collect();
    let engines: Vec<(&str, Role)> = names.iter().map(|name| (name.as_str(), Role::Decode)).collect();
    let mut harness = Harness::new(EnginePoolSettings { engine_speeds: true, ..settings() }, &engines);
    for sequence in 0..160 {
        harness.arrive(demand(sequence, 5_000, 6_000));
        harness.reserved(sequence);
        harness.feed(EngineEvent::Started { request_id: request_id(sequence) });
        harness.progress(sequence, 1);
    }
    harness.after(50);
    (0..160).for_each(|sequence| harness.progress(sequence, 2));
    let parts: Vec<Vec<SpeedSample>> = (0..4).map(|_| harness.pool.take_speed_samples()).collect();
    let counts: Vec<usize> = parts.iter().map(Vec::len).collect();
    assert_eq!(counts, [32, 32, 16, 0]);
    let tokens: f32 = parts.iter().flatten().map(|sample| sample.decode_tokens).sum();
    assert!((tokens - 160.0 * 86.0).abs() < 1.0, "{tokens} tokens");
}

/// An answer on an engine of a third of the speed holds its memory three times as long. Counted as equal, it would
/// seem to end when it has hardly begun, and the engine would be filled beyond its memory.
#[test]
fn memory_grows_at_the_speed_of_the_engine() {
    let grown = |own: &str| {
        let mut harness = harness(true);
        let percent = |name| if name == "w-3" { 33.0 } else { 100.0 };
        let samples = ENGINES[2..].iter().map(|(name, _)| sample(name, 40.0, percent(*name))).collect();
        harness.feed(EngineEvent::PeerSpeeds(samples));
        let others = ENGINES[2..].iter().filter(|(name, _)| *name != own);
        let engines = others.map(|(name, _)| full(name)).collect();
        let usage = PoolUsage { engines, ..PoolUsage::default() };
        harness.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), usage });
        harness.after(300).arrive(demand(500, 5_000, 6_000));
        harness.reserved(500);
        harness.prefilled(500);
        harness.feed(EngineEvent::Started { request_id: request_id(500) });
        harness.after(1_000);
        let usage = harness.pool.usage(harness.now_us);
        assert_eq!(usage.engines[0].server, server(own));
        usage.engines[0].growths[0].now.0 - 5_000
    };
    let (usual, slow) = (grown("w-1"), grown("w-3"));
    assert!(slow * 2 < usual, "{slow} tokens in a second, {usual} at the usual speed");
}

/// Prefill engines are missing. The slowest decode engine changes its role, since least is lost by it.
#[test]
fn the_slowest_engine_leaves_its_role() {
    let names: Vec<String> = (0..9).map(|number| format!("w-{number}")).collect();
    let decode: Vec<(&str, Role)> = names.iter().map(|name| (name.as_str(), Role::Decode)).collect();
    let mut harness = Harness::new(EnginePoolSettings { engine_speeds: true, ..settings() }, &decode);
    observe_load(&mut harness);
    let speed = |name: &String| sample(name, 20.0, if name == "w-6" { 100.0 } else { 220.0 });
    harness.feed(EngineEvent::PeerSpeeds(names.iter().map(speed).collect()));
    harness.pool.next_role_change(harness.now_us);
    harness.after(2_500);
    let change = harness.pool.next_role_change(harness.now_us).unwrap();
    assert_eq!((change.server, change.role), (server("w-6"), Role::Prefill));
}

/// An engine that was slow a minute ago, on a host that was busy then, must not be avoided for good.
#[test]
fn old_observations_fade() {
    let chosen_after_a_minute = |engine_speeds: bool| {
        let mut harness = harness(engine_speeds);
        harness.feed(EngineEvent::PeerSpeeds(fast_second_engines()));
        harness.after(60_000);
        let equal = ENGINES.iter().map(|(name, _)| sample(name, 20.0, 100.0));
        harness.feed(EngineEvent::PeerSpeeds(equal.collect()));
        chosen(&mut harness)
    };
    assert_eq!(chosen_after_a_minute(true), chosen_after_a_minute(false));
}

/// A prompt that waited behind that of another daemon seems to have been prefilled slowly. With messages that take as long
/// as a prefill, equal engines would seem to differ.
#[rstest]
#[case::alone(false)]
#[case::behind_another(true)]
fn only_prefills_alone_at_their_engine_are_observed(#[case] is_behind: bool) {
    let engines = [("r-1", Role::Prefill), ("w-1", Role::Decode)];
    let mut harness = Harness::new(EnginePoolSettings { engine_speeds: true, ..settings() }, &engines);
    harness.after(1_000).arrive(demand(0, 5_000, 6_000));
    harness.reserved(0);
    harness.after(50);
    if is_behind {
        let prefilling =
            EngineUsage { growths: Vec::new(), prefill_tokens: Tokens(5_000), running: 1, ..full("r-1") };
        let usage = PoolUsage { engines: vec![prefilling], ..PoolUsage::default() };
        harness.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), usage });
    }
    harness.after(50).prefilled(0);
    let samples = harness.pool.take_speed_samples();
    let tokens: f32 = samples.iter().map(|sample| sample.prefill_tokens).sum();
    assert_eq!(tokens, if is_behind { 0.0 } else { 5_000.0 });
}

/// Daemons that do not know yet of each other's choice would overfill the fastest engine. So it is preferred only while it
/// is at most half full.
#[rstest]
#[case::a_quarter_full(2, true)]
#[case::more_than_half_full(4, false)]
fn a_fast_engine_is_preferred_until_it_is_half_full(#[case] requests: usize, #[case] is_preferred: bool) {
    let mut harness = harness(true);
    harness.feed(EngineEvent::PeerSpeeds(fast_second_engines()));
    let growth = Growth { is_growing: false, ..full("w-1").growths[0] };
    let filled =
        |name: &str| EngineUsage { growths: vec![growth; requests], running: requests as u32, ..full(name) };
    let engines = ENGINES[2..].iter().map(|(name, _)| filled(name)).collect();
    let usage = PoolUsage { engines, ..PoolUsage::default() };
    harness.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), usage });
    let chosen: Vec<String> = chosen(&mut harness).into_iter().map(|(_, engine)| engine).collect();
    assert_eq!(chosen.iter().all(|engine| engine == "w-2"), is_preferred, "{chosen:?}");
}

/// Engines that prefill prompts beside their answers pause them. A fast engine must not get all answers where their pauses
/// would be too long.
#[test]
fn a_fast_engine_whose_pauses_are_too_long_is_not_preferred() {
    let mut harness = harness(true);
    harness.feed(EngineEvent::PeerSpeeds(fast_second_engines()));
    let prefilling =
        |name| EngineUsage { growths: Vec::new(), prefill_tokens: Tokens(40_000), running: 1, ..full(name) };
    let engines = ENGINES[2..].iter().map(|(name, _)| prefilling(name)).collect();
    let usage = PoolUsage { engines, ..PoolUsage::default() };
    harness.feed(EngineEvent::Peer { host: "entry-2".parse().unwrap(), usage });
    let chosen: Vec<String> = chosen(&mut harness).into_iter().map(|(_, engine)| engine).collect();
    assert!(chosen.iter().any(|engine| engine != "w-2"), "{chosen:?}");
}
