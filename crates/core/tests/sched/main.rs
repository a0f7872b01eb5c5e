//! Scheduling under load, measured by the results that callers get.
#![allow(clippy::pedantic, reason = "test code with fakes is kept short")]
#![allow(dead_code, reason = "the outcomes benchmark uses the rest of the fakes")]

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
mod simulation;
mod time_limits;
