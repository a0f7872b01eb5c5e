//! Interaction of daemons: membership and dissemination as state machines without sockets.

mod harness;
mod membership;
mod meter;
mod spread;
mod watch;
