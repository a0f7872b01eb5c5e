//! Quotas of organisations over many daemons.
#![allow(clippy::pedantic, reason = "fakes and expectations in short form")]

mod bucket;
mod keeping;
mod server_limits;
mod world;
