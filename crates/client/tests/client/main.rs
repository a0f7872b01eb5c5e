//! Tests of the operators' client against a stand-in log and the daemons' own services.

mod files;
mod keys;
mod losses;
mod publishing;
mod story;
mod watching;
mod world;
