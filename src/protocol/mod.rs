//! Messages and headers that travel between processes, and the table from error kind to answer.

pub mod advice;
pub mod error_response;
pub mod frame;
pub mod header;
pub mod hop;
pub mod peer;
pub mod store_query;
