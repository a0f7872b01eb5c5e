//! Commands that only read.

use std::collections::HashMap;

use hibiscusvale::metrics::Label;
use hibiscusvale::operators::{RequestRecord, RequestStep};
use hibiscusvale_core::ids::{Incarnation, RequestId};
use hibiscusvale_core::units::{Millis, Tokens};

use crate::cluster::{TestCluster, run};

#[derive(Clone, Copy)]
enum TestOutcome {
    Answered,
    NotRun,
    QueueFull,
}

impl Label for TestOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::QueueFull => "queue-full",
        }
    }
}

#[tokio::test]
async fn status_and_wait_show_the_version_in_force_on_each_host() {
    let cluster = TestCluster::new("status", 2).await;
    cluster.run(&["publish", "--class", "booking", "--response-ms", "300"]).await;
    let waited = cluster.run(&["wait"]).await;
    assert_eq!((waited.code, &waited.json["hosts"]), (0, &2.into()), "{}", waited.text);
    let status = cluster.run(&["status"]).await;
    assert_eq!(status.json["hosts"][1]["next_offset"], 1);
    assert_eq!(status.json["hosts"][0]["state"], status.json["hosts"][1]["state"]);
    assert_eq!(status.json["warnings"], serde_json::json!([]));
    let late = cluster.run(&["wait", "--offset", "5", "--timeout-ms", "100"]).await;
    assert_eq!(late.code, 7, "{}", late.text);
    assert!(late.text.contains("entry-0 (at 1)"), "{}", late.text);
}

/// The load balancer spreads a partner's requests over the hosts, so the totals are the sums over all hosts.
#[tokio::test]
async fn outcomes_are_summed_over_the_hosts() {
    let cluster = TestCluster::new("outcomes", 2).await;
    let (partner, class) = ("nadifa".parse().expect("a partner"), "summary".parse().expect("a class"));
    for daemon in &cluster.daemons {
        let counted = daemon.metrics.class(&partner, &class);
        counted.record_outcome(TestOutcome::Answered);
        counted.record_outcome(TestOutcome::NotRun);
        counted.record_refusal(TestOutcome::QueueFull);
        counted.record_goodput();
        counted.record_prefill(Tokens(100));
    }
    let outcomes = cluster.run(&["outcomes"]).await;
    let class = &outcomes.json["classes"][0];
    assert_eq!((&class["goodput"], &class["prefill_tokens"]), (&2.into(), &200.into()));
    let refusals: HashMap<&str, u64> = class["refusals"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|count| Some((count["label"].as_str()?, count["count"].as_u64()?)))
        .collect();
    assert_eq!(refusals["queue-full"], 2);
    assert!(outcomes.text.contains("50.0%"), "{}", outcomes.text);
}

#[tokio::test]
async fn why_finds_the_host_that_received_the_request() {
    let cluster = TestCluster::new("why", 2).await;
    let request_id = RequestId { incarnation: Incarnation(2), sequence: 31 };
    cluster.daemons[1].recent.insert(RequestRecord {
        request_id,
        partner: Some("nadifa".parse().expect("a partner")),
        class: None,
        outcome: "not-run",
        refusal: Some("queue-full"),
        came_at_unix_ms: 1,
        took_ms: Millis(4),
        steps: vec![RequestStep { after_ms: Millis(1), what: "queued", server: None }],
    });
    let explained = cluster.run(&["why", &request_id.to_string()]).await;
    assert_eq!(explained.code, 0, "{}", explained.text);
    assert!(explained.text.contains("not-run (queue-full)"), "{}", explained.text);
    assert_eq!(explained.json["host"], "entry-1");
    let other = cluster.run(&["why", "1-1"]).await;
    assert_eq!(other.code, 8, "{}", other.text);
}

#[tokio::test]
async fn members_lists_the_view_of_each_host() {
    let cluster = TestCluster::new("members", 2).await;
    let members = cluster.run(&["members"]).await;
    assert_eq!(members.json.as_array().map(Vec::len), Some(2));
    assert!(members.text.starts_with("as seen by entry-0, entry-1"), "{}", members.text);
}

/// No host answers, because the addresses are wrong or all daemons are down.
#[tokio::test]
async fn an_unanswered_query_has_its_own_exit_code() {
    let cluster = TestCluster::new("no-host", 1).await;
    cluster.daemons[0].stop.cancel();
    let output = cluster.run(&["status"]).await;
    assert_eq!(output.code, 3, "{}", output.text);
    assert!(output.text.contains("check the addresses"), "{}", output.text);
}

#[tokio::test]
async fn a_missing_setting_is_named() {
    let status = run(&["status"]).await;
    assert_eq!(status.code, 2, "{}", status.text);
    assert!(status.text.contains("--host"), "{}", status.text);
    let publish = run(&["publish", "--class", "a", "--response-ms", "1"]).await;
    assert_eq!(publish.code, 2, "{}", publish.text);
    assert!(publish.text.contains("--log"), "{}", publish.text);
}
