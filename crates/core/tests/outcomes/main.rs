//! Outcomes: claims, tickets, attempts, leases, orders and releases, under failures.

mod attempts;
mod counterexamples;
mod incarnations;
mod leases;
mod model;
mod orders;
mod orphans;
mod owners;
mod schedule;
mod simulation;
mod tickets;
