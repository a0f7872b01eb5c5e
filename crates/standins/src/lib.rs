//! In-process mock servers for the systems that hibiscusvale depends on, implementing `docs/INTERFACES.md`.
//!
//! Each mock server binds an address (port 0 selects a free port), records the work it performs, and supports
//! fault injection: through its handle in the same process, or with `POST /standin/update_faults` over HTTP. For tests
//! and the demo only; no daemon links this crate.

pub mod client;
pub mod control;
pub mod engine;
mod engine_cache;
pub mod engine_memory;
mod engine_types;
pub mod hosts;
pub mod http;
pub mod load;
pub mod log;
pub mod plain;
pub mod plan;
pub mod ports;
pub mod text;
pub mod weights;

pub use control::{FaultUpdate, Faults};
pub use engine::{Engine, EngineHandle, EngineSettings};
pub use hosts::{HostEntry, HostList, HostListHandle, HostListSettings};
pub use log::{LogHandle, LogService, LogSettings};
pub use plain::{PlainHandle, PlainService, PlainSettings};
pub use weights::{WeightHandle, WeightSettings, WeightStore};
