//! Router for separate prefill and decode pools.
//!
//! `hibiscusvale-core` makes the decisions; this crate does the I/O: the interfaces to callers, backend servers,
//! the platform, operators and other daemons, and the services that run the decision logic.

pub mod backend;
pub mod callers;
pub mod claims;
pub mod clock;
pub mod config;
pub mod control;
pub mod counted_log;
pub mod daemon;
pub mod directory;
pub mod dispatch;
pub mod external;
pub mod inbound;
pub mod leases;
pub mod link_meter;
pub mod listing_service;
pub mod logging;
pub mod member_log;
pub mod membership;
pub mod meter;
pub mod metrics;
pub mod metrics_reporter;
pub mod operators;
pub mod peer;
pub mod relay;
pub mod server_status;
pub mod service_registry;
pub mod settings;
pub mod slot_route;
pub mod spread;
pub mod tickets;
pub mod watcher;
