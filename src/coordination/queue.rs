//! Queue of the calls that wait for a slot, ordered by priority, cohort and age.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::call::Cohort;
use crate::call::Priority;
use crate::clock::Time;

/// Number of adjacent cohorts that form one band; calls within a band are ordered by age.
pub const COHORTS_PER_BAND: u16 = 16;

/// Identifies a call at one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A call that is offered for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Id of the call.
    pub ticket: Ticket,
    /// Priority of the user request that the call belongs to.
    pub priority: Priority,
    /// Cohort of the user request.
    pub cohort: Cohort,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time after which the response is no longer needed.
    pub deadline: Time,
    /// Whether the call must run with no other call on its target.
    pub exclusive: bool,
}

/// Order of service among calls of the same priority class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOrder {
    /// The call that has waited longest is served first.
    OldestFirst,
    /// The call that arrived last is served first.
    NewestFirst,
}

/// Service class; the lowest is served first. Calls of one class are ordered by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PriorityClass {
    priority: Priority,
    idempotent: bool,
    band: u16,
}

/// Position of a call in the queue: its class, then its order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    class: PriorityClass,
    sequence: u64,
}

/// A queued call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// The offered call.
    pub job: Job,
    /// Time at which it was queued.
    pub queued_at: Time,
}

/// Queued calls in the order of service.
#[derive(Debug)]
pub struct Queue {
    by_priority: bool,
    calls: BTreeMap<QueueKey, QueuedCall>,
    keys: HashMap<Ticket, QueueKey>,
    next_sequence: u64,
    exclusive_calls: usize,
}

impl Queue {
    /// Builds an empty queue, ordered by class and age if `by_priority`, otherwise by age alone.
    pub fn new(by_priority: bool) -> Queue {
        Queue {
            by_priority,
            calls: BTreeMap::new(),
            keys: HashMap::new(),
            next_sequence: 0,
            exclusive_calls: 0,
        }
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether a call is queued.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.keys.contains_key(&ticket)
    }

    /// Returns whether any queued call is not exclusive.
    pub fn has_non_exclusive(&self) -> bool {
        self.calls.len() > self.exclusive_calls
    }

    /// Adds a call that arrived at `now`.
    pub fn push(&mut self, job: Job, now: Time) {
        let class = self.class(&job);
        let sequence = self.next_sequence;
        let key = QueueKey { class, sequence };
        self.next_sequence += 1;
        self.exclusive_calls += usize::from(job.exclusive);
        self.keys.insert(job.ticket, key);
        self.calls.insert(
            key,
            QueuedCall {
                job,
                queued_at: now,
            },
        );
    }

    /// Removes a call and returns it, if it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedCall> {
        let key = self.keys.remove(&ticket)?;
        let call = self.calls.remove(&key)?;
        self.exclusive_calls -= usize::from(call.job.exclusive);
        Some(call)
    }

    /// Returns the next call to serve, ignoring exclusive calls if `skip_exclusive`.
    pub fn next_to_serve(&self, order: ServiceOrder, skip_exclusive: bool) -> Option<&QueuedCall> {
        let eligible = |call: &&QueuedCall| !(skip_exclusive && call.job.exclusive);
        let oldest = || self.calls.values().find(eligible);
        if order == ServiceOrder::OldestFirst {
            return oldest();
        }
        let key = self.keys.get(&oldest()?.job.ticket)?;
        self.calls
            .range(class_range(key.class))
            .rev()
            .map(|(_, call)| call)
            .find(eligible)
    }

    /// Returns the next call to drop when the queue is over its capacity.
    pub fn next_to_drop(&self, order: ServiceOrder) -> Option<&QueuedCall> {
        let (key, newest) = self.calls.last_key_value()?;
        if order == ServiceOrder::OldestFirst {
            return Some(newest);
        }
        let mut class = self.calls.range(class_range(key.class));
        class.next().map(|(_, call)| call)
    }

    /// Iterates over the queued calls by class, then by age.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedCall> {
        self.calls.values()
    }

    /// Returns the class of a call; all calls share one if the queue is not ordered by priority.
    fn class(&self, job: &Job) -> PriorityClass {
        if !self.by_priority {
            return PriorityClass {
                priority: Priority::Critical,
                idempotent: true,
                band: 0,
            };
        }
        PriorityClass {
            priority: job.priority,
            idempotent: job.idempotent,
            band: job.cohort.0 / COHORTS_PER_BAND,
        }
    }
}

/// Returns the range of keys of all calls of a class.
fn class_range(class: PriorityClass) -> std::ops::RangeInclusive<QueueKey> {
    let first = QueueKey { class, sequence: 0 };
    let last = QueueKey {
        class,
        sequence: u64::MAX,
    };
    first..=last
}
