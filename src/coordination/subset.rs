//! The bounded set of instances that a node sends calls to.
//!
//! The set is chosen by rendezvous hash of (own instance, other instance), so that it is the same
//! after a restart, and a change of one instance moves at most one member.

use std::cmp::Reverse;

use strum::IntoEnumIterator;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::routing::Distance;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::InstanceState;

/// Sizes of the subset of one service, and as much again of instances that are leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetConfig {
    /// Most instances of the own failure domain.
    pub domain: usize,
    /// Most instances of the rest of the region.
    pub region: usize,
    /// Most instances of other regions.
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
    /// A subset that holds every instance.
    pub const ALL: SubsetConfig = SubsetConfig {
        domain: usize::MAX,
        region: usize::MAX,
        cross_region: usize::MAX,
    };

    /// Returns the members of the subset of the node `own`.
    pub fn select<'a>(
        &self,
        own: &InstanceName,
        instances: &[(Distance, &'a Instance)],
    ) -> Vec<(Distance, &'a Instance)> {
        let states = [InstanceState::Live, InstanceState::Leaving];
        Distance::iter()
            .flat_map(|distance| states.map(|state| (distance, state)))
            .flat_map(|(distance, state)| {
                let alike = instances
                    .iter()
                    .filter(|(p, i)| *p == distance && i.state == state)
                    .copied();
                highest(own, self.size(distance), alike.collect())
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

/// Returns the rank of `other` in the view of `own`; the highest are chosen.
pub fn rank(own: &InstanceName, other: &InstanceName) -> u64 {
    let seed = xxh3_64(own.as_str().as_bytes());
    xxh3_64_with_seed(other.as_str().as_bytes(), seed)
}

fn highest<'a>(
    own: &InstanceName,
    size: usize,
    mut members: Vec<(Distance, &'a Instance)>,
) -> Vec<(Distance, &'a Instance)> {
    if members.len() > size {
        members.sort_by_cached_key(|(_, i)| Reverse((rank(own, &i.name), &i.name)));
        members.truncate(size);
    }
    members
}
