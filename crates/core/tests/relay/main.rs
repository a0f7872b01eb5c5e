//! Decisions for opaque requests.

mod engines;
mod load;
mod routes;
mod world;
