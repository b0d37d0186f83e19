//! Bodies of requests and responses: buffered whole when small, streamed when large.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use rocket::Data;
use rocket::data::ByteUnit;
use rocket::data::DataStream;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

use crate::error::NotRunKind;

/// Capacity of the buffer for one read of a streamed request body, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Capacity of the channel of a streamed request body, in chunks.
const CHUNKS_IN_FLIGHT: usize = 4;

/// Body of an arriving request.
pub enum RequestBody<'r> {
    /// Complete and in memory, so that it can be sent more than once.
    Buffered(Bytes),
    /// Forwarded as it arrives, so that it can be sent only once.
    Streamed {
        /// The part that has been read already.
        first: Bytes,
        /// The part that has not been read yet.
        rest: Box<DataStream<'r>>,
        /// Value of the content-length header, in bytes.
        length: Option<u64>,
    },
}

impl<'r> RequestBody<'r> {
    /// Returns a copy of the body if it can be sent more than once.
    pub fn resendable(&self) -> Option<Bytes> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes.clone()),
            RequestBody::Streamed { .. } => None,
        }
    }

    /// Reads a body. One of up to `buffer_bytes` bytes is buffered, a larger one is streamed.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge` if the stated length is above `max` bytes, `BadRequest` if reading fails. The
    /// actual length of a streamed body is checked by [`send_chunks`].
    pub async fn read(
        data: Data<'r>,
        length: Option<u64>,
        buffer_bytes: usize,
        max: u64,
    ) -> Result<RequestBody<'r>, NotRunKind> {
        if length.is_some_and(|n| n > max) {
            return Err(NotRunKind::BodyTooLarge);
        }
        let mut rest = Box::new(data.open(ByteUnit::Byte(max.saturating_add(1))));
        let mut first =
            BytesMut::with_capacity(length.unwrap_or(0).min(buffer_bytes as u64) as usize);
        while first.len() <= buffer_bytes {
            let read = rest
                .read_buf(&mut first)
                .await
                .map_err(|_| NotRunKind::BadRequest)?;
            if read == 0 {
                return Ok(RequestBody::Buffered(first.freeze()));
            }
        }
        Ok(RequestBody::Streamed {
            first: first.freeze(),
            rest,
            length,
        })
    }
}

/// Sends a streamed request body to a channel until it ends, fails or exceeds `max` bytes.
///
/// Errors are sent to the channel too, because a body that merely stopped would look complete to
/// the receiver.
pub async fn send_chunks(
    first: Bytes,
    mut rest: Box<DataStream<'_>>,
    max: u64,
    tx: mpsc::Sender<io::Result<Bytes>>,
) {
    let mut sent = first.len() as u64;
    if tx.send(Ok(first)).await.is_err() {
        return;
    }
    loop {
        let mut buf = BytesMut::with_capacity(READ_BYTES);
        let chunk = match rest.read_buf(&mut buf).await {
            Ok(0) => return,
            Ok(n) => {
                sent += n as u64;
                Ok(buf.freeze())
            }
            Err(e) => Err(e),
        };
        let chunk = if sent > max {
            Err(io::Error::other("request body is too large"))
        } else {
            chunk
        };
        let failed = chunk.is_err();
        if tx.send(chunk).await.is_err() || failed {
            return;
        }
    }
}

/// Creates the channel between [`send_chunks`] and the body of the forwarded request.
pub fn channel() -> (mpsc::Sender<io::Result<Bytes>>, reqwest::Body) {
    let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let stream = futures_util::stream::unfold(rx, |mut rx| async move {
        let chunk = rx.recv().await?;
        Some((chunk, rx))
    });
    (tx, reqwest::Body::wrap_stream(stream))
}

/// Body of a response.
pub enum ResponseBody {
    /// Complete and in memory.
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Streamed(ResponseStream),
}

/// Chunks of a response's body that is still arriving.
pub type ResponseStream = BoxStream<'static, io::Result<Bytes>>;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The source ended regularly and everything was forwarded.
    Complete,
    /// The source failed before its end.
    Truncated,
    /// The stream was dropped before its end, as when the caller disconnects.
    Abandoned,
}

/// Forwards a stream and calls `on_end` once with the way in which it ended.
pub fn notify_on_end<F>(stream: ResponseStream, on_end: F) -> ResponseStream
where
    F: FnOnce(StreamEnd) + Send + Unpin + 'static,
{
    NotifyOnEnd {
        stream,
        on_end: Some(on_end),
    }
    .boxed()
}

/// The stream of [`notify_on_end`].
struct NotifyOnEnd<F>
where
    F: FnOnce(StreamEnd),
{
    stream: ResponseStream,
    on_end: Option<F>,
}

impl<F> Stream for NotifyOnEnd<F>
where
    F: FnOnce(StreamEnd) + Unpin,
{
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = std::task::ready!(self.stream.poll_next_unpin(cx));
        let end = match &next {
            None => Some(StreamEnd::Complete),
            Some(Err(_)) => Some(StreamEnd::Truncated),
            Some(Ok(_)) => None,
        };
        if let Some(end) = end
            && let Some(on_end) = self.on_end.take()
        {
            on_end(end);
        }
        Poll::Ready(next)
    }
}

impl<F> Drop for NotifyOnEnd<F>
where
    F: FnOnce(StreamEnd),
{
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end(StreamEnd::Abandoned);
        }
    }
}
