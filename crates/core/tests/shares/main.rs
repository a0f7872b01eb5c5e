//! Shares of organisations in the capacity of a plain service, computed by hundreds of daemons in virtual time.
#![allow(clippy::pedantic, reason = "a simulation in condensed form")]

mod fleet;
mod level;
mod reports;
mod scenarios;
