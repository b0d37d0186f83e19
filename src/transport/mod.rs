//! Connects the decisions to callers, targets, the platform and other nodes.

pub mod egress;
pub mod forward;
pub mod ingress;
pub mod operator;
pub mod peer;
pub mod platform;
