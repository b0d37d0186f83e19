//! The holder of an organisation's quota, which gives out tokens.
//!
//! The holder is the first of the listed nodes by rendezvous hash. A new one first asks the node that
//! is second, which held the quota before. As long as that one still takes itself for the holder, it
//! gives out the tokens and the new one passes them on. So there is never more than one bucket, and
//! no time is lost when the list changes. If the previous holder cannot be reached, the new one waits
//! until all tokens and all older lists are out of use.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::coordination::organisations::directory::Quota;
use crate::coordination::organisations::quota::QuotaTerms;
use crate::instance::OrganisationName;

/// Time after which a new holder gives out tokens although the previous one cannot be reached:
/// longer than nodes use an old list.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(3_000);

/// Limit on the organisations whose quota one node holds.
const MAX_HELD: usize = 100_000;

/// Seed of the rendezvous hash.
const HOLDER_SEED: u64 = 0x40;

/// Returns the first two of `nodes` for an organisation by rendezvous hash: the holder of its quota,
/// and the one that would hold it without the first. `name` gives the name of a node that is hashed.
pub fn rank<I, N, F>(organisation: &OrganisationName, nodes: I, name: F) -> Vec<N>
where
    I: IntoIterator<Item = N>,
    N: Copy,
    F: Fn(N) -> u64,
{
    let seed = xxh3_64_with_seed(organisation.as_str().as_bytes(), HOLDER_SEED);
    let weight = |node: N| xxh3_64_with_seed(&name(node).to_le_bytes(), seed);
    let mut top: Vec<(u64, N)> = Vec::with_capacity(3);
    for node in nodes {
        let entry = (weight(node), node);
        let at = top.partition_point(|(other, _)| *other > entry.0);
        top.insert(at, entry);
        top.truncate(2);
    }
    top.into_iter().map(|(_, node)| node).collect()
}

/// Tokens that a holder gives out for one request of a node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of tokens.
    pub tokens: u32,
    /// Time until there will be another token, if fewer were given than wanted.
    pub next_in: Duration,
}

/// Token bucket of one organisation.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Time,
}

/// What a node knows about taking over a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takeover {
    /// It holds the quota.
    Held,
    /// It must ask the previous holder first.
    AskPrevious,
}

/// The quotas that one node holds.
#[derive(Debug, Default)]
pub struct QuotaHolder {
    buckets: HashMap<OrganisationName, Bucket>,
    /// When this node was first asked for the quotas that it has not taken over yet.
    asked_since: HashMap<OrganisationName, Time>,
}

impl QuotaHolder {
    /// Returns whether this node holds the quota of an organisation.
    pub fn takeover(&self, organisation: &OrganisationName) -> Takeover {
        match self.buckets.contains_key(organisation) {
            true => Takeover::Held,
            false => Takeover::AskPrevious,
        }
    }

    /// Takes a quota over, as the previous holder does not hold it any more.
    pub fn take_over(
        &mut self,
        organisation: &OrganisationName,
        quota: &Quota,
        terms: &QuotaTerms,
        now: Time,
    ) {
        self.asked_since.remove(organisation);
        if self.buckets.len() >= MAX_HELD {
            return;
        }
        let bucket = Bucket {
            tokens: terms.initial_tokens(quota),
            filled_at: now,
        };
        self.buckets.entry(organisation.clone()).or_insert(bucket);
    }

    /// Records that the previous holder cannot be reached. Returns whether the quota may be taken
    /// over all the same.
    pub fn record_unreachable(&mut self, organisation: &OrganisationName, now: Time) -> bool {
        if self.asked_since.len() >= MAX_HELD {
            self.asked_since.clear();
        }
        let since = *self.asked_since.entry(organisation.clone()).or_insert(now);
        now.since(since) >= TAKEOVER_DELAY
    }

    /// Gives a quota up, as another node holds it now.
    pub fn give_up(&mut self, organisation: &OrganisationName) {
        self.buckets.remove(organisation);
        self.asked_since.remove(organisation);
    }

    /// Keeps only the quotas of the given organisations.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&OrganisationName) -> bool,
    {
        self.buckets.retain(|name, _| keep(name));
        self.asked_since.retain(|name, _| keep(name));
    }

    /// Returns the number of quotas that are held.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no quota is held.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Gives out up to `wanted` tokens. Returns nothing if this node does not hold the quota.
    pub fn grant(
        &mut self,
        organisation: &OrganisationName,
        quota: &Quota,
        terms: &QuotaTerms,
        wanted: u32,
        now: Time,
    ) -> Option<Grant> {
        let rate = terms.token_rate(quota);
        let bucket = self.buckets.get_mut(organisation)?;
        let filled = rate * now.since(bucket.filled_at).as_secs_f64();
        // A bucket below one token would never give out any.
        bucket.tokens = (bucket.tokens + filled).min(terms.token_burst(quota).max(1.0));
        bucket.filled_at = now;
        let tokens = bucket.tokens.floor().min(f64::from(wanted)).max(0.0) as u32;
        bucket.tokens -= f64::from(tokens);
        let next_in = match tokens < wanted {
            true => {
                let seconds = (1.0 - bucket.tokens.fract()) / rate.max(f64::MIN_POSITIVE);
                Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
            }
            false => Duration::ZERO,
        };
        Some(Grant { tokens, next_in })
    }
}

/// Returns the name under which a node with this address is ranked.
pub fn node_key<T>(address: T) -> u64
where
    T: Hash,
{
    let mut hasher = xxhash_rust::xxh3::Xxh3Builder::new()
        .with_seed(HOLDER_SEED)
        .build();
    address.hash(&mut hasher);
    hasher.digest()
}
