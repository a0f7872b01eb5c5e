//! How a daemon that starts discovers the other daemons.

use crate::units::{Micros, Millis, MonoTime};

/// Timing of the registry reads of a daemon that starts.
#[derive(Clone, Copy, Debug)]
pub struct JoiningSettings {
    /// Time within which daemons that start together have all registered.
    pub registration_ms: Millis,
    /// Time over which daemons that start together spread their reads.
    pub spread_ms: Millis,
    /// Shortest pause after a failed read; the longest is twice that.
    pub retry_ms: Millis,
}

impl Default for JoiningSettings {
    fn default() -> Self {
        Self { registration_ms: Millis::ZERO, spread_ms: Millis(1_500), retry_ms: Millis(1_000) }
    }
}

/// Next step of discovery.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JoiningStep {
    /// Ask a daemon that has sent a message for the list of the others.
    AskPeer,
    /// Read the registry.
    ReadRegistry,
    /// Wait and call again.
    Wait,
}

/// Discovery of the other daemons by one daemon.
///
/// When hundreds of daemons start together and each reads all entries, the store cannot send the square of
/// their number before their reads time out; they retry, and nothing else can be read from the store either.
/// So each daemon waits a random time, and one that receives a message of another daemon meanwhile asks that
/// one.
#[derive(Clone, Copy, Debug)]
pub struct Joining {
    settings: JoiningSettings,
    read_at_us: MonoTime,
    has_asked: bool,
}

impl Joining {
    /// State of a daemon that has just registered; `draw` is a random number from 0 to 1.
    pub fn new(settings: JoiningSettings, now_us: MonoTime, draw: f64) -> Self {
        let read_at_us = now_us + settings.registration_ms + fraction_of(settings.spread_ms, draw);
        Self { settings, read_at_us, has_asked: false }
    }

    /// Next step. After a daemon that could not answer, the registry is read if that is due; then a daemon is
    /// asked again.
    pub fn step(&mut self, now_us: MonoTime, has_heard_peer: bool) -> JoiningStep {
        if has_heard_peer && !std::mem::replace(&mut self.has_asked, true) {
            return JoiningStep::AskPeer;
        }
        self.has_asked = false;
        if now_us >= self.read_at_us { JoiningStep::ReadRegistry } else { JoiningStep::Wait }
    }

    /// The registry could not be read.
    pub fn failed(&mut self, now_us: MonoTime, draw: f64) {
        self.read_at_us = now_us + self.settings.retry_ms + fraction_of(self.settings.retry_ms, draw);
    }
}

fn fraction_of(span_ms: Millis, draw: f64) -> Micros {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a part of a span")]
    Micros((Micros::from(span_ms).0 as f64 * draw.clamp(0.0, 1.0)) as u64)
}
