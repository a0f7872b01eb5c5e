//! Which frames are told again or come from a life that is over.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hibiscusvale_core::ids::{HostId, Incarnation};

/// Sequence numbers below the highest that may still arrive: a new connection overtakes an old one by few.
const WINDOW: u64 = 64;
/// Silence of a life after which an older one of the same host is believed: its clock was wrong.
const OLD_LIFE_AFTER: Duration = Duration::from_mins(1);
/// Hosts remembered at most; far above the largest installation.
const MAX_HOSTS: usize = 4_096;

/// Why an authentic frame was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum Stale {
    /// It was received before, or is too old to tell.
    #[error("frame was received before")]
    Replayed,
    /// A newer life of the host is there.
    #[error("frame is of a life that is over")]
    OldLife,
}

#[derive(Clone, Copy, Debug)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` is set when `highest - n` was received.
    seen: u64,
    heard: Instant,
}

/// What was received of each host.
#[derive(Debug, Default)]
pub(crate) struct Guard {
    senders: HashMap<HostId, Sender>,
}

impl Guard {
    /// Checks one frame and remembers it.
    pub(crate) fn check(
        &mut self,
        now: Instant,
        from: &HostId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Result<(), Stale> {
        let Some(sender) = self.senders.get_mut(from) else {
            if self.senders.len() >= MAX_HOSTS {
                self.senders.retain(|_, sender| now.duration_since(sender.heard) < OLD_LIFE_AFTER);
            }
            self.senders.insert(from.clone(), Sender::new(now, incarnation, sequence));
            return Ok(());
        };
        let is_silent = now.duration_since(sender.heard) > OLD_LIFE_AFTER;
        if incarnation > sender.incarnation || (incarnation < sender.incarnation && is_silent) {
            *sender = Sender::new(now, incarnation, sequence);
            return Ok(());
        }
        if incarnation < sender.incarnation {
            return Err(Stale::OldLife);
        }
        sender.take(now, sequence)
    }
}

impl Sender {
    fn new(now: Instant, incarnation: Incarnation, sequence: u64) -> Self {
        Self { incarnation, highest: sequence, seen: 1, heard: now }
    }

    fn take(&mut self, now: Instant, sequence: u64) -> Result<(), Stale> {
        if let Some(ahead) = sequence.checked_sub(self.highest).filter(|ahead| *ahead > 0) {
            self.seen = if ahead < WINDOW { self.seen << ahead } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            self.heard = now;
            return Ok(());
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return Err(Stale::Replayed);
        }
        self.seen |= 1 << behind;
        self.heard = now;
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/guard.rs"]
mod tests;
