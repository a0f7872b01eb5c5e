//! Tests of the claims service with an in-memory log.

mod fake;
mod service;
