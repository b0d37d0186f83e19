//! Builds the HTTP responses to callers, targets and other nodes.

use std::io::Cursor;
use std::net::SocketAddr;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use rocket::Response;
use rocket::http::Status;
use tokio_util::io::StreamReader;

use crate::coordination::gate::Refusal;
use crate::error::ErrorKind;
use crate::protocol::error_response;
use crate::protocol::header;
use crate::transport::abort::abort_connection;
use crate::transport::body::ResponseBody;
use crate::transport::body::ResponseStream;
use crate::transport::http_client::HttpResponse;

/// Value of the outcome header of a completed call.
const OUTCOME_COMPLETED: &str = "completed";

/// Identifies the connection on which a response is sent.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Local port of the connection.
    pub local_port: u16,
    /// Address of the remote end, if known.
    pub remote: Option<SocketAddr>,
}

/// Headers that a node adds to a response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHeaders {
    /// Name of the instance that responds.
    pub instance: String,
    /// Admission level and load, if reported.
    pub level: Option<String>,
    /// Number of spare attempts used, if known.
    pub used_attempts: Option<u32>,
    /// A new idempotency token for the caller's next call.
    pub token: Option<String>,
}

/// Builds the response to the caller of a completed call from the response `received` for it.
///
/// A streamed response polls `upload`, so that the rest of the request body is sent meanwhile, and
/// aborts `connection` if it breaks off.
pub fn completed<'r>(
    received: HttpResponse,
    added: &ResponseHeaders,
    upload: Option<BoxFuture<'r, ()>>,
    connection: Connection,
) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(Status::new(received.status.as_u16()));
    copy_headers(&mut response, &received.headers);
    response.set_raw_header(header::OUTCOME, OUTCOME_COMPLETED);
    add_response_headers(&mut response, added);
    match received.body {
        ResponseBody::Buffered(bytes)
            if bytes.is_empty() && has_content_length(&received.headers) =>
        {
            response.set_streamed_body(tokio::io::empty());
        }
        ResponseBody::Buffered(bytes) => {
            response.remove_header(http::header::CONTENT_LENGTH.as_str());
            response.set_sized_body(bytes.len(), Cursor::new(bytes));
        }
        ResponseBody::Streamed(stream) => {
            let stream = abort_on_error(stream, connection);
            response.set_streamed_body(StreamReader::new(with_upload(stream, upload)));
        }
    }
    response
}

/// Builds the response of a call that was refused or failed, with its error kind as header and
/// text.
pub fn error<'r>(refusal: &Refusal, added: &ResponseHeaders) -> Response<'r> {
    let fields = error_response::error_response(refusal.kind);
    let (outcome, kind) = match refusal.kind {
        ErrorKind::NotRun(kind) => ("not-run", kind.to_string()),
        ErrorKind::Unknown(kind) => ("unknown", kind.to_string()),
    };
    let text = format!("{outcome}: {kind}\n");
    let mut response = Response::new();
    response.set_status(Status::new(fields.status));
    response.set_raw_header("content-type", "text/plain; charset=utf-8");
    response.set_raw_header(header::OUTCOME, outcome);
    response.set_raw_header(header::ERROR, kind);
    add_response_headers(&mut response, added);
    if let Some(wait) = fields.retry_after {
        response.set_raw_header("retry-after", wait.as_secs().to_string());
    }
    if let Some(token) = &refusal.token {
        response.set_raw_header(header::TOKEN, token.clone());
    }
    response.set_sized_body(text.len(), Cursor::new(text));
    response
}

/// Copies the headers of a response except those of the system.
fn copy_headers(response: &mut Response<'_>, headers: &HeaderMap) {
    let is_system = |name: &str| name.starts_with(header::PREFIX);
    for (name, value) in headers.iter().filter(|(name, _)| !is_system(name.as_str())) {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        response.adjoin_raw_header(name.as_str().to_owned(), value);
    }
}

/// Adds the headers of the node.
fn add_response_headers(response: &mut Response<'_>, added: &ResponseHeaders) {
    response.set_raw_header(header::INSTANCE, added.instance.clone());
    if let Some(level) = &added.level {
        response.set_raw_header(header::LEVEL, level.clone());
    }
    if let Some(used_attempts) = added.used_attempts {
        response.set_raw_header(header::EXTRA_ATTEMPTS_USED, used_attempts.to_string());
    }
    if let Some(token) = &added.token {
        response.set_raw_header(header::TOKEN, token.clone());
    }
}

/// Returns whether the response states a length. An empty body with a stated length answers a HEAD
/// request, and the stated length must be kept.
fn has_content_length(headers: &HeaderMap) -> bool {
    headers.contains_key(http::header::CONTENT_LENGTH)
}

/// Aborts the connection when the stream fails, before Rocket could end the response regularly.
fn abort_on_error(stream: ResponseStream, connection: Connection) -> ResponseStream {
    let check = move |chunk: &std::io::Result<bytes::Bytes>| {
        if chunk.is_err()
            && let Some(remote) = connection.remote
        {
            abort_connection(connection.local_port, remote);
        }
    };
    stream.inspect(check).boxed()
}

/// Polls the upload of the request body while the response is being streamed.
fn with_upload<'r>(
    mut stream: ResponseStream,
    upload: Option<BoxFuture<'r, ()>>,
) -> impl futures_util::Stream<Item = std::io::Result<bytes::Bytes>> + Send + Unpin + 'r {
    let mut upload = upload.map(|upload| upload.fuse());
    futures_util::stream::poll_fn(move |cx| {
        if let Some(running) = &mut upload
            && running.poll_unpin(cx).is_ready()
        {
            upload = None;
        }
        stream.poll_next_unpin(cx)
    })
}
