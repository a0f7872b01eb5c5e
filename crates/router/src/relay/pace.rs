//! When this daemon tells the others, and how often it listens to them.
//!
//! Load: each request for a model changes what a daemon has at the engines five times, and each change goes to all other
//! daemons. Harm prevented: with hundreds of them every host spends its share of a core on sending and receiving, in a
//! burst first of all, and callers wait for it. So what changes within a moment goes out together, what nobody waits for
//! goes with the next message, and the pause between two messages grows with the number of those that get them.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How soon the others should know of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// A place was taken or came free: others choose by it.
    Soon,
    /// The next step of a request that keeps its place.
    Later,
}

impl Urgency {
    fn within(self) -> Duration {
        match self {
            Self::Soon => GATHER,
            Self::Later => GATHER_LATER,
        }
    }
}

/// Changes within this time go out together. It is short beside the time that a prompt takes to be read, in which a
/// wrong choice could still be mended.
const GATHER: Duration = Duration::from_millis(3);

/// The same for what the others need not choose by. A prompt that was read is followed by the first event of its answer
/// within this time.
const GATHER_LATER: Duration = Duration::from_millis(30);

/// Longest time between two messages: three lost ones in a row are rare.
const REPEAT: Duration = Duration::from_millis(700);

/// Least pause between two messages, for each daemon that gets them: a hundred daemons are told at most forty times a
/// second.
const PAUSE_PER_DAEMON: Duration = Duration::from_micros(250);

/// Time for which messages of others are left to gather, for each daemon that sends them. It stays below the pause between
/// the messages of one.
const LISTEN_PAUSE_PER_DAEMON: Duration = Duration::from_micros(50);

/// Below this a pause saves nothing: timers are no finer.
const LISTEN_PAUSE_LEAST: Duration = Duration::from_millis(1);

/// When the next message goes to the other daemons.
#[derive(Debug, Default)]
pub struct Pace {
    wanted: Mutex<Option<Instant>>,
    sooner: Notify,
}

impl Pace {
    /// Something has changed that the others should know.
    pub fn touch(&self, now: Instant, urgency: Urgency) {
        let at = now + urgency.within();
        let mut wanted = self.wanted.lock();
        if wanted.is_none_or(|known| at < known) {
            *wanted = Some(at);
            self.sooner.notify_one();
        }
    }

    /// Waits until a message is due after the one that went at `last`, with so many daemons to tell.
    pub async fn due(&self, last: Instant, daemons: u32) {
        loop {
            let wanted = *self.wanted.lock();
            let at = next_message(wanted, last, daemons);
            tokio::select! {
                () = tokio::time::sleep_until(at) => break,
                () = self.sooner.notified() => {}
            }
        }
        *self.wanted.lock() = None;
    }
}

/// When a message goes after the one that went at `last`, if one is `wanted` at some time.
pub fn next_message(wanted: Option<Instant>, last: Instant, daemons: u32) -> Instant {
    let repeat = last + REPEAT;
    wanted.map_or(repeat, |wanted| wanted.min(repeat)).max(last + PAUSE_PER_DAEMON * daemons)
}

/// Time for which messages of so many daemons are left to gather after some were read, so that one look takes several.
pub fn listen_pause(daemons: u32) -> Option<Duration> {
    Some(LISTEN_PAUSE_PER_DAEMON * daemons).filter(|pause| *pause >= LISTEN_PAUSE_LEAST)
}
