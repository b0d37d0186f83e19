//! Byte budgets of the links to other regions.
//!
//! Requests that go to another region share the link with reads of the platform's store. A full link
//! cuts a whole region off from the configuration, so that the nodes of a region share one limit on the
//! request bodies that they send, and one on the responses that they receive. The bodies of one region
//! and the responses to the other take the same way.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::link_budget;
use crate::coordination::link_budget::BodyLimit;
use crate::coordination::link_budget::LinkConfig;
use crate::coordination::nodes::Nodes;
use crate::coordination::routing::Router;
use crate::instance::RegionName;

/// Limit on either rate for one node, in bytes per second. Routing prefers near instances and so keeps
/// cross-region traffic low.
const NODE_BYTES_PER_S: f64 = 200_000.0;

/// Bytes per second of request bodies that all nodes of a region may send to each other region.
/// Together with [`RESPONSE_BYTES_PER_S`], it leaves room on a link of 60 Mbit/s.
const BODY_BYTES_PER_S: f64 = 1_600_000.0;

/// Bytes per second of responses that all nodes of a region may receive from each other region.
const RESPONSE_BYTES_PER_S: f64 = 4_600_000.0;

/// Time in which an unused limit on request bodies is refilled. What it holds may be sent at once.
const BODY_BURST: Duration = Duration::from_secs(1);

/// Returns the budget of one node for the link to another region, if `nodes` nodes of its region
/// share it.
pub fn link_config(nodes: usize) -> LinkConfig {
    let share = |rate| link_budget::node_bytes_per_s(rate, 1, nodes).min(NODE_BYTES_PER_S);
    LinkConfig {
        bytes_per_s: share(RESPONSE_BYTES_PER_S),
        bodies: Some(BodyLimit {
            bytes_per_s: share(BODY_BYTES_PER_S),
            burst: BODY_BURST,
        }),
        ..LinkConfig::default()
    }
}

/// Sets the budgets of the links from `region` according to the nodes of the fleet.
pub(super) fn set_budgets(router: &mut Router, region: &RegionName, nodes: &Nodes, now: Time) {
    let sharing = nodes.in_region(region);
    let regions: BTreeSet<&RegionName> = nodes.iter().map(|i| &i.region).collect();
    for other in regions.into_iter().filter(|other| *other != region) {
        router.set_link_budget(other, link_config(sharing), now);
    }
}
