//! Bodies of requests and answers, held whole when small and streamed when large.

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

/// Size of one read from a connection, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Chunks that wait between the two ends of a streamed request body.
const CHUNKS_IN_FLIGHT: usize = 4;

/// Body of a request that has arrived.
pub enum RequestBody<'r> {
    /// Small enough to be sent more than once.
    Buffered(Bytes),
    /// Sent on as it arrives, once.
    Streamed {
        /// The part that was read already.
        first: Bytes,
        /// The rest.
        rest: Box<DataStream<'r>>,
        /// Length that the sender stated, in bytes.
        length: Option<u64>,
    },
}

impl<'r> RequestBody<'r> {
    /// Returns the body if it can be sent again.
    pub fn resendable(&self) -> Option<Bytes> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes.clone()),
            RequestBody::Streamed { .. } => None,
        }
    }

    /// Reads a body, holding up to `buffer_bytes` bytes; one of more than `max` bytes is refused.
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

/// Copies a streamed request body into a channel until it ends.
///
/// An error goes into the channel, so that a truncated body never looks complete.
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
            Err(io::Error::other("body too large"))
        } else {
            chunk
        };
        let failed = chunk.is_err();
        if tx.send(chunk).await.is_err() || failed {
            return;
        }
    }
}

/// Builds the channel between [`upload`] and the body that is sent on.
pub fn channel() -> (mpsc::Sender<io::Result<Bytes>>, reqwest::Body) {
    let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let stream = futures_util::stream::unfold(rx, |mut rx| async move {
        let chunk = rx.recv().await?;
        Some((chunk, rx))
    });
    (tx, reqwest::Body::wrap_stream(stream))
}

/// Body of an answer.
pub enum AnswerBody {
    /// Complete and held.
    Buffered(Bytes),
    /// Passed on as it arrives.
    Streamed(AnswerStream),
}

/// An answer that is still arriving.
pub type AnswerStream = BoxStream<'static, io::Result<Bytes>>;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The last byte was passed on.
    Complete,
    /// The source failed.
    Truncated,
    /// The reader left before the end.
    Abandoned,
}

/// Passes on a stream and tells `on_end`, once, how it ended.
pub fn notify_on_end<F>(stream: AnswerStream, on_end: F) -> AnswerStream
where
    F: FnOnce(StreamEnd) + Send + Unpin + 'static,
{
    NotifyOnEnd {
        stream,
        on_end: Some(on_end),
    }
    .boxed()
}

struct NotifyOnEnd<F>
where
    F: FnOnce(StreamEnd),
{
    stream: AnswerStream,
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
