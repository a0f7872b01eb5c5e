//! Router for separate prefill and decode pools.
//!
//! This crate carries out what `hibiscusvale-core` decides: the edges towards callers, backend servers, the
//! platform, operators and the other daemons, and the services around the decision logic.

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
pub mod figures;
pub mod inbound;
pub mod kernel;
pub mod leases;
pub mod listing_service;
pub mod logging;
pub mod member_log;
pub mod membership;
pub mod meter;
pub mod metrics;
pub mod operators;
pub mod peer;
pub mod relay;
pub mod servers;
pub mod settings;
pub mod signs;
pub mod slot_route;
pub mod spread;
pub mod tickets;
pub mod watcher;
