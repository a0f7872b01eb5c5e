//! Operator API: health checks, metrics and the JSON views that `hibiscusvale` reads.
//!
//! Served on an address that callers cannot reach. All data is read from snapshots, so slow or frequent operator
//! requests do not delay traffic.

mod client;
mod listener;
mod ready;
mod recent;
pub mod views;

use std::sync::Arc;

use arc_swap::ArcSwap;
use hibiscusvale_core::ids::Incarnation;
use hibiscusvale_core::membership::MembersView;

pub use self::client::{OperatorClient, OperatorClientError};
pub use self::listener::OperatorListener;
pub use self::ready::{Readiness, ReadyState};
pub use self::recent::{RecentRequests, RequestRecord, RequestStep};
use crate::config::ConfigHandle;
use crate::metrics::Metrics;
use crate::settings::HostSettings;

/// Data sources of the operator API.
#[derive(Clone, Debug)]
pub struct OperatorSources {
    /// Identity of this daemon.
    pub host: HostSettings,
    /// Identifies the run of the daemon process.
    pub incarnation: Incarnation,
    /// Configuration in force.
    pub config: ConfigHandle,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Current cluster members.
    pub members: Arc<ArcSwap<MembersView>>,
    /// Most recent finished requests.
    pub recent: Arc<RecentRequests>,
    /// Readiness reported to the load balancer.
    pub readiness: Arc<Readiness>,
}
