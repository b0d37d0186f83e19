//! Detection of repeated attempts: an attempt sent by another node runs at most once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::instance::Incarnation;
use crate::instance::InstanceName;

/// Maximum number of sender incarnations that are remembered.
pub const MAX_SENDERS: usize = 2_048;

/// Maximum number of attempts that are remembered individually for each sender.
pub const MAX_ATTEMPTS_PER_SENDER: usize = 512;

/// Maximum number of attempts that are remembered individually for all senders.
pub const MAX_SEEN_ATTEMPTS: usize = 65_536;

/// Identifies one attempt of one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Name of the instance whose node sent the attempt.
    pub from: InstanceName,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Number of the attempt, increasing for each sender.
    pub number: u64,
}

/// Attempts seen from one incarnation of a node.
#[derive(Debug, Default)]
struct Sender {
    /// All attempts up to this number are treated as seen.
    seen_up_to: Option<u64>,
    seen: BTreeSet<u64>,
    last_use: u64,
}

impl Sender {
    /// Records an attempt and returns whether it is new.
    fn record(&mut self, number: u64) -> bool {
        if self
            .seen_up_to
            .is_some_and(|seen_up_to| number <= seen_up_to)
        {
            return false;
        }
        let is_new = self.seen.insert(number);
        if self.seen.len() > MAX_ATTEMPTS_PER_SENDER {
            self.seen_up_to = self.seen.pop_first();
        }
        is_new
    }

    /// Replaces the individual attempts by a bound: all up to the highest number are treated as
    /// seen. Returns the number of attempts removed.
    fn compact(&mut self) -> usize {
        let removed = self.seen.len();
        self.seen_up_to = self.seen.pop_last().or(self.seen_up_to);
        self.seen.clear();
        removed
    }
}

/// Table of attempts seen at this node.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    senders: BTreeMap<(InstanceName, Incarnation), Sender>,
    use_count: u64,
    remembered: usize,
}

impl SeenAttempts {
    /// Builds an empty table.
    pub fn new() -> SeenAttempts {
        SeenAttempts::default()
    }

    /// Records an attempt and returns whether it is new.
    ///
    /// An attempt so old that its record may have been removed is treated as seen.
    pub fn record(&mut self, attempt: &AttemptId) -> bool {
        let key = (attempt.from.clone(), attempt.incarnation);
        if !self.senders.contains_key(&key) && self.senders.len() >= MAX_SENDERS {
            self.evict_least_recent();
        }
        self.use_count += 1;
        let sender = self.senders.entry(key).or_default();
        sender.last_use = self.use_count;
        let before = sender.seen.len();
        let is_new = sender.record(attempt.number);
        self.remembered += sender.seen.len() - before;
        if self.remembered > MAX_SEEN_ATTEMPTS {
            self.compact_least_recent();
        }
        is_new
    }

    /// Returns the number of attempts that are remembered individually.
    pub fn len(&self) -> usize {
        self.remembered
    }

    /// Returns whether no attempt is remembered individually.
    pub fn is_empty(&self) -> bool {
        self.remembered == 0
    }

    /// Returns the number of remembered senders.
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    /// Evicts the sender whose last attempt is oldest.
    fn evict_least_recent(&mut self) {
        let least_recent = self
            .senders
            .iter()
            .min_by_key(|(_, sender)| sender.last_use);
        let Some(key) = least_recent.map(|(key, _)| key.clone()) else {
            return;
        };
        if let Some(sender) = self.senders.remove(&key) {
            self.remembered -= sender.seen.len();
        }
    }

    /// Compacts the sender whose last attempt is oldest among those with individual attempts.
    fn compact_least_recent(&mut self) {
        let with_attempts = self.senders.values_mut().filter(|s| !s.seen.is_empty());
        if let Some(sender) = with_attempts.min_by_key(|sender| sender.last_use) {
            self.remembered -= sender.compact();
        }
    }
}
