//! In-process stand-ins for the platform and for targets, for tests, the demo, the measurements and
//! manual experiments with a node.

pub mod fleet;
pub mod platform;
pub mod target;
