//! Parsing and serialization of HTTP/1.1 messages, with size limits.
//!
//! Parsing is strict, so that this process and the next one on the path agree on where each message
//! ends. Otherwise requests could be smuggled past it.

pub mod body;
pub mod head;
pub mod progress;
pub mod reader;
pub mod write;

pub use body::BodyDecoder;
pub use body::Framing;
pub use head::Header;
pub use head::RequestHead;
pub use head::ResponseHead;
