//! Which connections of callers are closed when memory or descriptors run short.
//!
//! It answers a crowd of callers that hold more than their share: idle connections, requests that
//! never end and responses that are never read. A connection whose request is being run is never
//! closed, nor is one that makes progress.

use std::time::Duration;

/// Time without progress after which a transfer counts as stalled.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// Time after which the average rate of a transfer is judged.
const RATE_CHECKED_AFTER: Duration = Duration::from_millis(1_000);

/// Average rate in bytes per second below which a transfer counts as stalled.
const MIN_RATE: f64 = 64.0 * 1024.0;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Activity {
    /// It waits for the next request.
    Idle,
    /// Part of a request has been received.
    Receiving,
    /// A request is being run.
    Running,
    /// A response waits to be read.
    Sending,
}

/// State of a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerState {
    /// What the connection does.
    pub activity: Activity,
    /// Memory that it holds, in bytes.
    pub held: usize,
    /// How long it has been doing that.
    pub age: Duration,
    /// Time since bytes were last transferred.
    pub stalled_for: Duration,
    /// Bytes transferred in `age`.
    pub transferred: u64,
    /// Requests that it has sent since it was opened.
    pub requests: u64,
}

impl CallerState {
    /// Returns whether a request or a response is transferred too slowly.
    fn is_stalled(&self) -> bool {
        let transfers = matches!(self.activity, Activity::Receiving | Activity::Sending);
        let rate = self.transferred as f64 / self.age.as_secs_f64().max(f64::MIN_POSITIVE);
        let slow = self.age >= RATE_CHECKED_AFTER && rate < MIN_RATE;
        transfers && (self.stalled_for >= STALLED_AFTER || slow)
    }
}

/// Chooses connections to close so that at least `bytes` are freed, as far as possible: those that
/// have held most for longest.
pub fn choose_for_memory<K>(callers: &[(K, CallerState)], bytes: usize) -> Vec<K>
where
    K: Copy,
{
    let mut stalled: Vec<&(K, CallerState)> = callers
        .iter()
        .filter(|(_, state)| state.is_stalled() && state.held > 0)
        .collect();
    let cost = |state: &CallerState| state.held as f64 * state.age.as_secs_f64();
    stalled.sort_by(|(_, a), (_, b)| cost(b).total_cmp(&cost(a)));
    let mut freed = 0;
    let enough = stalled.iter().take_while(|(_, state)| {
        let needed = freed < bytes;
        freed += state.held;
        needed
    });
    enough.map(|(key, _)| *key).collect()
}

/// Chooses a connection to close so that another can be accepted: one that is idle, first of all one
/// that has never sent a request, otherwise one that has stalled. Returns nothing if there is none.
pub fn choose_for_descriptor<K>(callers: &[(K, CallerState)]) -> Option<K>
where
    K: Copy,
{
    let rank = |state: &CallerState| match state.activity {
        Activity::Idle if state.requests == 0 => Some(0),
        Activity::Receiving if state.is_stalled() && state.requests == 0 => Some(1),
        Activity::Idle => Some(2),
        _ if state.is_stalled() => Some(3),
        _ => None,
    };
    let ranked = callers
        .iter()
        .filter_map(|(key, state)| Some((rank(state)?, std::cmp::Reverse(state.age), *key)));
    let best = ranked.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
    best.map(|(_, _, key)| key)
}
