//! How long a node may rely on others that read the platform's store for it.
//!
//! A node that the store no longer answers may notice that late, and its word may reach the nodes that
//! it supplies later still. So they count from the last answer of the store, and not from the last
//! word of the reader.

use std::time::Duration;

use crate::clock::Time;

/// Time after an answer of the store to a reader during which other nodes rely on the reader. Readers
/// read the list of targets once a second. The rest of the time in which a change must be in force is
/// for the other nodes' own read.
pub const MAX_SUPPLY_AGE: Duration = Duration::from_millis(1_400);

/// When the store last answered a node that supplies this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    answered_at: Option<Time>,
}

impl Supply {
    /// Records that the store answered a reader at `answered_at` or later. Returns whether the node
    /// was not supplied before.
    pub fn record(&mut self, answered_at: Time) -> bool {
        let begins = self.answered_at.is_none();
        self.answered_at = self.answered_at.max(Some(answered_at));
        begins
    }

    /// Ends the supply. Returns when the store last answered, if there was a supply.
    pub fn end(&mut self) -> Option<Time> {
        self.answered_at.take()
    }

    /// Returns the time for which the node may still rely on its readers, or zero.
    pub fn remaining(&self, now: Time) -> Duration {
        let until = self.answered_at.map(|at| at.plus(MAX_SUPPLY_AGE));
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Returns whether the node may rely on its readers.
    pub fn is_valid(&self, now: Time) -> bool {
        !self.remaining(now).is_zero()
    }
}

/// Returns when the store answered a reader at the earliest, if the reader was asked at `asked`,
/// held its reply for `held`, and then stated that the answer was `age` old.
pub fn answered_at(asked: Time, held: Duration, age: Duration) -> Time {
    let replied = asked.plus(held);
    replied.minus(age)
}
