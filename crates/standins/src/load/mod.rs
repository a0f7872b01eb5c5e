//! A small seeded load tool: sends a mixed load, checks each answer, and asks the stand-ins' own accounts
//! whether what the callers were told is true.

pub mod answer;
pub mod audit;
pub mod balancer;
pub mod caller;
pub mod cmd;
pub mod cpu;
pub mod latency;
pub mod report;
pub mod schedule;
pub mod settings;
pub mod tally;
