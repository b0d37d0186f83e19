//! The queue of calls that wait for a slot, ordered by priority, cohort and age.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::call::Cohort;
use crate::call::Priority;
use crate::clock::Time;

/// Number of neighbouring cohorts that are served alike.
pub const COHORTS_PER_BAND: u16 = 16;

/// Identifies a call at one admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A call that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identifies the call.
    pub ticket: Ticket,
    /// Priority of the root of the request.
    pub priority: Priority,
    /// Cohort of the request.
    pub cohort: Cohort,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time after which nobody waits for the answer.
    pub deadline: Time,
    /// Whether the call must run alone.
    pub exclusive: bool,
}

/// Which of several equally important calls is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The one that waited longest.
    OldestFirst,
    /// The one that came last.
    NewestFirst,
}

/// Calls of the same class differ only in age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    priority: Priority,
    idempotent: bool,
    band: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    class: Class,
    arrival: u64,
}

/// A call in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The call.
    pub job: Job,
    /// When it was queued.
    pub since: Time,
}

/// Waiting calls in the order of service.
#[derive(Debug)]
pub struct Queue {
    by_priority: bool,
    waiting: BTreeMap<Place, Waiting>,
    places: HashMap<Ticket, Place>,
    arrivals: u64,
    exclusive: usize,
}

impl Queue {
    /// Builds an empty queue, ordered by age alone unless it is `by_priority`.
    pub fn new(by_priority: bool) -> Queue {
        Queue {
            by_priority,
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            arrivals: 0,
            exclusive: 0,
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a call is waiting.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.places.contains_key(&ticket)
    }

    /// Returns whether a call waits that need not run alone.
    pub fn has_shared(&self) -> bool {
        self.waiting.len() > self.exclusive
    }

    /// Adds a call.
    pub fn push(&mut self, job: Job, now: Time) {
        let class = self.class(&job);
        let arrival = self.arrivals;
        let place = Place { class, arrival };
        self.arrivals += 1;
        self.exclusive += usize::from(job.exclusive);
        self.places.insert(job.ticket, place);
        self.waiting.insert(place, Waiting { job, since: now });
    }

    /// Takes a call out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.places.remove(&ticket)?;
        let waiting = self.waiting.remove(&place)?;
        self.exclusive -= usize::from(waiting.job.exclusive);
        Some(waiting)
    }

    /// Returns the call to serve next, passing over exclusive ones if `shared_only`.
    pub fn first(&self, order: Order, shared_only: bool) -> Option<&Waiting> {
        let eligible = |w: &&Waiting| !(shared_only && w.job.exclusive);
        let oldest = || self.waiting.values().find(eligible);
        if order == Order::OldestFirst {
            return oldest();
        }
        let place = self.places.get(&oldest()?.job.ticket)?;
        self.waiting
            .range(class_range(place.class))
            .rev()
            .map(|(_, w)| w)
            .find(eligible)
    }

    /// Returns the call that leaves first when there are too many.
    pub fn last(&self, order: Order) -> Option<&Waiting> {
        let (place, newest) = self.waiting.last_key_value()?;
        if order == Order::OldestFirst {
            return Some(newest);
        }
        let mut class = self.waiting.range(class_range(place.class));
        class.next().map(|(_, w)| w)
    }

    /// Iterates over the calls, most important first.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    fn class(&self, job: &Job) -> Class {
        if !self.by_priority {
            return Class {
                priority: Priority::Critical,
                idempotent: true,
                band: 0,
            };
        }
        Class {
            priority: job.priority,
            idempotent: job.idempotent,
            band: job.cohort.0 / COHORTS_PER_BAND,
        }
    }
}

fn class_range(class: Class) -> std::ops::RangeInclusive<Place> {
    let first = Place { class, arrival: 0 };
    let last = Place {
        class,
        arrival: u64::MAX,
    };
    first..=last
}
