//! Proof that a list is recent, from its revision.
//!
//! A read that may be out of date is cheap, but says nothing of its age. If the store was at some
//! revision at a known time, according to another call, then a list with this or a higher revision
//! holds all changes up to that time.

use std::collections::VecDeque;

use crate::clock::Time;

/// Number of remembered revisions.
const MAX_REVISIONS: usize = 8;

/// Revisions of the store, and times at which it was at them or at higher ones.
#[derive(Debug, Default)]
pub struct RevisionProofs(VecDeque<(u64, Time)>);

impl RevisionProofs {
    /// Records that the store was at `revision` at some time not before `at`.
    pub fn record(&mut self, revision: u64, at: Time) {
        if self.0.len() >= MAX_REVISIONS {
            self.0.pop_front();
        }
        self.0.push_back((revision, at));
    }

    /// Returns a time up to which a list with this revision holds all changes, if one is known.
    pub fn proved_at(&self, revision: u64) -> Option<Time> {
        let older = self.0.iter().filter(|(known, _)| *known <= revision);
        older.map(|(_, at)| *at).max()
    }
}
