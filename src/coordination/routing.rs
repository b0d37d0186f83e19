//! Locality-aware load balancing: picks the instance for each attempt.
//!
//! A node keeps a bounded subset of the instances of each service it calls: some in its own failure
//! domain, some in the rest of its region and some in other regions. An attempt goes to the cheaper
//! of two instances drawn at random at the nearest distance that is not busy. Other regions are
//! used only if the rule allows it and while the byte budget of the link lasts.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use strum::Display;
use strum::EnumIter;

use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::ejection::EjectionConfig;
use crate::coordination::link_budget::LinkConfig;
use crate::coordination::link_budgets::LinkBudgets;
use crate::coordination::link_budgets::LinkCharge;
use crate::coordination::score::ScoreConfig;
use crate::coordination::selection::Selection;
use crate::coordination::subset;
use crate::coordination::subset::SubsetConfig;
use crate::coordination::target::AttemptOutcome;
use crate::coordination::target::Observation;
use crate::coordination::target::TargetState;
use crate::coordination::target_group::TargetGroup;
use crate::error::NotRunKind;
use crate::instance::DomainName;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::RegionName;
use crate::instance::ServiceName;

/// Maximum number of services that a node routes to.
pub const MAX_SERVICES: usize = 256;

/// How an instance is picked from the usable ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// Uniformly at random.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The cheaper of two instances drawn at random.
    #[default]
    TwoChoices,
}

/// Settings of the router. Each mechanism can be switched off to measure its effect.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// How an instance is picked from the usable ones.
    pub strategy: Strategy,
    /// Size limits of the subset.
    pub subset: SubsetConfig,
    /// Observations that the cost of an instance is computed from.
    pub score: ScoreConfig,
    /// Outlier ejection and slow start.
    pub ejection: EjectionConfig,
    /// Default byte budget of a link between regions.
    pub link: LinkConfig,
    /// Whether instances are picked regardless of their distance.
    pub ignore_distance: bool,
    /// Whether draining instances are picked like any other.
    pub ignore_draining: bool,
    /// Whether a tried instance may be picked again before the untried ones.
    pub allow_tried: bool,
}

/// Identity and location of this node's instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalNode {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Region of the instance.
    pub region: RegionName,
}

/// Distance of an instance from this node, ordered from near to far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Distance {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region.
    #[strum(serialize = "abroad")] // printed name
    CrossRegion,
}

/// Constraints on the instance of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct PickArgs<'a> {
    /// Called service.
    pub service: &'a ServiceName,
    /// Priority of the call.
    pub priority: Priority,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the call may leave its region.
    pub cross_region: bool,
    /// Length of the request body in bytes, which counts against the budget of a link; 0 if it is not
    /// known.
    pub request_bytes: u64,
    /// Instances that earlier attempts of this call went to.
    pub tried: &'a [InstanceName],
    /// Whether tried instances are excluded even if no others remain.
    pub untried_only: bool,
}

impl PickArgs<'_> {
    /// Returns whether the call may use the reserved part of a link's byte budget.
    pub fn is_critical(&self) -> bool {
        !self.idempotent || self.priority == Priority::Critical
    }
}

/// The instance that an attempt goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The instance.
    pub instance: Instance,
    /// Its distance.
    pub distance: Distance,
    /// Charge to the byte budget of a link; `None` within the region.
    pub link_charge: Option<LinkCharge>,
}

/// Result of choosing an instance for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the attempt to this instance.
    Send(Pick),
    /// No instance may be used, for this reason.
    Unavailable(NotRunKind),
}

/// State of one target, as reported by status and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus<'a> {
    /// The instance.
    pub instance: &'a Instance,
    /// Its distance.
    pub distance: Distance,
    /// Number of this node's attempts that have not ended.
    pub in_flight: u32,
    /// Last reported load, decayed with its age; 1 if all slots were taken.
    pub load: f64,
    /// Expected time of a request: as reported by the node beside it, or else as this node observed.
    pub expected: Option<Duration>,
    /// Whether the instance is ejected.
    pub ejected: bool,
    /// Whether the instance is draining.
    pub draining: bool,
}

/// Picks instances and keeps the observed state of each.
#[derive(Debug)]
pub struct Router {
    cfg: RoutingConfig,
    local: LocalNode,
    groups: BTreeMap<ServiceName, TargetGroup>,
    link_budgets: LinkBudgets,
    ejections: u64,
}

impl Router {
    /// Creates a router without instances.
    pub fn new(local: LocalNode, cfg: RoutingConfig, now: Time) -> Router {
        let link_budgets = LinkBudgets::new(cfg.link, now);
        Router {
            cfg,
            local,
            groups: BTreeMap::new(),
            link_budgets,
            ejections: 0,
        }
    }

    /// Applies a published list of instances and drops the state of those that are not in it.
    pub fn sync(&mut self, instances: &[Instance], now: Time) {
        let mut lists: BTreeMap<&ServiceName, Vec<&Instance>> = BTreeMap::new();
        for instance in instances {
            lists.entry(&instance.service).or_default().push(instance);
        }
        let mut known = std::mem::take(&mut self.groups);
        for (service, list) in lists.into_iter().take(MAX_SERVICES) {
            let group = known.remove(service).unwrap_or_default();
            let group = self.merge_listed(group, &list, now);
            for target in group
                .targets
                .iter()
                .filter(|t| t.distance == Distance::CrossRegion)
            {
                self.link_budgets.add(&target.instance.region, now);
            }
            self.groups.insert(service.clone(), group);
        }
    }

    /// Picks the instance for an attempt.
    pub fn choose<R>(&mut self, args: &PickArgs<'_>, now: Time, rng: &mut R) -> Choice
    where
        R: Rng,
    {
        let Some(group) = self.groups.get_mut(args.service) else {
            return Choice::Unavailable(NotRunKind::NoInstance);
        };
        let selection = Selection {
            cfg: &self.cfg,
            args,
            link_budgets: &self.link_budgets,
            now,
        };
        let Some(i) = selection.select(group, rng) else {
            return Choice::Unavailable(selection.unavailable_reason(group));
        };
        let target = &group.targets[i];
        Choice::Send(Pick {
            instance: target.instance.clone(),
            distance: target.distance,
            link_charge: selection.link_charge(target),
        })
    }

    /// Returns whether the last load reported by the picked instance, decayed with its age, is at
    /// least `min_load`. A load of 1 means that all slots are taken.
    pub fn is_overloaded(&self, pick: &Pick, min_load: f64, now: Time) -> bool {
        let group = self.groups.get(&pick.instance.service);
        let targets = group.into_iter().flat_map(|group| &group.targets);
        let mut same = targets.filter(|target| target.instance.name == pick.instance.name);
        same.any(|target| target.score.load(now) >= min_load)
    }

    /// Records that an attempt was sent, and charges the link that it uses.
    pub fn record_attempt_start(&mut self, pick: &Pick, now: Time) {
        if let Some(link_charge) = &pick.link_charge {
            self.link_budgets.charge(link_charge, now);
        }
        if let Some(target) = self.target(&pick.instance.service, &pick.instance.name) {
            target.score.record_attempt_start();
            target.health.record_attempt_start();
        }
    }

    /// Records the end of an attempt. Must be called exactly once for each attempt that was sent.
    pub fn record_attempt_end(&mut self, pick: &Pick, observation: &Observation, now: Time) {
        if let Some(link_charge) = &pick.link_charge {
            self.link_budgets
                .settle(link_charge, observation.bytes, now);
        }
        let Some(group) = self.groups.get_mut(&pick.instance.service) else {
            return;
        };
        let can_eject = group.can_eject(&self.cfg.ejection);
        let Some(target) = group.find(&pick.instance.name) else {
            return;
        };
        let eject =
            target.record_attempt_end(observation, now, &self.cfg.score, &self.cfg.ejection);
        if eject && (can_eject || target.health.is_ejected()) {
            let jitter = ejection_jitter(&self.local.instance, &pick.instance.name);
            target.health.eject(jitter, now, &self.cfg.ejection);
            self.ejections += 1;
        }
        if observation.outcome == AttemptOutcome::Succeeded {
            group.record_latency(observation.latency);
        }
    }

    /// Returns the estimated tail latency of a service, or `None` before its first response.
    pub fn tail_latency(&self, service: &ServiceName) -> Option<Duration> {
        self.groups.get(service)?.tail_latency()
    }

    /// Returns whether the router knows an instance of the service.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.groups.contains_key(service)
    }

    /// Records health reported by another source. A later success observed by this node overrides
    /// it.
    pub fn record_reported_health(
        &mut self,
        service: &ServiceName,
        instance: &InstanceName,
        healthy: bool,
        now: Time,
    ) {
        if let Some(target) = self.target(service, instance) {
            target.score.record_reported_health(healthy, now);
        }
    }

    /// Records the incarnation of an instance and whether it is draining, as reported by a peer.
    pub fn update_status(
        &mut self,
        service: &ServiceName,
        instance: &InstanceName,
        incarnation: Incarnation,
        draining: bool,
        now: Time,
    ) {
        if let Some(target) = self.target(service, instance) {
            target.update_status(Some(incarnation), draining, now);
        }
    }

    /// Returns the byte budgets of the links to other regions.
    pub fn link_budgets(&self) -> &LinkBudgets {
        &self.link_budgets
    }

    /// Sets the byte budget of the link to `region`. An existing budget keeps its relative fill
    /// level.
    pub fn set_link_budget(&mut self, region: &RegionName, cfg: LinkConfig, now: Time) {
        self.link_budgets.set(region, cfg, now);
    }

    /// Returns the number of ejections since the router was created.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Returns the state of each known target, sorted by service and name.
    pub fn targets(&self, now: Time) -> impl Iterator<Item = TargetStatus<'_>> {
        let targets = self.groups.values().flat_map(|group| &group.targets);
        targets.map(move |t| TargetStatus {
            instance: &t.instance,
            distance: t.distance,
            in_flight: t.score.in_flight(),
            load: t.score.load(now),
            expected: t.score.expected_time(now),
            ejected: t.health.is_ejected(),
            draining: t.is_draining(now),
        })
    }

    fn target(
        &mut self,
        service: &ServiceName,
        instance: &InstanceName,
    ) -> Option<&mut TargetState> {
        self.groups.get_mut(service)?.find(instance)
    }

    /// Selects the subset of the published `list`. Instances whose ingress address is unchanged
    /// keep their state; new ones start cold, unless these are the first instances of the service.
    fn merge_listed(&self, mut group: TargetGroup, list: &[&Instance], now: Time) -> TargetGroup {
        let first_time = group.targets.is_empty();
        let mut known: BTreeMap<InstanceName, TargetState> = group
            .targets
            .drain(..)
            .map(|t| (t.instance.name.clone(), t))
            .collect();
        let with_distance: Vec<(Distance, &Instance)> = list
            .iter()
            .map(|i| (self.local.distance_to(i), *i))
            .collect();
        let mut targets: Vec<TargetState> = self
            .cfg
            .subset
            .select(&self.local.instance, &with_distance)
            .into_iter()
            .map(|(distance, instance)| match known.remove(&instance.name) {
                Some(t) if t.instance.ingress == instance.ingress => {
                    t.with_listing(instance, distance)
                }
                _ => TargetState::new(instance, distance, !first_time, now),
            })
            .collect();
        targets.sort_by(|a, b| a.instance.name.cmp(&b.instance.name));
        targets.dedup_by(|a, b| a.instance.name == b.instance.name);
        group.with_targets(targets, &self.cfg.ejection)
    }
}

impl LocalNode {
    fn distance_to(&self, instance: &Instance) -> Distance {
        if instance.domain == self.domain {
            Distance::Domain
        } else if instance.region == self.region {
            Distance::Region
        } else {
            Distance::CrossRegion
        }
    }
}

/// Returns a fixed value from 0 to 1 for a pair of instances, which spreads the probes of several
/// nodes.
fn ejection_jitter(local: &InstanceName, other: &InstanceName) -> f64 {
    subset::rendezvous_hash(local, other) as f64 / u64::MAX as f64
}
