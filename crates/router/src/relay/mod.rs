//! Relay mode: routes opaque requests by host and path and forwards them unchanged to the backend servers of
//! a service.
//!
//! Decisions are made in `hibiscusvale-core`: by [`hibiscusvale_core::relay`] and, for plain services, by the
//! scheduler that also serves partners' classes. The protocols of external systems are implemented behind the
//! traits of [`interfaces`].

mod admission;
mod budget;
mod caller_connection;
mod callers;
mod crashes;
mod daemon;
mod dependency;
mod end_checks;
mod endless;
mod engine_pools;
pub mod events;
mod exchange;
mod forward;
mod forwarding;
mod freshness;
mod hop;
mod host_load;
pub mod interfaces;
mod leaving_checks;
mod limits;
mod load_report;
mod loans;
pub mod memory_limit;
mod message;
mod metrics;
mod orders;
mod organisations;
pub mod pacing;
mod peers;
mod persistence;
mod plain;
mod quarantine;
mod quotas;
mod reach;
mod refusal;
mod server_list;
mod settings;
mod shares;
mod state;
mod state_transfer;
mod statements;
mod status;
mod stop;
pub mod store_traffic;
mod stream;
mod stream_versions;
mod trace;
mod uneven_servers;
mod watch;

pub use daemon::{RelayAdapters, RelayDaemon};
pub use settings::{CapacitySettings, RelaySettings, UnevenServers};
