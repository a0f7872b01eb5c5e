//! Decisions under load for language requests: admitting, queueing, placing, retrying, refusing.
//!
//! One [`Scheduler`] runs in each daemon and decides for the requests that arrived there. It takes the
//! present time and an [`Event`] and pushes [`Action`]s into a list of the caller. What several daemons
//! share is decided by the watchers of the servers, see [`crate::slots`].

mod affinity;
mod counters;
mod directory;
mod events;
mod failing;
pub(crate) mod instance;
mod placing;
mod plain;
mod plain_events;
mod replies;
mod request;
mod retry;
mod running;
mod scheduler;
mod settings;
mod shift;
mod slot;

pub use affinity::{AffinityIndex, CacheEvent, CacheEventKind};
pub use counters::{Counters, FailReason, RedoCause, RefusalReason};
pub use directory::{Directory, ServerRecord, ServerState, Sign};
pub use events::{Action, Arrival, Attempt, Event, FailureCause, WorkStage};
pub use instance::{InstanceSettings, LimitReached};
pub use plain::{PlainScheduler, PlainSettings};
pub use plain_events::{PlainAction, PlainArrival, PlainCounters, PlainEvent, PlainInstance, PlainRefusal};
pub use retry::RetryBudget;
pub use scheduler::Scheduler;
pub use settings::{PrefillStart, SchedulerSettings};
pub use shift::{EngineView, ModelDemand, ShiftOrder, ShiftPlanner, ShiftSettings};
