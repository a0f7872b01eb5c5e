//! Publishing when things go well, and when they do not.

use hibiscusvale_standins::control::Steer;

use crate::world::{World, run};

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
    let world = World::new("publish", 2).await;
    let file = world.write("classes.toml", CLASSES);
    let published = world.run(&["publish", &file]).await;
    assert_eq!(published.code, 0, "{}", published.text);
    assert_eq!(published.json["result"], "accepted");
    assert_eq!(published.json["hosts_in_force"], 2);
    for daemon in &world.daemons {
        assert_eq!(daemon.config.state.load().classes_total(), 2);
    }
    let listed = world.run(&["list"]).await;
    assert!(listed.text.contains("first token 8000 ms, per token 60 ms"), "{}", listed.text);
    let again = world.run(&["publish", &file]).await;
    assert_eq!(again.json["result"], "unchanged");
    assert_eq!(world.log.records("config").len(), 1, "what changes nothing is not appended");
}

#[tokio::test]
async fn a_listed_class_file_can_be_published_again() {
    let world = World::new("round-trip", 1).await;
    let file = world.write("classes.toml", CLASSES);
    world.run(&["publish", &file]).await;
    let listed = world.run(&["list", "--toml"]).await;
    let copy = world.write("copy.toml", &listed.text);
    let again = world.run(&["publish", &copy]).await;
    assert_eq!(again.json["result"], "unchanged", "{}", again.text);
}

#[tokio::test]
async fn one_class_is_published_and_deleted_from_the_command_line() {
    let world = World::new("one-class", 1).await;
    let published =
        world.run(&["publish", "--class", "reply", "--first-token-ms", "900", "--per-token-ms", "40"]).await;
    assert_eq!(published.code, 0, "{}", published.text);
    let deleted = world.run(&["delete", "reply"]).await;
    assert_eq!(deleted.code, 0, "{}", deleted.text);
    assert_eq!(world.daemons[0].config.state.load().classes_total(), 0);
    let missing = world.run(&["delete", "reply"]).await;
    assert_eq!(missing.code, 4, "{}", missing.text);
    assert!(missing.text.contains("class reply does not exist"), "{}", missing.text);
}

/// Two operators of one partner publish at the same moment. Both would see their own change accepted by the log;
/// without a version the later would silently undo the earlier. One counts, the other operator is told who came
/// first and with what.
#[tokio::test]
async fn of_two_operators_at_once_one_is_told_that_the_other_came_first() {
    let world = World::new("race", 1).await;
    // The daemon does not see the first change before both are made.
    world.reads.steer(&Steer { mute: Some(true), silence: true, ..Steer::default() });
    let both_made = async {
        while world.log.records("config").len() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        world.reads.steer(&Steer { mute: Some(false), ..Steer::default() });
    };
    let one = ["publish", "--class", "summary", "--first-token-ms", "8000", "--per-token-ms", "60"];
    let other = ["publish", "--class", "summary", "--first-token-ms", "5000", "--per-token-ms", "60"];
    let (salma, driss, ()) =
        tokio::join!(world.run_as("salma", &one), world.run_as("driss", &other), both_made);
    let (winner, loser, winner_name) = match (salma.code, driss.code) {
        (0, _) => (&salma, &driss, "salma"),
        _ => (&driss, &salma, "driss"),
    };
    assert_eq!((winner.code, loser.code), (0, 4), "{} / {}", winner.text, loser.text);
    assert!(loser.text.contains(&format!("{winner_name} came first")), "{}", loser.text);
    let history = world.run(&["history"]).await;
    assert!(history.text.contains("rejected: made from version none"), "{}", history.text);
}

/// The log takes the change and its answer is lost. The operator must neither be told that it failed, nor have
/// it count twice.
#[tokio::test]
async fn a_lost_answer_of_the_log_is_looked_up() {
    let world = World::new("lost-answer", 1).await;
    world.log.steer(&Steer {
        lose_replies: Some(1),
        lose_path: "/log/config/append".to_owned(),
        ..Steer::default()
    });
    let published = world.run(&["publish", "--class", "booking", "--response-ms", "300"]).await;
    assert_eq!(published.code, 0, "{}", published.text);
    assert_eq!(published.json["offset"], 0);
    assert_eq!(world.log.records("config").len(), 1, "found again, not appended again");
}

/// The log is down. Nothing was published, and what is in force stays in force.
#[tokio::test]
async fn an_outage_of_the_log_publishes_nothing() {
    let world = World::new("outage", 1).await;
    world.run(&["publish", "--class", "booking", "--response-ms", "300"]).await;
    world.log.steer(&Steer { outage: Some(true), ..Steer::default() });
    let refused = world.run(&["publish", "--class", "booking", "--response-ms", "200"]).await;
    assert_eq!(refused.code, 5, "{}", refused.text);
    assert!(refused.text.contains("nothing was published"), "{}", refused.text);
    assert_eq!(world.log.records("config").len(), 1);
    let listed = world.run(&["list"]).await;
    assert!(listed.text.contains("response 300 ms"), "{}", listed.text);
}

/// An operator publishes with a key that is not the partner's, after a key was changed on one side only.
#[tokio::test]
async fn a_change_with_another_key_is_rejected_and_said_so() {
    let world = World::new("wrong-key", 1).await;
    world.write("nadifa.key", &"ab".repeat(32));
    let refused = world.run(&["publish", "--class", "booking", "--response-ms", "300"]).await;
    assert_eq!(refused.code, 4, "{}", refused.text);
    assert!(refused.text.contains("signature is not the publisher's"), "{}", refused.text);
    assert!(refused.text.contains("public half of your key"), "{}", refused.text);
    assert_eq!(world.daemons[0].config.state.load().classes_total(), 0);
}

/// One host is down while a change is published. It counts all the same, and the operator learns which host does
/// not have it, by a code that a script can tell from a failure.
#[tokio::test]
async fn a_host_that_does_not_answer_is_named() {
    let world = World::new("lagging-host", 2).await;
    world.daemons[1].stop.cancel();
    let published =
        world.run(&["publish", "--class", "booking", "--response-ms", "300", "--timeout-ms", "300"]).await;
    assert_eq!(published.code, 7, "{}", published.text);
    assert!(published.text.contains(&world.daemons[1].address.to_string()), "{}", published.text);
    assert_eq!(world.daemons[0].config.state.load().classes_total(), 1);
    let quick = ["publish", "--class", "booking", "--response-ms", "200", "--no-wait"];
    assert_eq!(world.run(&quick).await.code, 0);
}

/// The platform starts its log afresh while the daemons hold what was in it. A new change lands at an offset that
/// is long in force and will never count; the operator must hear that instead of waiting for ever.
#[tokio::test]
async fn a_change_on_a_log_that_was_started_afresh_is_told_apart() {
    let world = World::new("afresh", 1).await;
    for target_ms in ["300", "200"] {
        world.run(&["publish", "--class", "booking", "--response-ms", target_ms]).await;
    }
    let afresh = World::new("afresh", 0).await;
    let log = afresh.log.address.to_string();
    let host = world.daemons[0].address.to_string();
    let key_file = world.path("nadifa.key");
    let ended = run(&[
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
    assert_eq!(ended.code, 6, "{}", ended.text);
    assert!(ended.text.contains("the log was shortened or emptied"), "{}", ended.text);
}
