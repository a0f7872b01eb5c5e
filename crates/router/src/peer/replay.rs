//! Detection of replayed frames and of frames from old incarnations.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hibiscusvale_core::ids::{HostId, Incarnation};

/// Sequence numbers below the highest one that are still accepted: frames on a new connection overtake only a few
/// on the old one.
const REPLAY_WINDOW: u64 = 64;
/// Silence of an incarnation after which an older one of the same host is accepted: the clock of the host was
/// wrong when the silent one started.
const INCARNATION_TTL: Duration = Duration::from_mins(1);
/// Number of tracked hosts at which silent ones are removed; far above the largest deployment.
const MAX_TRACKED_HOSTS: usize = 4_096;

/// Reason for dropping an authentic frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum StaleFrame {
    /// The frame was received before, or is too old to tell.
    #[error("frame was received before")]
    Replayed,
    /// A newer incarnation of the host is active.
    #[error("frame is from an old incarnation")]
    OldIncarnation,
}

#[derive(Clone, Copy, Debug)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// Bitmap of received sequence numbers: bit `n` stands for `highest - n`.
    received: u64,
    last_heard: Instant,
}

/// Per host, the sequence numbers received from its current incarnation.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    senders: HashMap<HostId, Sender>,
}

impl ReplayGuard {
    /// Checks a frame and records it.
    pub(crate) fn check(
        &mut self,
        now: Instant,
        from: &HostId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Result<(), StaleFrame> {
        let Some(sender) = self.senders.get_mut(from) else {
            if self.senders.len() >= MAX_TRACKED_HOSTS {
                self.senders.retain(|_, sender| now.duration_since(sender.last_heard) < INCARNATION_TTL);
            }
            self.senders.insert(from.clone(), Sender::new(now, incarnation, sequence));
            return Ok(());
        };
        let is_expired = now.duration_since(sender.last_heard) > INCARNATION_TTL;
        if incarnation > sender.incarnation || (incarnation < sender.incarnation && is_expired) {
            *sender = Sender::new(now, incarnation, sequence);
            return Ok(());
        }
        if incarnation < sender.incarnation {
            return Err(StaleFrame::OldIncarnation);
        }
        sender.record(now, sequence)
    }
}

impl Sender {
    fn new(now: Instant, incarnation: Incarnation, sequence: u64) -> Self {
        Self { incarnation, highest: sequence, received: 1, last_heard: now }
    }

    fn record(&mut self, now: Instant, sequence: u64) -> Result<(), StaleFrame> {
        if let Some(ahead) = sequence.checked_sub(self.highest).filter(|ahead| *ahead > 0) {
            self.received = if ahead < REPLAY_WINDOW { self.received << ahead } else { 0 };
            self.received |= 1;
            self.highest = sequence;
            self.last_heard = now;
            return Ok(());
        }
        let behind = self.highest - sequence;
        if behind >= REPLAY_WINDOW || self.received & (1 << behind) != 0 {
            return Err(StaleFrame::Replayed);
        }
        self.received |= 1 << behind;
        self.last_heard = now;
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/replay.rs"]
mod tests;
