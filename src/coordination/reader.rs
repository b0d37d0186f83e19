//! Which nodes read the platform, and how often.
//!
//! The readers of a failure domain are the first by rendezvous hash of its live members. Nodes with
//! different views choose different readers, which costs platform calls and does no other harm.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::instance::DomainName;
use crate::instance::InstanceName;

/// Readers of a failure domain.
pub const READERS_PER_DOMAIN: usize = 3;

/// Failure domains whose first reader always watches the platform.
pub const WATCH_DOMAINS: usize = 3;

/// Silence of the watching readers after which every other reader watches too.
pub const WATCHER_SILENCE: Duration = Duration::from_secs(6);

/// Time between two calls for a document of a reader that does not watch.
pub const POLL_PERIOD: Duration = Duration::from_secs(60);

/// Documents that a reader watches.
pub const WATCHES_PER_READER: usize = 2;

/// Longest time that a watch waits for something newer.
pub const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Shortest time between two calls of a node for the same document.
pub const CALL_GAP: Duration = Duration::from_millis(250);

/// Upper bound of the first wait after a failed call.
pub const BACKOFF_FIRST: Duration = Duration::from_secs(1);

/// Upper bound of the wait after many failed calls.
pub const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Calls per second that a fleet makes while all of its nodes start at once.
pub const START_CALLS_PER_SECOND: u64 = 500;

/// Seed of the rendezvous hash of readers.
const READER_SEED: u64 = 0x5ead;

/// Returns the readers among `names`, first in rank first.
pub fn readers<'a, I>(names: I) -> Vec<&'a InstanceName>
where
    I: IntoIterator<Item = &'a InstanceName>,
{
    let mut ranked: Vec<(u64, &InstanceName)> = names
        .into_iter()
        .map(|n| (xxh3_64_with_seed(n.as_str().as_bytes(), READER_SEED), n))
        .collect();
    ranked.sort_unstable();
    let first = ranked.into_iter().take(READERS_PER_DOMAIN);
    first.map(|(_, name)| name).collect()
}

/// Returns the failure domains whose first reader watches the platform, first in rank first.
pub fn watch_domains<'a, I>(domains: I) -> Vec<&'a DomainName>
where
    I: IntoIterator<Item = &'a DomainName>,
{
    let mut ranked: Vec<(u64, &DomainName)> = domains
        .into_iter()
        .map(|n| (xxh3_64_with_seed(n.as_str().as_bytes(), READER_SEED), n))
        .collect();
    ranked.sort_unstable();
    let first = ranked.into_iter().take(WATCH_DOMAINS);
    first.map(|(_, name)| name).collect()
}

/// Returns the time to wait after `failures` failed calls in a row, none after a success.
///
/// The wait is drawn between half of its bound and the bound.
pub fn backoff<R>(failures: u32, rng: &mut R) -> Duration
where
    R: Rng,
{
    let Some(doublings) = failures.checked_sub(1) else {
        return Duration::ZERO;
    };
    let bound = BACKOFF_FIRST
        .saturating_mul(1 << doublings.min(16))
        .min(BACKOFF_MAX);
    bound.mul_f64(rng.random_range(0.5..=1.0))
}

/// Returns the span over which the nodes of a fleet of `size` spread their first call.
pub fn start_spread(size: u64) -> Duration {
    Duration::from_millis(size * 1_000 / START_CALLS_PER_SECOND)
}

/// Calls per second that a fleet makes to the platform, by situation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRates {
    /// Nothing changes.
    pub rest: f64,
    /// Configuration and instance list change as stated.
    pub changing: f64,
    /// The platform is away.
    pub away: f64,
    /// The first second after the platform went away.
    pub away_first: f64,
    /// The second in which the platform returns, at most.
    pub back: f64,
    /// All nodes start at once.
    pub start: f64,
    /// All nodes start at once while the platform is away.
    pub start_away: f64,
}

/// Works out the platform calls of a fleet.
///
/// A change ends one watch of each watching reader, which then starts the next. While the platform
/// is away no reader is known to watch, so that every reader does. Each watch is tried again within
/// [`BACKOFF_MAX`], at the earliest after half of it.
pub fn call_rates(size: u64, domains: u64, config_per_day: f64, list_per_day: f64) -> CallRates {
    const DAY_SECONDS: f64 = 86_400.0;
    let readers = (domains * READERS_PER_DOMAIN as u64) as f64;
    let watches = readers * WATCHES_PER_READER as f64;
    let watching = (domains.min(WATCH_DOMAINS as u64)) as f64;
    let polling = readers - watching;
    let rest = WATCHES_PER_READER as f64
        * (watching / WATCH_WAIT.as_secs_f64() + polling / POLL_PERIOD.as_secs_f64());
    let changes = (config_per_day + list_per_day) / DAY_SECONDS;
    let half = BACKOFF_MAX.as_secs_f64() / 2.0;
    let spread = start_spread(size).as_secs_f64();
    CallRates {
        rest,
        changing: rest + changes * watching,
        away: watches / (half * 1.5),
        away_first: watches * 2.0,
        back: watches / half,
        start: size as f64 / spread + watches / half,
        start_away: size as f64 / spread,
    }
}
