//! Loading of models on demand.

use std::time::Duration;

use crate::cluster::{Caller, SMALL_PLAN, TestCluster, stop};

const WEIGHTS: &str = r#"
    [weights]
    rate_bytes_per_s = 1000000000
    models = [{model = "large", bytes = 1000000}]
"#;

/// A partner requests a model that is stored but not loaded. The lease holder must order an engine to load it, with the
/// fencing token of its lease; otherwise callers would be rejected indefinitely.
#[tokio::test(flavor = "multi_thread")]
async fn lease_holder_loads_requested_model() {
    let cluster = TestCluster::start(&format!("{WEIGHTS}{SMALL_PLAN}")).await;
    let daemon = cluster.daemon("entry-1").await;
    let caller = Caller::new(daemon.callers_address());

    let body = serde_json::json!({"model": "large", "prompt": "a", "max_tokens": 1});
    let asking = tokio::spawn(async move {
        loop {
            let answer = caller.fetch(caller.completion(&body)).await;
            assert_eq!((answer.status.as_u16(), answer.outcome()), (404, "not-run"), "{}", answer.body);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    let loaded = |state: &hibiscusvale_standins::engine::EngineState| state.models.contains("large");
    let waits = cluster.standins.engines.iter().map(|(_, engine)| Box::pin(engine.wait_until(loaded)));
    let ((), index, _) = futures_util::future::select_all(waits).await;
    asking.abort();

    let orders = cluster.standins.engines[index].1.state().orders;
    let leases = cluster.standins.log.records("leases");
    assert_eq!(orders.len(), 1);
    assert!(leases.iter().any(|(offset, _)| *offset == orders[0].fencing), "{orders:?}");
    stop(daemon).await;
}
