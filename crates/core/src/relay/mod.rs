//! Decisions for opaque requests: those routed by host and path, passed on unchanged, and answered with
//! whatever bytes the backend server returns.
//!
//! Unlike a request of a class, whose content is known, an opaque request shows only its route and its
//! organisation and, for a model, the sizes of prompt and answer that the caller states.

pub mod admission;
pub mod congestion;
pub mod engines;
pub mod helper_search;
pub mod joining;
pub mod leaving_checks;
pub mod partners;
pub mod prior_wait;
pub mod reach;
pub mod recipients;
pub mod routes;
pub mod server_list;
pub mod server_statements;
pub mod silence;
pub mod stopping;
pub mod store_refresh;
pub mod stream_versions;
