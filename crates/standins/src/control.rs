//! Failures that a stand-in can be steered into.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

const PER_MILLE: u64 = 1_000;

/// One steering order, the body of `POST /standin/steer`. Absent fields change nothing.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Steer {
    /// Accepts requests and never answers them.
    pub mute: Option<bool>,
    /// Refuses new work as a leaving server does.
    pub leaving: Option<bool>,
    /// Answers that the service is down (log only).
    pub outage: Option<bool>,
    /// Multiplies every time that work takes.
    pub slow_factor: Option<f64>,
    /// Silences the connections that are open now for good; new ones work.
    pub silence: bool,
    /// Carries out this many requests without answering: the connection is dropped instead.
    pub lose_replies: Option<u32>,
    /// Restricts `lose_replies` to paths that start so.
    pub lose_path: String,
    /// Drops every connection and stops listening, as a killed process does.
    pub die: bool,
}

#[derive(Debug, Default)]
struct LostReplies {
    left: u32,
    path: String,
}

/// The present failures of one stand-in.
#[derive(Debug)]
pub struct Faults {
    mute: AtomicBool,
    leaving: AtomicBool,
    outage: AtomicBool,
    slow_per_mille: AtomicU64,
    silenced_before: AtomicU64,
    lost_replies: Mutex<LostReplies>,
    dead: CancellationToken,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            mute: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            outage: AtomicBool::new(false),
            slow_per_mille: AtomicU64::new(PER_MILLE),
            silenced_before: AtomicU64::new(0),
            lost_replies: Mutex::default(),
            dead: CancellationToken::new(),
        }
    }
}

impl Faults {
    /// Carries out a steering order.
    pub fn steer(&self, order: &Steer) {
        if let Some(on) = order.mute {
            self.mute.store(on, Ordering::SeqCst);
        }
        if let Some(on) = order.leaving {
            self.leaving.store(on, Ordering::SeqCst);
        }
        if let Some(on) = order.outage {
            self.outage.store(on, Ordering::SeqCst);
        }
        if let Some(factor) = order.slow_factor {
            self.slow_per_mille.store(per_mille(factor), Ordering::SeqCst);
        }
        if order.silence {
            self.silenced_before.fetch_add(1, Ordering::SeqCst);
        }
        if let Some(count) = order.lose_replies {
            *self.lost_replies.lock() = LostReplies { left: count, path: order.lose_path.clone() };
        }
        if order.die {
            self.dead.cancel();
        }
    }

    /// Whether requests are accepted and never answered.
    pub fn is_mute(&self) -> bool {
        self.mute.load(Ordering::SeqCst)
    }

    /// Whether new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Whether the service says that it is down.
    pub fn is_outage(&self) -> bool {
        self.outage.load(Ordering::SeqCst)
    }

    /// `time` as the present slowness stretches it.
    pub fn stretch(&self, time: Duration) -> Duration {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let slow = self.slow_per_mille.load(Ordering::SeqCst);
        Duration::from_micros(micros.saturating_mul(slow) / PER_MILLE)
    }

    /// Cancelled once the stand-in has died.
    pub fn dead(&self) -> &CancellationToken {
        &self.dead
    }

    pub(crate) fn generation(&self) -> u64 {
        self.silenced_before.load(Ordering::SeqCst)
    }

    pub(crate) fn takes_reply(&self, path: &str) -> bool {
        let mut lost = self.lost_replies.lock();
        let takes = lost.left > 0 && path.starts_with(&lost.path);
        if takes {
            lost.left -= 1;
        }
        takes
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a slowness factor is a small positive number"
)]
fn per_mille(factor: f64) -> u64 {
    (factor.max(0.0) * PER_MILLE as f64) as u64
}
