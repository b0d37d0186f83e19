//! A request body that another node sends in pieces while the request runs.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::memory::Reservation;
use crate::protocol::frame::Frame;
use crate::relay::peer_writer::ToPeer;

/// Number of bytes that the sender may be ahead of the target.
const WINDOW_BYTES: u64 = 256 * 1024;

/// The body could not be received to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body broke off")]
pub struct BrokenBody;

/// Passes the parts of a body on to its run.
#[derive(Debug)]
pub(super) struct BodySender {
    tx: mpsc::UnboundedSender<Bytes>,
    /// Bytes that the sender may still send.
    allowance: Arc<AtomicU64>,
}

impl BodySender {
    /// Passes a part on. A run that has ended takes none.
    ///
    /// # Errors
    ///
    /// If the part exceeds the credit of its sender.
    pub(super) fn send(&self, part: Vec<u8>) -> Result<(), BrokenBody> {
        let len = part.len() as u64;
        let allowed = self.allowance.load(Ordering::Relaxed);
        if len > allowed {
            return Err(BrokenBody);
        }
        self.allowance.fetch_sub(len, Ordering::Relaxed);
        // A send fails only if the run has ended.
        drop(self.tx.send(Bytes::from(part)));
        Ok(())
    }
}

/// A body that is received while it is passed on to the target. Its sender gets credit only once
/// the run begins, so that the body of a refused request is not sent at all.
#[derive(Debug)]
pub struct IncomingBody {
    number: u32,
    len: u64,
    /// Bytes for which the sender has credit.
    granted: u64,
    taken: u64,
    rx: mpsc::UnboundedReceiver<Bytes>,
    allowance: Arc<AtomicU64>,
    credits: mpsc::Sender<ToPeer>,
    window: Reservation,
}

impl IncomingBody {
    /// Builds the body of the request `number` with `len` bytes. Credit is sent through `credits`,
    /// and the memory of the parts in transit is reserved in `window`.
    pub(super) fn new(
        number: u32,
        len: u64,
        credits: mpsc::Sender<ToPeer>,
        window: Reservation,
    ) -> (BodySender, IncomingBody) {
        let (tx, rx) = mpsc::unbounded_channel();
        let allowance: Arc<AtomicU64> = Arc::default();
        let sender = BodySender {
            tx,
            allowance: allowance.clone(),
        };
        let body = IncomingBody {
            number,
            len,
            granted: 0,
            taken: 0,
            rx,
            allowance,
            credits,
            window,
        };
        (sender, body)
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the next part, or nothing after the last one.
    ///
    /// # Errors
    ///
    /// If the sender is gone, or there is no memory for `max_wait`.
    pub async fn next(&mut self, max_wait: Duration) -> Result<Option<Bytes>, BrokenBody> {
        if self.taken == self.len {
            return Ok(None);
        }
        self.grant(max_wait).await?;
        let part = self.rx.recv().await.ok_or(BrokenBody)?;
        self.taken += part.len() as u64;
        Ok(Some(part))
    }

    /// Gives the sender credit once it has used up half of its window.
    async fn grant(&mut self, max_wait: Duration) -> Result<(), BrokenBody> {
        let ahead = self.granted - self.taken;
        let more = (self.taken + WINDOW_BYTES).min(self.len) - self.granted;
        if more == 0 || ahead > WINDOW_BYTES / 2 {
            return Ok(());
        }
        let window = WINDOW_BYTES.min(self.len) as usize;
        let until = Instant::now() + max_wait;
        if !self.window.wait_to_extend(window, until).await {
            return Err(BrokenBody);
        }
        self.granted += more;
        self.allowance.fetch_add(more, Ordering::Relaxed);
        let credit = Frame::Credit {
            number: self.number,
            bytes: more,
        };
        let sent = self.credits.send(ToPeer::Frame(credit)).await;
        sent.map_err(|_| BrokenBody)
    }
}
