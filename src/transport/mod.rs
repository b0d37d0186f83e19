//! Connects the decisions to callers, targets, the platform and other nodes.

pub mod abort;
pub mod attempt;
pub mod body;
pub mod control;
pub mod egress;
pub mod forward;
pub mod guard;
pub mod head;
pub mod incoming;
pub mod ingress;
pub mod kept;
pub mod operator;
pub mod outgoing;
pub mod peer;
pub mod platform;
pub mod reply;
pub mod server;
pub mod told;
pub mod traffic;
