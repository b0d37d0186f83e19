//! Network I/O of a node: its HTTP and peer ports, its HTTP clients, and the bodies and connections
//! of calls in progress.

pub mod abort;
pub mod attempt;
pub mod body;
pub mod call_guard;
pub mod call_result;
pub mod control;
pub mod egress;
pub mod head;
pub mod http_client;
pub mod incoming_call;
pub mod ingress;
pub mod kept_response;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod request_body;
pub mod response;
pub mod server;
pub mod traffic;
