//! Decisions for opaque requests.
#![allow(clippy::pedantic, reason = "fakes and expectations in short form")]

mod admission;
mod congestion;
mod engines;
mod helper_search;
mod joining;
mod leaving_checks;
mod load;
mod memory;
mod order;
mod partners;
mod prior_wait;
mod reach;
mod reach_simulation;
mod recipients;
mod routes;
mod server_list;
mod server_list_simulation;
mod server_statements;
mod silence;
mod simulation;
mod speeds;
mod spill_over;
mod stopping;
mod store_refresh;
mod stream_versions;
mod stream_versions_simulation;
mod versions;
