//! This daemon's part of the further tries that all daemons may make together.
//!
//! How it is spent and lent is told in [`hibiscusvale_core::allowance`]. Parts are counted against all daemons that ever
//! registered, not those that are seen: one that is cut off goes on spending.

use hibiscusvale_core::allowance::{AllowanceSettings, TRY};
use hibiscusvale_core::relay::audience::Reach;
use hibiscusvale_core::relay::engines::EnginePoolSettings;
use hibiscusvale_core::sched::{InstanceSettings, PlainSettings};
use hibiscusvale_core::units::{Credit, Millis};

use super::settings::BoundSettings;
use super::state::RelayState;

/// Daemons reckoned with before the register was read.
pub const UNKNOWN_DAEMONS: u64 = 16;

/// Part of the allowance that is handed out: a daemon that has just registered spends its part before the others have made
/// theirs smaller.
const HANDED_OUT: f64 = 0.8;

/// How servers are judged: as everywhere, but tried again sooner. The list of servers is seconds old here, not minutes,
/// and cuts and restarts last for seconds; set aside for half a minute a server would miss most of the time in which it
/// is back.
const INSTANCES: InstanceSettings =
    InstanceSettings { aside_ms: Millis(500), aside_max_ms: Millis(2_000), ..InstanceSettings::DEFAULT };

/// Limits of the schedulers of plain services.
pub fn plain(bounds: &BoundSettings, daemons: u64) -> PlainSettings {
    PlainSettings {
        shared_retries: Some(allowance(bounds, daemons)),
        instance: INSTANCES,
        ..PlainSettings::default()
    }
}

/// Limits of the pools of engines.
pub fn engines(bounds: &BoundSettings, daemons: u64, reach: Reach) -> EnginePoolSettings {
    EnginePoolSettings {
        retries: allowance(bounds, daemons),
        instance: INSTANCES,
        near_first: reach == Reach::DataCentre,
        ..EnginePoolSettings::default()
    }
}

impl RelayState {
    /// Divides the allowance among the daemons that are registered now.
    pub fn share_budget(&self) {
        let (bounds, daemons) = (self.bounds.lock().clone(), self.peers.registered());
        self.plain_hub.configure(plain(&bounds, daemons));
        self.engine_hub.set_budget(engines(&bounds, daemons, self.peers.reach()));
        self.engine_hub.configure(&self.table.load());
    }
}

impl RelayState {
    /// Puts the quotas of the routes in force.
    pub fn configure_quotas(&self) {
        let bounds = self.bounds.lock().quota();
        self.quotas.configure(&self.table.load(), bounds);
    }
}

/// This daemon's part, in exact fractions: whole tries would be none or one for each of some hundred daemons.
fn allowance(bounds: &BoundSettings, daemons: u64) -> AllowanceSettings {
    AllowanceSettings {
        earned: credit(bounds.retry_ratio),
        part: credit(bounds.retry_slack * HANDED_OUT / daemons.max(1) as f64),
        window_ms: Millis(u64::try_from(bounds.retry_window().as_millis()).unwrap_or(u64::MAX)),
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
fn credit(tries: f64) -> Credit {
    Credit((tries * TRY.0 as f64) as u64)
}
