//! The HTTP client for targets and other nodes, and the outcome of a request.

use std::io;
use std::ops::RangeInclusive;
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
use crate::transport::body::ResponseBody;
use crate::transport::head::end_to_end_headers;

/// Status codes of final responses. The HTTP library passes on others, too.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Time for which an idle connection to a target or node is kept open.
///
/// Shorter than the keep-alive timeout of common servers, so that a request is rarely sent on a
/// connection that the server is closing.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of idle connections per address.
const POOL_IDLE_PER_HOST: usize = 64;

/// A response whose head has been received.
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers, including those that a node added.
    pub headers: HeaderMap,
    /// The body, buffered or still arriving.
    pub body: ResponseBody,
}

impl HttpResponse {
    /// Returns the value of a header, if it is present and visible ASCII.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Builds a client without proxies, redirects or retries: those decisions belong to the node.
///
/// # Errors
///
/// Returns an error if the client cannot be initialized.
pub fn build() -> io::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(POOL_IDLE_PER_HOST)
        .build()
        .map_err(io::Error::other)
}

/// Sends `req` and reads the response. A body of up to `buffer_bytes` bytes is buffered, a larger
/// one is streamed.
///
/// The outcome is `NotRun` if no connection could be opened, the request was invalid, or the target
/// stated in a header that it refused the request. After any other failure it is `Unknown`.
pub async fn send(req: reqwest::RequestBuilder, buffer_bytes: usize) -> Outcome<HttpResponse> {
    let response = match req.send().await {
        Ok(response) => response,
        Err(e) if e.is_connect() => return Outcome::NotRun(NotRunKind::NoInstance),
        Err(e) if e.is_builder() => return Outcome::NotRun(NotRunKind::BadRequest),
        Err(_) => return Outcome::Unknown(UnknownKind::ConnectionLost),
    };
    let status = response.status();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Outcome::Unknown(UnknownKind::AnswerTruncated);
    }
    let headers = end_to_end_headers(response.headers());
    if headers.contains_key(header::REFUSED) {
        return Outcome::NotRun(NotRunKind::TargetRefused);
    }
    match read_body(response, buffer_bytes).await {
        Ok(body) => Outcome::Completed(HttpResponse {
            status,
            headers,
            body,
        }),
        Err(_) => Outcome::Unknown(UnknownKind::AnswerTruncated),
    }
}

/// Reads the body of a response up to its end, or until it exceeds `buffer_bytes`.
async fn read_body(response: reqwest::Response, buffer_bytes: usize) -> io::Result<ResponseBody> {
    let mut stream = response
        .bytes_stream()
        .map(|chunk| chunk.map_err(io::Error::other))
        .boxed();
    let mut buffered = BytesMut::new();
    while buffered.len() <= buffer_bytes {
        match stream.next().await {
            Some(chunk) => buffered.extend_from_slice(&chunk?),
            None => return Ok(ResponseBody::Buffered(buffered.freeze())),
        }
    }
    let first =
        futures_util::stream::once(async move { Ok::<Bytes, io::Error>(buffered.freeze()) });
    Ok(ResponseBody::Streamed(first.chain(stream).boxed()))
}
