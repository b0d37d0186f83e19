//! What a node knows of the fleet.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::route::RouteTable;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::InstanceState;
use crate::instance::ServiceName;
use crate::protocol::store_query::CACHED_REVISION;
use crate::protocol::store_query::Content;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::protocol::store_query::TargetEntry;

/// Time for which a target that is missing from the list is still used. The node beside it refuses
/// if it has left; a list that is old or short takes nothing away at once.
const MISSING_KEPT: Duration = Duration::from_millis(2_500);

/// The fleet as this node sees it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configuration in force.
    pub routes: Option<Arc<RouteTable>>,
    /// Number of services with a listed target.
    pub services: usize,
    /// Listed targets, sorted by name.
    pub targets: Vec<TargetEntry>,
    /// The target beside this node.
    pub own: Option<TargetEntry>,
    /// Whether that target is leaving, which it stays for the rest of its life.
    pub own_leaving: bool,
    /// Whether the entry of that target is gone. It may come back if the store had lost it.
    pub own_gone: bool,
    /// When the list was read last.
    pub listed_at: Time,
    /// Targets that are missing from the list, and since when.
    pub missing: HashMap<InstanceName, Time>,
}

impl View {
    /// Returns the name of the own target.
    pub fn own_name(&self) -> Option<&InstanceName> {
        self.own.as_ref().map(|own| &own.instance.name)
    }

    /// Answers a query for another node from what is known here. The revision says that the store
    /// was not read.
    pub fn answer(&self, query: &Query) -> Option<QueryResult> {
        let content = match query {
            Query::Routes => Content::Routes(Some(RouteTable::clone(self.routes.as_deref()?))),
            Query::Targets if !self.targets.is_empty() => Content::Targets(self.targets.clone()),
            _ => return None,
        };
        Some(QueryResult {
            revision: CACHED_REVISION,
            content,
        })
    }

    /// Returns whether the own target is the same, and in the same life, as in `other`.
    pub fn has_same_own(&self, other: &View) -> bool {
        let life = |view: &View| {
            view.own
                .as_ref()
                .map(|own| (own.instance.name.clone(), own.start_time_ms))
        };
        life(self) == life(other)
    }

    /// Returns whether so many entries are missing that the store has lost them.
    pub fn is_list_short(&self) -> bool {
        self.missing.len() * 2 > self.targets.len()
    }

    /// Returns the instances that requests may go to, and those that are leaving.
    pub fn instances(&self) -> Vec<Instance> {
        self.targets.iter().map(|t| t.instance.clone()).collect()
    }

    /// Merges a list. `own` is the address of the own target; with `shaky` the store failed just
    /// now, and a missing entry says nothing.
    pub fn merge(&mut self, list: Vec<TargetEntry>, own: SocketAddr, shaky: bool, now: Time) {
        self.listed_at = now;
        let mut known: HashMap<InstanceName, TargetEntry> = self
            .targets
            .drain(..)
            .map(|t| (t.instance.name.clone(), t))
            .collect();
        let mut targets: Vec<TargetEntry> = Vec::with_capacity(list.len());
        for mut listed in list {
            if let Some(old) = known.remove(&listed.instance.name) {
                keep_leaving(&old, &mut listed);
            }
            self.missing.remove(&listed.instance.name);
            targets.push(listed);
        }
        let taken = newest_at_each_address(&mut targets);
        for (name, old) in known {
            let since = *self.missing.entry(name.clone()).or_insert(now);
            let replaced = taken.contains(&old.instance.ingress);
            let kept = shaky || now.since(since) < MISSING_KEPT;
            match kept && !replaced {
                true => targets.push(old),
                false => drop(self.missing.remove(&name)),
            }
        }
        targets.sort_by(|a, b| a.instance.name.cmp(&b.instance.name));
        let services: HashSet<&ServiceName> = targets.iter().map(|t| &t.instance.service).collect();
        self.services = services.len();
        self.targets = targets;
        self.find_own(own);
    }

    /// The newest of the targets at the own address is the one that listens there.
    fn find_own(&mut self, address: SocketAddr) {
        let at_own = self
            .targets
            .iter()
            .filter(|t| t.instance.ingress == address);
        let Some(newest) = at_own.max_by_key(|t| t.start_time_ms).cloned() else {
            return;
        };
        let same = self.own.as_ref().is_some_and(|own| {
            own.instance.name == newest.instance.name && own.start_time_ms == newest.start_time_ms
        });
        let leaving = newest.instance.state == InstanceState::Leaving;
        self.own_leaving = leaving || (same && self.own_leaving);
        self.own_gone &= same;
        self.own = Some(newest);
    }
}

/// Keeps the newest target at each address: one that started later has taken the place of any
/// other, whose entry lapses in time. Returns the addresses.
fn newest_at_each_address(targets: &mut Vec<TargetEntry>) -> HashSet<SocketAddr> {
    let mut newest: HashMap<SocketAddr, u64> = HashMap::new();
    for target in targets.iter() {
        let born = newest.entry(target.instance.ingress).or_default();
        *born = target.start_time_ms.max(*born);
    }
    targets.retain(|t| newest.get(&t.instance.ingress) == Some(&t.start_time_ms));
    newest.into_keys().collect()
}

/// A target that was leaving stays so, whatever an older list says.
fn keep_leaving(old: &TargetEntry, new: &mut TargetEntry) {
    if old.start_time_ms == new.start_time_ms && old.instance.state == InstanceState::Leaving {
        new.instance.state = InstanceState::Leaving;
    }
}
