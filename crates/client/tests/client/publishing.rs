//! Publishing: the normal case, conflicts, and failures of the log, the keys and the hosts.

use hibiscusvale_standins::control::FaultUpdate;

use crate::cluster::{TestCluster, run};

const CLASSES: &str = r#"
[classes.summary]
kind = "language"
first_token_ms = 8000
per_token_ms = 60

[classes.booking]
kind = "plain"
response_ms = 300
"#;

#[tokio::test]
async fn published_classes_are_in_force_on_every_host() {
    let cluster = TestCluster::new("publish", 2).await;
    let file = cluster.write("classes.toml", CLASSES);
    let published = cluster.run(&["publish", &file]).await;
    assert_eq!(published.code, 0, "{}", published.text);
    assert_eq!(published.json["result"], "accepted");
    assert_eq!(published.json["hosts_in_force"], 2);
    for daemon in &cluster.daemons {
        assert_eq!(daemon.config.state.load().classes_total(), 2);
    }
    let listed = cluster.run(&["list"]).await;
    assert!(listed.text.contains("first token 8000 ms, per token 60 ms"), "{}", listed.text);
    let again = cluster.run(&["publish", &file]).await;
    assert_eq!(again.json["result"], "unchanged");
    assert_eq!(cluster.log.records("config").len(), 1, "a change without effect is not appended");
}

#[tokio::test]
async fn a_listed_class_file_can_be_published_again() {
    let cluster = TestCluster::new("round-trip", 1).await;
    let file = cluster.write("classes.toml", CLASSES);
    cluster.run(&["publish", &file]).await;
    let listed = cluster.run(&["list", "--toml"]).await;
    let copy = cluster.write("copy.toml", &listed.text);
    let again = cluster.run(&["publish", &copy]).await;
    assert_eq!(again.json["result"], "unchanged", "{}", again.text);
}

#[tokio::test]
async fn one_class_is_published_and_deleted_from_the_command_line() {
    let cluster = TestCluster::new("one-class", 1).await;
    let published = cluster
        .run(&["publish", "--class", "reply", "--first-token-ms", "900", "--per-token-ms", "40"])
        .await;
    assert_eq!(published.code, 0, "{}", published.text);
    let deleted = cluster.run(&["delete", "reply"]).await;
    assert_eq!(deleted.code, 0, "{}", deleted.text);
    assert_eq!(cluster.daemons[0].config.state.load().classes_total(), 0);
    let missing = cluster.run(&["delete", "reply"]).await;
    assert_eq!(missing.code, 4, "{}", missing.text);
    assert!(missing.text.contains("class reply does not exist"), "{}", missing.text);
}

/// Two operators of one partner publish at the same time. The log accepts both changes, and without a base version the
/// later would silently revert the earlier. One takes effect; the other is rejected with the author and content of the
/// first.
#[tokio::test]
async fn the_second_of_two_concurrent_changes_is_rejected_as_a_conflict() {
    let cluster = TestCluster::new("race", 1).await;
    // Keeps the first change from the daemon until both are appended.
    cluster.daemon_log.update_faults(&FaultUpdate {
        mute: Some(true),
        silence: true,
        ..FaultUpdate::default()
    });
    let both_appended = async {
        while cluster.log.records("config").len() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        cluster.daemon_log.update_faults(&FaultUpdate { mute: Some(false), ..FaultUpdate::default() });
    };
    let one = ["publish", "--class", "summary", "--first-token-ms", "8000", "--per-token-ms", "60"];
    let other = ["publish", "--class", "summary", "--first-token-ms", "5000", "--per-token-ms", "60"];
    let (salma, driss, ()) =
        tokio::join!(cluster.run_as("salma", &one), cluster.run_as("driss", &other), both_appended);
    let (winner, loser, winner_name) = match (salma.code, driss.code) {
        (0, _) => (&salma, &driss, "salma"),
        _ => (&driss, &salma, "driss"),
    };
    assert_eq!((winner.code, loser.code), (0, 4), "{} / {}", winner.text, loser.text);
    assert!(loser.text.contains(&format!("{winner_name} published first")), "{}", loser.text);
    let history = cluster.run(&["history"]).await;
    assert!(history.text.contains("rejected: made from version none"), "{}", history.text);
}

/// The log appends the change but its answer is lost. The client must neither report a failure nor append it twice.
#[tokio::test]
async fn an_append_with_a_lost_answer_is_found_in_the_log() {
    let cluster = TestCluster::new("lost-answer", 1).await;
    cluster.log.update_faults(&FaultUpdate {
        lose_replies: Some(1),
        lose_path: "/log/config/append".to_owned(),
        ..FaultUpdate::default()
    });
    let published = cluster.run(&["publish", "--class", "booking", "--response-ms", "300"]).await;
    assert_eq!(published.code, 0, "{}", published.text);
    assert_eq!(published.json["offset"], 0);
    assert_eq!(cluster.log.records("config").len(), 1, "the record is found, not appended again");
}

/// While the log is down nothing is published, and the configuration in force is unchanged.
#[tokio::test]
async fn nothing_is_published_while_the_log_is_down() {
    let cluster = TestCluster::new("outage", 1).await;
    cluster.run(&["publish", "--class", "booking", "--response-ms", "300"]).await;
    cluster.log.update_faults(&FaultUpdate { outage: Some(true), ..FaultUpdate::default() });
    let refused = cluster.run(&["publish", "--class", "booking", "--response-ms", "200"]).await;
    assert_eq!(refused.code, 5, "{}", refused.text);
    assert!(refused.text.contains("nothing was published"), "{}", refused.text);
    assert_eq!(cluster.log.records("config").len(), 1);
    let listed = cluster.run(&["list"]).await;
    assert!(listed.text.contains("response 300 ms"), "{}", listed.text);
}

/// The operator's key differs from the partner's in the daemons' settings, as after a key change on one side only.
#[tokio::test]
async fn a_change_signed_with_another_key_is_rejected() {
    let cluster = TestCluster::new("wrong-key", 1).await;
    cluster.write("nadifa.key", &"ab".repeat(32));
    let refused = cluster.run(&["publish", "--class", "booking", "--response-ms", "300"]).await;
    assert_eq!(refused.code, 4, "{}", refused.text);
    assert!(refused.text.contains("signature is not the publisher's"), "{}", refused.text);
    assert!(refused.text.contains("public half of your key"), "{}", refused.text);
    assert_eq!(cluster.daemons[0].config.state.load().classes_total(), 0);
}

/// One host is down while a change is published. The change takes effect, and the error names the host with an exit code
/// of its own, so that scripts can tell the case from a failure.
#[tokio::test]
async fn a_host_that_does_not_answer_is_reported() {
    let cluster = TestCluster::new("lagging-host", 2).await;
    cluster.daemons[1].stop.cancel();
    let published =
        cluster.run(&["publish", "--class", "booking", "--response-ms", "300", "--timeout-ms", "300"]).await;
    assert_eq!(published.code, 7, "{}", published.text);
    assert!(published.text.contains(&cluster.daemons[1].address.to_string()), "{}", published.text);
    assert_eq!(cluster.daemons[0].config.state.load().classes_total(), 1);
    let quick = ["publish", "--class", "booking", "--response-ms", "200", "--no-wait"];
    assert_eq!(cluster.run(&quick).await.code, 0);
}

/// The platform replaces its log by an empty one while the daemons keep their configuration. A new change gets an offset
/// below the version in force and will never take effect; the client must report that instead of waiting forever.
#[tokio::test]
async fn a_change_appended_to_an_emptied_log_is_reported() {
    let cluster = TestCluster::new("emptied", 1).await;
    for target_ms in ["300", "200"] {
        cluster.run(&["publish", "--class", "booking", "--response-ms", target_ms]).await;
    }
    let emptied = TestCluster::new("emptied", 0).await;
    let log = emptied.log.address.to_string();
    let host = cluster.daemons[0].address.to_string();
    let key_file = cluster.path("nadifa.key");
    let output = run(&[
        "--partner",
        "nadifa",
        "--author",
        "salma",
        "--log",
        &log,
        "--host",
        &host,
        "--key-file",
        &key_file,
        "publish",
        "--class",
        "booking",
        "--response-ms",
        "100",
    ])
    .await;
    assert_eq!(output.code, 6, "{}", output.text);
    assert!(output.text.contains("the log was shortened or emptied"), "{}", output.text);
}
