//! Responses kept for replay to repeated requests.

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use crate::transport::body::ResponseBody;
use crate::transport::http_client::HttpResponse;

/// A complete response kept for replay to repeated requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl KeptResponse {
    /// Keeps a response with a complete body. The body is shared, not copied.
    pub fn new(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> KeptResponse {
        KeptResponse {
            status,
            headers: headers.clone(),
            body: body.clone(),
        }
    }

    /// Builds the response for a replay.
    pub fn to_response(&self) -> HttpResponse {
        HttpResponse {
            status: self.status,
            headers: self.headers.clone(),
            body: ResponseBody::Buffered(self.body.clone()),
        }
    }

    /// Returns the size of the headers and the body, in bytes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let size: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        self.body.len() + size
    }
}
