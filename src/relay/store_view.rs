//! What a node knows from the platform's store: configuration, targets and the state of the local
//! target.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::nodes::Nodes;
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
use crate::relay::reader_sync::READERS;

/// Time for which a target that is missing from the list is still used. The list may be stale or
/// incomplete, and the node beside a target that has left refuses requests.
const MISSING_TARGET_RETENTION: Duration = Duration::from_millis(2_500);

/// Configuration and targets as this node knows them from the store. It stays in use while the
/// store fails.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// Configuration in force.
    pub routes: Option<Arc<RouteTable>>,
    /// Number of named services with a listed target.
    pub services: usize,
    /// Listed targets, sorted by name.
    pub targets: Vec<TargetEntry>,
    /// The nodes that the listed targets stand for. They decide who reads the store, who holds a
    /// quota and how budgets are divided.
    pub nodes: Arc<Nodes>,
    /// The target beside this node, once it is listed.
    pub local_target: Option<TargetEntry>,
    /// Whether the local target is draining. Once set, it stays set until another target is listed
    /// at the local address.
    pub local_draining: bool,
    /// Whether the entry of the local target was removed. It may reappear if the store had lost it.
    pub local_removed: bool,
    /// Time of the last read of the list.
    pub listed_at: Time,
    /// Revision of the store at the last read of the list, or 0.
    pub list_revision: u64,
    /// For each target that is missing from the list, the time at which it was first missing.
    pub missing_since: HashMap<InstanceName, Time>,
}

impl StoreView {
    /// Returns the name of the local target.
    pub fn local_name(&self) -> Option<&InstanceName> {
        self.local_target.as_ref().map(|local| &local.instance.name)
    }

    /// Answers the query of another node from this view. The revision is [`CACHED_REVISION`],
    /// because the store was not read. Returns nothing if the view does not have the content.
    pub fn answer(&self, query: &Query) -> Option<QueryResult> {
        let content = match query {
            Query::Routes => Content::Routes(Some(RouteTable::clone(self.routes.as_deref()?))),
            Query::Targets | Query::CurrentTargets if !self.targets.is_empty() => {
                Content::Targets(self.targets.clone())
            }
            _ => return None,
        };
        Some(QueryResult {
            revision: CACHED_REVISION,
            content,
            age_ms: None,
        })
    }

    /// Returns whether the local target has the same name and start time as in `other`.
    pub fn has_same_local_target(&self, other: &StoreView) -> bool {
        let identity = |view: &StoreView| {
            view.local_target
                .as_ref()
                .map(|local| (local.instance.name.clone(), local.start_time_ms))
        };
        identity(self) == identity(other)
    }

    /// Returns whether more than half of the nodes are missing from the list, in which case the store
    /// has lost entries.
    pub fn is_list_incomplete(&self) -> bool {
        let is_missing = |i: &&Instance| self.missing_since.contains_key(&i.name);
        self.nodes.iter().filter(is_missing).count() * 2 > self.nodes.len()
    }

    /// Returns whether a list of targets was read.
    pub fn has_list(&self) -> bool {
        self.list_revision > 0
    }

    /// Returns the number of nodes that read the store, which are the readers of all failure
    /// domains.
    pub fn reader_count(&self) -> usize {
        let counts = self.nodes.per_domain();
        counts.values().map(|count| (*count).min(READERS)).sum()
    }

    /// Returns the targets of the last list, without those that are missing from it.
    pub fn listed_targets(&self) -> Vec<TargetEntry> {
        let listed = self
            .targets
            .iter()
            .filter(|target| !self.missing_since.contains_key(&target.instance.name));
        listed.cloned().collect()
    }

    /// Returns all instances in use, also those that are draining.
    pub fn instances(&self) -> Vec<Instance> {
        self.targets.iter().map(|t| t.instance.clone()).collect()
    }

    /// Merges a list of targets that was read at `now`. `local_address` is the address of the local
    /// target. If `store_unstable` is set, the store failed recently and missing entries are kept.
    pub fn merge(
        &mut self,
        list: Vec<TargetEntry>,
        local_address: SocketAddr,
        store_unstable: bool,
        now: Time,
    ) {
        self.listed_at = now;
        let mut known: HashMap<InstanceName, TargetEntry> = self
            .targets
            .drain(..)
            .map(|t| (t.instance.name.clone(), t))
            .collect();
        let mut targets: Vec<TargetEntry> = Vec::with_capacity(list.len());
        for mut listed in list {
            if let Some(old) = known.remove(&listed.instance.name) {
                keep_draining_state(&old, &mut listed);
            }
            self.missing_since.remove(&listed.instance.name);
            targets.push(listed);
        }
        let used: HashSet<&ServiceName> = self.used_services();
        let occupied = retain_newest_per_address(&mut targets, |service| used.contains(service));
        for (name, old) in known {
            let since = *self.missing_since.entry(name.clone()).or_insert(now);
            let replaced = occupied.contains(&old.instance.ingress);
            let kept = store_unstable || now.since(since) < MISSING_TARGET_RETENTION;
            match kept && !replaced {
                true => targets.push(old),
                false => drop(self.missing_since.remove(&name)),
            }
        }
        targets.sort_by(|a, b| a.instance.name.cmp(&b.instance.name));
        self.targets = targets;
        self.update_nodes();
        self.update_local_target(local_address);
    }

    /// Returns the view with another configuration, which may name other services.
    pub fn with_routes(mut self, table: RouteTable) -> StoreView {
        self.routes = Some(Arc::new(table));
        self.update_nodes();
        self
    }

    fn update_nodes(&mut self) {
        let nodes = Nodes::new(&self.targets, self.routes.as_deref());
        let services: HashSet<&ServiceName> = nodes.iter().map(|i| &i.service).collect();
        self.services = services.len();
        self.nodes = Arc::new(nodes);
    }

    /// Returns the services that any route leads to.
    fn used_services(&self) -> HashSet<&ServiceName> {
        let routes = self.routes.iter().flat_map(|table| table.routes());
        let weighted = routes.flat_map(|route| &route.weighted_services);
        weighted.map(|weighted| &weighted.service).collect()
    }

    /// Takes the newest of the targets at the local address as the local target, because the older
    /// ones no longer listen there.
    fn update_local_target(&mut self, address: SocketAddr) {
        let at_local_address = self
            .targets
            .iter()
            .filter(|t| t.instance.ingress == address);
        let Some(newest) = at_local_address.max_by_key(|t| t.start_time_ms).cloned() else {
            return;
        };
        let unchanged = self.local_target.as_ref().is_some_and(|local| {
            local.instance.name == newest.instance.name
                && local.start_time_ms == newest.start_time_ms
        });
        let draining = newest.instance.state == InstanceState::Draining;
        self.local_draining = draining || (unchanged && self.local_draining);
        self.local_removed &= unchanged;
        self.local_target = Some(newest);
    }
}

/// Keeps only the newest target at each address. The entries of the older ones have not expired
/// yet. An entry of a service that no route leads to may be another program's, so that it gives way
/// to one of a service in use. Returns the addresses.
fn retain_newest_per_address<F>(targets: &mut Vec<TargetEntry>, is_used: F) -> HashSet<SocketAddr>
where
    F: Fn(&ServiceName) -> bool,
{
    let rank = |t: &TargetEntry| (is_used(&t.instance.service), t.start_time_ms);
    let mut highest: HashMap<SocketAddr, (bool, u64)> = HashMap::new();
    for target in targets.iter() {
        let known = highest.entry(target.instance.ingress).or_default();
        *known = rank(target).max(*known);
    }
    targets.retain(|t| highest.get(&t.instance.ingress) == Some(&rank(t)));
    highest.into_keys().collect()
}

/// Keeps a target marked as draining if a stale list shows it in an earlier state.
fn keep_draining_state(old: &TargetEntry, new: &mut TargetEntry) {
    if old.start_time_ms == new.start_time_ms && old.instance.state == InstanceState::Draining {
        new.instance.state = InstanceState::Draining;
    }
}
