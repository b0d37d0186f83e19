//! Budget of the bytes that a node holds for others.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Size up to which a message counts as small, in bytes.
pub const SMALL_MESSAGE_BYTES: usize = 128 * 1024;

/// The part of the budget that only small messages can use, as a divisor.
const SMALL_PART: usize = 5;

/// The part of the budget that one body of unknown length can use, as a divisor, so that a single
/// endless body cannot use up the memory of all others.
const UNKNOWN_LENGTH_PART: usize = 4;

/// Longest time between two attempts to extend a reservation that has to wait.
const RETRY_PERIOD: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Shared {
    limit: usize,
    used: AtomicUsize,
    /// Number of times that a reservation had to wait.
    waits: AtomicU64,
    waiting: AtomicUsize,
    freed: Notify,
    short: Notify,
}

/// Counts the reserved bytes against a limit. Clones share the count.
///
/// Messages above [`SMALL_MESSAGE_BYTES`] cannot use the last fifth of the budget, which keeps
/// ordinary requests going while large ones wait.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

impl MemoryBudget {
    /// Builds a budget of `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Shared {
            limit,
            used: AtomicUsize::new(0),
            waits: AtomicU64::new(0),
            waiting: AtomicUsize::new(0),
            freed: Notify::new(),
            short: Notify::new(),
        }))
    }

    /// Returns the size of the budget in bytes.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the number of bytes that are reserved now.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns how often a reservation has had to wait since the start.
    pub fn waits(&self) -> u64 {
        self.0.waits.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that large messages can use together.
    pub fn large_limit(&self) -> usize {
        self.0.limit - self.0.limit / SMALL_PART
    }

    /// Returns the limit on a body whose length is not announced, in bytes.
    pub fn unknown_length_limit(&self) -> usize {
        self.0.limit / UNKNOWN_LENGTH_PART
    }

    /// Returns an empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Waits until a reservation could not be extended.
    pub async fn shortage(&self) {
        self.0.short.notified().await;
    }

    /// Returns how many bytes must be freed until large messages have `room` bytes.
    pub fn missing(&self, room: usize) -> usize {
        (self.used() + room).saturating_sub(self.large_limit())
    }

    fn try_take(&self, more: usize, limit: usize) -> bool {
        let used = self.0.used.fetch_add(more, Ordering::Relaxed) + more;
        if used > limit {
            self.0.used.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        true
    }

    fn release(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.0.used.fetch_sub(bytes, Ordering::Relaxed);
        if self.0.waiting.load(Ordering::Relaxed) > 0 {
            self.0.freed.notify_waiters();
        }
    }
}

/// Counts a reservation as waiting until it is dropped.
struct WaitGuard<'a>(&'a Shared);

impl<'a> WaitGuard<'a> {
    fn new(shared: &'a Shared) -> WaitGuard<'a> {
        shared.waiting.fetch_add(1, Ordering::Relaxed);
        WaitGuard(shared)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes reserved for one message. Dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the reservation to `bytes` in total. Returns false, and reserves no more, if the
    /// budget has no room for that now.
    #[must_use]
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let limit = match bytes <= SMALL_MESSAGE_BYTES {
            true => self.budget.limit(),
            false => self.budget.large_limit(),
        };
        let taken = self.budget.try_take(more, limit);
        if taken {
            self.bytes = bytes;
        }
        taken
    }

    /// Extends the reservation as [`Reservation::extend_to`] does. If there is no room, this is
    /// reported as a shortage.
    #[must_use]
    pub fn try_or_report(&mut self, bytes: usize) -> bool {
        let extended = self.extend_to(bytes);
        if !extended {
            self.budget.0.short.notify_one();
        }
        extended
    }

    /// Extends the reservation as [`Reservation::extend_to`] does, and waits for room until `until`.
    /// Cancel safe.
    #[must_use]
    pub async fn wait_to_extend(&mut self, bytes: usize, until: Instant) -> bool {
        if self.extend_to(bytes) {
            return true;
        }
        let budget = self.budget.clone();
        budget.0.waits.fetch_add(1, Ordering::Relaxed);
        let _waiting = WaitGuard::new(&budget.0);
        loop {
            let freed = budget.0.freed.notified();
            if self.extend_to(bytes) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            budget.0.short.notify_one();
            // The result only says which came first.
            let _ = timeout_at(until.min(Instant::now() + RETRY_PERIOD), freed).await;
        }
    }

    /// Splits `bytes`, or all if there are fewer, off into a reservation of their own.
    pub fn split(&mut self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Reservation {
            budget: self.budget.clone(),
            bytes,
        }
    }

    /// Releases what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        drop(self.split(self.bytes.saturating_sub(bytes)));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
