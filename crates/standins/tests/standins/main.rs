//! The stand-ins keep to `docs/INTERFACES.md` and to the failures that they are steered into.

mod engine;
mod load;
mod platform;
