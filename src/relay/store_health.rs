//! Health of the platform's store as a node sees it.

use std::time::Duration;

use crate::clock::Time;

/// First pause of all readers of the node after the store failed a call, doubled up to
/// [`MAX_STORE_BACKOFF`].
const INITIAL_STORE_BACKOFF: Duration = Duration::from_millis(250);

/// Longest pause between calls to a failing store. A node must detect the recovery within the
/// platform's stable window of 3 s.
const MAX_STORE_BACKOFF: Duration = Duration::from_millis(1_500);

/// Health of the store as this node sees it, with the backoff between calls while it fails.
///
/// All readers of the node share one exponential backoff, so that a fleet does not overload a store
/// that is down or refuses calls.
#[derive(Debug, Default)]
pub struct StoreHealth {
    last_failure: Option<Time>,
    recovered_at: Option<Time>,
    /// When the last answered read of the list was sent.
    list_asked: Option<Time>,
    backoff: Duration,
    next_call: Time,
}

impl StoreHealth {
    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.last_failure.is_some()
    }

    /// Returns whether the store may be called now. While it fails, this is true once per backoff
    /// period, and a call that returns true starts the next period.
    pub fn may_call(&mut self, now: Time) -> bool {
        if self.last_failure.is_none() {
            return true;
        }
        let due = now >= self.next_call;
        if due {
            self.next_call = now.plus(self.backoff);
        }
        due
    }

    /// Records whether a call worked. Returns whether the health changed. `jitter`, uniform in
    /// 0..1, spreads the next calls of several nodes.
    pub fn record(&mut self, worked: bool, jitter: f64, now: Time) -> bool {
        if worked {
            self.backoff = Duration::ZERO;
            let changed = self.last_failure.take().is_some();
            if changed {
                self.recovered_at = Some(now);
            }
            return changed;
        }
        self.backoff = (self.backoff * 2).clamp(INITIAL_STORE_BACKOFF, MAX_STORE_BACKOFF);
        self.next_call = now.plus(self.backoff.mul_f64(0.5 + jitter / 2.0));
        self.last_failure.replace(now).is_none()
    }

    /// Records that the store has answered a read of the list that was sent at `asked`.
    pub fn record_list(&mut self, asked: Time) {
        self.list_asked = self.list_asked.max(Some(asked));
    }

    /// Returns when the last answered read of the list was sent, if there was one.
    pub fn list_asked(&self) -> Option<Time> {
        self.list_asked
    }

    /// Returns the time since the last answered read of the list was sent, or nothing while the store
    /// fails.
    pub fn list_age(&self, now: Time) -> Option<Duration> {
        let asked = self.list_asked.filter(|_| !self.is_failing());
        asked.map(|asked| now.since(asked))
    }

    /// Returns the time of the last recovery, or nothing while the store fails.
    pub fn recovered_at(&self) -> Option<Time> {
        self.recovered_at.filter(|_| self.last_failure.is_none())
    }

    /// Returns whether the store is failing or recovered less than `span` ago.
    pub fn is_unstable(&self, span: Duration, now: Time) -> bool {
        self.last_failure.is_some() || self.recovered_at.is_some_and(|at| now.since(at) < span)
    }
}
