//! Tests of settings, logs, metrics and the edges towards the platform and operators.

mod observe;
mod platform;
mod settings;
