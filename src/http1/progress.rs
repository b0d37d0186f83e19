//! What is known of the transfer on a connection of a caller while a request is being read.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

/// Counters of one connection, read by another task than the one that reads the connection.
#[derive(Debug, Default)]
pub struct ReadProgress {
    held: AtomicUsize,
    received: AtomicU64,
    requests: AtomicU64,
    received_at: Mutex<Option<Instant>>,
}

impl ReadProgress {
    /// Returns the memory that the reader holds, in bytes.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received since the connection was opened.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns when bytes were last received.
    pub fn received_at(&self) -> Option<Instant> {
        *self.received_at.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Returns the number of complete requests since the connection was opened.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    pub(super) fn record_held(&self, bytes: usize) {
        self.held.store(bytes, Ordering::Relaxed);
    }

    pub(super) fn record_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        let now = Instant::now();
        *self.received_at.lock().unwrap_or_else(|p| p.into_inner()) = Some(now);
    }

    /// Records a complete request, after which the reader holds `bytes`.
    pub(super) fn record_request(&self, bytes: usize) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.record_held(bytes);
    }
}
