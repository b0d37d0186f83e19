//! Builds the answer to a caller or to another node.

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
use crate::transport::body::AnswerBody;
use crate::transport::body::AnswerStream;
use crate::transport::http_client::Answer;

const OUTCOME_COMPLETED: &str = "completed";

/// The connection that an answer goes out on.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Port that this node serves.
    pub local_port: u16,
    /// Address of the other end.
    pub remote: Option<SocketAddr>,
}

/// What a node adds to an answer.
#[derive(Clone, Debug, Default)]
pub struct ResponseHeaders {
    /// Instance that answers.
    pub instance: String,
    /// Admission level and load, where they are told.
    pub level: Option<String>,
    /// Spare attempts used, where they are known.
    pub spent: Option<u32>,
    /// A fresh idempotency token for the next call.
    pub token: Option<String>,
}

/// Builds the response that carries a whole answer of a target.
pub fn completed<'r>(
    found: Answer,
    added: &ResponseHeaders,
    upload: Option<BoxFuture<'r, ()>>,
    connection: Connection,
) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(Status::new(found.status.as_u16()));
    copy_headers(&mut response, &found.headers);
    response.set_raw_header(header::OUTCOME, OUTCOME_COMPLETED);
    add_response_headers(&mut response, added);
    match found.body {
        AnswerBody::Buffered(bytes) if bytes.is_empty() && states_length(&found.headers) => {
            response.set_streamed_body(tokio::io::empty());
        }
        AnswerBody::Buffered(bytes) => {
            response.remove_header(http::header::CONTENT_LENGTH.as_str());
            response.set_sized_body(bytes.len(), Cursor::new(bytes));
        }
        AnswerBody::Streamed(stream) => {
            let stream = aborting(stream, connection);
            response.set_streamed_body(StreamReader::new(with_upload(stream, upload)));
        }
    }
    response
}

/// Builds the response that tells an error kind.
pub fn error<'r>(refusal: &Refusal, added: &ResponseHeaders) -> Response<'r> {
    let row = error_response::error_response(refusal.kind);
    let (outcome, kind) = match refusal.kind {
        ErrorKind::NotRun(kind) => ("not-run", kind.to_string()),
        ErrorKind::Unknown(kind) => ("unknown", kind.to_string()),
    };
    let text = format!("{outcome}: {kind}\n");
    let mut response = Response::new();
    response.set_status(Status::new(row.status));
    response.set_raw_header("content-type", "text/plain; charset=utf-8");
    response.set_raw_header(header::OUTCOME, outcome);
    response.set_raw_header(header::ERROR, kind);
    add_response_headers(&mut response, added);
    if let Some(wait) = row.retry_after {
        response.set_raw_header("retry-after", wait.as_secs().to_string());
    }
    if let Some(token) = &refusal.token {
        response.set_raw_header(header::TOKEN, token.clone());
    }
    response.set_sized_body(text.len(), Cursor::new(text));
    response
}

fn copy_headers(response: &mut Response<'_>, headers: &HeaderMap) {
    let system = |name: &str| name.starts_with(header::PREFIX);
    for (name, value) in headers.iter().filter(|(name, _)| !system(name.as_str())) {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        response.adjoin_raw_header(name.as_str().to_owned(), value);
    }
}

fn add_response_headers(response: &mut Response<'_>, added: &ResponseHeaders) {
    response.set_raw_header(header::INSTANCE, added.instance.clone());
    if let Some(level) = &added.level {
        response.set_raw_header(header::LEVEL, level.clone());
    }
    if let Some(spent) = added.spent {
        response.set_raw_header(header::SPENT, spent.to_string());
    }
    if let Some(token) = &added.token {
        response.set_raw_header(header::TOKEN, token.clone());
    }
}

/// An answer to HEAD states the length of a body that is not sent.
fn states_length(headers: &HeaderMap) -> bool {
    headers.contains_key(http::header::CONTENT_LENGTH)
}

fn aborting(stream: AnswerStream, connection: Connection) -> AnswerStream {
    let check = move |chunk: &std::io::Result<bytes::Bytes>| {
        if chunk.is_err()
            && let Some(remote) = connection.remote
        {
            abort_connection(connection.local_port, remote);
        }
    };
    stream.inspect(check).boxed()
}

/// Goes on sending the request body while the answer is passed on.
fn with_upload<'r>(
    mut stream: AnswerStream,
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
