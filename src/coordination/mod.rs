//! The decisions. Nothing here does I/O, reads a clock or spawns a task: every function takes the
//! time as `now` and draws random numbers from a source that it is given.

pub mod admission;
pub mod admission_config;
pub mod arrival;
pub mod attempts;
pub mod budget;
pub mod config;
pub mod control;
pub mod dispatch;
pub mod document;
pub mod draw;
pub mod ejection;
pub mod gate;
pub mod gossip;
pub mod group;
pub mod held;
pub mod join;
pub mod level;
pub mod level_view;
pub mod limit;
pub mod link;
pub mod links;
pub mod members;
pub mod pause;
pub mod plan;
pub mod poison;
pub mod queue;
pub mod reader;
pub mod routing;
pub mod score;
pub mod slots;
pub mod subset;
pub mod target;
pub mod token;
pub mod treatment;
pub mod verdict;
