//! The open connections of callers, and the closing of those that hold too much.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use strum::Display;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::coordination::caller_eviction;
use crate::coordination::caller_eviction::Activity;
use crate::coordination::caller_eviction::CallerState;
use crate::http1::progress::ReadProgress;
use crate::relay::Relay;

/// Part of the budget that is freed at a shortage, as a divisor.
const FREED_PART: usize = 16;

/// Shortest time between two evictions for memory: the connections take a moment to end.
const RELIEF_PERIOD: Duration = Duration::from_millis(20);

/// Reason why the node ends a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Eviction {
    /// The memory for messages is used up.
    Memory,
    /// The descriptors for callers are used up.
    Descriptors,
}

/// What the connection's task last reported.
#[derive(Debug)]
struct Reported {
    activity: Activity,
    since: Instant,
    /// When a response was last written to the connection.
    written_at: Instant,
    /// Bytes received before the current activity.
    received_before: u64,
    /// Memory of responses that the caller has not read, in bytes.
    unread: usize,
}

/// An open connection of a caller.
#[derive(Debug)]
pub(super) struct CallerEntry {
    number: u64,
    progress: Arc<ReadProgress>,
    reported: Mutex<Reported>,
    eviction: Mutex<Option<Eviction>>,
    evicted: Notify,
}

impl CallerEntry {
    /// Reports what the connection does, and what the caller has not read.
    pub(super) fn report(&self, activity: Activity, unread: usize, written_at: Instant) {
        let mut reported = lock(&self.reported);
        if reported.activity != activity {
            reported.activity = activity;
            reported.since = Instant::now();
            reported.received_before = self.progress.received();
        }
        reported.unread = unread;
        reported.written_at = written_at;
    }

    /// Waits until the connection is to be ended.
    pub(super) async fn evicted(&self) -> Eviction {
        loop {
            let notified = self.evicted.notified();
            if let Some(eviction) = *lock(&self.eviction) {
                return eviction;
            }
            notified.await;
        }
    }

    fn evict(&self, eviction: Eviction) {
        *lock(&self.eviction) = Some(eviction);
        self.evicted.notify_one();
    }

    fn is_evicted(&self) -> bool {
        lock(&self.eviction).is_some()
    }

    fn state(&self, now: Instant) -> CallerState {
        let reported = lock(&self.reported);
        let received = self.progress.received() - reported.received_before;
        let received_at = self.progress.received_at().unwrap_or(reported.since);
        // Between two requests, the reader knows first that the next one has begun.
        let activity = match reported.activity {
            Activity::Idle if received > 0 => Activity::Receiving,
            activity => activity,
        };
        let (progress_at, transferred) = match activity {
            Activity::Sending => (reported.written_at, 0),
            _ => (received_at, received),
        };
        CallerState {
            activity,
            held: self.progress.held() + reported.unread,
            age: now.saturating_duration_since(reported.since),
            stalled_for: now.saturating_duration_since(progress_at.max(reported.since)),
            transferred,
            requests: self.progress.requests(),
        }
    }
}

/// The open connections of callers by number.
#[derive(Debug, Default)]
pub(super) struct CallerTable {
    entries: Mutex<HashMap<u64, Arc<CallerEntry>>>,
    next_number: AtomicU64,
}

/// Removes a connection from the table when dropped.
pub(super) struct Registration<'a> {
    table: &'a CallerTable,
    pub(super) entry: Arc<CallerEntry>,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        lock(&self.table.entries).remove(&self.entry.number);
    }
}

impl CallerTable {
    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        lock(&self.entries).len()
    }

    /// Adds a connection. At `limit` connections, another one is ended for it; returns nothing if
    /// there is none to end.
    pub(super) fn register(
        &self,
        progress: &Arc<ReadProgress>,
        limit: usize,
    ) -> Option<Registration<'_>> {
        let now = Instant::now();
        let mut entries = lock(&self.entries);
        if entries.len() >= limit {
            let victim = caller_eviction::choose_for_descriptor(&states(&entries, now))?;
            // Its task ends in a moment, and its place is free at once.
            let entry = entries.remove(&victim)?;
            entry.evict(Eviction::Descriptors);
        }
        let entry = Arc::new(CallerEntry {
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            progress: progress.clone(),
            reported: Mutex::new(Reported {
                activity: Activity::Idle,
                since: now,
                written_at: now,
                received_before: 0,
                unread: 0,
            }),
            eviction: Mutex::default(),
            evicted: Notify::new(),
        });
        entries.insert(entry.number, entry.clone());
        Some(Registration { table: self, entry })
    }

    /// Ends connections that hold at least `bytes` together, as far as there are any that may be
    /// ended.
    fn free_memory(&self, bytes: usize) {
        let entries = lock(&self.entries);
        let states = states(&entries, Instant::now());
        for number in caller_eviction::choose_for_memory(&states, bytes) {
            if let Some(entry) = entries.get(&number) {
                entry.evict(Eviction::Memory);
            }
        }
    }
}

/// Returns the states of the connections that are not being ended.
fn states(entries: &HashMap<u64, Arc<CallerEntry>>, now: Instant) -> Vec<(u64, CallerState)> {
    let open = entries.values().filter(|entry| !entry.is_evicted());
    open.map(|entry| (entry.number, entry.state(now))).collect()
}

/// Ends connections of callers whenever memory runs short. Never returns.
pub(super) async fn relieve_memory(relay: Arc<Relay>) {
    loop {
        relay.memory().shortage().await;
        let room = relay.memory().limit() / FREED_PART;
        relay
            .callers()
            .free_memory(relay.memory().missing(room).max(1));
        tokio::time::sleep(RELIEF_PERIOD).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}
