//! The claims service over a log in memory.

mod fake;
mod service;
