//! Counts the bytes of control messages.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::status::TrafficStatus;

/// Bytes of control messages, without the heads that HTTP adds.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl TrafficCounter {
    /// Counts bytes that are sent.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes that were received.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes since the start.
    pub fn total(&self) -> TrafficStatus {
        TrafficStatus {
            sent_bytes: self.sent.load(Ordering::Relaxed),
            received_bytes: self.received.load(Ordering::Relaxed),
        }
    }
}
