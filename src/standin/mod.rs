//! Small stand-ins that take the place of the platform and of targets, for trying nodes by hand,
//! for the demo and for tests.

pub mod fleet;
pub mod platform;
pub mod target;
