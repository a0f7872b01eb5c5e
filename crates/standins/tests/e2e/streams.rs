//! Complete answers and release of engine memory under disconnects and engine failures.

use hibiscusvale_standins::engine::EngineState;
use hibiscusvale_standins::engine_memory::ReportedStage;
use hibiscusvale_standins::{EngineHandle, FaultUpdate, text};
use rstest::rstest;

use crate::cluster::{Caller, SMALL_PLAN, SingleDaemon, TestCluster, stop, streamed_text};

const TOKENS: u64 = 60;

fn long_prompt() -> String {
    "The client keeps a large dog and is allergic to bleach. ".repeat(60)
}

fn holds(stage: ReportedStage) -> impl Fn(&EngineState) -> bool {
    move |state| state.held.iter().any(|held| held.stage == stage)
}

/// Waits for the first engine with a request in `stage`.
async fn wait_for_stage(cluster: &TestCluster, stage: ReportedStage) -> EngineHandle {
    let engines = cluster.standins.engines.iter().map(|(_, engine)| engine);
    let waits = engines.map(|engine| {
        Box::pin(async move {
            engine.wait_until(holds(stage)).await;
            engine.clone()
        })
    });
    futures_util::future::select_all(waits).await.0
}

fn update_all_faults(cluster: &TestCluster, update: &FaultUpdate) {
    for (_, engine) in &cluster.standins.engines {
        engine.update_faults(update);
    }
}

/// A caller disconnects while its request is queued, prefilled, transferred or decoded. Unless each engine is notified,
/// it keeps the memory: a pool of 20 slots is exhausted after 20 such callers.
#[rstest]
#[case::prefill(ReportedStage::Prefill)]
#[case::transfer(ReportedStage::Transfer)]
#[case::decode(ReportedStage::Decode)]
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_releases_engines_at_each_stage(#[case] stage: ReportedStage) {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = cluster.daemon("entry-1").await;
    update_all_faults(&cluster, &FaultUpdate { slow_factor: Some(20.0), ..FaultUpdate::default() });
    let caller = Caller::new(daemon.callers_address());
    let pending = tokio::spawn(async move { caller.complete(&long_prompt(), 20_000, false).await.status });
    wait_for_stage(&cluster, stage).await;
    pending.abort();
    assert!(pending.await.is_err(), "the answer completed before the caller disconnected");
    cluster.wait_engines_empty().await;
    stop(daemon).await;
}

/// The decoding engine crashes or stops responding during an answer. Another engine must prefill the prompt and the
/// tokens generated so far; the caller may see a pause, but must receive the same bytes as without the failure.
#[rstest]
#[case::crashes(FaultUpdate { die: true, ..FaultUpdate::default() })]
#[case::mute(FaultUpdate { mute: Some(true), silence: true, ..FaultUpdate::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn answer_continues_on_another_engine_after_failure(#[case] failure: FaultUpdate) {
    let SingleDaemon { cluster, daemon, caller } = SingleDaemon::start().await;
    let pending = tokio::spawn(async move { caller.complete(&long_prompt(), TOKENS, true).await });
    wait_for_stage(&cluster, ReportedStage::Decode).await.update_faults(&failure);
    let answer = pending.await.expect("answer");
    let expected = text::expected_answer(&long_prompt(), usize::try_from(TOKENS).expect("small"));
    assert_eq!(streamed_text(&answer.body), Some(expected));
    daemon.kill();
}

/// A middlebox has dropped the state of a connection to an engine: requests on it get no response, while new connections
/// work. The caller may see a delay of a fraction of a second, but the prompt must not be prefilled again.
#[rstest]
#[case::during_prefill(ReportedStage::Prefill)]
#[case::during_transfer(ReportedStage::Transfer)]
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connection_causes_no_second_prefill(#[case] stage: ReportedStage) {
    let cluster = TestCluster::start(SMALL_PLAN).await;
    let daemon = cluster.daemon("entry-1").await;
    update_all_faults(&cluster, &FaultUpdate { slow_factor: Some(5.0), ..FaultUpdate::default() });
    let caller = Caller::new(daemon.callers_address());
    let pending = tokio::spawn(async move { caller.complete(&long_prompt(), 5, true).await });
    wait_for_stage(&cluster, stage).await;
    update_all_faults(&cluster, &FaultUpdate { silence: true, ..FaultUpdate::default() });
    let answer = pending.await.expect("answer");
    assert_eq!(streamed_text(&answer.body), Some(text::expected_answer(&long_prompt(), 5)));
    let prefills: usize = cluster
        .standins
        .engines
        .iter()
        .map(|(_, engine)| engine.state().work.values().filter(|work| work.prefills > 0).count())
        .sum();
    assert_eq!(prefills, 1, "the prompt was prefilled again");
    cluster.wait_engines_empty().await;
    stop(daemon).await;
}
