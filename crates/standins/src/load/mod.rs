//! Seeded load generator: sends a mixed load, verifies each answer, and checks the reported outcomes against the
//! records of the mock servers.

pub mod answer;
pub mod audit;
pub mod balancer;
pub mod caller;
pub mod cmd;
pub mod cpu;
pub mod flow_stats;
pub mod latency;
pub mod report;
pub mod schedule;
pub mod settings;
pub mod starvation;
