//! Decisions for opaque requests.
#![allow(clippy::pedantic, reason = "fakes and expectations in short form")]

mod audience;
mod engines;
mod joining;
mod knowledge;
mod load;
mod packing;
mod partners;
mod patience;
mod routes;
mod world;
