//! Retry budget shared by hundreds of daemons, in virtual time with lost, delayed and duplicated messages.
#![allow(clippy::pedantic, reason = "a simulation in condensed form")]

mod lending;
mod simulation;
