//! A mutex that asserts a global lock order in debug builds.

use std::cell::Cell;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Mutex;
use std::sync::MutexGuard;

/// Rank of a mutex in the lock order. A thread locks mutexes in the order of increasing rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum LockRank {
    /// State of the control plane.
    Control = 0,
    /// View of the fleet, and process pauses.
    Fleet = 1,
    /// Running calls and their leases.
    Calls = 2,
    /// Idempotency tokens and kept responses.
    Tokens = 3,
    /// Suspected and quarantined requests.
    Suspects = 4,
    /// Slots and the admission queue.
    Admission = 5,
    /// Routing scores, retry allowances and link budgets.
    Routing = 6,
    /// History of call outcomes.
    History = 7,
    /// Timer subscriptions.
    Timers = 8,
}

thread_local! {
    /// Bit set of the ranks that the thread holds.
    static HELD: Cell<u32> = const { Cell::new(0) };
}

/// A mutex with a rank in the lock order.
#[derive(Debug)]
pub struct OrderedMutex<T> {
    rank: LockRank,
    inner: Mutex<T>,
}

impl<T> OrderedMutex<T> {
    /// Builds a mutex of the given rank.
    pub fn new(rank: LockRank, value: T) -> OrderedMutex<T> {
        OrderedMutex {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Locks the mutex. A poisoned mutex is locked as well.
    ///
    /// # Panics
    ///
    /// In debug builds, if the thread holds a mutex of the same or a higher rank.
    pub fn lock(&self) -> OrderedMutexGuard<'_, T> {
        let bit = 1_u32 << self.rank as u8;
        let held = HELD.get();
        debug_assert!(
            held < bit,
            "{:?} locked out of order, bit set of held ranks: {held:b}",
            self.rank
        );
        HELD.set(held | bit);
        let guard = self
            .inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        OrderedMutexGuard { bit, guard }
    }
}

/// Guard of a locked [`OrderedMutex`].
#[derive(Debug)]
pub struct OrderedMutexGuard<'a, T> {
    bit: u32,
    guard: MutexGuard<'a, T>,
}

impl<T> Deref for OrderedMutexGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> DerefMut for OrderedMutexGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}

impl<T> Drop for OrderedMutexGuard<'_, T> {
    fn drop(&mut self) {
        HELD.set(HELD.get() & !self.bit);
    }
}
