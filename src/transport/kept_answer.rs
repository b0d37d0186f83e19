//! Answers kept for replay to repeated requests.

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use crate::transport::body::AnswerBody;
use crate::transport::http_client::Answer;

/// A complete answer kept for replay to repeated requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl KeptAnswer {
    /// Keeps an answer with a complete body. The body is shared, not copied.
    pub fn new(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> KeptAnswer {
        KeptAnswer {
            status,
            headers: headers.clone(),
            body: body.clone(),
        }
    }

    /// Builds the answer for a replay.
    pub fn to_answer(&self) -> Answer {
        Answer {
            status: self.status,
            headers: self.headers.clone(),
            body: AnswerBody::Buffered(self.body.clone()),
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
