//! Tests of the configuration fold.

mod checkpoints;
mod publishing;
mod schedules;
mod support;
