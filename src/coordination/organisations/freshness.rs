//! Freshness of the configuration: until when requests with a key may be accepted.
//!
//! A key that has been withdrawn must not be accepted later than a bound after the withdrawal, also
//! by a node that nobody reaches. So a node accepts keys only while it can prove that its
//! configuration was the newest one less than the bound ago. The proof begins with a read of the
//! store. It is handed on between nodes with its age, to which every step adds the time that it may
//! have taken; the clocks of two machines are never compared.

use std::time::Duration;

use crate::clock::Time;

/// Part of the bound that is kept for the imprecision of clocks.
const CLOCK_MARGIN: Duration = Duration::from_millis(250);

/// When the configuration in force was last known to be the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    proved_at: Option<Time>,
}

impl Freshness {
    /// Records that the configuration `proved` was the newest one at some time not before `at`.
    /// `in_force` is the version that the node applies; a proof of a newer one is of no use to it.
    pub fn record(&mut self, proved: u64, in_force: u64, at: Time) {
        if proved <= in_force {
            self.proved_at = self.proved_at.max(Some(at));
        }
    }

    /// Returns the age of the proof, or nothing if there is none.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Returns whether keys may be accepted, if they must not be later than `bound` after their
    /// withdrawal. Without a bound, they may.
    pub fn may_accept(&self, bound: Option<Duration>, now: Time) -> bool {
        bound.is_none_or(|bound| {
            let max_age = bound.saturating_sub(CLOCK_MARGIN);
            self.age(now).is_some_and(|age| age < max_age)
        })
    }
}

/// Returns when a configuration was the newest one, if the question was sent at `asked` and the
/// answer states that this was `age` before the answer was made. The answer was made after the
/// question was sent.
pub fn proved_at(asked: Time, age: Duration) -> Time {
    asked.minus(age)
}
