//! Loads and speeds of plain servers, used by fleets of daemons in virtual time.
#![allow(clippy::pedantic, reason = "a simulation in condensed form")]

mod fleet;
mod knowledge;
mod scenarios;
