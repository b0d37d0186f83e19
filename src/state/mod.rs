//! The shared tables and the order in which they are locked.
//!
//! A thread that holds one table may lock only tables of a higher [`Rank`]. Debug builds assert it.

pub mod calls;
pub mod fleet;
pub mod history;
mod lock;

pub use lock::Rank;
pub use lock::Table;
