//! Requests that crash the servers that run them.
#![allow(clippy::pedantic, reason = "fakes and expectations in short form")]

mod fingerprint;
mod harm;
mod world;
