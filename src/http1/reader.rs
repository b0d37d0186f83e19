//! Reading of requests from a connection.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::http1::body::BodyDecoder;
use crate::http1::head;
use crate::http1::head::MessageError;
use crate::http1::head::RequestHead;
use crate::http1::progress::ReadProgress;
use crate::memory::Body;
use crate::memory::MemoryBudget;
use crate::memory::Reservation;

/// Longest time from the first byte of a request to its last one.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(30);

/// Limit on the bytes that are buffered while only the end of the connection is awaited.
const MAX_AHEAD_BYTES: usize = 16 * 1024;

/// Room in the buffer for the next bytes of a head or a short body.
const READ_BYTES: usize = 4 * 1024;

/// Most room in the buffer for the next bytes of a long body.
const LONG_READ_BYTES: usize = 32 * 1024;

/// Memory of a parsed head per byte of its text: the text is copied into strings.
const HEAD_MEMORY_FACTOR: usize = 2;

/// Longest wait for memory before a request is refused.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(1_000);

/// What happens to the bytes that arrive while only the end of the connection is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ahead {
    /// They are the next requests and are kept.
    Keep,
    /// No request follows, and they are discarded.
    Discard,
}

/// Size limits and timeouts for the requests of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// Size limit of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Size limit of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head, and longest wait for
    /// the next bytes of its body.
    pub head_timeout: Duration,
    /// Longest wait for the first byte of a request.
    pub idle_timeout: Duration,
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Head of the request.
    pub head: RequestHead,
    /// Body, without framing. It holds the reservation for the memory of the whole request.
    pub body: Body,
}

/// Reason for which no further request could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The caller closed the connection, or it failed.
    #[error("connection closed: {0}")]
    Closed(io::Error),
    /// No request began within the idle timeout.
    #[error("idle")]
    IdleTimeout,
    /// A request that had begun did not arrive in time.
    #[error("request did not arrive in time")]
    RequestTimeout,
    /// The memory for the messages of callers is used up.
    #[error("no memory for the request")]
    NoMemory,
    /// The caller sent bytes that are not a valid request, or a request above a size limit.
    #[error(transparent)]
    Invalid(#[from] MessageError),
}

/// What [`RequestReader::next`] read from a connection.
#[derive(Debug)]
pub enum Incoming {
    /// A complete request.
    Request(Box<Request>),
    /// The caller waits for `100 Continue` before it sends the body.
    ExpectsContinue,
}

/// Reads consecutive requests from a connection. [`RequestReader::next`] is cancel safe: dropping
/// its future loses no bytes.
#[derive(Debug)]
pub struct RequestReader<R> {
    io: R,
    buf: BytesMut,
    partial: Option<PartialRequest>,
    /// When the first byte of the current request was seen.
    begun_at: Option<Instant>,
    /// When the current request began to wait for memory.
    short_since: Option<Instant>,
    /// Memory of the buffer and of the partial request.
    reservation: Reservation,
    progress: Arc<ReadProgress>,
}

/// A request whose head has been read.
#[derive(Debug)]
struct PartialRequest {
    head: RequestHead,
    decoder: BodyDecoder,
    /// Memory of the parsed head, in bytes.
    head_memory: usize,
}

impl<R> RequestReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Creates a reader for a new connection, which reserves its memory from `budget`.
    pub fn new(io: R, budget: &MemoryBudget) -> RequestReader<R> {
        RequestReader {
            io,
            buf: BytesMut::new(),
            partial: None,
            begun_at: None,
            short_since: None,
            reservation: budget.reserve(),
            progress: Arc::default(),
        }
    }

    /// Returns what is known of the transfer, also while a request is being read.
    pub fn progress(&self) -> &Arc<ReadProgress> {
        &self.progress
    }

    /// Returns whether part of a request has been read.
    pub fn has_partial_request(&self) -> bool {
        self.partial.is_some() || !self.buf.is_empty()
    }

    /// Returns the next complete request, or that the caller waits for `100 Continue`.
    ///
    /// # Errors
    ///
    /// If the connection closed or timed out, or the request is invalid.
    pub async fn next(&mut self, limits: &ReadLimits) -> Result<Incoming, ReadError> {
        loop {
            if let Some(incoming) = self.parse(limits)? {
                return Ok(incoming);
            }
            let (wait, timeout_error) = match self.has_partial_request() {
                true => (self.wait_for_rest(limits), ReadError::RequestTimeout),
                false => (limits.idle_timeout, ReadError::IdleTimeout),
            };
            self.reserve_room().await?;
            let read = timeout(wait, self.io.read_buf(&mut self.buf)).await;
            match read {
                Err(_) => return Err(timeout_error),
                Ok(Ok(0)) => return Err(ReadError::Closed(io::ErrorKind::UnexpectedEof.into())),
                Ok(Ok(n)) => self.progress.record_received(n),
                Ok(Err(e)) => return Err(ReadError::Closed(e)),
            }
        }
    }

    /// Makes room in the buffer for the next bytes, once there is memory for them.
    ///
    /// # Errors
    ///
    /// If there is none for [`MAX_MEMORY_WAIT`].
    async fn reserve_room(&mut self) -> Result<(), ReadError> {
        // The bytes of a body are copied out of the buffer.
        let (room, copied) = match &self.partial {
            Some(partial) => {
                let rest = usize::try_from(partial.decoder.remaining_len()).unwrap_or(usize::MAX);
                let room = rest.clamp(READ_BYTES, LONG_READ_BYTES);
                (room, room)
            }
            None => (READ_BYTES, 0),
        };
        let spare = self.buf.capacity() - self.buf.len();
        let wanted = match spare >= room / 2 {
            true => self.buf.capacity(),
            false => self.buf.len() + room,
        };
        let needed = wanted + self.partial_memory() + copied;
        if !self.reservation.extend_to(needed) {
            let since = *self.short_since.get_or_insert_with(Instant::now);
            let until = since + MAX_MEMORY_WAIT;
            if !self.reservation.wait_to_extend(needed, until).await {
                return Err(ReadError::NoMemory);
            }
        }
        self.short_since = None;
        self.progress.record_held(self.reservation.bytes());
        if wanted > self.buf.capacity() {
            self.buf.reserve(wanted - self.buf.len());
        }
        Ok(())
    }

    /// Returns the memory of the partial request, in bytes.
    fn partial_memory(&self) -> usize {
        let partial = self.partial.as_ref();
        partial.map_or(0, |p| p.head_memory + p.decoder.decoded_len())
    }

    /// Waits until the connection ends, without reading a request. Cancel safe. It never returns once
    /// the bytes to keep have reached [`MAX_AHEAD_BYTES`] or there is no memory for more.
    pub async fn closed(&mut self, ahead: Ahead) -> io::Error {
        loop {
            if ahead == Ahead::Discard {
                self.buf.clear();
            }
            if self.buf.len() >= MAX_AHEAD_BYTES || self.reserve_room().await.is_err() {
                return std::future::pending().await;
            }
            match self.io.read_buf(&mut self.buf).await {
                Ok(n) if n > 0 => (),
                Ok(_) => return io::ErrorKind::UnexpectedEof.into(),
                Err(e) => return e,
            }
        }
    }

    /// Returns how long to wait for the next bytes of a request that has begun. A caller that sends
    /// one byte at a time must not hold the connection without end.
    fn wait_for_rest(&mut self, limits: &ReadLimits) -> Duration {
        let elapsed = self.begun_at.get_or_insert_with(Instant::now).elapsed();
        match self.partial {
            None => limits.head_timeout.saturating_sub(elapsed),
            Some(_) => limits
                .head_timeout
                .min(MAX_REQUEST_TIME.saturating_sub(elapsed)),
        }
    }

    /// Reads and discards everything until the connection closes, for at most `limit`. Returns
    /// whether it closed.
    pub async fn discard_rest(&mut self, limit: Duration) -> bool {
        let until_closed = async {
            loop {
                self.buf.clear();
                match self.io.read_buf(&mut self.buf).await {
                    Ok(n) if n > 0 => (),
                    _ => return,
                }
            }
        };
        timeout(limit, until_closed).await.is_ok()
    }

    /// Parses the buffered bytes. Returns `None` if more are needed.
    fn parse(&mut self, limits: &ReadLimits) -> Result<Option<Incoming>, ReadError> {
        if self.partial.is_none() {
            self.skip_empty_lines();
            let Some((head, len)) = head::parse_request(&self.buf, limits.max_head_bytes)? else {
                return Ok(None);
            };
            self.buf.advance(len);
            let decoder = BodyDecoder::new(head.framing, limits.max_body_bytes);
            let awaits_continue = head.expects_continue && self.buf.is_empty();
            self.partial = Some(PartialRequest {
                head,
                decoder,
                head_memory: len * HEAD_MEMORY_FACTOR,
            });
            if awaits_continue {
                return Ok(Some(Incoming::ExpectsContinue));
            }
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        if !partial.decoder.decode(&mut self.buf)? {
            return Ok(None);
        }
        self.begun_at = None;
        let memory = self.partial_memory();
        let Some(partial) = self.partial.take() else {
            return Ok(None);
        };
        self.release_buffer();
        let reservation = self.reservation.split(memory);
        self.reservation.shrink_to(self.buf.capacity());
        self.progress.record_request(self.reservation.bytes());
        let request = Request {
            head: partial.head,
            body: partial.decoder.into_body().with_reservation(reservation),
        };
        Ok(Some(Incoming::Request(Box::new(request))))
    }

    /// Frees a buffer that was enlarged for a long body.
    fn release_buffer(&mut self) {
        if self.buf.capacity() > LONG_READ_BYTES / 2 && self.buf.len() <= READ_BYTES {
            self.buf = BytesMut::from(&self.buf[..]);
        }
    }

    /// Skips empty lines before a request, as HTTP/1.1 advises servers to do.
    fn skip_empty_lines(&mut self) {
        while self.buf.starts_with(b"\r\n") {
            self.buf.advance(2);
        }
    }
}
