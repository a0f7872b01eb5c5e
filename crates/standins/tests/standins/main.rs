//! The mock servers conform to `docs/INTERFACES.md` and apply the injected faults.

mod engine;
mod load;
mod platform;
mod ports;
