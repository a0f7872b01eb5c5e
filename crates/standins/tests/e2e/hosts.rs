//! Entry hosts that die, are replaced, or stop.

use std::time::{Duration, Instant};

use hibiscusvale_standins::{Steer, text};

use crate::world::{Caller, SMALL_PLAN, World, stop, streamed_text};

const PROMPT: &str = "The client keeps a large dog and is allergic to bleach.";

/// A host dies while engines write answers for its callers, and is replaced under the same name. Unless
/// somebody else tells the engines they hold slots for callers who have long been disconnected, and the pool
/// shrinks with each host that fails.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_dead_daemon_held_is_released_when_its_host_is_replaced() {
    let world = World::start(SMALL_PLAN).await;
    let first = world.daemon("entry-1").await;
    let second = world.daemon_beside("entry-2", &[&first]).await;
    let caller = Caller::new(second.callers_address());
    let body = serde_json::json!({"model": "small", "prompt": PROMPT, "max_tokens": 30_000, "stream": true});
    let asked = tokio::spawn({
        let caller = caller.clone();
        let request = caller.completion(&body);
        async move { caller.send(request).await }
    });
    world.decoding().await;
    tokio::task::spawn_blocking(move || second.kill()).await.expect("killed");
    asked.abort();

    let replaced = world.daemon_beside("entry-2", &[&first]).await;
    world.engines_empty().await;
    let answer = Caller::new(replaced.callers_address()).complete(PROMPT, 12, true).await;
    assert!(streamed_text(&answer.body).is_some(), "{}", answer.body);
    stop(first).await;
    stop(replaced).await;
}

/// Log and host list are away for hours, and a host is replaced meanwhile. Without its neighbours the new daemon
/// would know neither classes nor servers, and each replaced host would be one less to serve callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_replaced_while_the_platform_is_away_serves_from_what_its_neighbours_know() {
    let world = World::start(SMALL_PLAN).await;
    let first = world.daemon("entry-1").await;
    let away = Steer { outage: Some(true), ..Steer::default() };
    world.standins.log.steer(&away);
    world.standins.hosts.steer(&away);

    let replaced = world.daemon_beside("entry-2", &[&first]).await;
    let answer = Caller::new(replaced.callers_address()).complete(PROMPT, 12, true).await;
    assert_eq!(streamed_text(&answer.body).as_deref(), Some(text::expected_answer(PROMPT, 12).as_str()));
    stop(first).await;
    stop(replaced).await;
}

/// Two of the three hosts that watch a data centre's engines die at once. Until others watch those engines in their
/// place nobody may use them, and callers are told to come back; it must not last.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_dead_watchers_are_watched_again() {
    let world = World::start(SMALL_PLAN).await;
    let first = world.daemon("entry-1").await;
    let second = world.daemon_beside("entry-2", &[&first]).await;
    let third = world.daemon_beside("entry-3", &[&first, &second]).await;
    let killed = Instant::now();
    for daemon in [second, third] {
        tokio::task::spawn_blocking(move || daemon.kill()).await.expect("killed");
    }
    let caller = Caller::new(first.callers_address());
    loop {
        let answer = caller.complete(PROMPT, 12, false).await;
        if answer.status.is_success() {
            break;
        }
        assert_eq!(answer.outcome(), "not-run", "{}", answer.body);
        assert!(answer.headers.contains_key("retry-after"), "{}", answer.body);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("watched again after {:?}", killed.elapsed());
    stop(first).await;
}
