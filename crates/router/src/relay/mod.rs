//! The relay: opaque requests, routed by host and path, passed on unchanged to the backend servers of a service.
//!
//! Decisions are those of `hibiscusvale-core`: [`hibiscusvale_core::relay`] and, for plain services, the same
//! scheduler that serves partners' classes. What the systems around speak stands behind the traits of [`edge`].

mod budget;
mod callers;
mod crashes;
mod daemon;
pub mod edge;
mod engine_hub;
pub mod events;
mod exchange;
mod freshness;
mod handover;
mod hop;
mod limits;
mod link;
mod loans;
mod message;
mod metrics;
pub mod news;
mod orders;
pub mod pace;
mod passing;
mod peers;
mod persistence;
mod plain;
mod probe;
mod quarantine;
mod quotas;
mod refusal;
mod settings;
mod state;
mod status;
mod story;
mod stream;
mod watch;

pub use daemon::{RelayDaemon, RelayEdges};
pub use settings::RelaySettings;
