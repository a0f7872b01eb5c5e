use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hibiscusvale_core::units::Millis;

use super::WakeTimer;
use crate::clock;

/// When the timer fires for one scheduler, a later time set by another scheduler must be kept.
#[tokio::test]
async fn later_time_is_kept_when_an_earlier_one_is_reached() {
    let timer = Arc::new(WakeTimer::new());
    let ticks = Arc::new(AtomicUsize::new(0));
    let now_us = clock::now();
    timer.set(now_us + Millis(60));
    timer.set(now_us + Millis(10));
    let (running, counted) = (Arc::clone(&timer), Arc::clone(&ticks));
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
