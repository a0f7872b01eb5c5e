//! End-to-end tests over sockets: daemons in front of mock servers, in one process on free ports.

mod answer_ends;
mod bad_input;
mod cluster;
mod config;
mod crash;
mod hosts;
mod leaving;
mod models;
mod once;
mod path;
mod reach;
mod stalled;
mod streams;
mod time_limits;
