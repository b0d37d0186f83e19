//! How the quota of an organisation is divided over the fleet, so that the sum holds in any split.
//!
//! One node, the holder of the organisation, gives out tokens. A token that is not used within
//! [`TOKEN_TTL`] expires. The fleet may exceed the quota by a stated overshoot. A part of it is
//! reserved and divided in two: a floor share, from which nodes live that reach no holder; and a rest
//! that nobody uses, for nodes that count the fleet differently. The other part goes into the rate of
//! the tokens, so that requests within the quota are not refused because tokens expire or lie at the
//! wrong node.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::organisations::directory::Quota;
use crate::instance::OrganisationName;

/// Time for which a token may be used after it was given out.
pub const TOKEN_TTL: Duration = Duration::from_millis(500);

/// Part of the overshoot that is reserved.
const RESERVED_SHARE: f64 = 0.4;

/// Part of the burst of a quota that a holder may give out at once. The rest goes into the rate: a
/// steady demand near the quota is more common than a burst after silence.
const BURST_SHARE: f64 = 0.5;

/// Tokens that a holder may give out at once besides, so that small organisations are not refused
/// for two requests that come together.
const MIN_BURST: f64 = 5.0;

/// Number of parts into which the reserve is divided.
const RESERVE_PARTS: f64 = 2.0;

/// Seed of the hash that gives the rest of a floor share to some of the nodes.
const FLOOR_SEED: u64 = 0xf1;

/// How far the sum of all nodes may exceed a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Sliding window over which requests are counted.
    pub window: Duration,
    /// Share of the quota by which a window may exceed it.
    pub overshoot: f64,
    /// Requests by which a window may exceed it besides.
    pub slack: f64,
}

impl QuotaTerms {
    /// Returns the number of requests that the fleet may run in any window.
    pub fn allowed(&self, quota: &Quota) -> f64 {
        let window = self.window.as_secs_f64();
        (quota.rate * window + quota.burst) * (1.0 + self.overshoot) + self.slack
    }

    /// Returns the part of the allowed number that is reserved.
    fn reserve(&self, quota: &Quota) -> f64 {
        let within = quota.rate * self.window.as_secs_f64() + quota.burst;
        (self.allowed(quota) - within).max(0.0) * RESERVED_SHARE
    }

    /// Returns the rate at which the holder gives out tokens, per second. Those that are used in one
    /// window were given out in a span that is longer by [`TOKEN_TTL`].
    pub fn token_rate(&self, quota: &Quota) -> f64 {
        let spent_in = self.window.saturating_add(TOKEN_TTL);
        let tokens = self.allowed(quota) - self.reserve(quota) - self.token_burst(quota);
        (tokens / spent_in.as_secs_f64()).max(0.0)
    }

    /// Returns the number of tokens that the holder may give out at once.
    pub fn token_burst(&self, quota: &Quota) -> f64 {
        (quota.burst * BURST_SHARE + MIN_BURST).min(quota.burst)
    }

    /// Returns the number of requests in any window that a node may admit without tokens, one of
    /// `nodes`. The share of a node is rarely a whole number: its fraction is the chance that this
    /// node gets one more.
    pub fn floor_share(
        &self,
        quota: &Quota,
        organisation: &OrganisationName,
        node: &str,
        nodes: usize,
    ) -> usize {
        let share = self.reserve(quota) / RESERVE_PARTS / nodes.max(1) as f64;
        let seed = xxh3_64_with_seed(organisation.as_str().as_bytes(), FLOOR_SEED);
        let position = xxh3_64_with_seed(node.as_bytes(), seed) as f64 / u64::MAX as f64;
        share as usize + usize::from(position < share.fract())
    }
}
