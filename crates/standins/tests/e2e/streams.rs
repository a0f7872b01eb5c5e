//! Answers that stay whole, and engine memory that is released, whatever breaks on the way.

use hibiscusvale_standins::engine::EngineState;
use hibiscusvale_standins::engine_memory::ReportedStage;
use hibiscusvale_standins::{EngineHandle, Steer, text};
use rstest::rstest;

use crate::world::{Caller, SMALL_PLAN, Served, World, stop, streamed_text};

const TOKENS: u64 = 60;

fn long_prompt() -> String {
    "The client keeps a large dog and is allergic to bleach. ".repeat(60)
}

fn holds(stage: ReportedStage) -> impl Fn(&EngineState) -> bool {
    move |state| state.held.iter().any(|held| held.stage == stage)
}

/// The engine on which a request first reaches `stage`.
async fn reached(world: &World, stage: ReportedStage) -> EngineHandle {
    let engines = world.standins.engines.iter().map(|(_, engine)| engine);
    let waits = engines.map(|engine| {
        Box::pin(async move {
            engine.wait_until(holds(stage)).await;
            engine.clone()
        })
    });
    futures_util::future::select_all(waits).await.0
}

fn steer_all(world: &World, order: &Steer) {
    for (_, engine) in &world.standins.engines {
        engine.steer(order);
    }
}

/// A caller closes the connection while the request waits, is read, moved or answered. Unless each engine is told,
/// it holds memory for nobody: a pool of twenty slots is gone after twenty such callers.
#[rstest]
#[case::prefill(ReportedStage::Prefill)]
#[case::transfer(ReportedStage::Transfer)]
#[case::decode(ReportedStage::Decode)]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_frees_the_engines_at_each_step(#[case] stage: ReportedStage) {
    let world = World::start(SMALL_PLAN).await;
    let daemon = world.daemon("entry-1").await;
    steer_all(&world, &Steer { slow_factor: Some(20.0), ..Steer::default() });
    let caller = Caller::new(daemon.callers_address());
    let asked = tokio::spawn(async move { caller.complete(&long_prompt(), 20_000, false).await.status });
    reached(&world, stage).await;
    asked.abort();
    assert!(asked.await.is_err(), "the caller had its answer before it left");
    world.engines_empty().await;
    stop(daemon).await;
}

/// The engine that writes an answer dies, or goes mute, in the middle. The caller notices a pause; prompt and tokens
/// so far are read elsewhere, and its bytes are the same as without the failure.
#[rstest]
#[case::dies(Steer { die: true, ..Steer::default() })]
#[case::mute(Steer { mute: Some(true), silence: true, ..Steer::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_goes_on_elsewhere_when_its_engine_fails(#[case] failure: Steer) {
    let Served { world, daemon, caller } = Served::start().await;
    let asked = tokio::spawn(async move { caller.complete(&long_prompt(), TOKENS, true).await });
    reached(&world, ReportedStage::Decode).await.steer(&failure);
    let answer = asked.await.expect("answer");
    let expected = text::expected_answer(&long_prompt(), usize::try_from(TOKENS).expect("small"));
    assert_eq!(streamed_text(&answer.body), Some(expected));
    daemon.kill();
}

/// A connection to an engine was forgotten by something in between: what is written into it is never answered,
/// while new connections work. The caller notices a fraction of a second.
#[rstest]
#[case::while_reading(ReportedStage::Prefill)]
#[case::while_moving(ReportedStage::Transfer)]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_costs_no_second_prefill(#[case] stage: ReportedStage) {
    let world = World::start(SMALL_PLAN).await;
    let daemon = world.daemon("entry-1").await;
    steer_all(&world, &Steer { slow_factor: Some(5.0), ..Steer::default() });
    let caller = Caller::new(daemon.callers_address());
    let asked = tokio::spawn(async move { caller.complete(&long_prompt(), 5, true).await });
    reached(&world, stage).await;
    steer_all(&world, &Steer { silence: true, ..Steer::default() });
    let answer = asked.await.expect("answer");
    assert_eq!(streamed_text(&answer.body), Some(text::expected_answer(&long_prompt(), 5)));
    let prefills: usize = world
        .standins
        .engines
        .iter()
        .map(|(_, engine)| engine.state().work.values().filter(|work| work.prefills > 0).count())
        .sum();
    assert_eq!(prefills, 1, "the prompt was read again");
    world.engines_empty().await;
    stop(daemon).await;
}
