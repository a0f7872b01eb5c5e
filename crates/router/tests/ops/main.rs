//! Tests of settings, logs, metrics and the edges towards the platform and operators.

mod backend_http;
mod config;
mod directory;
mod memory_log;
mod observe;
mod operators;
mod platform;
mod relay_events;
mod relay_news;
mod relay_pace;
mod relay_settings;
mod settings;
