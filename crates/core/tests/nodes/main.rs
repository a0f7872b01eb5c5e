//! How daemons act together: membership and spreading, as state machines without sockets.

mod harness;
mod membership;
mod meter;
mod spread;
mod watch;
