//! Attempts of other nodes that arrived here: each runs once at most.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::instance::Incarnation;
use crate::instance::InstanceName;

/// Sending incarnations remembered at most.
pub const MAX_SENDERS: usize = 2_048;

/// Attempts remembered for each sender at most.
pub const MAX_ATTEMPTS: usize = 512;

/// Names one attempt of one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Instance whose node sent the attempt.
    pub from: InstanceName,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Number of the attempt, growing.
    pub number: u64,
}

#[derive(Debug, Default)]
struct Sender {
    /// Attempts up to this number count as seen.
    floor: Option<u64>,
    seen: BTreeSet<u64>,
    used: u64,
}

impl Sender {
    fn note(&mut self, number: u64) -> bool {
        if self.floor.is_some_and(|floor| number <= floor) {
            return false;
        }
        let first = self.seen.insert(number);
        if self.seen.len() > MAX_ATTEMPTS {
            self.floor = self.seen.pop_first();
        }
        first
    }
}

/// Attempts that were seen.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    senders: BTreeMap<(InstanceName, Incarnation), Sender>,
    uses: u64,
}

impl SeenAttempts {
    /// Builds an empty table.
    pub fn new() -> SeenAttempts {
        SeenAttempts::default()
    }

    /// Notes an attempt, and returns whether it is new.
    ///
    /// One that is so old that it may have been forgotten counts as seen.
    pub fn note(&mut self, attempt: &AttemptId) -> bool {
        let key = (attempt.from.clone(), attempt.incarnation);
        if !self.senders.contains_key(&key) && self.senders.len() >= MAX_SENDERS {
            self.drop_oldest();
        }
        self.uses += 1;
        let sender = self.senders.entry(key).or_default();
        sender.used = self.uses;
        sender.note(attempt.number)
    }

    /// Returns the number of senders remembered.
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.used);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.senders.remove(&key);
        }
    }
}
