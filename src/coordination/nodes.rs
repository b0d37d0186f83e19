//! The nodes of the fleet, as the list of targets and the configuration show them.
//!
//! Other programs may write entries into the list. An entry of a service that the configuration does
//! not name stands for no node, and entries at one peer address for one node. All decisions on nodes
//! go by these: who reads the store, who holds a quota, how a budget is divided.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::coordination::route::RouteTable;
use crate::instance::DomainName;
use crate::instance::Instance;
use crate::instance::InstanceState;
use crate::instance::RegionName;
use crate::protocol::store_query::TargetEntry;

/// The nodes of the fleet, one at each peer address, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Nodes(Vec<Instance>);

impl Nodes {
    /// Builds the list of nodes from the listed targets. Without a configuration, every service
    /// counts as named.
    pub fn new(targets: &[TargetEntry], table: Option<&RouteTable>) -> Nodes {
        let is_named =
            |target: &&TargetEntry| table.is_none_or(|table| table.names(&target.instance.service));
        let mut by_address: HashMap<SocketAddr, &TargetEntry> = HashMap::new();
        for target in targets.iter().filter(is_named) {
            let known = by_address.entry(target.instance.peer).or_insert(target);
            if target.start_time_ms > known.start_time_ms {
                *known = target;
            }
        }
        let nodes = by_address.into_values().map(|t| t.instance.clone());
        let mut nodes: Vec<Instance> = nodes.collect();
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        Nodes(nodes)
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the instances of the nodes, also those whose targets are draining.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.0.iter()
    }

    /// Iterates over the instances of the nodes whose targets are not draining.
    pub fn live(&self) -> impl Iterator<Item = &Instance> {
        self.iter()
            .filter(|instance| instance.state == InstanceState::Live)
    }

    /// Returns the number of nodes in each failure domain.
    pub fn per_domain(&self) -> HashMap<&DomainName, usize> {
        let mut counts: HashMap<&DomainName, usize> = HashMap::new();
        for instance in self.iter() {
            *counts.entry(&instance.domain).or_default() += 1;
        }
        counts
    }

    /// Returns the number of nodes in a region.
    pub fn in_region(&self, region: &RegionName) -> usize {
        self.iter().filter(|i| i.region == *region).count()
    }
}
