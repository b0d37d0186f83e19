//! Attempts of other nodes that arrived here: each runs once at most.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::instance::Incarnation;
use crate::instance::InstanceName;

/// Sending incarnations remembered at most.
pub const MAX_SENDERS: usize = 2_048;

/// Attempts remembered for each sender at most.
pub const MAX_ATTEMPTS_PER_SENDER: usize = 512;

/// Attempts remembered of all senders together at most.
pub const MAX_SEEN_ATTEMPTS: usize = 65_536;

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
        if self.seen.len() > MAX_ATTEMPTS_PER_SENDER {
            self.floor = self.seen.pop_first();
        }
        first
    }

    /// Forgets the single attempts: all up to the highest count as seen. Returns how many.
    fn condense(&mut self) -> usize {
        let forgotten = self.seen.len();
        self.floor = self.seen.pop_last().or(self.floor);
        self.seen.clear();
        forgotten
    }
}

/// Attempts that were seen.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    senders: BTreeMap<(InstanceName, Incarnation), Sender>,
    uses: u64,
    seen: usize,
}

impl SeenAttempts {
    /// Builds an empty table.
    pub fn new() -> SeenAttempts {
        SeenAttempts::default()
    }

    /// Notes an attempt, and returns whether it is new.
    ///
    /// One that is so old that it may have been forgotten counts as seen.
    pub fn record(&mut self, attempt: &AttemptId) -> bool {
        let key = (attempt.from.clone(), attempt.incarnation);
        if !self.senders.contains_key(&key) && self.senders.len() >= MAX_SENDERS {
            self.drop_oldest();
        }
        self.uses += 1;
        let sender = self.senders.entry(key).or_default();
        sender.used = self.uses;
        let before = sender.seen.len();
        let first = sender.note(attempt.number);
        self.seen += sender.seen.len() - before;
        if self.seen > MAX_SEEN_ATTEMPTS {
            self.condense_oldest();
        }
        first
    }

    /// Returns the number of attempts remembered singly.
    pub fn len(&self) -> usize {
        self.seen
    }

    /// Returns whether no attempt is remembered singly.
    pub fn is_empty(&self) -> bool {
        self.seen == 0
    }

    /// Returns the number of senders remembered.
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.used);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return;
        };
        if let Some(sender) = self.senders.remove(&key) {
            self.seen -= sender.seen.len();
        }
    }

    fn condense_oldest(&mut self) {
        let holding = self.senders.values_mut().filter(|s| !s.seen.is_empty());
        if let Some(sender) = holding.min_by_key(|sender| sender.used) {
            self.seen -= sender.condense();
        }
    }
}
