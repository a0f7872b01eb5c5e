//! Tests of the configuration fold.

mod checkpoints;
mod model;
mod publishing;
mod schedules;
mod support;
