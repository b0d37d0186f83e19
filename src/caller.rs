//! Caller: the client library.
