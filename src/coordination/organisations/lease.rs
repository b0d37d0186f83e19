//! Which node may hold a quota, by the lists of nodes that it can prove.
//!
//! Every node computes the holder of a quota from a list of nodes, and lists differ from node to node.
//! So a node acts as the holder only while it knows a list that was the newest one less than
//! [`MAX_LIST_AGE`] ago and by which it is first. A node that becomes first waits until no older list
//! can serve another one, unless the nodes that were first before have released the quota.
//!
//! All times are of a clock that also counts the time for which the machine is suspended.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::organisations::holder;
use crate::instance::OrganisationName;

/// Age of its list above which a node does not act as a holder. Also the time for which a node is
/// first before it takes over without a release.
pub const MAX_LIST_AGE: Duration = Duration::from_millis(4_000);

/// Age of its list above which a node does not take over without a release.
pub const MAX_TAKEOVER_AGE: Duration = Duration::from_millis(1_000);

/// Longest time between two proofs of lists. In a longer one, another node may have become the
/// holder: [`MAX_LIST_AGE`] less [`MAX_TAKEOVER_AGE`].
pub const MAX_GAP: Duration = Duration::from_millis(3_000);

/// Time for which lists are remembered: a node that was first only before that does not hold the
/// quota. [`MAX_LIST_AGE`] and [`MAX_GAP`].
pub const HISTORY_TIME: Duration = Duration::from_millis(7_000);

/// Maximum number of remembered lists.
const MAX_LISTS: usize = 64;

/// Number of nodes that are asked if the lists of a node do not go back far enough.
const MAX_WITNESSES: usize = 4;

/// Limit on the organisations whose first nodes are remembered for each list.
const MAX_RANKED: usize = 10_000;

/// Number of a list in the order in which this node learned of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListNumber(u64);

/// The first two nodes for a quota, as far as there are so many.
type Ranked = [Option<SocketAddr>; 2];

/// A list of nodes that was the newest one.
#[derive(Debug)]
struct ProvedList {
    number: ListNumber,
    nodes: Vec<SocketAddr>,
    /// The first nodes for the organisations that were looked up.
    ranked: HashMap<OrganisationName, Ranked>,
    /// When this node learned of it: it was the newest one at some time before.
    from: Time,
    /// It was the newest one at this time or later.
    until: Time,
}

impl ProvedList {
    fn ranked(&mut self, name: &OrganisationName) -> Ranked {
        if let Some(ranked) = self.ranked.get(name) {
            return *ranked;
        }
        if self.ranked.len() >= MAX_RANKED {
            self.ranked.clear();
        }
        let nodes = holder::rank(name, &self.nodes, 2);
        let ranked = [nodes.first().copied(), nodes.get(1).copied()];
        self.ranked.insert(name.clone(), ranked);
        ranked
    }

    fn first(&mut self, name: &OrganisationName) -> Option<SocketAddr> {
        self.ranked(name)[0]
    }
}

/// The lists of nodes that this node could prove lately, without a gap of more than [`MAX_GAP`].
#[derive(Debug, Default)]
pub struct ListHistory {
    lists: VecDeque<ProvedList>,
    /// Number of lists that were recorded.
    recorded: u64,
    /// The first list after the last gap. Earlier ones only tell who may still hold a quota.
    unbroken_from: ListNumber,
    /// Whether no node held a quota before the first of these lists.
    is_complete: bool,
}

impl ListHistory {
    /// Builds an empty history. `first_start` is set if the whole fleet starts for the first time.
    pub fn new(first_start: bool) -> ListHistory {
        ListHistory {
            lists: VecDeque::new(),
            recorded: 0,
            unbroken_from: ListNumber::default(),
            is_complete: first_start,
        }
    }

    /// Records that the live nodes were `nodes`, in any order, at some time from `at` to `now`.
    pub fn record(&mut self, mut nodes: Vec<SocketAddr>, at: Time, now: Time) {
        nodes.sort_unstable();
        let newest = self.lists.back().map(|list| list.until);
        if newest.is_some_and(|newest| at <= newest) {
            return;
        }
        let is_broken = newest.is_some_and(|newest| now.since(newest) > MAX_GAP);
        if is_broken {
            self.unbroken_from = ListNumber(self.recorded + 1);
            self.is_complete = false;
        }
        match self.lists.back_mut() {
            Some(last) if last.nodes == nodes && !is_broken => last.until = at,
            _ => self.push(nodes, at, now),
        }
        let is_old = |list: &ProvedList| at.since(list.until) > HISTORY_TIME;
        while self.lists.len() > MAX_LISTS || self.lists.front().is_some_and(is_old) {
            self.lists.pop_front();
            self.is_complete = false;
        }
    }

    fn push(&mut self, nodes: Vec<SocketAddr>, at: Time, now: Time) {
        self.recorded += 1;
        self.lists.push_back(ProvedList {
            number: ListNumber(self.recorded),
            nodes,
            ranked: HashMap::new(),
            from: now,
            until: at,
        });
    }

    /// Returns since when lists are known without a gap.
    fn unbroken_since(&self) -> Option<Time> {
        let mut unbroken = self.lists.iter();
        let first = unbroken.find(|list| list.number >= self.unbroken_from);
        first.map(|list| list.from)
    }

    /// Returns whether the lists go back too short a while to know who may hold a quota.
    pub fn is_short(&self, now: Time) -> bool {
        let since = self.unbroken_since();
        since.is_none_or(|since| now.since(since) < HISTORY_TIME)
    }

    /// Returns the number of the newest list, if there is one.
    pub fn newest(&self) -> Option<ListNumber> {
        self.lists.back().map(|list| list.number)
    }

    /// Returns the first two nodes for the quota of an organisation by the newest list, if there is
    /// one.
    pub fn ranked(&mut self, name: &OrganisationName) -> Option<Vec<SocketAddr>> {
        let ranked = self.lists.back_mut()?.ranked(name);
        Some(ranked.into_iter().flatten().collect())
    }

    /// Returns whether the whole fleet started so short a while ago that no node held a quota before
    /// those that this one knows.
    pub fn is_first_start(&self, now: Time) -> bool {
        self.is_complete && self.is_short(now)
    }

    /// Returns when a list was last proved to be the newest one.
    pub fn proved_at(&self) -> Option<Time> {
        self.lists.back().map(|list| list.until)
    }

    /// Returns the first node for the quota of an organisation by the newest list, if there is one.
    pub fn first(&mut self, name: &OrganisationName) -> Option<SocketAddr> {
        self.lists.back_mut()?.first(name)
    }

    /// Returns whether no other node than those of [`possible_holders`](ListHistory::possible_holders)
    /// may hold a quota.
    pub fn knows_holders(&self, now: Time) -> bool {
        self.is_complete || !self.is_short(now)
    }

    /// Returns the nodes but `own` that may hold a quota, the most recent first node last. If the lists
    /// do not go back far enough, the nodes after the first are among them: they may have been first,
    /// or may know for how long this one has been.
    pub fn possible_holders(
        &mut self,
        name: &OrganisationName,
        own: SocketAddr,
        now: Time,
    ) -> Vec<SocketAddr> {
        let firsts = self.others(name, own);
        if !self.is_short(now) {
            return firsts;
        }
        let mut holders = self.witnesses(name, own);
        holders.retain(|node| !firsts.contains(node));
        holders.extend(firsts);
        holders
    }

    /// Returns since when the node at `node` has been first, if it is.
    pub fn first_since(&mut self, name: &OrganisationName, node: SocketAddr) -> Option<Time> {
        let mut since = None;
        let unbroken_from = self.unbroken_from;
        for list in self.lists.iter_mut().rev() {
            if list.number < unbroken_from || list.first(name) != Some(node) {
                break;
            }
            since = Some(list.from);
        }
        since
    }

    /// Returns the time up to which the node at `own` was first in all lists from the list `since` on.
    pub fn first_until(
        &mut self,
        name: &OrganisationName,
        own: SocketAddr,
        since: ListNumber,
    ) -> Option<Time> {
        let is_covered = self.covers(since);
        let mut until = None;
        for list in self.lists.iter_mut().filter(|l| l.number >= since) {
            if !is_covered || list.first(name) != Some(own) {
                break;
            }
            until = Some(list.until);
        }
        until
    }

    /// Returns all nodes but `asking` that were first within [`HISTORY_TIME`], if the lists go back so
    /// far and are recent enough for a node that has none.
    pub fn firsts(
        &mut self,
        name: &OrganisationName,
        asking: SocketAddr,
        now: Time,
    ) -> Option<Vec<SocketAddr>> {
        let is_recent = self.proved_at().is_some_and(|at| now.since(at) <= MAX_GAP);
        let is_usable = is_recent && !self.is_short(now);
        is_usable.then(|| self.others(name, asking))
    }

    /// Returns whether all lists from the list `since` on are known, without a gap.
    fn covers(&self, since: ListNumber) -> bool {
        let is_kept = self.lists.front().is_some_and(|l| l.number <= since);
        is_kept && since >= self.unbroken_from
    }

    /// Returns the nodes but `own` that were first, the last of them last.
    fn others(&mut self, name: &OrganisationName, own: SocketAddr) -> Vec<SocketAddr> {
        let mut others = Vec::new();
        for list in &mut self.lists {
            if let Some(node) = list.first(name).filter(|node| *node != own) {
                others.retain(|other| *other != node);
                others.push(node);
            }
        }
        others
    }

    /// Returns the nodes after the first, the next one last.
    fn witnesses(&self, name: &OrganisationName, own: SocketAddr) -> Vec<SocketAddr> {
        let Some(newest) = self.lists.back() else {
            return Vec::new();
        };
        let ranked = holder::rank(name, &newest.nodes, MAX_WITNESSES + 1);
        let others = ranked.into_iter().filter(|node| *node != own);
        let mut others: Vec<SocketAddr> = others.collect();
        others.reverse();
        others
    }
}
