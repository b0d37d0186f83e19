//! Spreads deltas inside a failure domain along a tree, and keeps recent deltas for repair.
//!
//! The members are ordered by a hash of their name and the revision, so that the work rotates. A
//! node is handed an interval of that order, splits it among a few delegates and hands each the part
//! behind it. An interval shrinks with each step, so that the spread ends whatever the views of the
//! nodes. Members that a node does not know stay inside the part of a delegate that may.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::document::Delta;
use crate::coordination::document::Digest;
use crate::coordination::document::Revision;
use crate::coordination::document::Stamp;
use crate::instance::InstanceName;

/// Delegates that a node hands parts of its interval to.
pub const FANOUT: usize = 8;

/// Members of a part that are tried before it is left to anti-entropy.
pub const MAX_TRIES: u32 = 4;

/// Most deltas that are kept for repair.
pub const MAX_LOG_DELTAS: usize = 64;

/// Most changed lines that one answer brings.
pub const MAX_CHAIN_CHANGES: usize = 256;

/// An interval of the member order, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// First position.
    pub first: u64,
    /// Last position.
    pub last: u64,
}

impl Interval {
    /// No member.
    pub const EMPTY: Interval = Interval { first: 1, last: 0 };

    /// The whole order.
    pub const ALL: Interval = Interval {
        first: 0,
        last: u64::MAX,
    };

    /// Builds the interval that begins behind `position`. It is empty if that is not below `last`.
    pub fn after(position: u64, last: u64) -> Interval {
        Interval {
            first: position.saturating_add(1),
            last,
        }
    }

    /// Returns whether `position` lies inside.
    pub fn contains(&self, position: u64) -> bool {
        (self.first..=self.last).contains(&position)
    }
}

/// Returns the position of a member in the order of `revision`.
pub fn position(name: &InstanceName, revision: Revision) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), revision.0)
}

/// Splits an interval among at most [`FANOUT`] of `names`.
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
    let heads: Vec<(u64, &InstanceName)> = inside.chunks(size).map(|c| c[0]).collect();
    let end_of = |at: usize| match heads.get(at + 1) {
        Some((next, _)) => next - 1,
        None => interval.last,
    };
    let part = |(at, (p, name)): (usize, &(u64, &'a InstanceName))| {
        (*name, Interval::after(*p, end_of(at)))
    };
    heads.iter().enumerate().map(part).collect()
}

/// Recent deltas of a document.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    deltas: VecDeque<Delta>,
}

impl DeltaLog {
    /// Keeps a delta, giving up the oldest beyond [`MAX_LOG_DELTAS`].
    pub fn keep(&mut self, delta: &Delta) {
        if delta.changes.len() > MAX_CHAIN_CHANGES {
            return;
        }
        self.deltas.push_back(delta.clone());
        if self.deltas.len() > MAX_LOG_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Returns the deltas that lead from `base` to `stamp`, nothing if some are not kept.
    pub fn chain(&self, base: Digest, stamp: Stamp) -> Vec<Delta> {
        let mut chain = Vec::new();
        let mut at = base;
        let mut changes = 0;
        for delta in &self.deltas {
            if at == stamp.digest {
                break;
            }
            if delta.base != at {
                continue;
            }
            changes += delta.changes.len();
            at = delta.digest;
            chain.push(delta.clone());
        }
        if at != stamp.digest || changes > MAX_CHAIN_CHANGES {
            return Vec::new();
        }
        chain
    }
}
