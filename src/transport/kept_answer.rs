//! Answers that are kept for repeated requests.

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use crate::transport::body::AnswerBody;
use crate::transport::http_client::Answer;

/// An answer that is kept for a repeated request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl KeptAnswer {
    /// Keeps a whole answer.
    pub fn new(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> KeptAnswer {
        KeptAnswer {
            status,
            headers: headers.clone(),
            body: body.clone(),
        }
    }

    /// Builds the answer that is sent again.
    pub fn to_answer(&self) -> Answer {
        Answer {
            status: self.status,
            headers: self.headers.clone(),
            body: AnswerBody::Buffered(self.body.clone()),
        }
    }

    /// Returns the size of body and headers, in bytes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let size: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        self.body.len() + size
    }
}
