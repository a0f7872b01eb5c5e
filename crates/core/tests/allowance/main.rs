//! Further tries that hundreds of daemons share, in virtual time with messages that are lost, late and doubled.
#![allow(clippy::pedantic, reason = "a world of fakes in short form")]

mod parts;
mod world;
