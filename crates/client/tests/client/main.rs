//! Tests of the operators' client against a simulated log and the daemons' real services.

mod cluster;
mod files;
mod keys;
mod publishing;
mod queries;
mod request_trace;
mod stream_outcomes;
