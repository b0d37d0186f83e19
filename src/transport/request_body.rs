//! Request bodies on their way from a caller to the next hop.

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

/// A request body that is still being sent on.
pub type BodyUpload<'r> = Fuse<BoxFuture<'r, ()>>;

/// Start of a form in which Rocket looks for another method.
const METHOD_OVERRIDE: &[u8] = b"_method=";

const FORM: &str = "application/x-www-form-urlencoded";

/// Reads the body of a request, holding it whole if it is small.
///
/// Rocket replaces the method of a POST by the one that a form names in its first field. The
/// method that was sent is then lost, so that such a form is refused.
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

/// Adds a body to a request; a streamed one comes with the upload that must be driven.
pub fn with_body<'r>(
    node: &Node,
    req: reqwest::RequestBuilder,
    body: RequestBody<'r>,
) -> (reqwest::RequestBuilder, Option<BodyUpload<'r>>) {
    match body {
        RequestBody::Buffered(bytes) => (held_body(req, &bytes), None),
        RequestBody::Streamed {
            first,
            rest,
            length,
        } => {
            let (tx, out) = body::channel();
            let upload = body::send_chunks(first, rest, node.settings.limits.max_body_bytes, tx)
                .boxed()
                .fuse();
            let req = match length {
                Some(length) => req.header(http::header::CONTENT_LENGTH, length),
                None => req,
            };
            (req.body(out), Some(upload))
        }
    }
}

/// Adds a body that is held, if there is one.
pub fn held_body(req: reqwest::RequestBuilder, bytes: &Bytes) -> reqwest::RequestBuilder {
    if bytes.is_empty() {
        req
    } else {
        req.body(bytes.clone())
    }
}

/// Waits for `work` while the request body is being sent.
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
