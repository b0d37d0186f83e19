//! The decisions. Nothing here does I/O, reads a clock or spawns a task: every function takes the
//! time as `now` and draws random numbers from a source that it is given.

pub mod admission;
pub mod budget;
pub mod config;
pub mod control;
pub mod dispatch;
pub mod document;
pub mod ejection;
pub mod gate;
pub mod gossip;
pub mod join;
pub mod level;
pub mod limit;
pub mod link;
pub mod members;
pub mod pause;
pub mod poison;
pub mod reader;
pub mod routing;
pub mod token;
