//! Small stand-ins for the systems around hibiscusvale, answering `docs/INTERFACES.md`.
//!
//! Each stand-in is started on an address (port 0 lets the kernel choose), keeps its own account of what it
//! did, and can be steered into the failures that the router must survive: through its handle inside a
//! process, or by `POST /standin/steer` from outside. They are for tests and the demo only; no daemon links
//! them.

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

pub use control::{Faults, Steer};
pub use engine::{Engine, EngineHandle, EngineSettings};
pub use hosts::{HostEntry, HostList, HostListHandle, HostListSettings};
pub use log::{LogHandle, LogService, LogSettings};
pub use plain::{PlainHandle, PlainService, PlainSettings};
pub use weights::{WeightHandle, WeightSettings, WeightStore};
