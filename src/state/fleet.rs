//! View of the fleet: the configuration and the instances that this node needs.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::ServiceName;
use crate::policy::Policy;
use crate::state::LockRank;
use crate::state::OrderedMutex;

/// An instance to which this node may send calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownInstance {
    /// The instance as last listed.
    pub instance: Instance,
    /// Latest incarnation seen in a message, `None` before the first.
    pub incarnation: Option<Incarnation>,
    /// Whether the instance is leaving.
    pub draining: bool,
}

/// An immutable, consistent snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    revision: u64,
    ready: bool,
    policy: Arc<Policy>,
    services: BTreeMap<ServiceName, Vec<KnownInstance>>,
}

impl FleetView {
    /// Builds a view of `instances` under a policy.
    pub fn new<I>(revision: u64, ready: bool, policy: Arc<Policy>, instances: I) -> FleetView
    where
        I: IntoIterator<Item = KnownInstance>,
    {
        let mut services: BTreeMap<ServiceName, Vec<KnownInstance>> = BTreeMap::new();
        for known in instances {
            let service = known.instance.service.clone();
            services.entry(service).or_default().push(known);
        }
        FleetView {
            revision,
            ready,
            policy,
            services,
        }
    }

    /// Returns the revision of the configuration in force, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the view was confirmed, so that the node may act on it.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the rules in force that this node needs.
    pub fn policy(&self) -> &Arc<Policy> {
        &self.policy
    }

    /// Returns the known instances of a service, in the order in which they were passed in.
    pub fn instances(&self, service: &str) -> &[KnownInstance] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the instance `name` of a service.
    pub fn instance(&self, service: &str, name: &InstanceName) -> Option<&KnownInstance> {
        let mut instances = self.instances(service).iter();
        instances.find(|known| known.instance.name == *name)
    }

    /// Returns the services that have known instances.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }
}

/// Shared access to the current view, which is replaced as a whole.
#[derive(Debug)]
pub struct SharedFleetView {
    current: OrderedMutex<Arc<FleetView>>,
}

impl Default for SharedFleetView {
    fn default() -> SharedFleetView {
        SharedFleetView {
            current: OrderedMutex::new(LockRank::Fleet, Arc::default()),
        }
    }
}

impl SharedFleetView {
    /// Returns the current view.
    pub fn snapshot(&self) -> Arc<FleetView> {
        self.current.lock().clone()
    }

    /// Replaces the current view.
    pub fn publish(&self, fleet: FleetView) {
        *self.current.lock() = Arc::new(fleet);
    }
}
