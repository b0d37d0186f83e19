//! In-process fakes of the platform and of targets, for tests, the demo, the measurements and
//! manual experiments with a node.

pub mod fleet;
pub mod platform;
pub mod target;
