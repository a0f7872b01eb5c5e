//! Tests of settings, logs, metrics, the platform clients and the operator API.

mod backend_http;
mod config;
mod directory;
mod heads;
mod memory_log;
mod observe;
mod operators;
mod platform;
mod relay_events;
mod relay_memory;
mod relay_pacing;
mod relay_settings;
mod settings;
