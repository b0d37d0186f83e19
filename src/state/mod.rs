//! The shared tables and the order in which they are locked.
//!
//! A thread that holds one table may lock only tables of a higher [`LockRank`]. Debug builds assert it.

pub mod calls;
pub mod fleet;
pub mod history;
mod lock;

pub use lock::LockRank;
pub use lock::OrderedMutex;
