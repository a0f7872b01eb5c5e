//! How a daemon that starts learns of the others.

use crate::units::{Micros, Millis, MonoTime};

/// When a daemon that starts reads the register.
#[derive(Clone, Copy, Debug)]
pub struct JoiningSettings {
    /// Time in which all daemons register that are started together.
    pub fills_ms: Millis,
    /// Time over which daemons that start together spread their reads.
    pub spread_ms: Millis,
    /// Shortest pause after a failed read; the longest is twice that.
    pub retry_ms: Millis,
}

impl Default for JoiningSettings {
    fn default() -> Self {
        Self { fills_ms: Millis::ZERO, spread_ms: Millis(1_500), retry_ms: Millis(1_000) }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JoiningStep {
    /// Ask a daemon whose messages arrive for the others.
    AskPeer,
    /// Read the register.
    ReadRegister,
    /// Nothing yet.
    Wait,
}

/// How one daemon learns of the others.
///
/// Load: hundreds of daemons start together. Harm prevented: each reads all entries, the store cannot send the square of
/// their number in the time that they wait for it, they ask again and again, and nothing else is read from the store either.
/// So each waits a random time, and whoever receives a message of another daemon meanwhile asks that one.
#[derive(Clone, Copy, Debug)]
pub struct Joining {
    settings: JoiningSettings,
    read_at_us: MonoTime,
    has_asked: bool,
}

impl Joining {
    /// Of a daemon that is registered now; `draw` is a random number from zero to one.
    pub fn new(settings: JoiningSettings, now_us: MonoTime, draw: f64) -> Self {
        let read_at_us = now_us + settings.fills_ms + part(settings.spread_ms, draw);
        Self { settings, read_at_us, has_asked: false }
    }

    /// What to do now. A daemon that could not answer is followed by the register, when that is due, and then asked again.
    pub fn step(&mut self, now_us: MonoTime, is_any_heard: bool) -> JoiningStep {
        if is_any_heard && !std::mem::replace(&mut self.has_asked, true) {
            return JoiningStep::AskPeer;
        }
        self.has_asked = false;
        if now_us >= self.read_at_us { JoiningStep::ReadRegister } else { JoiningStep::Wait }
    }

    /// The register could not be read.
    pub fn failed(&mut self, now_us: MonoTime, draw: f64) {
        self.read_at_us = now_us + self.settings.retry_ms + part(self.settings.retry_ms, draw);
    }
}

fn part(span_ms: Millis, draw: f64) -> Micros {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a part of a span")]
    Micros((Micros::from(span_ms).0 as f64 * draw.clamp(0.0, 1.0)) as u64)
}
