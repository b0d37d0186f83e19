//! The holder of an organisation's quota, which gives out tokens.
//!
//! The holder is the first of the listed nodes by rendezvous hash, under the conditions of
//! [`lease`](crate::coordination::organisations::lease). There is never more than one bucket: it is
//! handed over with its tokens, or begins empty.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::coordination::organisations::directory::Quota;
use crate::coordination::organisations::lease::HISTORY_TIME;
use crate::coordination::organisations::lease::ListHistory;
use crate::coordination::organisations::lease::ListNumber;
use crate::coordination::organisations::lease::MAX_GAP;
use crate::coordination::organisations::lease::MAX_LIST_AGE;
use crate::coordination::organisations::lease::MAX_TAKEOVER_AGE;
use crate::coordination::organisations::quota::QuotaTerms;
use crate::coordination::organisations::takeover::Candidate;
use crate::coordination::organisations::takeover::Former;
use crate::coordination::organisations::takeover::Release;
use crate::coordination::organisations::takeover::TakeoverResult;
use crate::coordination::rendezvous;
use crate::instance::OrganisationName;

/// Limit on the organisations whose quota one node holds.
const MAX_HELD: usize = 100_000;

/// Seed of the rendezvous hash.
const HOLDER_SEED: u64 = 0x40;

/// Returns the first `count` of `nodes` for an organisation by rendezvous hash: the holder of its
/// quota, and those that would hold it without the ones before them.
pub fn rank(
    organisation: &OrganisationName,
    nodes: &[SocketAddr],
    count: usize,
) -> Vec<SocketAddr> {
    let key = organisation.as_str().as_bytes();
    let weight = |node: SocketAddr| {
        let node_key = rendezvous::node_key(node, HOLDER_SEED);
        rendezvous::weight(key, node_key, HOLDER_SEED)
    };
    let mut top: Vec<(u64, SocketAddr)> = Vec::with_capacity(count + 1);
    for node in nodes {
        let entry = (weight(*node), *node);
        let at = top.partition_point(|(other, _)| *other > entry.0);
        top.insert(at, entry);
        top.truncate(count);
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

/// What a node is for one quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It holds the quota and may give out tokens.
    Holder,
    /// It may take the quota over if other nodes release it.
    Candidate(Candidate),
    /// It is first, by a list that is too old to take over.
    Waiting,
    /// Another node is first.
    Other(SocketAddr),
    /// It cannot prove a recent list.
    Unproved,
}

/// Token bucket of one organisation.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Time,
    /// This node is first in all lists from the one that made it the holder to this one.
    first_in: ListNumber,
}

impl Bucket {
    fn fill(&mut self, quota: &Quota, terms: &QuotaTerms, now: Time) {
        let filled = terms.token_rate(quota) * now.since(self.filled_at).as_secs_f64();
        // A bucket below one token would never give out any.
        self.tokens = (self.tokens + filled).min(terms.token_burst(quota).max(1.0));
        self.filled_at = now;
    }
}

/// Limit on the remembered releases of one quota: more than a node asks for one takeover.
const MAX_RELEASED: usize = 16;

/// The nodes for which a quota was released within [`HISTORY_TIME`], the last one last.
#[derive(Debug, Default)]
struct Releases(Vec<(Time, SocketAddr)>);

impl Releases {
    fn record(&mut self, to: SocketAddr, now: Time) {
        self.remove_expired(now);
        self.0.retain(|(_, node)| *node != to);
        if self.0.len() >= MAX_RELEASED {
            self.0.remove(0);
        }
        self.0.push((now, to));
    }

    fn remove_expired(&mut self, now: Time) {
        self.0.retain(|(at, _)| now.since(*at) < HISTORY_TIME);
    }

    fn last(&self) -> Option<Time> {
        self.0.last().map(|(at, _)| *at)
    }

    fn nodes(&self) -> impl Iterator<Item = SocketAddr> {
        self.0.iter().map(|(_, node)| *node)
    }
}

/// What another node stated: that this one has been first since a time before it was asked.
#[derive(Clone, Copy, Debug)]
struct Witnessed {
    since: Time,
    asked: Time,
}

/// The quotas that one node holds, and the lists that decide which.
#[derive(Debug, Default)]
pub struct QuotaHolder {
    lists: ListHistory,
    buckets: HashMap<OrganisationName, Bucket>,
    releases: HashMap<OrganisationName, Releases>,
    witnessed: HashMap<OrganisationName, Witnessed>,
}

impl QuotaHolder {
    /// Builds the state of a node that has just started. `first_start` is set if the whole fleet
    /// starts for the first time.
    pub fn new(first_start: bool) -> QuotaHolder {
        QuotaHolder {
            lists: ListHistory::new(first_start),
            ..QuotaHolder::default()
        }
    }

    /// Records that the live nodes were `nodes` at some time from `at` to `now`.
    pub fn record_list(&mut self, nodes: Vec<SocketAddr>, at: Time, now: Time) {
        self.lists.record(nodes, at, now);
    }

    /// Returns the lists that this node could prove lately.
    pub fn lists(&mut self) -> &mut ListHistory {
        &mut self.lists
    }

    /// Returns what the node at `own` is for the quota of an organisation.
    pub fn role(&mut self, name: &OrganisationName, own: SocketAddr, now: Time) -> Role {
        let proved_at = self.lists.proved_at();
        let Some(proved_at) = proved_at.filter(|at| now.since(*at) <= MAX_LIST_AGE) else {
            return Role::Unproved;
        };
        match self.lists.first(name) {
            None => Role::Unproved,
            Some(first) if first != own => Role::Other(first),
            Some(_) if self.has_kept(name, own) => Role::Holder,
            Some(_) => self.candidate(name, own, now.since(proved_at), now),
        }
    }

    /// Returns whether this node has held the quota without an interruption. If it has not, its bucket
    /// is dropped.
    fn has_kept(&mut self, name: &OrganisationName, own: SocketAddr) -> bool {
        let (Some(bucket), Some(newest)) = (self.buckets.get_mut(name), self.lists.newest()) else {
            return false;
        };
        let first_until = self.lists.first_until(name, own, bucket.first_in);
        let has_kept = first_until == self.lists.proved_at();
        bucket.first_in = newest;
        if !has_kept {
            self.buckets.remove(name);
        }
        has_kept
    }

    fn candidate(
        &mut self,
        name: &OrganisationName,
        own: SocketAddr,
        list_age: Duration,
        now: Time,
    ) -> Role {
        if list_age > MAX_GAP {
            return Role::Waiting;
        }
        let releases = self.releases.get_mut(name);
        let releases = releases.map(|releases| {
            releases.remove_expired(now);
            &*releases
        });
        let released_at = releases.and_then(Releases::last);
        let first_since = self.lists.first_since(name, own).unwrap_or(now);
        let witnessed = self.witnessed.get(name);
        let witnessed = witnessed.filter(|witnessed| first_since <= witnessed.asked);
        let since = witnessed.map_or(first_since, |w| w.since.min(first_since));
        let waited = now.since(since.max(released_at.unwrap_or(since)));
        if waited >= MAX_LIST_AGE && list_age <= MAX_TAKEOVER_AGE {
            return Role::Candidate(Candidate {
                ask: Vec::new(),
                is_complete: true,
            });
        }
        let released_to = releases.into_iter().flat_map(Releases::nodes);
        let ask = released_to.chain(self.lists.possible_holders(name, own, now));
        Role::Candidate(Candidate {
            ask: ask.collect(),
            is_complete: self.lists.knows_holders(now),
        })
    }

    /// Takes a quota over if the answers of the other nodes, which were asked from `asked` on, allow it
    /// and the lists have not changed meanwhile. Returns the tokens in the bucket.
    #[expect(clippy::too_many_arguments)] // a decision on all of them
    pub fn finish_takeover(
        &mut self,
        name: &OrganisationName,
        quota: &Quota,
        terms: &QuotaTerms,
        own: SocketAddr,
        result: TakeoverResult,
        asked: Time,
        now: Time,
    ) -> Option<u32> {
        let tokens = match result {
            TakeoverResult::Denied => return None,
            TakeoverResult::Allowed { tokens } => tokens,
            TakeoverResult::IfFirstFor(first_for) => {
                self.record_witness(name, first_for, asked, now);
                Some(0)
            }
        };
        let may_take = match self.role(name, own, now) {
            Role::Candidate(candidate) => {
                let needs_none = candidate.is_complete && candidate.ask.is_empty();
                needs_none || !matches!(result, TakeoverResult::IfFirstFor(_))
            }
            _ => false,
        };
        if !may_take {
            return None;
        }
        let tokens = tokens.unwrap_or_else(|| self.first_tokens(quota, terms, now));
        self.take_over(name, tokens, now);
        Some(tokens)
    }

    fn record_witness(
        &mut self,
        name: &OrganisationName,
        first_for: Duration,
        asked: Time,
        now: Time,
    ) {
        if self.witnessed.len() >= MAX_HELD {
            self.witnessed.clear();
        }
        let witnessed = Witnessed {
            since: now.minus(first_for),
            asked,
        };
        self.witnessed.insert(name.clone(), witnessed);
    }

    /// Returns the tokens with which this node takes a quota over that no other node held before it.
    /// They are more than none only if it cannot have been held before that.
    fn first_tokens(&self, quota: &Quota, terms: &QuotaTerms, now: Time) -> u32 {
        match self.lists.is_first_start(now) {
            true => terms.token_burst(quota) as u32,
            false => 0,
        }
    }

    fn take_over(&mut self, name: &OrganisationName, tokens: u32, now: Time) {
        self.witnessed.remove(name);
        let Some(first_in) = self.lists.newest() else {
            return;
        };
        if self.buckets.len() >= MAX_HELD {
            return;
        }
        let bucket = Bucket {
            tokens: f64::from(tokens),
            filled_at: now,
            first_in,
        };
        self.buckets.entry(name.clone()).or_insert(bucket);
    }

    /// Gives up a quota that this node, at `own`, does not hold by its lists, for the node at `asking`.
    pub fn release(
        &mut self,
        name: &OrganisationName,
        quota: &Quota,
        terms: &QuotaTerms,
        own: SocketAddr,
        asking: SocketAddr,
        now: Time,
    ) -> Release {
        if self.releases.len() >= MAX_HELD {
            self.releases.clear();
        }
        let releases = self.releases.entry(name.clone()).or_default();
        releases.record(asking, now);
        let others = releases.nodes().filter(|node| *node != asking);
        let released_to = others.collect();
        Release {
            former: self.former(name, quota, terms, own, now),
            first_for_ms: self.first_for(name, asking, now),
            is_new: self.lists.is_short(now),
            firsts: self.lists.firsts(name, asking, now),
            released_to,
        }
    }

    /// Removes the bucket of a quota and returns what this node was.
    fn former(
        &mut self,
        name: &OrganisationName,
        quota: &Quota,
        terms: &QuotaTerms,
        own: SocketAddr,
        now: Time,
    ) -> Former {
        let Some(mut bucket) = self.buckets.remove(name) else {
            return Former::NoHolder;
        };
        let first_until = self.lists.first_until(name, own, bucket.first_in);
        match first_until.is_some_and(|until| now.since(until) <= MAX_LIST_AGE) {
            true => {
                bucket.fill(quota, terms, now);
                Former::Holder {
                    tokens: bucket.tokens as u32,
                }
            }
            false => Former::Expired,
        }
    }

    /// Returns for how long a node has been first without interruption, if this node can prove it and
    /// the other one's lists are known to follow on these.
    fn first_for(&mut self, name: &OrganisationName, node: SocketAddr, now: Time) -> Option<u32> {
        let proved_at = self.lists.proved_at()?;
        if now.since(proved_at) > MAX_GAP {
            return None;
        }
        let since = self.lists.first_since(name, node)?;
        u32::try_from(now.since(since).as_millis()).ok()
    }

    /// Keeps only the quotas of the given organisations.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&OrganisationName) -> bool,
    {
        self.buckets.retain(|name, _| keep(name));
        self.releases.retain(|name, _| keep(name));
        self.witnessed.retain(|name, _| keep(name));
    }

    /// Returns the number of quotas that are held.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no quota is held.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Gives out up to `wanted` tokens. Returns nothing if this node has no bucket of the quota; its
    /// [`role`](QuotaHolder::role) must be [`Role::Holder`].
    pub fn grant(
        &mut self,
        name: &OrganisationName,
        quota: &Quota,
        terms: &QuotaTerms,
        wanted: u32,
        now: Time,
    ) -> Option<Grant> {
        let bucket = self.buckets.get_mut(name)?;
        bucket.fill(quota, terms, now);
        let tokens = bucket.tokens.floor().min(f64::from(wanted)).max(0.0) as u32;
        bucket.tokens -= f64::from(tokens);
        let next_in = match tokens < wanted {
            true => {
                let rate = terms.token_rate(quota).max(f64::MIN_POSITIVE);
                let seconds = (1.0 - bucket.tokens.fract()) / rate;
                Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
            }
            false => Duration::ZERO,
        };
        Some(Grant { tokens, next_in })
    }
}
