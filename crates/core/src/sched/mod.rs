//! Scheduling of language requests under load: admission, queueing, placement, retries and refusals.
//!
//! Each daemon runs one [`Scheduler`] for the requests that arrive at it. The scheduler takes the current
//! time and an [`Event`] and appends [`Action`]s to the caller's list. Reservations shared by several daemons
//! are decided by the watcher of each server, see [`crate::slots`].

mod affinity;
mod counters;
mod directory;
mod events;
mod failing;
mod hold;
pub(crate) mod instance;
mod placing;
mod plain;
mod plain_events;
mod replies;
mod request;
mod retry;
mod running;
mod scheduler;
mod server_loads;
mod settings;
mod shift;
mod slot;
mod time_limits;

pub use affinity::{AffinityIndex, CacheEvent, CacheEventKind};
pub use counters::{Counters, FailReason, RefusalReason, WasteCause};
pub use directory::{Directory, ServerRecord, ServerState, StatusUpdate};
pub use events::{Action, Arrival, Attempt, Event, FailureCause, WorkStage};
pub use hold::{Hold, HoldReason};
pub use instance::{InstanceSettings, LimitReached};
pub use plain::{PlainScheduler, PlainSettings};
pub use plain_events::{PlainAction, PlainArrival, PlainCounters, PlainEvent, PlainInstance, PlainRefusal};
pub use request::{Stage, StageEntry};
pub use retry::PartnerRetryBudget;
pub use scheduler::Scheduler;
pub use server_loads::{ServerLoadUse, ServerSample};
pub use settings::{PrefillStart, SchedulerSettings};
pub use shift::{EngineView, ModelDemand, ShiftOrder, ShiftPlanner, ShiftSettings};
pub use time_limits::time_to_outcome;
