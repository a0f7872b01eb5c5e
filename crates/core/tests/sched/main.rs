//! Decisions under load, looked at from the outside: what callers get.
#![allow(clippy::pedantic, reason = "fakes and expectations in short form")]
#![allow(dead_code, reason = "the comparison bench uses the rest of the fakes")]

mod affinity;
mod baseline;
mod engines;
mod ledger;
mod load;
mod outcome;
mod outcomes;
mod plain;
mod queue;
mod scenarios;
mod shift;
mod world;
