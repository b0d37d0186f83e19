//! A mutex that asserts the lock order in debug builds.

use std::cell::Cell;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Mutex;
use std::sync::MutexGuard;

/// Position of a table in the lock order, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum LockRank {
    /// State of the control plane.
    Control = 0,
    /// Views of the fleet and the configuration.
    Fleet = 1,
    /// Running calls and their leases.
    Calls = 2,
    /// Idempotency tokens and kept answers.
    Tokens = 3,
    /// Suspected and quarantined requests.
    Suspects = 4,
    /// Slots and the admission queue.
    Admission = 5,
    /// Routing scores, retry allowances and link budgets.
    Routing = 6,
    /// Counts of how calls ended.
    History = 7,
    /// Timer subscriptions.
    Timers = 8,
}

thread_local! {
    static HELD: Cell<u32> = const { Cell::new(0) };
}

/// A table shared by the workers.
#[derive(Debug)]
pub struct OrderedMutex<T> {
    rank: LockRank,
    inner: Mutex<T>,
}

impl<T> OrderedMutex<T> {
    /// Builds a table of the given rank.
    pub fn new(rank: LockRank, value: T) -> OrderedMutex<T> {
        OrderedMutex {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Locks the table.
    ///
    /// # Panics
    ///
    /// In debug builds, if the thread holds a table of the same or a higher rank.
    pub fn lock(&self) -> OrderedMutexGuard<'_, T> {
        let bit = 1_u32 << self.rank as u8;
        let held = HELD.get();
        debug_assert!(
            held < bit,
            "{:?} locked out of order, held set {held:b}",
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

/// Access to a locked table.
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
