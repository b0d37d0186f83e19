//! Limit on the bytes of message bodies that a node buffers at once.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Share of the limit that one body may take, as a divisor, so that a single endless body cannot
/// use up the memory of all others.
const SHARE_OF_ONE_BODY: usize = 4;

/// Counts the buffered bytes of all bodies against a limit. Clones share the count.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl BodyMemory {
    /// Builds a count with a limit in bytes.
    pub fn new(limit: usize) -> BodyMemory {
        BodyMemory {
            used: Arc::default(),
            limit,
        }
    }

    /// Returns the limit on the bytes of one body.
    pub fn max_body_bytes(&self) -> usize {
        self.limit / SHARE_OF_ONE_BODY
    }

    /// Returns the number of bytes that are reserved now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// Bytes reserved for one body. Dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    memory: BodyMemory,
    bytes: usize,
}

impl Reservation {
    /// Extends the reservation to `bytes` in total. Returns false, and reserves no more, if that
    /// would exceed the limit.
    #[must_use]
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let used = self.memory.used.fetch_add(more, Ordering::Relaxed) + more;
        if used > self.memory.limit {
            self.memory.used.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
