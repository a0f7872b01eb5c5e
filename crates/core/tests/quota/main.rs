//! Quotas of organisations and limits of servers, enforced by many daemons.
#![allow(clippy::pedantic, reason = "fakes and expectations in short form")]

mod bucket;
mod enforcement;
mod server_limits;
mod simulation;
