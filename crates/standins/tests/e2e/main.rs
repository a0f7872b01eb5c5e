//! The whole path over sockets: daemons in front of stand-ins, all in this process, ports from the kernel.

mod bad_input;
mod config;
mod crash;
mod hosts;
mod leaving;
mod models;
mod once;
mod path;
mod stalled;
mod streams;
mod world;
