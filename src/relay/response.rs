//! HTTP responses to callers.

use std::time::Duration;

use crate::http1::Header;
use crate::memory::Body;

/// An HTTP response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Body,
}

impl CallerResponse {
    /// Builds a response that the node itself gives, with `reason` as its body.
    pub fn from_node(status: u16, reason: &str) -> CallerResponse {
        CallerResponse {
            status,
            headers: Vec::new(),
            body: Body::from(reason.as_bytes().to_vec()),
        }
    }

    /// Adds a `Retry-After` header, in seconds with three decimals.
    pub fn with_retry_after(mut self, wait: Duration) -> CallerResponse {
        let value = format!("{:.3}", wait.as_secs_f64());
        self.headers
            .push(("Retry-After".to_owned(), value.into_bytes()));
        self
    }
}
