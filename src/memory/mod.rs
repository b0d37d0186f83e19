//! Memory that a node uses for the messages of others: bodies, heads and read buffers.
//!
//! All of it is reserved from one budget before it is filled, so that no number of callers, nodes or
//! targets can make the process exceed the memory of its machine.

pub mod body;
pub mod budget;

pub use body::Body;
pub use body::BodyBuilder;
pub use budget::MemoryBudget;
pub use budget::Reservation;
