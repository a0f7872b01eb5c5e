//! Decision logic of hibiscusvale.
//!
//! Every module is a state machine without input or output: it takes the current time, an event and its own
//! state, and returns typed actions. The `hibiscusvale` crate executes the actions. The dependency list
//! enforces this: the crate depends on no async runtime, socket or file library.

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
pub mod retry_budget;
pub mod sched;
pub mod servers;
pub mod shares;
pub mod slots;
pub mod spread;
pub mod ticket;
pub mod units;
pub mod watch;
