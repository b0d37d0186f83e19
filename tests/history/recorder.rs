//! Thread-safe recorder of the events of a concurrent test.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::checker::CallId;
use crate::checker::Event;
use crate::checker::EventKind;

/// The events of one test, in the order in which they were recorded, and the counters from which
/// sub-calls, runs and attempts get their numbers.
pub(crate) struct Recorder {
    start: Instant,
    events: Mutex<Vec<Event>>,
    next_call: AtomicU32,
    next_run: AtomicU64,
    /// Number of attempts by request and service.
    attempts: Mutex<BTreeMap<(u32, String), u32>>,
}

impl Recorder {
    /// Creates an empty recorder. Event times are relative to this moment.
    pub(crate) fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            events: Mutex::default(),
            next_call: AtomicU32::new(1),
            next_run: AtomicU64::new(1),
            attempts: Mutex::default(),
        }
    }

    /// Records an event with the current time.
    pub(crate) fn record(&self, kind: EventKind) {
        let mut events = self.events.lock().unwrap();
        let time = self.start.elapsed();
        events.push(Event { time, kind });
    }

    /// Returns a new id for a sub-call of `parent`.
    pub(crate) fn next_sub_call(&self, parent: CallId) -> CallId {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        CallId { number, ..parent }
    }

    /// Returns a unique number for a run.
    pub(crate) fn next_run(&self) -> u64 {
        self.next_run.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts an attempt of a request at any instance of a service. Returns the number of attempts
    /// so far, including this one.
    pub(crate) fn count_attempt(&self, request: u32, service: &str) -> u32 {
        let mut attempts = self.attempts.lock().unwrap();
        let attempt = attempts.entry((request, service.to_owned())).or_default();
        *attempt += 1;
        *attempt
    }

    /// Returns the time since the recorder was created.
    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns a copy of the events recorded so far.
    pub(crate) fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}

/// Returns the hash under which the body of a response is recorded.
pub(crate) fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Hashes `key` with `seed` to a number from 0 to 999. Equal arguments give equal numbers.
pub(crate) fn hash_per_mille<K>(seed: u64, key: K) -> u64
where
    K: Hash,
{
    let mut hasher = Xxh3::with_seed(seed);
    key.hash(&mut hasher);
    hasher.digest() % 1000
}
