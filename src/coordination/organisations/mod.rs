//! Organisations: who sends a request, whether its key is valid, and how much it may send.
//!
//! Used by the node at which a request of a caller enters (`relay`). They keep the promises that
//! nothing runs with a withdrawn key, and that the requests of an organisation stay within its quota
//! over the whole fleet.

pub mod directory;
pub mod freshness;
pub mod holder;
pub mod key;
pub mod lease;
pub mod quota;
pub mod revision_proofs;
pub mod stock;
pub mod takeover;

pub use directory::Directory;
pub use directory::DirectoryError;
pub use directory::Organisation;
pub use key::ApiKeyHash;
