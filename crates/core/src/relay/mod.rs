//! Decisions for opaque requests: those that are routed by host and path, passed on unchanged, and answered with
//! whatever bytes the backend server gives.
//!
//! Classes know what a request says; here only its route and its organisation are known, and for a model's requests the
//! size of prompt and answer that the caller states.

pub mod engines;
pub mod expired_entries;
pub mod joining;
pub mod partners;
pub mod prior_wait;
pub mod recipients;
pub mod routes;
pub mod store_refresh;
