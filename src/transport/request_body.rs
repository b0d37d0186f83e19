//! Reading of request bodies and their upload to the target or another node.

use std::future::Future;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::future::Fuse;
use rocket::Data;

use crate::error::NotRunKind;
use crate::node::Node;
use crate::transport::body;
use crate::transport::body::RequestBody;
use crate::transport::head::Head;

/// The upload of a streamed request body. It must be polled until it ends.
pub type BodyUpload<'r> = Fuse<BoxFuture<'r, ()>>;

/// Start of a form from which Rocket takes the request method.
const METHOD_OVERRIDE: &[u8] = b"_method=";

/// Content type of an HTML form.
const FORM: &str = "application/x-www-form-urlencoded";

/// Reads the body of a request. Bodies up to the configured buffer size are buffered, larger ones
/// are streamed.
///
/// Rocket replaces the method of a POST request by the method in the first field of a form and
/// drops the original one. Such a form is refused, because it would be forwarded with the wrong
/// method.
///
/// # Errors
///
/// `BadRequest` for such a form or a malformed length, `BodyTooLarge` for a body above the limit.
pub async fn read_body<'r>(
    node: &Node,
    head: &Head,
    mut data: Data<'r>,
) -> Result<RequestBody<'r>, NotRunKind> {
    let is_form = head
        .header_text("content-type")
        .is_some_and(|text| text.starts_with(FORM));
    if is_form && data.peek(METHOD_OVERRIDE.len()).await == METHOD_OVERRIDE {
        return Err(NotRunKind::BadRequest);
    }
    let length = head.header_number(http::header::CONTENT_LENGTH.as_str())?;
    let cfg = &node.settings.limits;
    RequestBody::read(
        data,
        length,
        cfg.request_buffer_bytes as usize,
        cfg.max_body_bytes,
    )
    .await
}

/// Adds a body to a request. For a streamed body also returns the upload, which must be polled
/// while the request is being sent.
pub fn with_body<'r>(
    node: &Node,
    req: reqwest::RequestBuilder,
    body: RequestBody<'r>,
) -> (reqwest::RequestBuilder, Option<BodyUpload<'r>>) {
    match body {
        RequestBody::Buffered(bytes) => (buffered_body(req, &bytes), None),
        RequestBody::Streamed {
            first,
            rest,
            length,
        } => {
            let (tx, stream) = body::channel();
            let upload = body::send_chunks(first, rest, node.settings.limits.max_body_bytes, tx)
                .boxed()
                .fuse();
            let req = match length {
                Some(length) => req.header(http::header::CONTENT_LENGTH, length),
                None => req,
            };
            (req.body(stream), Some(upload))
        }
    }
}

/// Adds a buffered body to a request, unless it is empty.
pub fn buffered_body(req: reqwest::RequestBuilder, bytes: &Bytes) -> reqwest::RequestBuilder {
    if bytes.is_empty() {
        req
    } else {
        req.body(bytes.clone())
    }
}

/// Waits for `work` while polling the upload, and sets the upload to `None` once it has ended.
pub async fn drive<F>(work: F, upload: &mut Option<BodyUpload<'_>>) -> F::Output
where
    F: Future,
{
    let Some(running) = upload else {
        return work.await;
    };
    let mut work = std::pin::pin!(work);
    tokio::select! {
        output = &mut work => output,
        () = &mut *running => {
            *upload = None;
            work.await
        }
    }
}
