//! Quarantine of requests that crash the servers running them.
#![allow(clippy::pedantic, reason = "fakes and expectations in short form")]

mod fingerprint;
mod harm;
mod simulation;
mod survival;
