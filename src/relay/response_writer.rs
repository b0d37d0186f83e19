//! Writes the responses of one connection to its caller, who may read slowly.

use std::io;
use std::time::Duration;

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

/// Writes one response at a time. The bytes that the connection does not take at once are kept.
#[derive(Debug)]
pub(super) struct ResponseWriter {
    wr: OwnedWriteHalf,
    out: Vec<u8>,
    written: usize,
    progress_at: Instant,
}

impl ResponseWriter {
    /// Creates a writer for a new connection.
    pub(super) fn new(wr: OwnedWriteHalf) -> ResponseWriter {
        ResponseWriter {
            wr,
            out: Vec::new(),
            written: 0,
            progress_at: Instant::now(),
        }
    }

    /// Returns whether bytes are left to write.
    pub(super) fn is_writing(&self) -> bool {
        self.written < self.out.len()
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
        write::response(&mut self.out, *status, headers, body, close, is_head);
        self.write_now()
    }

    /// Starts to write an interim response, after a response that is being written.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub(super) fn start_continue(&mut self) -> io::Result<()> {
        self.out.extend_from_slice(CONTINUE);
        self.write_now()
    }

    /// Writes what the connection takes without waiting.
    fn write_now(&mut self) -> io::Result<()> {
        self.progress_at = Instant::now();
        match self.wr.try_write(&self.out[self.written..]) {
            Ok(n) => self.record_written(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Waits until the connection takes further bytes. Cancel safe.
    ///
    /// # Errors
    ///
    /// If the connection is broken, or took none for [`STALLED_AFTER`].
    pub(super) async fn write_more(&mut self) -> io::Result<()> {
        let stalled_at = self.progress_at + STALLED_AFTER;
        let rest = &self.out[self.written..];
        match timeout_at(stalled_at, self.wr.write(rest)).await {
            Ok(written) => self.record_written(written?),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn record_written(&mut self, n: usize) -> io::Result<()> {
        if n == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.written += n;
        self.progress_at = Instant::now();
        if !self.is_writing() {
            self.out.clear();
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
