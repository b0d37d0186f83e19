//! Reads requests from a connection.

use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

use crate::http1::body::BodyDecoder;
use crate::http1::head;
use crate::http1::head::MessageError;
use crate::http1::head::RequestHead;

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}

/// A request that was read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body, without framing.
    pub body: Vec<u8>,
}

/// How reading ended without a request.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The caller closed the connection, or it broke.
    #[error("connection closed: {0}")]
    Closed(io::Error),
    /// No request began within the idle time.
    #[error("idle")]
    IdleTimeout,
    /// The head was not complete in time.
    #[error("head took too long")]
    HeadTimeout,
    /// What was sent is no acceptable request.
    #[error(transparent)]
    Invalid(#[from] MessageError),
}

/// What comes next on a connection.
#[derive(Debug)]
pub enum Incoming {
    /// A whole request.
    Request(Box<Request>),
    /// The caller waits for `100 Continue` before it sends the body.
    Continue,
}

/// Reads requests one after the other. Dropping [`RequestReader::next`] loses no bytes.
#[derive(Debug)]
pub struct RequestReader<R> {
    io: R,
    buf: BytesMut,
    open: Option<(RequestHead, BodyDecoder)>,
}

impl<R> RequestReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Builds a reader of a new connection.
    pub fn new(io: R) -> RequestReader<R> {
        RequestReader {
            io,
            buf: BytesMut::new(),
            open: None,
        }
    }

    /// Returns whether part of a request was read.
    pub fn has_partial_request(&self) -> bool {
        self.open.is_some() || !self.buf.is_empty()
    }

    /// Returns what comes next.
    ///
    /// # Errors
    ///
    /// If the connection ended, stayed idle, or what was sent is no acceptable request.
    pub async fn next(&mut self, limits: &ReadLimits) -> Result<Incoming, ReadError> {
        loop {
            if let Some(incoming) = self.parse(limits)? {
                return Ok(incoming);
            }
            let (wait, late) = match self.has_partial_request() {
                true => (limits.head_timeout, ReadError::HeadTimeout),
                false => (limits.idle_timeout, ReadError::IdleTimeout),
            };
            let read = timeout(wait, self.io.read_buf(&mut self.buf)).await;
            match read {
                Err(_) => return Err(late),
                Ok(Ok(0)) => return Err(ReadError::Closed(io::ErrorKind::UnexpectedEof.into())),
                Ok(Ok(_)) => (),
                Ok(Err(e)) => return Err(ReadError::Closed(e)),
            }
        }
    }

    /// Reads and drops what still comes until the connection ends, for at most `span`.
    pub async fn discard_rest(&mut self, span: Duration) {
        let until_end = async {
            loop {
                self.buf.clear();
                match self.io.read_buf(&mut self.buf).await {
                    Ok(n) if n > 0 => (),
                    _ => return,
                }
            }
        };
        // Running out of time is how a caller that stays is left.
        let _ = timeout(span, until_end).await;
    }

    fn parse(&mut self, limits: &ReadLimits) -> Result<Option<Incoming>, ReadError> {
        if self.open.is_none() {
            self.skip_empty_lines();
            let Some((head, len)) = head::parse_request(&self.buf, limits.max_head_bytes)? else {
                return Ok(None);
            };
            self.buf.advance(len);
            let decoder = BodyDecoder::new(head.framing, limits.max_body_bytes);
            let waits = head.expects_continue && self.buf.is_empty();
            self.open = Some((head, decoder));
            if waits {
                return Ok(Some(Incoming::Continue));
            }
        }
        let Some((_, decoder)) = &mut self.open else {
            return Ok(None);
        };
        if !decoder.decode(&mut self.buf)? {
            return Ok(None);
        }
        let request = self.open.take().map(|(head, decoder)| Request {
            head,
            body: decoder.into_body(),
        });
        Ok(request.map(Box::new).map(Incoming::Request))
    }

    /// An empty line before a request is allowed and ignored.
    fn skip_empty_lines(&mut self) {
        while self.buf.starts_with(b"\r\n") {
            self.buf.advance(2);
        }
    }
}
