//! Deterministic subsetting: the bounded set of instances that a node sends calls to.
//!
//! Members are chosen by a rendezvous hash of (local instance, other instance), so that the subset
//! is the same after a restart, and adding or removing one instance changes at most one member.

use std::cmp::Reverse;

use strum::IntoEnumIterator;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::routing::Distance;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::InstanceState;

/// Size limits of the subset of one service. They apply separately to live and to draining
/// instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetConfig {
    /// Maximum number of instances in the local failure domain.
    pub domain: usize,
    /// Maximum number of instances in the rest of the region.
    pub region: usize,
    /// Maximum number of instances in other regions.
    pub cross_region: usize,
}

impl Default for SubsetConfig {
    fn default() -> SubsetConfig {
        SubsetConfig {
            domain: 8,
            region: 6,
            cross_region: 4,
        }
    }
}

impl SubsetConfig {
    /// Limits that admit every instance.
    pub const ALL: SubsetConfig = SubsetConfig {
        domain: usize::MAX,
        region: usize::MAX,
        cross_region: usize::MAX,
    };

    /// Returns the members of the subset of the instance `local`.
    pub fn select<'a>(
        &self,
        local: &InstanceName,
        instances: &[(Distance, &'a Instance)],
    ) -> Vec<(Distance, &'a Instance)> {
        let states = [InstanceState::Live, InstanceState::Draining];
        Distance::iter()
            .flat_map(|distance| states.map(|state| (distance, state)))
            .flat_map(|(distance, state)| {
                let candidates = instances
                    .iter()
                    .filter(|(d, i)| *d == distance && i.state == state)
                    .copied();
                highest_ranked(local, self.size(distance), candidates.collect())
            })
            .collect()
    }

    fn size(&self, distance: Distance) -> usize {
        match distance {
            Distance::Domain => self.domain,
            Distance::Region => self.region,
            Distance::CrossRegion => self.cross_region,
        }
    }
}

/// Returns the rendezvous hash of the pair. The instances with the highest values become members.
pub fn rendezvous_hash(local: &InstanceName, other: &InstanceName) -> u64 {
    let seed = xxh3_64(local.as_str().as_bytes());
    xxh3_64_with_seed(other.as_str().as_bytes(), seed)
}

fn highest_ranked<'a>(
    local: &InstanceName,
    size: usize,
    mut members: Vec<(Distance, &'a Instance)>,
) -> Vec<(Distance, &'a Instance)> {
    if members.len() > size {
        members.sort_by_cached_key(|(_, i)| Reverse((rendezvous_hash(local, &i.name), &i.name)));
        members.truncate(size);
    }
    members
}
