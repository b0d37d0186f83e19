//! HTTP/1.1 messages as bytes: heads, body framing and their limits.
//!
//! Parsing is strict, so that this process and the next one never disagree on where a message ends.

pub mod body;
pub mod head;
pub mod reader;
pub mod write;

pub use body::BodyDecoder;
pub use body::Framing;
pub use head::Header;
pub use head::RequestHead;
pub use head::ResponseHead;
