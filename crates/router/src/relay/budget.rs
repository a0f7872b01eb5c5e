//! This daemon's share of the retry budget that all daemons have together.
//!
//! Spending and lending are described in [`hibiscusvale_core::retry_budget`]. The budget is divided by all
//! daemons that ever registered, not only those currently reachable: a partitioned daemon keeps spending its
//! share.

use hibiscusvale_core::relay::engines::EnginePoolSettings;
use hibiscusvale_core::relay::recipients::BroadcastScope;
use hibiscusvale_core::retry_budget::{RETRY_COST, SharedRetryBudgetSettings};
use hibiscusvale_core::sched::{InstanceSettings, PlainSettings};
use hibiscusvale_core::units::{Credit, Millis};

use super::settings::{BoundSettings, RelaySettings};
use super::state::RelayState;

/// Number of daemons assumed until the register has been read.
pub const ASSUMED_DAEMONS: u64 = 16;

/// Fraction of the budget that is handed out. The rest covers daemons that have just registered, which spend
/// their share before the others have reduced theirs.
const DISTRIBUTED_FRACTION: f64 = 0.8;

/// Server health settings: the defaults with a shorter back-off. The server list is seconds old here rather
/// than minutes, and partitions and restarts last for seconds; with a back-off of half a minute a server
/// would stay unused for most of the time after its recovery.
const INSTANCE_SETTINGS: InstanceSettings = InstanceSettings {
    ejection_ms: Millis(500),
    ejection_max_ms: Millis(2_000),
    ..InstanceSettings::DEFAULT
};

/// Scheduler settings of plain services.
pub fn plain(bounds: &BoundSettings, daemons: u64) -> PlainSettings {
    PlainSettings {
        shared_retries: Some(retry_budget_settings(bounds, daemons)),
        instance: INSTANCE_SETTINGS,
        ..PlainSettings::default()
    }
}

/// Settings of the engine pools.
pub fn engines(bounds: &BoundSettings, daemons: u64, reach: BroadcastScope) -> EnginePoolSettings {
    EnginePoolSettings {
        retries: retry_budget_settings(bounds, daemons),
        instance: INSTANCE_SETTINGS,
        prefer_local: reach == BroadcastScope::DataCentre,
        ..EnginePoolSettings::default()
    }
}

/// Settings of the engine pools until the register has been read.
pub fn initial_engines(settings: &RelaySettings) -> EnginePoolSettings {
    engines(&settings.bounds, ASSUMED_DAEMONS, BroadcastScope::default())
}

impl RelayState {
    /// Applies the engine settings of the current route table.
    pub fn configure_engines(&self) {
        self.engine_pools.configure(&self.table.load(), |service| self.uses_engine_speeds(service));
    }

    /// Divides the retry budget among the daemons that are registered now.
    pub fn share_budget(&self) {
        let (bounds, daemons) = (self.bounds.lock().clone(), self.peers.registered());
        self.plain_schedulers.configure(plain(&bounds, daemons));
        self.engine_pools.set_budget(engines(&bounds, daemons, self.peers.reach()));
        self.configure_engines();
        self.configure_server_loads();
    }
}

impl RelayState {
    /// Applies the partner quotas of the current route table.
    pub fn configure_quotas(&self) {
        let bounds = self.bounds.lock().quota();
        self.quotas.configure(&self.table.load(), bounds);
        self.configure_shares();
    }
}

/// This daemon's share, in fractional credit: in whole retries each of several hundred daemons would get none
/// or one.
fn retry_budget_settings(bounds: &BoundSettings, daemons: u64) -> SharedRetryBudgetSettings {
    SharedRetryBudgetSettings {
        credit_per_request: credit(bounds.retry_ratio),
        slack_share: credit(bounds.retry_slack * DISTRIBUTED_FRACTION / daemons.max(1) as f64),
        window_ms: Millis(u64::try_from(bounds.retry_window().as_millis()).unwrap_or(u64::MAX)),
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked to be in range")]
fn credit(retries: f64) -> Credit {
    Credit((retries * RETRY_COST.0 as f64) as u64)
}
