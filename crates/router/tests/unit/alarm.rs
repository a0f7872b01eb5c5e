use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hibiscusvale_core::units::Millis;

use super::Alarm;
use crate::clock;

/// Two schedulers share an alarm; when it goes off for the first, the second one's time must not be lost.
#[tokio::test]
async fn a_later_time_is_kept_when_an_earlier_one_has_come() {
    let alarm = Arc::new(Alarm::new());
    let ticks = Arc::new(AtomicUsize::new(0));
    let now_us = clock::now();
    alarm.set(now_us + Millis(60));
    alarm.set(now_us + Millis(10));
    let (running, counted) = (Arc::clone(&alarm), Arc::clone(&ticks));
    let run = tokio::spawn(async move {
        running
            .run(|| {
                counted.fetch_add(1, Ordering::Relaxed);
            })
            .await;
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    run.abort();
    assert_eq!(ticks.load(Ordering::Relaxed), 2);
}
