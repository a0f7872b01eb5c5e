//! Tests of settings, logs, metrics and the edges towards the platform and operators.

mod backend_http;
mod config;
mod directory;
mod memory_log;
mod observe;
mod operators;
mod platform;
mod relay_events;
mod relay_pacing;
mod relay_server_changes;
mod relay_settings;
mod settings;
