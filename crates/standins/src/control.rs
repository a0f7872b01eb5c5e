//! Fault injection for the mock servers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

const PER_MILLE: u64 = 1_000;

/// Update of the injected faults; body of `POST /standin/update_faults`. Absent fields leave the fault unchanged.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultUpdate {
    /// Accepts requests and never responds.
    pub mute: Option<bool>,
    /// Rejects new work, as a draining server does.
    pub leaving: Option<bool>,
    /// Responds that the service is unavailable (log and host list only).
    pub outage: Option<bool>,
    /// Multiplies all processing times.
    pub slow_factor: Option<f64>,
    /// Stalls all currently open connections permanently without closing them; new connections work.
    pub silence: bool,
    /// Executes this many requests but closes the connection instead of responding.
    pub lose_replies: Option<u32>,
    /// Restricts `lose_replies` to paths with this prefix.
    pub lose_path: String,
    /// Closes all connections and the listener, as a killed process does.
    pub die: bool,
}

#[derive(Debug, Default)]
struct DroppedResponses {
    left: u32,
    path: String,
}

/// Active faults of one mock server.
#[derive(Debug)]
pub struct Faults {
    mute: AtomicBool,
    leaving: AtomicBool,
    outage: AtomicBool,
    slow_per_mille: AtomicU64,
    stall_generation: AtomicU64,
    dropped_responses: Mutex<DroppedResponses>,
    killed: CancellationToken,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            mute: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            outage: AtomicBool::new(false),
            slow_per_mille: AtomicU64::new(PER_MILLE),
            stall_generation: AtomicU64::new(0),
            dropped_responses: Mutex::default(),
            killed: CancellationToken::new(),
        }
    }
}

impl Faults {
    /// Applies an update.
    pub fn update_faults(&self, update: &FaultUpdate) {
        if let Some(on) = update.mute {
            self.mute.store(on, Ordering::SeqCst);
        }
        if let Some(on) = update.leaving {
            self.leaving.store(on, Ordering::SeqCst);
        }
        if let Some(on) = update.outage {
            self.outage.store(on, Ordering::SeqCst);
        }
        if let Some(factor) = update.slow_factor {
            self.slow_per_mille.store(per_mille(factor), Ordering::SeqCst);
        }
        if update.silence {
            self.stall_generation.fetch_add(1, Ordering::SeqCst);
        }
        if let Some(count) = update.lose_replies {
            *self.dropped_responses.lock() = DroppedResponses { left: count, path: update.lose_path.clone() };
        }
        if update.die {
            self.killed.cancel();
        }
    }

    /// Whether requests are accepted without a response.
    pub fn is_mute(&self) -> bool {
        self.mute.load(Ordering::SeqCst)
    }

    /// Whether new work is rejected.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Whether the service responds as unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.outage.load(Ordering::SeqCst)
    }

    /// Returns `time` scaled by the current slow factor.
    pub fn scale_time(&self, time: Duration) -> Duration {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let slow = self.slow_per_mille.load(Ordering::SeqCst);
        Duration::from_micros(micros.saturating_mul(slow) / PER_MILLE)
    }

    /// Token that is cancelled when the server is killed.
    pub fn killed(&self) -> &CancellationToken {
        &self.killed
    }

    pub(crate) fn stall_generation(&self) -> u64 {
        self.stall_generation.load(Ordering::SeqCst)
    }

    pub(crate) fn should_drop_response(&self, path: &str) -> bool {
        let mut lost = self.dropped_responses.lock();
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
    reason = "a slow factor is a small positive number"
)]
fn per_mille(factor: f64) -> u64 {
    (factor.max(0.0) * PER_MILLE as f64) as u64
}
