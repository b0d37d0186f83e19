//! Writes the responses of one connection to its caller, who may read slowly.

use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::http1::write;
use crate::relay::response::CallerResponse;
use crate::relay::socket;

/// Time without progress after which a caller that reads nothing counts as gone. It is longer than
/// callers wait for responses.
pub(super) const STALLED_AFTER: Duration = Duration::from_secs(30);

/// Interim response to a request that expects one before it sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Length up to which a body is copied behind its head, so that both are written at once.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// Writes one response at a time. The bytes that the connection does not take at once are kept.
#[derive(Debug)]
pub(super) struct ResponseWriter {
    wr: OwnedWriteHalf,
    out: Vec<u8>,
    written: usize,
    /// Rest of a long body, which is written piece by piece after `out`.
    body: Vec<Bytes>,
    progress_at: Instant,
}

impl ResponseWriter {
    /// Creates a writer for a new connection.
    pub(super) fn new(wr: OwnedWriteHalf) -> ResponseWriter {
        ResponseWriter {
            wr,
            out: Vec::new(),
            written: 0,
            body: Vec::new(),
            progress_at: Instant::now(),
        }
    }

    /// Returns whether bytes are left to write.
    pub(super) fn is_writing(&self) -> bool {
        self.written < self.out.len() || !self.body.is_empty()
    }

    /// Returns when the connection last took bytes.
    pub(super) fn progress_at(&self) -> Instant {
        self.progress_at
    }

    /// Returns whether the caller has not yet taken all bytes that were written.
    pub(super) fn has_unread(&self) -> bool {
        socket::unsent_bytes(self.wr.as_ref()) > 0
    }

    /// Starts to write a response. `close` adds `Connection: close`.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub(super) fn start(
        &mut self,
        response: &CallerResponse,
        close: bool,
        is_head: bool,
    ) -> io::Result<()> {
        let CallerResponse {
            status,
            headers,
            body,
        } = response;
        write::response_head(&mut self.out, *status, headers, body.len(), close);
        match is_head {
            true => (),
            false if body.len() <= MAX_COPIED_BYTES => body.append_to(&mut self.out),
            false => self.body = body.pieces().iter().rev().cloned().collect(),
        }
        self.write_now()
    }

    /// Starts to write an interim response, after a response that is being written.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub(super) fn start_continue(&mut self) -> io::Result<()> {
        match self.body.is_empty() {
            true => self.out.extend_from_slice(CONTINUE),
            // The last piece comes first.
            false => self.body.insert(0, Bytes::from_static(CONTINUE)),
        }
        self.write_now()
    }

    /// Writes what the connection takes without waiting.
    fn write_now(&mut self) -> io::Result<()> {
        self.progress_at = Instant::now();
        while self.is_writing() {
            match self
                .wr
                .try_write(next_bytes(&self.out[self.written..], &self.body))
            {
                Ok(n) => self.record_written(n)?,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Waits until the connection takes further bytes. Cancel safe.
    ///
    /// # Errors
    ///
    /// If the connection is broken, or took none for [`STALLED_AFTER`].
    pub(super) async fn write_more(&mut self) -> io::Result<()> {
        let stalled_at = self.progress_at + STALLED_AFTER;
        let next = next_bytes(&self.out[self.written..], &self.body);
        match timeout_at(stalled_at, self.wr.write(next)).await {
            Ok(written) => self.record_written(written?),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn record_written(&mut self, n: usize) -> io::Result<()> {
        if n == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.progress_at = Instant::now();
        if self.written < self.out.len() {
            self.written += n;
        } else if let Some(piece) = self.body.last_mut() {
            piece.advance(n);
            if piece.is_empty() {
                self.body.pop();
            }
        }
        if !self.is_writing() {
            self.out.clear();
            self.out.shrink_to(MAX_COPIED_BYTES);
            self.written = 0;
        }
        Ok(())
    }

    /// Shuts down the write side of the connection.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub(super) async fn shutdown(&mut self) -> io::Result<()> {
        self.wr.shutdown().await
    }
}

/// Returns the bytes to write next: the rest of the head, then the pieces of the body.
fn next_bytes<'a>(head: &'a [u8], body: &'a [Bytes]) -> &'a [u8] {
    match head.is_empty() {
        false => head,
        true => body.last().map_or(&[], |piece| piece),
    }
}
