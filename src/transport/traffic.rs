//! Byte counters of the control plane's messages.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::status::TrafficStatus;

/// Counts the bytes of control messages, without the HTTP heads.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl TrafficCounter {
    /// Adds the size of a message that is sent.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds the size of a message, or of a part of one, that was received.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes counted since the start of the process.
    pub fn total(&self) -> TrafficStatus {
        TrafficStatus {
            sent_bytes: self.sent.load(Ordering::Relaxed),
            received_bytes: self.received.load(Ordering::Relaxed),
        }
    }
}
