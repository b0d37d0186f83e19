//! Selection of the nodes that read the platform, and the rate of their calls.
//!
//! The readers of a failure domain are its first live members by rendezvous hash. Nodes with
//! different views may select different readers. This costs additional platform calls and has no
//! other effect.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::instance::DomainName;
use crate::instance::InstanceName;

/// Number of readers in each failure domain.
pub const READERS_PER_DOMAIN: usize = 3;

/// Number of failure domains whose first reader always watches the platform.
pub const WATCH_DOMAINS: usize = 3;

/// Time without a report of a watching reader after which a reader watches the platform itself.
pub const WATCHER_TIMEOUT: Duration = Duration::from_secs(6);

/// Mean interval between two calls for a document by a reader that polls instead of watching.
pub const POLL_PERIOD: Duration = Duration::from_secs(60);

/// Number of documents that a reader watches.
pub const WATCHES_PER_READER: usize = 2;

/// Maximum time that the platform holds a watch open before it answers that nothing changed.
pub const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Minimum interval between two calls of a node for the same document.
pub const MIN_CALL_INTERVAL: Duration = Duration::from_millis(250);

/// Upper bound of the delay after the first failed call.
pub const BACKOFF_FIRST: Duration = Duration::from_secs(1);

/// Upper bound of the delay after repeated failed calls.
pub const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Platform calls per second to which the first calls of a starting fleet are limited.
pub const START_CALLS_PER_SECOND: u64 = 500;

/// Seed of the rendezvous hash.
const READER_SEED: u64 = 0x5ead;

/// Returns the readers among `names`, ordered by rank.
pub fn readers<'a, I>(names: I) -> Vec<&'a InstanceName>
where
    I: IntoIterator<Item = &'a InstanceName>,
{
    let mut ranked: Vec<(u64, &InstanceName)> = names
        .into_iter()
        .map(|n| (xxh3_64_with_seed(n.as_str().as_bytes(), READER_SEED), n))
        .collect();
    ranked.sort_unstable();
    let top = ranked.into_iter().take(READERS_PER_DOMAIN);
    top.map(|(_, name)| name).collect()
}

/// Returns the failure domains whose first reader watches the platform, ordered by rank.
pub fn watch_domains<'a, I>(domains: I) -> Vec<&'a DomainName>
where
    I: IntoIterator<Item = &'a DomainName>,
{
    let mut ranked: Vec<(u64, &DomainName)> = domains
        .into_iter()
        .map(|n| (xxh3_64_with_seed(n.as_str().as_bytes(), READER_SEED), n))
        .collect();
    ranked.sort_unstable();
    let top = ranked.into_iter().take(WATCH_DOMAINS);
    top.map(|(_, name)| name).collect()
}

/// Returns the delay after `failures` consecutive failed calls, zero if there is none.
///
/// The delay is random between half of its upper bound and the bound. The bound doubles with each
/// failure from [`BACKOFF_FIRST`] to [`BACKOFF_MAX`].
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

/// Returns the time over which the nodes of a fleet of `size` nodes spread their first calls.
pub fn start_spread(size: u64) -> Duration {
    Duration::from_millis(size * 1_000 / START_CALLS_PER_SECOND)
}

/// Calls per second of a fleet to the platform, by situation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRates {
    /// The platform is up and nothing changes.
    pub idle: f64,
    /// The configuration and the instance list change at the given rates.
    pub changing: f64,
    /// The platform is down.
    pub platform_down: f64,
    /// First second after the platform went down.
    pub platform_down_first_second: f64,
    /// Upper bound for the second in which the platform comes back.
    pub platform_back: f64,
    /// All nodes start at once.
    pub fleet_start: f64,
    /// All nodes start at once while the platform is down.
    pub fleet_start_platform_down: f64,
}

/// Calculates the platform calls of a fleet of `size` nodes in `domains` failure domains.
///
/// `config_per_day` and `list_per_day` are the publications of each document per day. A change ends
/// one watch of each watching reader, which then starts the next. While the platform is down no
/// reader is known to watch, so every reader does. Each watch is retried within [`BACKOFF_MAX`], at
/// the earliest after half of it.
pub fn call_rates(size: u64, domains: u64, config_per_day: f64, list_per_day: f64) -> CallRates {
    const DAY_SECONDS: f64 = 86_400.0;
    let readers = (domains * READERS_PER_DOMAIN as u64) as f64;
    let watches = readers * WATCHES_PER_READER as f64;
    let watching = (domains.min(WATCH_DOMAINS as u64)) as f64;
    let polling = readers - watching;
    let idle = WATCHES_PER_READER as f64
        * (watching / WATCH_WAIT.as_secs_f64() + polling / POLL_PERIOD.as_secs_f64());
    let changes = (config_per_day + list_per_day) / DAY_SECONDS;
    let half = BACKOFF_MAX.as_secs_f64() / 2.0;
    let spread = start_spread(size).as_secs_f64();
    CallRates {
        idle,
        changing: idle + changes * watching,
        platform_down: watches / (half * 1.5),
        platform_down_first_second: watches * 2.0,
        platform_back: watches / half,
        fleet_start: size as f64 / spread + watches / half,
        fleet_start_platform_down: size as f64 / spread,
    }
}
