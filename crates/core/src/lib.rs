//! Decision logic of hibiscusvale.
//!
//! Everything here is a state machine without input or output: it takes the present time, an event and
//! its own state, and returns typed actions. The edges that carry the actions out live in the
//! `hibiscusvale` crate. The crate's dependency list keeps it so: there is no runtime, socket or file
//! library to reach for.

pub mod allowance;
pub mod claim;
pub mod config;
pub mod ids;
pub mod lease;
pub mod membership;
pub mod meter;
pub mod order;
pub mod orphan;
pub mod outcome;
pub mod quarantine;
pub mod quota;
pub mod relay;
pub mod retransmit;
pub mod sched;
pub mod slots;
pub mod spread;
pub mod ticket;
pub mod units;
pub mod watch;
