//! The edge towards operators: health, metrics and the JSON views that `hibiscusvale` reads.
//!
//! It listens on an address that callers do not reach. Everything is read from snapshots, so a slow or
//! impatient operator delays nothing.

mod client;
mod listener;
mod ready;
mod recent;
pub mod views;

use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::membership::MembersView;

pub use self::client::{OperatorsClient, OperatorsFailure};
pub use self::listener::OperatorListener;
pub use self::ready::{Readiness, ReadyState};
pub use self::recent::{RecentRequests, RequestRecord, RequestStep};
use crate::config::ConfigHandle;
use crate::metrics::Metrics;
use crate::settings::HostSettings;

/// What the operators' edge reads from.
#[derive(Clone, Debug)]
pub struct OperatorsParts {
    /// Who this daemon is.
    pub host: HostSettings,
    /// Its life.
    pub incarnation: Incarnation,
    /// Configuration.
    pub config: ConfigHandle,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Who lives.
    pub members: Arc<ArcSwap<MembersView>>,
    /// The latest requests.
    pub recent: Arc<RecentRequests>,
    /// Whether the balancer is to send callers here.
    pub readiness: Arc<Readiness>,
}
