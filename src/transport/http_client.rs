//! Sends one request over HTTP and classifies how it ended.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::HeaderMap;
use http::StatusCode;

use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::protocol::header;
use crate::transport::body::AnswerBody;
use crate::transport::head::answer_headers;

/// Time for which an idle connection to a target or node is kept.
///
/// Shorter than the keep-alive of common servers, so that a request rarely meets a closing one.
const POOL_IDLE: Duration = Duration::from_secs(4);

/// Time that a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept for each address.
const POOL_IDLE_PER_HOST: usize = 64;

/// An answer with its head complete.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

impl Answer {
    /// Returns a header as text.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Builds the HTTP client of a node.
///
/// # Errors
///
/// If the client cannot be set up on this machine.
pub fn build() -> io::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE)
        .pool_max_idle_per_host(POOL_IDLE_PER_HOST)
        .build()
        .map_err(io::Error::other)
}

/// Sends `req` and reads the answer, holding up to `buffer_bytes` bytes of its body.
pub async fn send(req: reqwest::RequestBuilder, buffer_bytes: usize) -> Outcome<Answer> {
    let response = match req.send().await {
        Ok(response) => response,
        Err(e) if e.is_connect() => return Outcome::NotRun(NotRunKind::NoInstance),
        Err(e) if e.is_builder() => return Outcome::NotRun(NotRunKind::BadRequest),
        Err(_) => return Outcome::Unknown(UnknownKind::ConnectionLost),
    };
    let status = response.status();
    let headers = answer_headers(response.headers());
    if headers.contains_key(header::REFUSED) {
        return Outcome::NotRun(NotRunKind::TargetRefused);
    }
    match read_answer(response, buffer_bytes).await {
        Ok(body) => Outcome::Completed(Answer {
            status,
            headers,
            body,
        }),
        Err(_) => Outcome::Unknown(UnknownKind::AnswerTruncated),
    }
}

async fn read_answer(response: reqwest::Response, buffer_bytes: usize) -> io::Result<AnswerBody> {
    let mut stream = response
        .bytes_stream()
        .map(|chunk| chunk.map_err(io::Error::other))
        .boxed();
    let mut held = BytesMut::new();
    while held.len() <= buffer_bytes {
        match stream.next().await {
            Some(chunk) => held.extend_from_slice(&chunk?),
            None => return Ok(AnswerBody::Buffered(held.freeze())),
        }
    }
    let first = futures_util::stream::once(async move { Ok::<Bytes, io::Error>(held.freeze()) });
    Ok(AnswerBody::Streamed(first.chain(stream).boxed()))
}
