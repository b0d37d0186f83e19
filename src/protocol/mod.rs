//! Wire protocol between processes: messages, headers, and the HTTP response to each error kind.

pub mod advice;
pub mod error_response;
pub mod frame;
pub mod header;
pub mod hop;
pub mod peer;
pub mod store_query;
pub mod sync;
