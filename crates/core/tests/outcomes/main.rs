//! Outcomes: claims, tickets, attempts, leases, orders and releases, under failures.

mod attempts;
mod claims;
mod leases;
mod orders;
mod orphans;
mod schedule;
mod tickets;
mod world;
