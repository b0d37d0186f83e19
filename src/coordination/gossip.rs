//! Dissemination of deltas inside a failure domain along a tree, and a log of recent deltas.
//!
//! Members are ordered by a hash of their name and the revision, so that each revision uses another
//! tree. A node that receives an interval of this order splits it among a few delegates and sends
//! each the sub-interval that follows the delegate. Intervals shrink with each step, so that the
//! dissemination terminates even if the nodes have different views of the membership. Members that
//! a node does not know fall into the sub-interval of a delegate, which may know them.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::document::Delta;
use crate::coordination::document::Digest;
use crate::coordination::document::Revision;
use crate::coordination::document::Stamp;
use crate::instance::InstanceName;

/// Maximum number of delegates among which a node splits its interval.
pub const FANOUT: usize = 8;

/// Number of members of a sub-interval that are tried before it is left to anti-entropy.
pub const MAX_TRIES: u32 = 4;

/// Maximum number of deltas in the log of a document.
pub const MAX_LOG_DELTAS: usize = 64;

/// Maximum number of changed lines in the deltas of one reply; larger deltas are not logged.
pub const MAX_CHAIN_CHANGES: usize = 256;

/// An interval of positions in the member order, including both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// First position.
    pub first: u64,
    /// Last position.
    pub last: u64,
}

impl Interval {
    /// The interval that contains no position.
    pub const EMPTY: Interval = Interval { first: 1, last: 0 };

    /// The interval of all positions.
    pub const ALL: Interval = Interval {
        first: 0,
        last: u64::MAX,
    };

    /// Returns the interval from the position after `position` to `last`, empty if `position` is
    /// not below `last`.
    pub fn after(position: u64, last: u64) -> Interval {
        Interval {
            first: position.saturating_add(1),
            last,
        }
    }

    /// Returns whether `position` lies in the interval.
    pub fn contains(&self, position: u64) -> bool {
        (self.first..=self.last).contains(&position)
    }
}

/// Returns the position of a member in the member order of `revision`.
pub fn position(name: &InstanceName, revision: Revision) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), revision.0)
}

/// Splits an interval among at most [`FANOUT`] of `names`.
///
/// Returns each delegate with the sub-interval that it has to serve, which begins after its own
/// position.
pub fn delegates<'a, I>(
    names: I,
    revision: Revision,
    interval: Interval,
) -> Vec<(&'a InstanceName, Interval)>
where
    I: IntoIterator<Item = &'a InstanceName>,
{
    let mut inside: Vec<(u64, &InstanceName)> = names
        .into_iter()
        .map(|n| (position(n, revision), n))
        .filter(|(p, _)| interval.contains(*p))
        .collect();
    inside.sort_unstable();
    let size = inside.len().div_ceil(FANOUT).max(1);
    let chosen: Vec<(u64, &InstanceName)> = inside.chunks(size).map(|c| c[0]).collect();
    let end_of = |index: usize| match chosen.get(index + 1) {
        Some((next, _)) => next - 1,
        None => interval.last,
    };
    let sub_interval = |(index, (p, name)): (usize, &(u64, &'a InstanceName))| {
        (*name, Interval::after(*p, end_of(index)))
    };
    chosen.iter().enumerate().map(sub_interval).collect()
}

/// Log of the recent deltas of a document, which lets a peer catch up without a repair.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    deltas: VecDeque<Delta>,
}

impl DeltaLog {
    /// Appends a delta and drops the oldest beyond [`MAX_LOG_DELTAS`].
    ///
    /// Deltas of more than [`MAX_CHAIN_CHANGES`] changes are not logged.
    pub fn record(&mut self, delta: &Delta) {
        if delta.changes.len() > MAX_CHAIN_CHANGES {
            return;
        }
        self.deltas.push_back(delta.clone());
        if self.deltas.len() > MAX_LOG_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Returns the deltas from the digest `base` to `stamp`.
    ///
    /// The result is empty if some of them are not in the log, or if together they change more than
    /// [`MAX_CHAIN_CHANGES`] lines.
    pub fn chain(&self, base: Digest, stamp: Stamp) -> Vec<Delta> {
        let mut chain = Vec::new();
        let mut reached = base;
        let mut changes = 0;
        for delta in &self.deltas {
            if reached == stamp.digest {
                break;
            }
            if delta.base != reached {
                continue;
            }
            changes += delta.changes.len();
            reached = delta.digest;
            chain.push(delta.clone());
        }
        if reached != stamp.digest || changes > MAX_CHAIN_CHANGES {
            return Vec::new();
        }
        chain
    }
}
