//! Routing: the choice of an instance for an attempt.
//!
//! A node knows a bounded subset of the instances of each service it calls, nearest first: those of
//! its own failure domain, those of its region, and those of other regions. An attempt goes to the
//! cheaper of two that are drawn at random from the nearest place that is not busy. Other regions
//! are used only if the rule allows it and while the byte budget of the link lasts.

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
use crate::coordination::selection::Draw;
use crate::coordination::subset;
use crate::coordination::subset::SubsetConfig;
use crate::coordination::target::AttemptOutcome;
use crate::coordination::target::Observation;
use crate::coordination::target::TargetState;
use crate::coordination::target_group::Group;
use crate::error::NotRunKind;
use crate::instance::DomainName;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::RegionName;
use crate::instance::ServiceName;

/// Most services that a node routes to.
pub const MAX_SERVICES: usize = 256;

/// How an instance is drawn from those that may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// Any.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The cheaper of two.
    #[default]
    TwoChoices,
}

/// Settings of the router. Each mechanism can be switched off for a comparison.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// How an instance is drawn.
    pub strategy: Strategy,
    /// Sizes of the subset.
    pub subset: SubsetConfig,
    /// What the cost of an instance consists of.
    pub score: ScoreConfig,
    /// Outlier ejection and slow start.
    pub ejection: EjectionConfig,
    /// Byte budget of a link between regions that has none of its own.
    pub link: LinkConfig,
    /// Whether distance is disregarded.
    pub ignore_distance: bool,
    /// Whether draining is disregarded.
    pub ignore_draining: bool,
    /// Whether an instance may be tried again while others were not.
    pub repeat_tried: bool,
}

/// Where this node stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalNode {
    /// Own instance.
    pub instance: InstanceName,
    /// Own failure domain.
    pub domain: DomainName,
    /// Own region.
    pub region: RegionName,
}

/// Distance of an instance from this node, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Distance {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region.
    #[strum(serialize = "abroad")]
    CrossRegion,
}

/// What an attempt needs.
#[derive(Clone, Copy, Debug)]
pub struct PickArgs<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Priority of the call.
    pub priority: Priority,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the call may leave its region.
    pub cross_region: bool,
    /// Instances that this call was sent to already.
    pub tried: &'a [InstanceName],
    /// Whether these must not be chosen again, even if no others remain.
    pub untried_only: bool,
}

impl PickArgs<'_> {
    /// Returns whether the call may spend the reserved part of the link's byte budget.
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
    /// What the attempt costs of a link's byte budget.
    pub link_charge: Option<LinkCharge>,
}

/// The choice for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it there.
    Send(Pick),
    /// It cannot be sent.
    Unavailable(NotRunKind),
}

/// State of one target, for status and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus<'a> {
    /// The instance.
    pub instance: &'a Instance,
    /// Its distance.
    pub distance: Distance,
    /// Calls that are not answered yet.
    pub in_flight: u32,
    /// Load told last, decayed.
    pub load: f64,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Chooses instances and keeps what was observed of them.
#[derive(Debug)]
pub struct Router {
    cfg: RoutingConfig,
    home: LocalNode,
    groups: BTreeMap<ServiceName, Group>,
    links: LinkBudgets,
    ejections: u64,
}

impl Router {
    /// Builds a router that knows no instance.
    pub fn new(home: LocalNode, cfg: RoutingConfig, now: Time) -> Router {
        let links = LinkBudgets::new(cfg.link, now);
        Router {
            cfg,
            home,
            groups: BTreeMap::new(),
            links,
            ejections: 0,
        }
    }

    /// Takes over the published list; instances that are not in it are forgotten.
    pub fn sync(&mut self, instances: &[Instance], now: Time) {
        let mut lists: BTreeMap<&ServiceName, Vec<&Instance>> = BTreeMap::new();
        for instance in instances {
            lists.entry(&instance.service).or_default().push(instance);
        }
        let mut known = std::mem::take(&mut self.groups);
        for (service, list) in lists.into_iter().take(MAX_SERVICES) {
            let old = known.remove(service).unwrap_or_default();
            let group = self.merge(old, &list, now);
            for target in group
                .targets
                .iter()
                .filter(|t| t.distance == Distance::CrossRegion)
            {
                self.links.add(&target.instance.region, now);
            }
            self.groups.insert(service.clone(), group);
        }
    }

    /// Returns the instance for an attempt.
    pub fn choose<R>(&mut self, want: &PickArgs<'_>, now: Time, rng: &mut R) -> Choice
    where
        R: Rng,
    {
        let Some(group) = self.groups.get_mut(want.service) else {
            return Choice::Unavailable(NotRunKind::NoInstance);
        };
        let draw = Draw {
            cfg: &self.cfg,
            want,
            links: &self.links,
            now,
        };
        let Some(i) = draw.any(group, rng) else {
            return Choice::Unavailable(draw.reason(group));
        };
        let target = &group.targets[i];
        Choice::Send(Pick {
            instance: target.instance.clone(),
            distance: target.distance,
            link_charge: draw.link_charge(target),
        })
    }

    /// Returns whether the instance of a pick was last told to have more calls than slots, by the
    /// factor `crowded`.
    pub fn is_overloaded(&self, pick: &Pick, crowded: f64, now: Time) -> bool {
        let group = self.groups.get(&pick.instance.service);
        let targets = group.into_iter().flat_map(|group| &group.targets);
        let mut same = targets.filter(|target| target.instance.name == pick.instance.name);
        same.any(|target| target.score.load(now) >= crowded)
    }

    /// Notes that an attempt is sent.
    pub fn attempt_sent(&mut self, pick: &Pick, now: Time) {
        if let Some(link_charge) = &pick.link_charge {
            self.links.charge(link_charge, now);
        }
        if let Some(target) = self.target(&pick.instance.service, &pick.instance.name) {
            target.score.sent();
            target.health.sent();
        }
    }

    /// Notes how an attempt ended. Each attempt that was sent is ended once.
    pub fn attempt_ended(&mut self, pick: &Pick, seen: &Observation, now: Time) {
        if let Some(link_charge) = &pick.link_charge {
            self.links.settle(link_charge, seen.bytes, now);
        }
        let Some(group) = self.groups.get_mut(&pick.instance.service) else {
            return;
        };
        let room = group.has_room(&self.cfg.ejection);
        let Some(target) = group.find(&pick.instance.name) else {
            return;
        };
        let eject = target.answered(seen, now, &self.cfg.score, &self.cfg.ejection);
        if eject && (room || target.health.is_ejected()) {
            let jitter = jitter(&self.home.instance, &pick.instance.name);
            target.health.eject(jitter, now, &self.cfg.ejection);
            self.ejections += 1;
        }
        if seen.outcome == AttemptOutcome::Succeeded {
            group.note_latency(seen.latency);
        }
    }

    /// Returns the time within which nearly all answers of a service arrive, if any has.
    pub fn tail_latency(&self, service: &ServiceName) -> Option<Duration> {
        self.groups.get(service)?.tail_latency()
    }

    /// Returns whether any instance of a service is known.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.groups.contains_key(service)
    }

    /// Notes health as reported by somebody else, a hint that own observation overrides.
    pub fn report_health(
        &mut self,
        service: &ServiceName,
        instance: &InstanceName,
        healthy: bool,
        now: Time,
    ) {
        if let Some(target) = self.target(service, instance) {
            target.score.reported(healthy, now);
        }
    }

    /// Notes the incarnation of an instance and whether it is leaving, as told by a peer.
    pub fn update_status(
        &mut self,
        service: &ServiceName,
        instance: &InstanceName,
        incarnation: Incarnation,
        draining: bool,
        now: Time,
    ) {
        if let Some(target) = self.target(service, instance) {
            target.told(Some(incarnation), draining, now);
        }
    }

    /// Returns the byte budgets of the links to other regions.
    pub fn link_budgets(&self) -> &LinkBudgets {
        &self.links
    }

    /// Sets the byte budget of the link to `region`; what was spent stays spent.
    pub fn set_link_budget(&mut self, region: &RegionName, cfg: LinkConfig, now: Time) {
        self.links.set(region, cfg, now);
    }

    /// Returns how often an instance was ejected since the start.
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

    fn merge(&self, mut old_group: Group, list: &[&Instance], now: Time) -> Group {
        let first_time = old_group.targets.is_empty();
        let mut known: BTreeMap<InstanceName, TargetState> = old_group
            .targets
            .drain(..)
            .map(|t| (t.instance.name.clone(), t))
            .collect();
        let placed: Vec<(Distance, &Instance)> =
            list.iter().map(|i| (self.home.distance(i), *i)).collect();
        let mut targets: Vec<TargetState> = self
            .cfg
            .subset
            .select(&self.home.instance, &placed)
            .into_iter()
            .map(|(place, instance)| match known.remove(&instance.name) {
                Some(t) if t.instance.ingress == instance.ingress => t.listed(instance, place),
                _ => TargetState::new(instance, place, !first_time, now),
            })
            .collect();
        targets.sort_by(|a, b| a.instance.name.cmp(&b.instance.name));
        targets.dedup_by(|a, b| a.instance.name == b.instance.name);
        old_group.replaced(targets, &self.cfg.ejection)
    }
}

impl LocalNode {
    fn distance(&self, instance: &Instance) -> Distance {
        if instance.domain == self.domain {
            Distance::Domain
        } else if instance.region == self.region {
            Distance::Region
        } else {
            Distance::CrossRegion
        }
    }
}

fn jitter(own: &InstanceName, other: &InstanceName) -> f64 {
    subset::rank(own, other) as f64 / u64::MAX as f64
}
