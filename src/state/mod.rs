//! State shared between threads, and the order in which it is locked.
//!
//! A thread that holds a mutex may only lock mutexes of a higher [`LockRank`]. Debug builds assert
//! this.

pub mod calls;
pub mod fleet;
pub mod history;
mod lock;

pub use lock::LockRank;
pub use lock::OrderedMutex;
