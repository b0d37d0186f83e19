//! Records what happens in a concurrent run.

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
use crate::checker::What;

/// The events of one run, in the order in which they were recorded.
pub(crate) struct Recorder {
    start: Instant,
    events: Mutex<Vec<Event>>,
    calls: AtomicU32,
    runs: AtomicU64,
    attempts: Mutex<BTreeMap<(u32, String), u32>>,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            events: Mutex::default(),
            calls: AtomicU32::new(1),
            runs: AtomicU64::new(1),
            attempts: Mutex::default(),
        }
    }

    /// Records an event with the present time.
    pub(crate) fn add(&self, what: What) {
        let mut events = self.events.lock().unwrap();
        let time = self.start.elapsed();
        events.push(Event { time, what });
    }

    /// Returns a new id for a sub-call of `parent`.
    pub(crate) fn sub_call(&self, parent: CallId) -> CallId {
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        CallId { number, ..parent }
    }

    /// Returns a new number of a run.
    pub(crate) fn run(&self) -> u64 {
        self.runs.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts an attempt of a request at any instance of a service.
    pub(crate) fn attempt(&self, request: u32, service: &str) -> u32 {
        let mut attempts = self.attempts.lock().unwrap();
        let attempt = attempts.entry((request, service.to_owned())).or_default();
        *attempt += 1;
        *attempt
    }

    /// Returns the time since the start.
    pub(crate) fn time(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the events so far.
    pub(crate) fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}

/// Returns the hash by which an answer is recorded.
pub(crate) fn body_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Returns a number from 0 to 999 that depends on `seed` and `key` alone.
pub(crate) fn draw<K>(seed: u64, key: K) -> u64
where
    K: Hash,
{
    let mut hasher = Xxh3::with_seed(seed);
    key.hash(&mut hasher);
    hasher.digest() % 1000
}
